#include "proxy/listener.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>

#include <utility>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include "proxy/observe.hpp"
#include "proxy/parking.hpp"

namespace kumquatdrift::internal {

namespace {

// A connection without a request for this time is parked. Resuming it costs three thread switches, so that a
// busy connection should keep its thread; but once a quarter of the threads are held, connections are parked
// at once.
constexpr milliseconds park_after{200};
constexpr std::uint32_t spare_share = 4;
constexpr int accept_queue = 1'024;
constexpr long dispatcher_idle_us = 250'000;
// Touched pages count only; deep calls are rare on these threads.
constexpr int stack_bytes = 256 * 1024;
constexpr std::size_t extra_input_bytes = 4 * 1024;

// An unread body up to this size is discarded to keep the connection; a longer one costs more than a new
// connection.
constexpr std::size_t discard_bytes = 256 * 1024;
constexpr milliseconds discard_time{200};
constexpr milliseconds linger_time{1'000};
constexpr milliseconds overload_retry{1'000};

using scratch_block = std::array<char, 16 * 1024>;

} // namespace

/*! @brief Open connections of a listener, and the parts that their threads share. */
class connection_registry {
public:
    connection_registry(listener_limits settings, listener::handler handler, refusal_observer observer)
        : limits{std::move(settings)}, handle{std::move(handler)}, observe{std::move(observer)}
    {
    }

    // Returns false if the connection is one too many.
    [[nodiscard]] bool add(channel& io)
    {
        const std::lock_guard lock{this->mutex};
        this->open.emplace(&io, true);
        if (this->stopping) {
            io.shutdown();
        }
        return this->open.size() <= this->limits.max_connections;
    }

    void remove(channel& io)
    {
        const std::lock_guard lock{this->mutex};
        this->open.erase(&io);
        this->changed.notify_all();
    }

    void set_busy(channel& io)
    {
        const std::lock_guard lock{this->mutex};
        this->open[&io] = false;
    }

    // Returns false if the connection is to be closed.
    [[nodiscard]] bool set_idle(channel& io)
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

    void cut()
    {
        const std::lock_guard lock{this->mutex};
        for (const auto& [io, is_idle] : this->open) {
            io->shutdown();
        }
    }

    [[nodiscard]] bool wait_empty(milliseconds time)
    {
        std::unique_lock lock{this->mutex};
        return this->changed.wait_for(lock, time, [this] { return this->open.empty(); });
    }

    // Keeps a connection until the factory takes it for its socket.
    void hand_over(std::unique_ptr<channel> io)
    {
        const std::lock_guard lock{this->mutex};
        const auto descriptor = io->handle();
        this->resumed[descriptor] = std::move(io);
    }

    [[nodiscard]] std::unique_ptr<channel> take_resumed(int descriptor)
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
    const listener::handler handle;
    const refusal_observer observe;
    std::unique_ptr<parking> lot{};
    std::atomic<std::uint32_t> held_threads{};

    // Time that a thread waits for the next request of its connection.
    [[nodiscard]] milliseconds patience() const noexcept
    {
        return this->held_threads <= this->limits.max_threads / spare_share ? park_after : milliseconds{0};
    }

private:
    mutable std::mutex mutex{};
    std::condition_variable changed{};
    // The value is true while the connection waits for a request.
    std::map<channel*, bool> open{};
    std::map<int, std::unique_ptr<channel>> resumed{};
    bool stopping{};
};

namespace {

refusal refusal_of(read_status status)
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

// Reads what the client still sends; closing at once would reset the connection and destroy the answer.
void linger(channel& io)
{
    io.finish_sending();
    const auto until = steady_now() + linger_time;
    while (io.receive(until) == io_status::ok) {
        io.consume(io.input().size());
    }
}

// Returns true if the rest of the request was read.
bool discard_rest(exchange& current)
{
    auto& request = current.request();
    if (request.is_done()) {
        return true;
    }
    scratch_block block{};
    std::size_t discarded{};
    const auto until = steady_now() + discard_time;
    while (!request.is_done() && !current.awaits_continue() && discarded < discard_bytes) {
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
            this->connection = std::make_unique<channel>(accepted, input_bytes);
        }
    }

    void run() override
    {
        const in_flight_guard held{this->registry->held_threads};
        auto& io = *this->connection;
        const auto& limits = this->registry->limits;
        const auto is_welcome = !this->is_new || this->registry->add(io);
        // A new connection has to send a request soon, so that silent ones do not fill the limit.
        auto idle_until = steady_now() + (this->is_new ? limits.header_time : limits.idle_time);
        while (true) {
            // Receiving here saves one poll per request, because the head is then parsed from the buffer.
            const auto status =
                io.input().empty() ? io.receive(steady_now() + this->registry->patience()) : io_status::ok;
            if (status == io_status::timed_out && is_welcome) {
                io.release_buffer();
                this->registry->lot->park(std::move(this->connection), idle_until);
                return;
            }
            this->registry->set_busy(io);
            if (status != io_status::ok || !this->serve_request(is_welcome) ||
                !this->registry->set_idle(io)) {
                break;
            }
            idle_until = steady_now() + limits.idle_time;
        }
        this->registry->remove(io);
    }

private:
    [[nodiscard]] bool serve_request(bool is_welcome)
    {
        const auto& limits = this->registry->limits;
        auto& io = *this->connection;
        request_reader reader{io, limits.max_header_bytes};
        const auto status = reader.read_head(steady_now() + limits.header_time);
        if (status == read_status::closed || status == read_status::truncated) {
            return false;
        }
        exchange current{io, reader, limits};
        if (status != read_status::ok || !is_valid_request(reader.head())) {
            this->refuse(current, refusal_of(status));
            return false;
        }
        if (!is_welcome) {
            this->refuse(current, {503, verdict::not_run, overload_retry, "Too many connections.", {}});
            return false;
        }
        this->registry->handle(current);
        return this->end(current);
    }

    void refuse(exchange& current, const refusal& answer)
    {
        current.close_after();
        current.refuse(answer);
        if (this->registry->observe) {
            this->registry->observe(answer.status);
        }
        linger(*this->connection);
    }

    [[nodiscard]] bool end(exchange& current)
    {
        if (!current.is_finished()) {
            // A started answer that was not finished must not look complete.
            current.abort_answer();
            return false;
        }
        const auto is_read = discard_rest(current);
        if (is_read && current.keeps_alive()) {
            return true;
        }
        if (!is_read) {
            linger(*this->connection);
        }
        return false;
    }

    std::shared_ptr<connection_registry> registry;
    std::unique_ptr<channel> connection;
    bool is_new;
};

class connection_factory : public Poco::Net::TCPServerConnectionFactory {
public:
    explicit connection_factory(std::shared_ptr<connection_registry> shared) : registry{std::move(shared)} {}

    // The name of the POCO interface is not ours. NOLINTNEXTLINE(readability-identifier-naming)
    Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override
    {
        return new connection_handler{socket, this->registry};
    }

private:
    std::shared_ptr<connection_registry> registry;
};

} // namespace

listener::listener(const listener_limits& limits, handler handle, refusal_observer observe)
    : registry{std::make_shared<connection_registry>(limits, std::move(handle), std::move(observe))}
{
    this->listen(limits);
    // The lot belongs to the registry, so that its thread must not own the registry.
    auto* const shared = this->registry.get();
    shared->lot = std::make_unique<parking>(
        [this, shared](std::unique_ptr<channel> ready) {
            const auto stream = ready->stream();
            shared->hand_over(std::move(ready));
            this->resumer->enqueue(stream);
        },
        [shared](std::unique_ptr<channel> expired) { shared->remove(*expired); });
    this->server->start();
}

void listener::listen(const listener_limits& limits)
{
    const auto most_threads = static_cast<int>(limits.max_threads);
    constexpr int idle_seconds = 30;
    // The dispatchers of new and of resumed connections share the pool.
    this->threads = std::make_unique<Poco::ThreadPool>(2, 2 * most_threads, idle_seconds, stack_bytes);
    this->socket.bind(Poco::Net::SocketAddress{limits.address}, true);
    this->socket.listen(accept_queue);
    this->bound_port = this->socket.address().port();
    Poco::Net::TCPServerParams::Ptr parameters{new Poco::Net::TCPServerParams};
    parameters->setMaxThreads(most_threads);
    // At stop, a dispatcher's last thread can miss the notification and wait for its idle time, 10 s by
    // default.
    parameters->setThreadIdleTime(Poco::Timespan{0, dispatcher_idle_us});
    // Large enough for all connections: a dispatcher drops what does not fit.
    parameters->setMaxQueued(static_cast<int>(limits.max_connections) + accept_queue);
    Poco::Net::TCPServerConnectionFactory::Ptr factory{new connection_factory{this->registry}};
    this->server = std::make_unique<Poco::Net::TCPServer>(factory, *this->threads, this->socket, parameters);
    this->resumer = new Poco::Net::TCPServerDispatcher{factory, *this->threads, parameters};
}

result<std::unique_ptr<listener>> listener::create(const listener_limits& limits, handler handle,
                                                   refusal_observer observe)
{
    try {
        return std::unique_ptr<listener>{new listener{limits, std::move(handle), std::move(observe)}};
    }
    catch (const Poco::Exception& error) {
        return failure{"cannot listen on " + limits.address + ": " + error.displayText()};
    }
}

listener::~listener()
{
    this->stop(milliseconds{0});
    this->resumer->release();
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
    // An open socket would still take connections into its queue, where nobody answers them.
    this->socket.close();
    this->registry->stop();
    const auto is_finished = this->registry->wait_empty(grace);
    this->registry->cut();
    this->registry->lot->stop();
    this->resumer->stop();
    this->threads->joinAll();
    return is_finished;
}

} // namespace kumquatdrift::internal
