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

/*! @brief Stores the targets announced on this host and reports each change of them. Thread-safe. */
class announcer {
public:
    /*! @brief Receives the targets after each change. Called with the table locked, in the order of the
     * changes. */
    using change_callback = std::function<void(const std::vector<target_record>&)>;

    /**
     * @brief Starts the thread that removes expired targets.
     * @param callback Receives the targets after each change.
     */
    explicit announcer(change_callback callback);

    /**
     * @brief Stores or renews the announcement of a target.
     * @param target The announced target.
     * @param ttl Time after which the target is removed unless it is announced again.
     * @return True if the targets changed, or why the announcement is rejected.
     */
    result<bool> announce(target_record target, milliseconds ttl);

private:
    void remove_expired();

    change_callback on_change;
    std::mutex mutex{};
    announcement_table table{};
    periodic_task expiry_task;
};

} // namespace kumquatdrift::internal

#endif
