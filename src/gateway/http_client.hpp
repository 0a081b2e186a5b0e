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

#include "stream.hpp"

namespace kumquatdrift {

/*! @brief How a call ended. */
enum class call_end : std::uint8_t {
    /*! @brief A whole answer arrived. */
    answered,
    /*! @brief No byte was sent: there was no connection. */
    not_sent,
    /*! @brief The connection ended before a whole answer. */
    lost,
    /*! @brief What arrived is not an answer. */
    malformed,
    /*! @brief The time was over. */
    timed_out,
};

/*! @brief Names of the ends, as logged. */
template<>
struct enum_names<call_end> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<call_end, std::string_view>, 5> table{{
        {call_end::answered, "answered"},
        {call_end::not_sent, "not_sent"},
        {call_end::lost, "lost"},
        {call_end::malformed, "malformed"},
        {call_end::timed_out, "timed_out"},
    }};
};

/*! @brief Result of a call. */
struct call_result {
    /*! @brief How it ended. */
    call_end end{call_end::not_sent};
    /*! @brief The answer, if there is one. */
    http_message answer{};
    /*! @brief Cause, for the log. */
    std::string cause{};
};

/*! @brief What to send, and how long to wait. */
struct call_order {
    /*! @brief Bytes of the request. */
    std::string bytes{};
    /*! @brief True for HEAD. */
    bool no_body{};
    /*! @brief Time after which the call has failed. */
    timestamp deadline{};
    /*! @brief Longest age of an idle connection that is used again. */
    microseconds max_idle{};
    /*! @brief Field that carries the id of the request in its answer; empty to take any answer. */
    std::string id_field{};
    /*! @brief Id of the request. An answer with another id belongs to an earlier request and is dropped. */
    std::string id{};
};

/*! @brief Bounds of a client. */
struct client_settings {
    /*! @brief Time after which an attempt to connect has failed. */
    microseconds connect_timeout{};
    /*! @brief Idle connections that are kept. */
    std::size_t max_idle{};
    /*! @brief Largest head of an answer in bytes. */
    std::size_t max_header{65'536};
    /*! @brief Largest body of an answer in bytes. */
    std::size_t max_body{};
};

/*! @brief HTTP/1.1 client of one address, with kept connections. One request at a time on each. */
class http_client {
public:
    /*! @brief Receives the result. Never called from within `call` or after `cancel`. */
    using callback = std::function<void(call_result)>;

    /**
     * @brief Constructs a client without connections.
     * @param loop Event loop.
     * @param settings Bounds.
     */
    http_client(event_loop& owner, const client_settings& bounds) noexcept : loop{owner}, settings{bounds} {}
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /**
     * @brief Changes the address. Idle connections are dropped if it is another one.
     * @param to Address.
     */
    void set_address(const socket_address& to);

    /*! @brief Returns the address. */
    [[nodiscard]] const socket_address& address() const noexcept
    {
        return this->peer;
    }

    /**
     * @brief Sends a request.
     * @param order What to send.
     * @param done Receives the result.
     * @return Id to cancel the call with.
     */
    std::uint64_t call(call_order order, callback done);

    /**
     * @brief Gives up a call and closes its connection.
     * @param id Id of the call.
     */
    void cancel(std::uint64_t id);

    /*! @brief Closes all idle connections, and those in use once they are idle. */
    void drop_idle();

    /*! @brief Returns the number of connections opened so far. */
    [[nodiscard]] std::uint64_t opened() const noexcept
    {
        return this->opened_connections;
    }

private:
    struct active_call {
        call_order order{};
        callback done{};
        stream::pointer connection{};
        http_reader reader;
        event_loop::timer_id timer{};
        bool sent{};
        bool surplus{};
        std::uint64_t generation{};
    };
    struct idle_connection {
        stream::pointer connection{};
        timestamp since{};
        microseconds keep{};
    };

    void send(std::uint64_t id);
    void open(std::uint64_t id);
    void on_data(std::uint64_t id, std::string& buffer);
    void on_answer(std::uint64_t id, std::string& buffer);
    void on_closed(std::uint64_t id, bool orderly, const std::string& cause);
    void finish(std::uint64_t id, call_end end, http_message answer, std::string cause, bool keep);
    void keep(const stream::pointer& connection, const http_message& answer);
    [[nodiscard]] stream::pointer take_idle(microseconds max_idle);

    event_loop& loop;
    client_settings settings;
    socket_address peer{};
    std::unordered_map<std::uint64_t, active_call> calls{};
    std::list<idle_connection> idle{};
    std::uint64_t last_id{};
    std::uint64_t opened_connections{};
    /*! @brief Grows when connections opened so far become useless, those in use included. */
    std::uint64_t generation{};
    std::shared_ptr<int> alive{std::make_shared<int>()};
};

} // namespace kumquatdrift

#endif
