#ifndef KUMQUATDRIFT_GATEWAY_HTTP_CLIENT_HPP
#define KUMQUATDRIFT_GATEWAY_HTTP_CLIENT_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/http/message.hpp>

#include "socket_stream.hpp"

namespace kumquatdrift {

/*! @brief Outcome of a call. */
enum class call_outcome : std::uint8_t {
    /*! @brief A complete response arrived. */
    answered,
    /*! @brief No byte was sent because no connection was established. */
    not_sent,
    /*! @brief The connection ended before a complete response arrived. */
    lost,
    /*! @brief The bytes received are not a valid response. */
    malformed,
    /*! @brief The request was sent, but no complete response arrived before the deadline. */
    timed_out,
};

/*! @brief Outcome names in the log. */
template<>
struct enum_names<call_outcome> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<call_outcome, std::string_view>, 5> table{{
        {call_outcome::answered, "answered"},
        {call_outcome::not_sent, "not_sent"},
        {call_outcome::lost, "lost"},
        {call_outcome::malformed, "malformed"},
        {call_outcome::timed_out, "timed_out"},
    }};
};

/*! @brief Result of a call. */
struct call_result {
    /*! @brief Outcome of the call. */
    call_outcome outcome{call_outcome::not_sent};
    /*! @brief The response; valid only for `call_outcome::answered`. */
    http_message response{};
    /*! @brief True if the response is certain to be the answer to this call: it echoes the id, or is the
     * first one on a connection on which nothing else was ever sent. */
    bool is_certain{};
    /*! @brief Cause of a failure, for the log; empty if a response arrived. */
    std::string cause{};
};

/*! @brief A serialized request and the parameters of its call. */
struct call_request {
    /*! @brief Serialized request. */
    std::string bytes{};
    /*! @brief True if the response has no body, as for HEAD. */
    bool no_body{};
    /*! @brief Time at which the call fails if no response has arrived. */
    timestamp deadline{};
    /*! @brief Maximum idle time of a connection that is reused for the call. */
    microseconds max_idle{};
    /*! @brief True to open a connection for the call even if one is idle. */
    bool needs_new_connection{};
    /*! @brief Header field of the response that echoes the request id; empty to accept any response. */
    std::string id_field{};
    /*! @brief Request id. A response with another id belongs to an earlier request and is discarded. */
    std::string id{};
};

/*! @brief Limits of a client. */
struct client_settings {
    /*! @brief Timeout of an attempt to connect. */
    microseconds connect_timeout{};
    /*! @brief Maximum number of idle connections. */
    std::size_t max_idle{};
    /*! @brief Maximum size of a response head in bytes. */
    std::size_t max_header{65'536};
    /*! @brief Maximum size of a response body in bytes. */
    std::size_t max_body{};
    /*! @brief Maximum size of the bodies of all incomplete responses together in bytes; 0 for no limit. */
    std::size_t max_buffered{};
    /*! @brief True if, while memory is short, long responses are read one after the other. */
    bool yields_memory{};
};

/*! @brief HTTP/1.1 client for one address. It reuses connections, but doesn't pipeline requests on them. */
class http_client {
public:
    /*! @brief Receives the result. Never called from within `call`; called after `cancel` only if the call
     * had already ended. */
    using callback = std::function<void(call_result)>;

    /**
     * @brief Constructs a client without connections.
     * @param owner Event loop.
     * @param limits Limits.
     */
    http_client(event_loop& owner, const client_settings& limits) noexcept
        : loop{owner}, settings{limits}, charge{owner.memory()}
    {
    }
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /**
     * @brief Sets the address. If it changes, existing connections aren't reused.
     * @param address Address.
     */
    void set_address(const socket_address& address);

    /*! @brief Returns the address. */
    [[nodiscard]] const socket_address& address() const noexcept
    {
        return this->peer_address;
    }

    /**
     * @brief Sends a request.
     * @param request Request and the parameters of its call.
     * @param done Receives the result.
     * @return Id for `cancel`.
     */
    std::uint64_t call(call_request request, callback done);

    /**
     * @brief Cancels a call and resets its connection.
     * @param id Id returned by `call`; an unknown id is ignored.
     */
    void cancel(std::uint64_t id);

    /*! @brief Closes idle connections now, and connections in use when their calls end. */
    void close_idle();

    /*! @brief Pauses or resumes the reading of long responses, as the memory that is held requires. */
    void limit_reading();

    /*! @brief Returns the number of connections opened so far. */
    [[nodiscard]] std::uint64_t opened() const noexcept
    {
        return this->connections_opened;
    }

private:
    /*! @brief A call without a result. */
    struct active_call {
        call_request request{};
        callback done{};
        socket_stream::pointer connection{};
        http_reader reader;
        event_loop::timer_id timer{};
        bool sent{};
        /*! @brief True if nothing else was ever sent on the connection. */
        bool connection_is_new{};
        /*! @brief True once a response to an earlier request arrived, so the connection isn't reused. */
        bool discarded_response{};
        /*! @brief Number of interim responses and of responses to other requests. */
        std::uint32_t skipped_responses{};
        /*! @brief Bytes of the incomplete body that count towards `max_buffered`. */
        std::size_t buffered{};
        /*! @brief Generation of the client when the call began. */
        std::uint64_t generation{};
    };
    /*! @brief What the id fields of a response say: there is none, all have the id of the call, all have
     * other ids, or some of each. */
    enum class echoed_id : std::uint8_t { none, own, other, contradictory };
    struct idle_connection {
        socket_stream::pointer connection{};
        timestamp since{};
        /*! @brief Idle time after which the connection isn't reused any more. */
        microseconds max_idle{};
    };

    void send(std::uint64_t id);
    void open(std::uint64_t id);
    void on_data(std::uint64_t id, std::string& buffer);
    void set_buffered(active_call& call, std::size_t bytes) noexcept;
    void on_response(std::uint64_t id, std::string& buffer);
    void on_closed(std::uint64_t id, bool orderly, const std::string& cause);
    [[nodiscard]] static echoed_id find_echoed_id(const active_call& call, const http_message& response);
    [[nodiscard]] static bool is_certain(const active_call& call, echoed_id echoed) noexcept;
    void finish(std::uint64_t id, call_outcome outcome, http_message response, std::string cause,
                bool reusable, bool is_certain = false);
    void retain(const socket_stream::pointer& connection, const http_message& response);
    [[nodiscard]] socket_stream::pointer take_idle(microseconds max_idle);

    event_loop& loop;
    client_settings settings;
    socket_address peer_address{};
    std::unordered_map<std::uint64_t, active_call> calls{};
    std::list<idle_connection> idle{};
    std::uint64_t last_id{};
    std::size_t total_buffered{};
    byte_charge charge;
    /*! @brief True if the reading of some response is paused. */
    bool has_paused{};
    std::uint64_t connections_opened{};
    /*! @brief Incremented by `close_idle`. Connections of calls from an earlier generation aren't reused. */
    std::uint64_t generation{};
    /*! @brief Expires with the client, so that deferred callbacks are skipped. */
    std::shared_ptr<int> lifetime{std::make_shared<int>()};
};

} // namespace kumquatdrift

#endif
