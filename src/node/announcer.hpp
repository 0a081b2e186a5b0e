#ifndef KUMQUATDRIFT_NODE_ANNOUNCER_HPP
#define KUMQUATDRIFT_NODE_ANNOUNCER_HPP

#include <functional>
#include <mutex>
#include <vector>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/membership/announcements.hpp>
#include <kumquatdrift/membership/types.hpp>

#include "node/periodic_task.hpp"

namespace kumquatdrift::internal {

/*! @brief Keeps the targets of this host and publishes each change of them. Safe for any thread. */
class announcer {
public:
    /*! @brief Receives the targets after each change. Called with the table locked, so in order of change. */
    using publish_function = std::function<void(const std::vector<target_record>&)>;

    /**
     * @brief Starts the thread that removes expired targets.
     * @param publish Receiver of changes.
     */
    explicit announcer(publish_function publish);

    /**
     * @brief Stores or renews the announcement of a target.
     * @param target The target.
     * @param ttl Time to live.
     * @return True if the targets changed, or the reason for a rejection.
     */
    result<bool> announce(target_record target, milliseconds ttl);

private:
    void remove_expired();

    publish_function publish;
    std::mutex mutex{};
    announcement_table table{};
    periodic_task sweeper;
};

} // namespace kumquatdrift::internal

#endif
