#ifndef KUMQUATDRIFT_GATEWAY_TCP_LISTENER_HPP
#define KUMQUATDRIFT_GATEWAY_TCP_LISTENER_HPP

#include <functional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <kumquatdrift/core/result.hpp>

#include "stream.hpp"

namespace kumquatdrift {

/*! @brief Accepts TCP connections on the event loop. */
class tcp_listener {
public:
    /*! @brief Time after a failed accept before the next; the usual cause is a lack of descriptors. */
    static constexpr milliseconds pause_after_error{100};

    /*! @brief Receives each connection. */
    using accept_callback = std::function<void(const stream::pointer&)>;
    /*! @brief Receives the cause of a failed accept. */
    using error_callback = std::function<void(const std::string&)>;

    /**
     * @brief Constructs a listener that does not listen.
     * @param loop Event loop.
     * @param accepted Receives connections.
     */
    tcp_listener(event_loop& loop, accept_callback accepted);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    /**
     * @brief Sets who hears of failed accepts.
     * @param callback Receives causes.
     */
    void on_error(error_callback callback)
    {
        this->failed = std::move(callback);
    }

    /**
     * @brief Listens.
     * @param address Address; port 0 takes any free port.
     * @return The address with the port in use, or why it cannot listen.
     */
    [[nodiscard]] result<socket_address> listen(const socket_address& address);

    /*! @brief Stops to listen. */
    void close();

private:
    void accept();

    event_loop& loop;
    boost::asio::ip::tcp::acceptor acceptor;
    accept_callback accepted;
    error_callback failed{};
    event_loop::timer_id pause{};
};

} // namespace kumquatdrift

#endif
