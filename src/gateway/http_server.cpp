#include "http_server.hpp"

#include <utility>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {

/*! @brief One connection of a caller. */
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(http_server& owner, stream::pointer stream, const caller_limits& bounds)
        : server{owner}, connection{std::move(stream)}, limits{bounds}, reader{http_reader::kind::request,
                                                                               bounds.max_header_bytes,
                                                                               bounds.max_body_bytes}
    {
    }

    void start()
    {
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
        this->expect_within(this->limits.idle_timeout);
    }

    void respond(const http_answer& answer, bool close)
    {
        const auto self = shared_from_this();
        this->hold(0);
        const auto last = close || this->server.draining || !this->exchange->request.keep_alive;
        this->connection->send(write_answer(answer, last, this->exchange->request.method == "HEAD"));
        this->exchange->session.reset();
        this->exchange.reset();
        if (last) {
            this->connection->close_when_sent();
            this->leave();
            return;
        }
        this->expect_within(this->limits.idle_timeout);
        this->connection->deliver();
    }

    void close()
    {
        this->connection->close();
    }

private:
    void on_data(std::string& buffer)
    {
        if (this->exchange) {
            return;
        }
        if (!this->receiving) {
            this->receiving = true;
            this->arrived = boot_now();
            this->expect_within(this->limits.header_timeout);
        }
        const auto progress = this->reader.feed(buffer);
        this->hold(this->reader.partial().body.size());
        if (this->server.held_bytes > this->server.max_body_bytes) {
            this->refuse(503);
            return;
        }
        if (progress == read_progress::failed) {
            this->refuse(this->reader.failure_status());
            return;
        }
        if (progress == read_progress::need_more) {
            this->on_partial();
            return;
        }
        this->server.loop.cancel(std::exchange(this->timer, 0));
        this->receiving = false;
        this->continued = false;
        this->exchange = std::make_shared<http_exchange>();
        this->exchange->request = this->reader.take();
        this->exchange->caller_ip = this->connection->peer_ip();
        this->exchange->arrived = this->arrived;
        this->exchange->session = weak_from_this();
        const auto current = this->exchange;
        this->server.handle(current);
    }

    void on_partial()
    {
        if (!this->reader.head_done() || this->continued) {
            return;
        }
        this->continued = true;
        // A body may take as long as an idle connection; its progress is bounded by the size limit.
        this->expect_within(this->limits.idle_timeout);
        if (const auto* expect = find_field(this->reader.partial().fields, "Expect");
            expect != nullptr && same_name(*expect, "100-continue")) {
            this->connection->send("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    /*! @brief Counts the bytes of the present request, which stay until its answer. */
    void hold(std::size_t bytes) noexcept
    {
        this->server.held_bytes += bytes - this->held;
        this->held = bytes;
    }

    void refuse(unsigned status)
    {
        const auto* lines = status == 503 ? "Retry-After: 0.500\r\n" : "";
        this->connection->send(write_answer({status, "", lines, ""}, true, false));
        this->connection->close_when_sent();
        this->leave();
    }

    void on_closed()
    {
        const auto self = shared_from_this();
        if (const auto current = std::exchange(this->exchange, nullptr)) {
            current->session.reset();
            if (const auto gone = std::exchange(current->on_disconnect, nullptr)) {
                gone();
            }
        }
        this->leave();
    }

    void expect_within(microseconds time)
    {
        this->server.loop.cancel(std::exchange(this->timer, 0));
        this->timer = this->server.loop.at(boot_now() + time, [self = weak_from_this()] {
            if (const auto session = self.lock()) {
                session->timer = 0;
                if (session->receiving && !session->reader.head_done()) {
                    session->refuse(408);
                    return;
                }
                session->connection->close();
                session->leave();
            }
        });
    }

    void leave()
    {
        this->hold(0);
        this->server.loop.cancel(std::exchange(this->timer, 0));
        this->server.sessions.erase(shared_from_this());
    }

    http_server& server;
    stream::pointer connection;
    caller_limits limits;
    http_reader reader;
    http_exchange_ptr exchange{};
    timestamp arrived{};
    event_loop::timer_id timer{};
    std::size_t held{};
    bool receiving{};
    bool continued{};
};

void http_exchange::respond(const http_answer& answer, bool close)
{
    this->on_disconnect = {};
    if (const auto live = this->session.lock()) {
        live->respond(answer, close);
    }
}

http_server::http_server(event_loop& owner, std::function<caller_limits()> bounds,
                         std::size_t connection_limit, handler function, std::size_t body_limit)
    : loop{owner}, limits{std::move(bounds)}, max_connections{connection_limit}, handle{std::move(function)},
      max_body_bytes{body_limit}, listener{owner, [this](const stream::pointer& one) { this->accept(one); }}
{
}

http_server::~http_server()
{
    this->close();
}

result<socket_address> http_server::listen(const socket_address& address)
{
    return this->listener.listen(address);
}

void http_server::accept(const stream::pointer& connection)
{
    if (this->sessions.size() >= this->max_connections) {
        connection->close();
        return;
    }
    auto session = std::make_shared<http_session>(*this, connection, this->limits());
    this->sessions.insert(session);
    session->start();
}

void http_server::close()
{
    this->listener.close();
    for (const auto& session : this->sessions) {
        session->close();
    }
    this->sessions.clear();
}

} // namespace kumquatdrift
