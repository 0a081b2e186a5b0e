#ifndef KUMQUATDRIFT_GATEWAY_HTTP_SERVER_HPP
#define KUMQUATDRIFT_GATEWAY_HTTP_SERVER_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/http/message.hpp>
#include <kumquatdrift/mesh/config.hpp>

#include "tcp_listener.hpp"

namespace kumquatdrift {

class http_server;
class http_session;

/*! @brief Cause for which the connection of a caller is closed that doesn't behave. */
enum class close_cause : std::uint8_t {
    /*! @brief The caller took no byte of an answer for too long. */
    answer_unread,
    /*! @brief Memory is short, and the caller reads its answer slowly or has sent requests ahead. */
    memory,
    /*! @brief The limit of connections is reached, and this one has waited longest without a request. */
    connections,
    /*! @brief The room for bodies is used up, and the rest of this one hasn't arrived for too long. */
    body_unfinished,
};

/*! @brief Names of the causes in logs and metrics. */
template<>
struct enum_names<close_cause> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<close_cause, std::string_view>, 4> table{{
        {close_cause::answer_unread, "answer_unread"},
        {close_cause::memory, "memory"},
        {close_cause::connections, "connections"},
        {close_cause::body_unfinished, "body_unfinished"},
    }};
};

/**
 * @brief A received request whose response is pending. The handler keeps a reference until it responds.
 */
class http_exchange {
public:
    /*! @brief Received request. */
    http_message request{};
    /*! @brief IP address of the caller. */
    std::string caller_ip{};
    /*! @brief Time at which the first byte arrived. */
    timestamp arrived{};
    /*! @brief Called once if the caller disconnects before the response. */
    std::function<void()> on_disconnect{};

    /**
     * @brief Sends the response. Later calls have no effect.
     * @param response Response.
     * @param close True to close the connection after the response.
     */
    void respond(http_response response, bool close = false);

    /*! @brief Checks whether the response has been sent or the connection has ended. */
    [[nodiscard]] bool is_finished() const noexcept
    {
        return this->session.expired();
    }

private:
    friend class http_session;
    std::weak_ptr<http_session> session{};
};

/*! @brief Shared pointer to an exchange. */
using http_exchange_ptr = std::shared_ptr<http_exchange>;

/*! @brief HTTP/1.1 server on the event loop. */
class http_server {
public:
    /*! @brief Receives each request once it is complete. */
    using handler = std::function<void(const http_exchange_ptr&)>;
    /*! @brief Receives the cause, the address of the caller and the bytes of its answer that it hasn't taken,
     *         for each connection that is closed because its caller doesn't behave. */
    using dropped_callback = std::function<void(close_cause, const std::string&, std::size_t)>;

    /*! @brief Default pace in bytes per second below which a caller has to give way while memory is short. */
    static constexpr double default_min_pace = 65'536.0;
    /*! @brief Default time for which a caller may take no byte of an answer that waits for it. */
    static constexpr microseconds default_stall_timeout{10'000'000};

    /*! @brief Default limit on the bytes of all request bodies together, for servers with small requests. */
    static constexpr std::size_t default_max_body_bytes = 4'194'304;

    /**
     * @brief Constructs a server that does not listen yet.
     * @param loop Event loop.
     * @param limits Returns the limits on callers that are in force.
     * @param max_connections Maximum number of connections. A further one replaces the one that has waited
     * longest without a request that is being handled, or is closed if there is none.
     * @param handle Receives requests.
     * @param max_body_bytes Limit on the bytes of all request bodies together; requests that exceed it are
     * rejected with status 503.
     */
    http_server(event_loop& loop, std::function<caller_limits()> limits, std::size_t max_connections,
                handler handle, std::size_t max_body_bytes = default_max_body_bytes);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /**
     * @brief Starts listening.
     * @param address Address; port 0 selects a free port.
     * @return The address with the port in use, or the error.
     */
    [[nodiscard]] result<socket_address> listen(const socket_address& address);

    /*! @brief Closes each connection after its next response; idle ones stay open for requests under way. */
    void start_draining() noexcept
    {
        this->draining = true;
    }

    /**
     * @brief Sets the callback for connections that cannot be accepted.
     * @param callback Receives the cause.
     */
    void on_accept_error(tcp_listener::error_callback callback)
    {
        this->listener.on_error(std::move(callback));
    }

    /**
     * @brief Sets the callback for connections that are closed because their callers don't behave.
     * @param callback Callback.
     */
    void on_drop(dropped_callback callback)
    {
        this->on_dropped = std::move(callback);
    }

    /**
     * @brief Sets the time for which a caller may take no byte of an answer that waits for it.
     * @param timeout Time.
     */
    void set_stall_timeout(microseconds timeout) noexcept
    {
        this->stall_timeout = timeout;
    }

    /**
     * @brief Sets the pace below which a caller that reads its answer has to give way while memory is short.
     * @param bytes_per_s Pace in bytes per second.
     */
    void set_min_pace(double bytes_per_s) noexcept
    {
        this->min_pace = bytes_per_s;
    }

    /**
     * @brief While memory is short, drops callers that read slowly or have sent requests ahead, those that
     *        hold most first. While the limit is exceeded, drops others that hold answers too, those that
     * have taken nothing first. A caller that alone holds a long answer stays.
     * @param now Current time.
     */
    void relieve_memory(timestamp now);

    /*! @brief Stops listening; open connections continue. */
    void stop_listening()
    {
        this->listener.close();
    }

    /*! @brief Stops listening and closes all connections. */
    void close();

    /*! @brief Returns the bytes of all request bodies, counted from their arrival until the response. */
    [[nodiscard]] std::size_t body_bytes() const noexcept
    {
        return this->buffered_body_bytes;
    }

    /*! @brief Returns true while a response has not been passed to the network completely, because its caller
     *         reads slowly. */
    [[nodiscard]] bool has_unsent_responses() const;

    /*! @brief Returns the number of open connections. */
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return this->sessions.size();
    }

private:
    friend class http_session;
    void accept(const socket_stream::pointer& connection);
    [[nodiscard]] bool make_room();
    void reclaim_bodies(timestamp now);
    void check_memory();

    event_loop& loop;
    std::function<caller_limits()> limits;
    std::size_t max_connections;
    handler handle;
    std::size_t max_body_bytes;
    std::size_t buffered_body_bytes{};
    tcp_listener listener;
    std::unordered_set<std::shared_ptr<http_session>> sessions{};
    /*! @brief Sessions without a request that is being handled; the one that was active last is the last. */
    std::list<http_session*> waiting{};
    dropped_callback on_dropped{};
    microseconds stall_timeout{default_stall_timeout};
    double min_pace{default_min_pace};
    bool relief_scheduled{};
    bool draining{};
};

} // namespace kumquatdrift

#endif
