#ifndef KUMQUATDRIFT_PROXY_LISTENER_HPP
#define KUMQUATDRIFT_PROXY_LISTENER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerDispatcher.h>
#include <Poco/ThreadPool.h>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/proxy/settings.hpp>

#include "proxy/exchange.hpp"

namespace kumquatdrift::internal {

class connection_registry;
class parking;

/*! @brief What the listener reports about requests that never reach the handler. */
using refusal_observer = std::function<void(unsigned status)>;

/**
 * @brief HTTP/1 server on a TCP port.
 *
 * A thread serves a connection for as long as its requests follow each other closely; then the connection is
 * parked and its thread serves others. In a mesh of 2,400 nodes a node can hold a connection from each other
 * node, most of them idle at any time; a thread for each would not fit into its memory.
 */
class listener {
public:
    /*! @brief Answers one request; called from the connection's thread. */
    using handler = std::function<void(exchange&)>;

    /**
     * @brief Starts to listen.
     * @param limits Limits.
     * @param handle Answers a request.
     * @param observe Called for requests that the listener refuses itself; may be empty.
     * @return The listener, or why the address cannot be used.
     */
    [[nodiscard]] static result<std::unique_ptr<listener>> create(const listener_limits& limits,
                                                                  handler handle, refusal_observer observe);

    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    ~listener();

    /*! @brief Returns the port. */
    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return this->bound_port;
    }

    /*! @brief Returns the number of open connections. */
    [[nodiscard]] std::size_t connections() const;

    /**
     * @brief Stops listening, closes idle connections and waits for requests in flight.
     * @param grace Longest time to wait; connections that are left are then cut.
     * @return True if all requests in flight were finished.
     */
    bool stop(milliseconds grace);

private:
    listener(const listener_limits& limits, handler handle, refusal_observer observe);

    void listen(const listener_limits& limits);

    std::shared_ptr<connection_registry> registry;
    std::unique_ptr<Poco::ThreadPool> threads;
    Poco::Net::ServerSocket socket{};
    std::unique_ptr<Poco::Net::TCPServer> server;
    // Serves connections that were parked.
    Poco::Net::TCPServerDispatcher* resumer{};
    std::uint16_t bound_port{};
    bool stopped{};
};

} // namespace kumquatdrift::internal

#endif
