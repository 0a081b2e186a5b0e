#ifndef KUMQUATDRIFT_PROXY_IDLE_CONNECTION_POLLER_HPP
#define KUMQUATDRIFT_PROXY_IDLE_CONNECTION_POLLER_HPP

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/proxy/tcp_connection.hpp>

namespace kumquatdrift::internal {

/*! @brief Polls all idle connections of a listener on one thread, so that none needs a thread of its own. */
class idle_connection_poller {
public:
    /*! @brief Receives a connection that has input or was closed by its peer. */
    using resume_handler = std::function<void(std::unique_ptr<tcp_connection>)>;
    /*! @brief Receives a connection whose idle timeout has passed. */
    using expire_handler = std::function<void(std::unique_ptr<tcp_connection>)>;

    /**
     * @brief Starts the polling thread.
     * @param resume Called on the polling thread for connections that are readable.
     * @param expire Called for connections that expire, give way or cannot be polled, also by `stop`, `add`
     * and `close_oldest`.
     * @param check Called on the polling thread at each check for expired connections.
     */
    idle_connection_poller(resume_handler resume, expire_handler expire, std::function<void()> check);

    idle_connection_poller(const idle_connection_poller&) = delete;
    idle_connection_poller& operator=(const idle_connection_poller&) = delete;
    ~idle_connection_poller();

    /**
     * @brief Adds an idle connection.
     * @param connection Connection with an empty input buffer.
     * @param expires_at Time at which the connection expires.
     */
    void add(std::unique_ptr<tcp_connection> connection, timestamp expires_at);

    /*! @brief Expires the connection that has been idle longest. @return False if there is none. */
    bool close_oldest();

    /*! @brief Stops the polling thread and expires the remaining connections. */
    void stop();

private:
    struct idle_connection {
        std::unique_ptr<tcp_connection> connection{};
        timestamp expires_at{};
        /*! @brief Number that increases with each added connection. */
        std::uint64_t order{};
    };

    void poll_events();
    [[nodiscard]] std::unique_ptr<tcp_connection> remove(const tcp_connection* key);
    void expire(timestamp now);

    resume_handler on_readable;
    expire_handler on_expired;
    std::function<void()> on_check;
    std::uint64_t last_order{};
    int epoll_descriptor;
    std::atomic<bool> stopping{};
    std::mutex mutex{};
    std::map<const tcp_connection*, idle_connection> connections{};
    std::thread poll_thread;
};

} // namespace kumquatdrift::internal

#endif
