#ifndef KUMQUATDRIFT_PROXY_PARKING_HPP
#define KUMQUATDRIFT_PROXY_PARKING_HPP

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/proxy/channel.hpp>

namespace kumquatdrift::internal {

/*! @brief Watches idle connections with one thread, so that they hold no thread each. */
class parking {
public:
    /*! @brief Takes back a connection with input, or one that was closed by the other side. */
    using resume_handler = std::function<void(std::unique_ptr<channel>)>;
    /*! @brief Takes back a connection whose idle time is over. */
    using expire_handler = std::function<void(std::unique_ptr<channel>)>;

    /**
     * @brief Starts the thread.
     * @param resume Called from the thread for connections with input.
     * @param expire Called from the thread for connections that were idle for too long.
     */
    parking(resume_handler resume, expire_handler expire);

    parking(const parking&) = delete;
    parking& operator=(const parking&) = delete;
    ~parking();

    /**
     * @brief Takes over an idle connection.
     * @param idle Connection with an empty input buffer.
     * @param until Time at which it expires.
     */
    void park(std::unique_ptr<channel> idle, timestamp until);

    /*! @brief Stops the thread; connections that are left expire. */
    void stop();

private:
    struct parked {
        std::unique_ptr<channel> connection{};
        timestamp until{};
    };

    void run();
    [[nodiscard]] std::unique_ptr<channel> take(const channel* key);
    void expire(timestamp now);

    resume_handler on_input;
    expire_handler on_expired;
    int epoll;
    std::atomic<bool> stopping{};
    std::mutex mutex{};
    std::map<const channel*, parked> connections{};
    std::thread watcher;
};

} // namespace kumquatdrift::internal

#endif
