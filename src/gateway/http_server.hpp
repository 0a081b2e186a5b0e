#ifndef KUMQUATDRIFT_GATEWAY_HTTP_SERVER_HPP
#define KUMQUATDRIFT_GATEWAY_HTTP_SERVER_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/http/message.hpp>
#include <kumquatdrift/mesh/config.hpp>

#include "tcp_listener.hpp"

namespace kumquatdrift {

class http_server;
class http_session;

/*! @brief One request that waits for its answer. Kept by whoever will answer it. */
class http_exchange {
public:
    /*! @brief The request. */
    http_message request{};
    /*! @brief Address of the caller. */
    std::string caller_ip{};
    /*! @brief Arrival of the first byte. */
    timestamp arrived{};
    /*! @brief Called once if the caller leaves before the answer. */
    std::function<void()> on_disconnect{};

    /**
     * @brief Answers. Only the first call counts.
     * @param answer Answer.
     * @param close True to end the connection with it.
     */
    void respond(const http_answer& answer, bool close = false);

    /*! @brief Checks whether the caller has left or been answered. */
    [[nodiscard]] bool is_over() const noexcept
    {
        return this->session.expired();
    }

private:
    friend class http_session;
    std::weak_ptr<http_session> session{};
};

/*! @brief Shared reference to an exchange. */
using http_exchange_ptr = std::shared_ptr<http_exchange>;

/*! @brief HTTP/1.1 server on the event loop. */
class http_server {
public:
    /*! @brief Receives each whole request. */
    using handler = std::function<void(const http_exchange_ptr&)>;

    /*! @brief Bytes of all request bodies together, for servers whose callers send little. */
    static constexpr std::size_t default_max_body_bytes = 4'194'304;

    /**
     * @brief Constructs a server that does not listen.
     * @param loop Event loop.
     * @param limits Returns the bounds on callers in force.
     * @param max_connections Connections above which new ones are closed.
     * @param handle Receives requests.
     * @param max_body_bytes Bytes of all request bodies together, above which requests are refused with 503.
     */
    http_server(event_loop& loop, std::function<caller_limits()> limits, std::size_t max_connections,
                handler handle, std::size_t max_body_bytes = default_max_body_bytes);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /**
     * @brief Listens.
     * @param address Address.
     * @return The address with the port in use, or why it cannot listen.
     */
    [[nodiscard]] result<socket_address> listen(const socket_address& address);

    /*! @brief Ends each connection with its next answer; idle ones stay open for requests under way. */
    void start_draining() noexcept
    {
        this->draining = true;
    }

    /**
     * @brief Sets who hears of connections that cannot be accepted.
     * @param failed Receives causes.
     */
    void on_accept_error(tcp_listener::error_callback failed)
    {
        this->listener.on_error(std::move(failed));
    }

    /*! @brief Stops to listen; open connections go on. */
    void stop_listening()
    {
        this->listener.close();
    }

    /*! @brief Closes all connections and stops to listen. */
    void close();

    /*! @brief Returns the bytes of request bodies that are held. */
    [[nodiscard]] std::size_t body_bytes() const noexcept
    {
        return this->held_bytes;
    }

    /*! @brief Returns the number of connections. */
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return this->sessions.size();
    }

private:
    friend class http_session;
    void accept(const stream::pointer& connection);

    event_loop& loop;
    std::function<caller_limits()> limits;
    std::size_t max_connections;
    handler handle;
    std::size_t max_body_bytes;
    std::size_t held_bytes{};
    tcp_listener listener;
    std::unordered_set<std::shared_ptr<http_session>> sessions{};
    bool draining{};
};

} // namespace kumquatdrift

#endif
