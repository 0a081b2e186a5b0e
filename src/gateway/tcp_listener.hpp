#ifndef KUMQUATDRIFT_GATEWAY_TCP_LISTENER_HPP
#define KUMQUATDRIFT_GATEWAY_TCP_LISTENER_HPP

#include <functional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <kumquatdrift/core/result.hpp>

#include "socket_stream.hpp"

namespace kumquatdrift {

/*! @brief Accepts TCP connections on the event loop. */
class tcp_listener {
public:
    /*! @brief Delay before the next accept after a failed one; the usual cause is a lack of descriptors. */
    static constexpr milliseconds retry_delay{100};

    /*! @brief Receives each accepted connection. */
    using accept_callback = std::function<void(const socket_stream::pointer&)>;
    /*! @brief Receives the cause of a failed accept. */
    using error_callback = std::function<void(const std::string&)>;

    /**
     * @brief Constructs a listener that does not listen yet.
     * @param loop Event loop.
     * @param on_accept Receives the accepted connections.
     */
    tcp_listener(event_loop& loop, accept_callback on_accept);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    /**
     * @brief Sets the callback for failed accepts.
     * @param callback Receives the cause.
     */
    void on_error(error_callback callback)
    {
        this->error_handler = std::move(callback);
    }

    /**
     * @brief Starts listening.
     * @param address Address; port 0 selects a free port.
     * @return The address with the port in use, or the error.
     */
    [[nodiscard]] result<socket_address> listen(const socket_address& address);

    /*! @brief Stops listening. */
    void close();

private:
    void accept();

    event_loop& loop;
    boost::asio::ip::tcp::acceptor acceptor;
    accept_callback accept_handler;
    error_callback error_handler{};
    event_loop::timer_id retry_timer{};
};

} // namespace kumquatdrift

#endif
