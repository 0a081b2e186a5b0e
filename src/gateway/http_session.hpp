#ifndef KUMQUATDRIFT_GATEWAY_HTTP_SESSION_HPP
#define KUMQUATDRIFT_GATEWAY_HTTP_SESSION_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <kumquatdrift/core/boot_clock.hpp>

#include "http_server.hpp"

namespace kumquatdrift {

/*! @brief Size in bytes of a body from which on it is sent without being copied behind its head. */
constexpr std::size_t min_separate_body = 16'384;
/*! @brief Number of unread bytes of a connection, beyond a whole head, that are read before its request. */
constexpr std::size_t extra_input_bytes = 4'096;
/*! @brief Number of bytes of a body that are read in one event. */
constexpr std::size_t body_read_bytes = 262'144;
/*! @brief Number of bytes of an answer that the kernel holds beyond those on the way to the caller. Without
 * a limit the kernel's buffer of each connection grows to megabytes. */
constexpr int socket_queue_bytes = 65'536;

/*! @brief Time for which a caller may be slower than the pace that is required while memory is short. */
constexpr microseconds pace_grace{500'000};
/*! @brief Time without a byte of a body after which the body gives way if others find no room. */
constexpr microseconds body_grace{1'000'000};
/*! @brief Number of bytes of a connection from which on it may be dropped because memory is short. */
constexpr std::size_t min_dropped_bytes = 65'536;

/*! @brief Connection of a caller; handles one request at a time, and reads no further one before the caller
 * has taken the previous answer. */
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(http_server& owner, socket_stream::pointer stream)
        : server{owner}, connection{std::move(stream)}, reader{http_reader::kind::request,
                                                               owner.limits().max_header_bytes,
                                                               owner.limits().max_body_bytes},
          body_charge{owner.loop.memory()}
    {
    }

    ~http_session()
    {
        this->leave_waiting();
    }
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    void start()
    {
        this->enter_waiting();
        this->connection->limit_socket_queue(socket_queue_bytes);
        this->limit_input();
        this->connection->on_drained([self = weak_from_this()] {
            if (const auto session = self.lock()) {
                session->on_answer_sent();
            }
        });
        this->connection->start(
            [self = weak_from_this()](std::string& buffer) {
                if (const auto session = self.lock()) {
                    session->on_data(buffer);
                }
            },
            [self = weak_from_this()](bool, const std::string&) {
                if (const auto session = self.lock()) {
                    session->on_closed();
                }
            });
        this->await_request();
    }

    void respond(http_response response, bool close)
    {
        const auto self = shared_from_this();
        this->set_body_bytes(0);
        const auto last = close || this->server.draining || !this->exchange->request.keep_alive;
        const auto is_head = this->exchange->request.method == "HEAD";
        if (is_head || response.body.size() < min_separate_body) {
            this->connection->send(serialize_response(response, last, is_head));
        }
        else {
            // Arguments of one call are evaluated in any order, and the head states the length of the body.
            auto head = serialize_response_head(response, last);
            this->connection->send(std::move(head), std::move(response.body));
        }
        this->exchange->session.reset();
        this->exchange.reset();
        this->enter_waiting();
        if (last) {
            this->end_after_answer();
            return;
        }
        if (this->has_unsent_response()) {
            this->begin_reading();
            return;
        }
        this->await_request();
        this->responded = true;
        if (!this->handling_data) {
            this->connection->deliver();
        }
    }

    void close()
    {
        this->connection->close();
    }

    /*! @brief Returns the bytes that the connection holds. */
    [[nodiscard]] std::size_t held() const noexcept
    {
        return this->connection->held();
    }

    /*! @brief Checks whether a body is incomplete and nothing of it has arrived lately. */
    [[nodiscard]] bool has_stalled_body(timestamp now) const noexcept
    {
        return this->receiving && this->body_bytes > 0 && now - this->active_at > body_grace;
    }

    /*! @brief Rejects a request whose body gives way to others. */
    void reject_stalled_body()
    {
        const auto self = shared_from_this();
        if (this->server.on_dropped) {
            this->server.on_dropped(close_cause::body_unfinished, this->connection->peer_ip(), 0);
        }
        this->reject(408);
    }

    /*! @brief Checks whether the caller reads slower than required, or has sent requests ahead. */
    [[nodiscard]] bool is_slow(timestamp now) const noexcept
    {
        if (!this->has_unsent_response()) {
            return !this->receiving && this->connection->is_input_full();
        }
        const auto waited = now - this->answered_at;
        const auto taken = static_cast<double>(this->connection->written() - this->written_at_answer);
        return waited > pace_grace &&
               taken < this->server.min_pace * std::chrono::duration<double>{waited}.count();
    }

    /*! @brief Checks whether the caller has taken nothing of the answer that waits for it. */
    [[nodiscard]] bool has_taken_nothing() const noexcept
    {
        return this->has_unsent_response() && this->connection->written() == this->written_at_answer;
    }

    /*! @brief Closes the connection of a caller that doesn't behave. */
    void drop(close_cause cause)
    {
        const auto self = shared_from_this();
        if (this->server.on_dropped) {
            this->server.on_dropped(cause, this->connection->peer_ip(), this->connection->unsent());
        }
        this->connection->abort();
        this->on_closed();
    }

    [[nodiscard]] bool has_unsent_response() const noexcept
    {
        return this->connection->unsent() > 0;
    }

private:
    void on_data(std::string& buffer)
    {
        if (this->handling_data) {
            return;
        }
        const auto self = shared_from_this();
        if (!this->exchange) {
            this->enter_waiting();
        }
        this->handling_data = true;
        do {
            this->responded = false;
            this->read_request(buffer);
        } while (this->responded && !buffer.empty());
        this->handling_data = false;
    }

    /*! @brief Closes the connection once the caller has taken what was sent. */
    void end_after_answer()
    {
        this->ending = true;
        if (this->has_unsent_response()) {
            this->begin_reading();
            return;
        }
        this->connection->close();
        this->remove();
    }

    /*! @brief Waits for the caller to take the answer, for as long as it goes on reading. */
    void await_reader()
    {
        this->written_before = this->connection->written();
        this->restart_timer(this->server.stall_timeout);
    }

    /*! @brief Begins to wait for the caller to take an answer. */
    void begin_reading()
    {
        this->answered_at = boot_now();
        this->written_at_answer = this->connection->written();
        this->await_reader();
        this->server.check_memory();
    }

    /*! @brief Waits again if the caller has read since the timer was started; otherwise closes. */
    void check_reader()
    {
        if (this->connection->written() != this->written_before) {
            this->await_reader();
            return;
        }
        this->drop(close_cause::answer_unread);
    }

    void on_answer_sent()
    {
        const auto self = shared_from_this();
        if (this->ending) {
            this->end_after_answer();
            return;
        }
        if (this->exchange) {
            return;
        }
        if (!this->receiving) {
            this->await_request();
        }
        this->connection->deliver();
    }

    /*! @brief Leaves what exceeds a head to the kernel until the request is read. */
    void limit_input()
    {
        this->connection->set_read_limit(this->server.limits().max_header_bytes + extra_input_bytes);
    }

    void read_request(std::string& buffer)
    {
        if (this->exchange || this->has_unsent_response()) {
            return;
        }
        const auto limits = this->server.limits();
        this->reader.set_limits(limits.max_header_bytes, limits.max_body_bytes);
        if (!this->receiving) {
            this->receiving = true;
            this->arrived = boot_now();
            this->restart_timer(limits.header_timeout);
            this->limit_input();
        }
        const auto progress = this->reader.feed(buffer);
        this->set_body_bytes(this->reader.partial().body.size());
        if (this->server.buffered_body_bytes > this->server.max_body_bytes) {
            this->server.reclaim_bodies(boot_now());
        }
        if (this->server.buffered_body_bytes > this->server.max_body_bytes) {
            this->reject(503);
            return;
        }
        if (progress == read_progress::failed) {
            this->reject(this->reader.failure_status());
            return;
        }
        if (progress == read_progress::need_more) {
            this->on_partial();
            return;
        }
        this->server.loop.cancel(std::exchange(this->timer, 0));
        this->receiving = false;
        if (std::exchange(this->head_handled, false)) {
            this->limit_input();
        }
        this->exchange = std::make_shared<http_exchange>();
        this->exchange->request = this->reader.take();
        this->exchange->caller_ip = this->connection->peer_ip();
        this->exchange->arrived = this->arrived;
        this->exchange->session = weak_from_this();
        this->leave_waiting();
        const auto current = this->exchange;
        this->server.handle(current);
    }

    void on_partial()
    {
        if (!this->reader.header_complete() || this->head_handled) {
            return;
        }
        this->head_handled = true;
        this->connection->set_read_limit(body_read_bytes);
        // The idle timeout bounds the time for the whole body; `max_body_bytes` bounds its size.
        this->restart_timer(this->server.limits().idle_timeout);
        if (const auto* expect = find_field(this->reader.partial().fields, "Expect");
            expect != nullptr && equals_ignore_case(*expect, "100-continue")) {
            this->connection->send("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    /*! @brief Sets the body bytes of the current request, which count towards the server's limit. */
    void set_body_bytes(std::size_t bytes) noexcept
    {
        this->server.buffered_body_bytes += bytes - this->body_bytes;
        this->body_bytes = bytes;
        this->body_charge.set(bytes);
    }

    void reject(unsigned status)
    {
        const auto* lines = status == 503 ? "Retry-After: 0.500\r\n" : "";
        this->set_body_bytes(0);
        this->connection->send(serialize_response({status, "", lines, ""}, true, false));
        this->end_after_answer();
    }

    void on_closed()
    {
        const auto self = shared_from_this();
        if (const auto current = std::exchange(this->exchange, nullptr)) {
            current->session.reset();
            if (const auto callback = std::exchange(current->on_disconnect, nullptr)) {
                callback();
            }
        }
        this->remove();
    }

    void await_request()
    {
        this->idle_since = boot_now();
        this->restart_timer(this->server.limits().idle_timeout);
    }

    /*! @brief Goes on waiting for a request if a newer configuration allows longer. */
    [[nodiscard]] bool extend_idle_time()
    {
        const auto left = this->idle_since + this->server.limits().idle_timeout - boot_now();
        if (this->receiving || this->exchange || left <= microseconds{0}) {
            return false;
        }
        this->restart_timer(left);
        return true;
    }

    void restart_timer(microseconds timeout)
    {
        this->server.loop.cancel(std::exchange(this->timer, 0));
        this->timer = this->server.loop.call_at(boot_now() + timeout, [self = weak_from_this()] {
            if (const auto session = self.lock()) {
                session->timer = 0;
                if (session->has_unsent_response()) {
                    session->check_reader();
                    return;
                }
                if (session->receiving && !session->reader.header_complete()) {
                    session->reject(408);
                    return;
                }
                if (session->extend_idle_time()) {
                    return;
                }
                session->connection->close();
                session->remove();
            }
        });
    }

    /*! @brief Makes this the last session to give way. */
    void enter_waiting()
    {
        this->leave_waiting();
        this->active_at = boot_now();
        this->position = this->server.waiting.insert(this->server.waiting.end(), this);
    }

    void leave_waiting() noexcept
    {
        if (this->position) {
            this->server.waiting.erase(*this->position);
            this->position.reset();
        }
    }

    void remove()
    {
        this->leave_waiting();
        this->set_body_bytes(0);
        this->server.loop.cancel(std::exchange(this->timer, 0));
        this->server.sessions.erase(shared_from_this());
    }

    http_server& server;
    socket_stream::pointer connection;
    http_reader reader;
    http_exchange_ptr exchange{};
    timestamp arrived{};
    timestamp idle_since{};
    /*! @brief Time at which bytes last arrived, or an answer was sent. */
    timestamp active_at{};
    /*! @brief Bytes that the socket had accepted when the wait for the reader began. */
    std::uint64_t written_before{};
    /*! @brief Place in the list of waiting sessions; nothing while a request is being handled. */
    std::optional<std::list<http_session*>::iterator> position{};
    event_loop::timer_id timer{};
    std::size_t body_bytes{};
    byte_charge body_charge;
    /*! @brief Time at which the answer was handed to the connection. */
    timestamp answered_at{};
    /*! @brief Bytes that the socket had accepted at that time. */
    std::uint64_t written_at_answer{};
    bool receiving{};
    bool head_handled{};
    /*! @brief True once the last answer has been sent, after which the connection closes. */
    bool ending{};
    /*! @brief True while received bytes are handled. A response that is sent meanwhile lets this go on with
     * the next request, instead of doing so in turn. */
    bool handling_data{};
    /*! @brief True once a response has been sent after which the connection stays open. */
    bool responded{};
};

} // namespace kumquatdrift

#endif
