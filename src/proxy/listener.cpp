#include "proxy/listener.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include "proxy/idle_connection_poller.hpp"
#include "proxy/observe.hpp"

namespace kumquatdrift::internal {

namespace {

// A connection without a request for this time is moved to the idle poller. Resuming it costs three thread
// switches, so that a busy connection should keep its thread. Once more than a quarter of the threads
// are busy, connections are moved at once.
constexpr milliseconds idle_poll_delay{200};
constexpr std::uint32_t busy_thread_divisor = 4;
constexpr int accept_backlog = 1'024;
constexpr long dispatcher_idle_timeout_us = 250'000;
// A stack takes memory only for the pages in use, and deep call chains are rare on these threads.
constexpr int thread_stack_bytes = 256 * 1024;
constexpr std::size_t extra_input_bytes = 4 * 1024;

// An unread body up to this size is discarded to keep the connection open; reading a longer one costs more
// than a new connection.
constexpr std::size_t max_discarded_bytes = 256 * 1024;
constexpr milliseconds discard_timeout{200};
constexpr milliseconds linger_timeout{1'000};
constexpr milliseconds retry_after_overload{1'000};
// Bytes of a response that the kernel holds beyond those on the way to the client.
constexpr int send_queue_bytes = 64 * 1024;

using discard_buffer = std::array<char, 16 * 1024>;

} // namespace

/*! @brief Open connections of a listener, and the state that their threads share. */
class connection_registry {
public:
    connection_registry(listener_limits listener_settings, listener::handler handler,
                        rejection_observer observer, closure_observer closures)
        : limits{std::move(listener_settings)}, on_request{std::move(handler)},
          on_rejected{std::move(observer)}, on_closed{std::move(closures)}
    {
    }

    // Adds a connection in any case. Returns false if it exceeds the limit.
    [[nodiscard]] bool add(tcp_connection& io)
    {
        const std::lock_guard lock{this->mutex};
        this->open.emplace(&io, true);
        if (this->stopping) {
            io.shutdown();
        }
        return this->open.size() <= this->limits.max_connections;
    }

    void remove(tcp_connection& io)
    {
        const std::lock_guard lock{this->mutex};
        this->open.erase(&io);
        this->connection_removed.notify_all();
    }

    void set_busy(tcp_connection& io)
    {
        const std::lock_guard lock{this->mutex};
        this->open[&io] = false;
    }

    // Returns false if the listener stops and the connection has to be closed.
    [[nodiscard]] bool set_idle(tcp_connection& io)
    {
        const std::lock_guard lock{this->mutex};
        this->open[&io] = true;
        return !this->stopping;
    }

    void stop()
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
        for (const auto& [io, is_idle] : this->open) {
            if (is_idle) {
                io->shutdown();
            }
        }
    }

    void shut_down_all()
    {
        const std::lock_guard lock{this->mutex};
        for (const auto& [io, is_idle] : this->open) {
            io->shutdown();
        }
    }

    // Shuts down those busy connections whose requests have waited longest for their clients, at most
    // `count`. Returns their number.
    std::size_t shut_down_waiting(std::size_t count)
    {
        const std::lock_guard lock{this->mutex};
        std::vector<std::pair<microseconds, tcp_connection*>> waiting;
        for (const auto& [io, is_idle] : this->open) {
            if (const auto waited = io->waited(); !is_idle && waited >= this->limits.client_wait) {
                waiting.emplace_back(waited, io);
            }
        }
        std::sort(waiting.begin(), waiting.end(), std::greater<>{});
        waiting.resize(std::min(waiting.size(), count));
        for (const auto& [waited, io] : waiting) {
            io->shutdown();
        }
        return waiting.size();
    }

    // Makes room for a connection beyond the limit. Returns false if no other one is idle.
    [[nodiscard]] bool replace_oldest()
    {
        if (!this->idle_poller->close_oldest()) {
            return false;
        }
        this->observe_closure(client_closure::connections, 1);
        return true;
    }

    void observe_closure(client_closure cause, std::size_t count) const
    {
        if (this->on_closed && count > 0) {
            this->on_closed(cause, count);
        }
    }

    [[nodiscard]] bool wait_until_empty(milliseconds timeout)
    {
        std::unique_lock lock{this->mutex};
        return this->connection_removed.wait_for(lock, timeout, [this] { return this->open.empty(); });
    }

    // Stores a connection until the handler that the factory creates for its socket takes it.
    void add_resumed(std::unique_ptr<tcp_connection> io)
    {
        const std::lock_guard lock{this->mutex};
        const auto descriptor = io->handle();
        this->resumed[descriptor] = std::move(io);
    }

    [[nodiscard]] std::unique_ptr<tcp_connection> take_resumed(int descriptor)
    {
        const std::lock_guard lock{this->mutex};
        const auto found = this->resumed.extract(descriptor);
        return found ? std::move(found.mapped()) : nullptr;
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock{this->mutex};
        return this->open.size();
    }

    const listener_limits limits;
    const listener::handler on_request;
    const rejection_observer on_rejected;
    const closure_observer on_closed;
    std::unique_ptr<idle_connection_poller> idle_poller{};
    std::atomic<std::uint32_t> busy_threads{};

    // Time that a thread waits for the next request before it moves the connection to the idle poller.
    [[nodiscard]] milliseconds next_request_wait() const noexcept
    {
        return this->busy_threads <= this->limits.max_threads / busy_thread_divisor ? idle_poll_delay
                                                                                    : milliseconds{0};
    }

private:
    mutable std::mutex mutex{};
    std::condition_variable connection_removed{};
    // The value is true while the connection is idle.
    std::map<tcp_connection*, bool> open{};
    std::map<int, std::unique_ptr<tcp_connection>> resumed{};
    bool stopping{};
};

namespace {

error_response rejection_of(read_status status)
{
    switch (status) {
    case read_status::header_too_large:
        return {431, verdict::not_run, {}, "The request head is too large.", {}};
    case read_status::timed_out:
        return {408, verdict::not_run, {}, "The request head did not arrive in time.", {}};
    default:
        return {400, verdict::not_run, {}, "The request is not valid HTTP.", {}};
    }
}

// Stops sending, then reads what the client still sends. Closing with unread input would reset the
// connection, and the client could lose the response.
void lingering_close(tcp_connection& io)
{
    io.shutdown_send();
    const auto until = steady_now() + linger_timeout;
    while (io.receive(until) == io_status::ok) {
        io.consume(io.input().size());
    }
}

// Returns true if the request was read to its end.
bool discard_unread_body(exchange& current)
{
    auto& request = current.request();
    if (request.is_done()) {
        return true;
    }
    discard_buffer block{};
    std::size_t discarded{};
    const auto until = steady_now() + discard_timeout;
    while (!request.is_done() && !current.awaits_continue() && discarded < max_discarded_bytes) {
        const auto read = request.read_body(block.data(), block.size(), until);
        if (read.status != read_status::ok) {
            break;
        }
        discarded += read.bytes;
    }
    return request.is_done();
}

class connection_handler : public Poco::Net::TCPServerConnection {
public:
    connection_handler(const Poco::Net::StreamSocket& accepted, std::shared_ptr<connection_registry> shared)
        : TCPServerConnection{accepted}, registry{std::move(shared)},
          connection{this->registry->take_resumed(accepted.impl()->sockfd())}, is_new{!this->connection}
    {
        if (this->is_new) {
            const auto input_bytes = this->registry->limits.max_header_bytes + extra_input_bytes;
            this->connection = std::make_unique<tcp_connection>(accepted, input_bytes);
            this->connection->limit_send_queue(send_queue_bytes);
        }
    }

    void run() override
    {
        const in_flight_guard busy{this->registry->busy_threads};
        auto& io = *this->connection;
        const auto& limits = this->registry->limits;
        const auto is_admitted = !this->is_new || this->registry->add(io) || this->registry->replace_oldest();
        // A new connection has only the header timeout to send its first request, so that silent connections
        // do not use up the limit.
        auto idle_deadline = steady_now() + (this->is_new ? limits.header_timeout : limits.idle_timeout);
        while (true) {
            // Receiving here saves one poll per request, since the head is then parsed from the buffer.
            const auto status = io.input().empty()
                                    ? io.receive(steady_now() + this->registry->next_request_wait())
                                    : io_status::ok;
            if (status == io_status::timed_out && is_admitted) {
                io.release_buffer();
                this->registry->idle_poller->add(std::move(this->connection), idle_deadline);
                return;
            }
            io.reset_waited();
            this->registry->set_busy(io);
            if (status != io_status::ok || !this->serve_request(is_admitted) ||
                !this->registry->set_idle(io)) {
                break;
            }
            idle_deadline = steady_now() + limits.idle_timeout;
        }
        this->registry->remove(io);
    }

private:
    [[nodiscard]] bool serve_request(bool is_admitted)
    {
        const auto& limits = this->registry->limits;
        auto& io = *this->connection;
        request_reader reader{io, limits.max_header_bytes};
        const auto status = reader.read_head(steady_now() + limits.header_timeout);
        if (status == read_status::closed || status == read_status::truncated) {
            return false;
        }
        exchange current{io, reader, limits};
        if (status != read_status::ok || !is_valid_request(reader.head())) {
            this->reject(current, rejection_of(status));
            return false;
        }
        if (!is_admitted) {
            this->reject(current, {503, verdict::not_run, retry_after_overload, "Too many connections.", {}});
            return false;
        }
        this->registry->on_request(current);
        return this->finish_exchange(current);
    }

    void reject(exchange& current, const error_response& rejection)
    {
        current.close_after_response();
        current.send_error(rejection);
        if (this->registry->on_rejected) {
            this->registry->on_rejected(rejection.status);
        }
        lingering_close(*this->connection);
    }

    [[nodiscard]] bool finish_exchange(exchange& current)
    {
        if (!current.is_finished()) {
            // The client must not take an unfinished response for a complete one.
            current.abort_response();
            return false;
        }
        const auto is_read = discard_unread_body(current);
        if (is_read && current.keeps_alive()) {
            return true;
        }
        if (!is_read) {
            lingering_close(*this->connection);
        }
        return false;
    }

    std::shared_ptr<connection_registry> registry;
    std::unique_ptr<tcp_connection> connection;
    bool is_new;
};

class connection_factory : public Poco::Net::TCPServerConnectionFactory {
public:
    explicit connection_factory(std::shared_ptr<connection_registry> shared) : registry{std::move(shared)} {}

    // Overrides a function of POCO. NOLINTNEXTLINE(readability-identifier-naming)
    Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override
    {
        return new connection_handler{socket, this->registry};
    }

private:
    std::shared_ptr<connection_registry> registry;
};

} // namespace

listener::listener(const listener_limits& limits, handler on_request, rejection_observer on_rejected,
                   closure_observer on_closed)
    : registry{std::make_shared<connection_registry>(limits, std::move(on_request), std::move(on_rejected),
                                                     std::move(on_closed))}
{
    this->listen(limits);
    // The registry owns the poller, whose thread runs the callbacks. They hold a plain pointer, because that
    // thread must not own the registry.
    auto* const shared = this->registry.get();
    shared->idle_poller = std::make_unique<idle_connection_poller>(
        [this, shared](std::unique_ptr<tcp_connection> ready) {
            const auto stream = ready->stream();
            shared->add_resumed(std::move(ready));
            this->resumed_dispatcher->enqueue(stream);
        },
        [shared](std::unique_ptr<tcp_connection> expired) { shared->remove(*expired); },
        [this] { this->close_waiting_clients(); });
    this->server->start();
}

void listener::close_waiting_clients()
{
    const auto max_threads = static_cast<int>(this->registry->limits.max_threads);
    if (this->registry->busy_threads < this->registry->limits.max_threads) {
        return; // Threads that are idle take what is queued.
    }
    auto queued = 0;
    if (this->server->currentThreads() >= max_threads) {
        queued += this->server->queuedConnections();
    }
    if (this->resumed_dispatcher->currentThreads() >= max_threads) {
        queued += this->resumed_dispatcher->queuedConnections();
    }
    if (queued > 0) {
        const auto closed = this->registry->shut_down_waiting(static_cast<std::size_t>(queued));
        this->registry->observe_closure(client_closure::threads, closed);
    }
}

void listener::listen(const listener_limits& limits)
{
    const auto max_threads = static_cast<int>(limits.max_threads);
    constexpr int idle_timeout_s = 30;
    // The dispatchers of new and of resumed connections share the thread pool.
    this->thread_pool =
        std::make_unique<Poco::ThreadPool>(2, 2 * max_threads, idle_timeout_s, thread_stack_bytes);
    this->listening_socket.bind(Poco::Net::SocketAddress{limits.address}, true);
    this->listening_socket.listen(accept_backlog);
    this->bound_port = this->listening_socket.address().port();
    Poco::Net::TCPServerParams::Ptr parameters{new Poco::Net::TCPServerParams};
    parameters->setMaxThreads(max_threads);
    // At stop, the last thread of a dispatcher can miss the notification and wait for its idle timeout, which
    // is 10 s by default.
    parameters->setThreadIdleTime(Poco::Timespan{0, dispatcher_idle_timeout_us});
    // Large enough for all connections, because a dispatcher discards a connection that does not fit.
    parameters->setMaxQueued(static_cast<int>(limits.max_connections) + accept_backlog);
    Poco::Net::TCPServerConnectionFactory::Ptr factory{new connection_factory{this->registry}};
    this->server = std::make_unique<Poco::Net::TCPServer>(factory, *this->thread_pool, this->listening_socket,
                                                          parameters);
    this->resumed_dispatcher = new Poco::Net::TCPServerDispatcher{factory, *this->thread_pool, parameters};
}

result<std::unique_ptr<listener>> listener::create(const listener_limits& limits, handler on_request,
                                                   rejection_observer on_rejected, closure_observer on_closed)
{
    try {
        return std::unique_ptr<listener>{
            new listener{limits, std::move(on_request), std::move(on_rejected), std::move(on_closed)}};
    }
    catch (const Poco::Exception& error) {
        return failure{"cannot listen on " + limits.address + ": " + error.displayText()};
    }
}

listener::~listener()
{
    this->stop(milliseconds{0});
    this->resumed_dispatcher->release();
}

std::size_t listener::connections() const
{
    return this->registry->size();
}

bool listener::stop(milliseconds grace)
{
    if (std::exchange(this->stopped, true)) {
        return true;
    }
    this->server->stop();
    // An open socket would still accept connections into its backlog, where they get no response.
    this->listening_socket.close();
    this->registry->stop();
    const auto is_completed = this->registry->wait_until_empty(grace);
    this->registry->shut_down_all();
    this->registry->idle_poller->stop();
    this->resumed_dispatcher->stop();
    this->thread_pool->joinAll();
    return is_completed;
}

} // namespace kumquatdrift::internal
