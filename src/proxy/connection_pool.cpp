#include <kumquatdrift/proxy/connection_pool.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

namespace kumquatdrift {
namespace {

// Shortest time between two checks for expired connections, which `acquire` makes. A check covers all
// addresses, so that connections to addresses without further requests are closed too.
constexpr milliseconds expiry_check_interval{1'000};

} // namespace

pooled_connection::pooled_connection(std::shared_ptr<connection_pool> owner, std::string peer,
                                     std::unique_ptr<tcp_connection> open, bool was_reused) noexcept
    : pool{std::move(owner)}, address{std::move(peer)}, connection{std::move(open)}, reused{was_reused}
{
}

pooled_connection& pooled_connection::operator=(pooled_connection&& other) noexcept
{
    if (this != &other) {
        this->release(false);
        this->pool = std::move(other.pool);
        this->address = std::move(other.address);
        this->connection = std::move(other.connection);
        this->reused = other.reused;
    }
    return *this;
}

pooled_connection::~pooled_connection()
{
    this->release(false);
}

void pooled_connection::return_to_pool()
{
    this->release(true);
}

void pooled_connection::abort()
{
    if (this->connection) {
        this->connection->abort();
        this->release(false);
    }
}

void pooled_connection::release(bool reusable)
{
    if (this->pool && this->connection) {
        this->pool->release(this->address, std::move(this->connection), reusable);
    }
    this->pool.reset();
}

connection_pool::connection_pool(const connection_limits& settings, std::size_t input_bytes) noexcept
    : limits{settings}, input_buffer_bytes{input_bytes}
{
    assert(settings.per_address > 0);
}

std::shared_ptr<connection_pool> connection_pool::create(const connection_limits& limits,
                                                         std::size_t input_bytes)
{
    return std::shared_ptr<connection_pool>{new connection_pool{limits, input_bytes}};
}

acquire_result connection_pool::acquire(const std::string& address, timestamp until)
{
    {
        std::unique_lock lock{this->mutex};
        const auto now = steady_now();
        this->close_expired(now);
        auto& peer = this->entries[address];
        ++peer.waiters;
        const auto has_room = this->connection_released.wait_until(
            lock, until, [&] { return peer.in_use < this->limits.per_address; });
        --peer.waiters;
        if (!has_room) {
            return {connect_status::exhausted, {}};
        }
        ++peer.in_use;
        if (auto connection = this->take_idle(peer, now)) {
            return {connect_status::connected,
                    {this->shared_from_this(), address, std::move(connection), true}};
        }
    }
    auto opened = this->open(address, until);
    if (opened.status != connect_status::connected) {
        this->release(address, nullptr, false);
    }
    return opened;
}

std::unique_ptr<tcp_connection> connection_pool::take_idle(address_entry& peer, timestamp now)
{
    while (!peer.idle.empty()) {
        auto candidate = std::move(peer.idle.back());
        peer.idle.pop_back();
        const auto is_fresh = now - candidate.since < this->limits.idle_timeout;
        // A request sent on a closed connection would fail after its bytes were sent, so that it could not be
        // known whether the request ran.
        if (is_fresh && candidate.connection->is_idle()) {
            return std::move(candidate.connection);
        }
    }
    return nullptr;
}

acquire_result connection_pool::open(const std::string& address, timestamp until)
{
    const auto remaining = std::max(until - steady_now(), microseconds{0});
    const auto timeout = std::min<microseconds>(remaining, this->limits.connect_timeout);
    if (timeout.count() <= 0) {
        return {connect_status::timed_out, {}};
    }
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress{address}, Poco::Timespan{timeout.count()});
        auto connection = std::make_unique<tcp_connection>(socket, this->input_buffer_bytes);
        return {connect_status::connected, {this->shared_from_this(), address, std::move(connection), false}};
    }
    catch (const Poco::TimeoutException&) {
        return {connect_status::timed_out, {}};
    }
    catch (const Poco::Exception&) {
        return {connect_status::refused, {}};
    }
}

void connection_pool::discard_idle(const std::string& address)
{
    const std::lock_guard lock{this->mutex};
    if (const auto found = this->entries.find(address); found != this->entries.end()) {
        found->second.idle.clear();
    }
}

std::size_t connection_pool::idle_connections() const
{
    const std::lock_guard lock{this->mutex};
    std::size_t total{};
    for (const auto& [address, peer] : this->entries) {
        total += peer.idle.size();
    }
    return total;
}

void connection_pool::release(const std::string& address, std::unique_ptr<tcp_connection> connection,
                              bool reusable)
{
    bool has_waiters{};
    {
        const std::lock_guard lock{this->mutex};
        auto& peer = this->entries[address];
        assert(peer.in_use > 0);
        --peer.in_use;
        has_waiters = peer.waiters > 0;
        if (reusable && connection) {
            peer.idle.push_back({std::move(connection), steady_now()});
        }
    }
    if (has_waiters) {
        // All addresses share the condition variable, so notify_one could wake a thread that waits for
        // another address.
        this->connection_released.notify_all();
    }
}

void connection_pool::close_expired(timestamp now)
{
    if (now - this->last_expiry_check < expiry_check_interval) {
        return;
    }
    this->last_expiry_check = now;
    for (auto& [address, peer] : this->entries) {
        std::erase_if(peer.idle,
                      [&](const auto& idle) { return now - idle.since >= this->limits.idle_timeout; });
    }
    std::erase_if(this->entries, [](const auto& item) {
        return item.second.idle.empty() && item.second.in_use == 0 && item.second.waiters == 0;
    });
}

} // namespace kumquatdrift
