#include "proxy/idle_connection_poller.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include <sys/epoll.h>
#include <unistd.h>

namespace kumquatdrift::internal {

namespace {

// Interval between checks for expired connections. It also bounds the time that `stop` takes.
constexpr milliseconds check_interval{100};

} // namespace

idle_connection_poller::idle_connection_poller(resume_handler resume, expire_handler expire,
                                               std::function<void()> check)
    : on_readable{std::move(resume)}, on_expired{std::move(expire)}, on_check{std::move(check)},
      epoll_descriptor{::epoll_create1(EPOLL_CLOEXEC)}, poll_thread{[this] { this->poll_events(); }}
{
}

idle_connection_poller::~idle_connection_poller()
{
    this->stop();
    ::close(this->epoll_descriptor);
}

void idle_connection_poller::add(std::unique_ptr<tcp_connection> connection, timestamp expires_at)
{
    auto* const key = connection.get();
    const auto descriptor = connection->handle();
    {
        const std::lock_guard lock{this->mutex};
        this->connections.emplace(key,
                                  idle_connection{std::move(connection), expires_at, ++this->last_order});
    }
    // One-shot: a second event must not reach the connection after its handler has taken it over.
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
    event.data.ptr = key;
    if (::epoll_ctl(this->epoll_descriptor, EPOLL_CTL_ADD, descriptor, &event) != 0) {
        if (auto unwatched = this->remove(key)) {
            this->on_expired(std::move(unwatched));
        }
    }
}

bool idle_connection_poller::close_oldest()
{
    std::unique_ptr<tcp_connection> oldest;
    {
        const std::lock_guard lock{this->mutex};
        const auto found = std::min_element(
            this->connections.begin(), this->connections.end(),
            [](const auto& left, const auto& right) { return left.second.order < right.second.order; });
        if (found == this->connections.end()) {
            return false;
        }
        oldest = std::move(found->second.connection);
        this->connections.erase(found);
    }
    this->on_expired(std::move(oldest));
    return true;
}

void idle_connection_poller::stop()
{
    if (!this->stopping.exchange(true)) {
        this->poll_thread.join();
        this->expire(timestamp::max());
    }
}

void idle_connection_poller::poll_events()
{
    constexpr std::size_t max_events = 64;
    std::array<epoll_event, max_events> events{};
    auto next_check = steady_now() + check_interval;
    while (!this->stopping) {
        const auto count = ::epoll_wait(this->epoll_descriptor, events.data(), max_events,
                                        static_cast<int>(check_interval.count()));
        for (int index = 0; index < count; ++index) {
            auto ready = this->remove(
                static_cast<const tcp_connection*>(events.at(static_cast<std::size_t>(index)).data.ptr));
            if (ready) {
                ::epoll_ctl(this->epoll_descriptor, EPOLL_CTL_DEL, ready->handle(), nullptr);
                this->on_readable(std::move(ready));
            }
        }
        if (const auto now = steady_now(); now >= next_check) {
            this->expire(now);
            this->on_check();
            next_check = now + check_interval;
        }
    }
}

std::unique_ptr<tcp_connection> idle_connection_poller::remove(const tcp_connection* key)
{
    const std::lock_guard lock{this->mutex};
    const auto found = this->connections.find(key);
    if (found == this->connections.end()) {
        return nullptr;
    }
    auto removed = std::move(found->second.connection);
    this->connections.erase(found);
    return removed;
}

void idle_connection_poller::expire(timestamp now)
{
    std::vector<std::unique_ptr<tcp_connection>> expired;
    {
        const std::lock_guard lock{this->mutex};
        for (auto entry = this->connections.begin(); entry != this->connections.end();) {
            if (entry->second.expires_at > now) {
                ++entry;
                continue;
            }
            expired.push_back(std::move(entry->second.connection));
            entry = this->connections.erase(entry);
        }
    }
    for (auto& connection : expired) {
        this->on_expired(std::move(connection));
    }
}

} // namespace kumquatdrift::internal
