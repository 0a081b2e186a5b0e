#ifndef KUMQUATDRIFT_PROXY_LISTENER_HPP
#define KUMQUATDRIFT_PROXY_LISTENER_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerDispatcher.h>
#include <Poco/ThreadPool.h>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/proxy/settings.hpp>
#include <kumquatdrift/telemetry/fwd.hpp>

#include "proxy/exchange.hpp"

namespace kumquatdrift::internal {

/*! @brief Cause for which a listener closes connections of clients that don't behave. */
enum class client_closure : std::uint8_t {
    /*! @brief All threads were busy, and the request waited for its client for too long. */
    threads,
    /*! @brief The limit of connections was reached, and this one had been idle longest. */
    connections,
};

} // namespace kumquatdrift::internal

namespace kumquatdrift {

/*! @brief Names of the causes in logs and metrics. */
template<>
struct enum_names<internal::client_closure> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<internal::client_closure, std::string_view>, 2> table{{
        {internal::client_closure::threads, "threads"},
        {internal::client_closure::connections, "connections"},
    }};
};

} // namespace kumquatdrift

namespace kumquatdrift::internal {

class connection_registry;
class idle_connection_poller;

/*! @brief Receives a cause and the number of connections that were closed for it at once; called on any
 *         thread. */
using closure_observer = std::function<void(client_closure cause, std::size_t count)>;

/**
 * @brief Makes an observer that counts the closed connections, and logs them at most once a second.
 * @param metrics Registry of metrics; must outlive the observer.
 * @param name Name of the listener.
 * @return The observer.
 */
[[nodiscard]] closure_observer make_closure_observer(metrics_registry& metrics, const std::string& name);

/*! @brief Receives the status of each request that the listener rejects before it reaches the handler. */
using rejection_observer = std::function<void(unsigned status)>;

/**
 * @brief HTTP/1 server on a TCP port.
 *
 * A thread serves a connection as long as its requests follow each other closely. After that, a shared thread
 * polls the connection for input, and the first thread serves other connections. In a mesh of 2,400 nodes,
 * a node can have a connection from each other node, most of them idle; one thread per connection would need
 * too much memory.
 */
class listener {
public:
    /*! @brief Handles one request; called on the thread that serves the connection. */
    using handler = std::function<void(exchange&)>;

    /**
     * @brief Starts to listen.
     * @param limits Address and limits.
     * @param on_request Handles a request and sends its response.
     * @param on_rejected Called for requests that the listener rejects itself; may be empty.
     * @param on_closed Called for connections that are closed because their clients don't behave; may be
     * empty.
     * @return The listener, or the reason why it cannot listen.
     */
    [[nodiscard]] static result<std::unique_ptr<listener>> create(const listener_limits& limits,
                                                                  handler on_request,
                                                                  rejection_observer on_rejected,
                                                                  closure_observer on_closed = {});

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
     * @param grace Maximum time to wait; remaining connections are then shut down.
     * @return True if all requests in flight were completed.
     */
    bool stop(milliseconds grace);

private:
    listener(const listener_limits& limits, handler on_request, rejection_observer on_rejected,
             closure_observer on_closed);

    void close_waiting_clients();
    void listen(const listener_limits& limits);

    std::shared_ptr<connection_registry> registry;
    std::unique_ptr<Poco::ThreadPool> thread_pool;
    Poco::Net::ServerSocket listening_socket{};
    std::unique_ptr<Poco::Net::TCPServer> server;
    // Serves connections that became readable after they were idle.
    Poco::Net::TCPServerDispatcher* resumed_dispatcher{};
    std::uint16_t bound_port{};
    bool stopped{};
};

} // namespace kumquatdrift::internal

#endif
