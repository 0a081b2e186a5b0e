#include "proxy/parking.hpp"

#include <array>
#include <utility>
#include <vector>

#include <sys/epoll.h>
#include <unistd.h>

namespace kumquatdrift::internal {

namespace {

// Expired connections are looked for this often; also bounds the time to stop.
constexpr milliseconds check_interval{100};

} // namespace

parking::parking(resume_handler resume, expire_handler expire)
    : on_input{std::move(resume)},
      on_expired{std::move(expire)}, epoll{::epoll_create1(EPOLL_CLOEXEC)}, watcher{[this] { this->run(); }}
{
}

parking::~parking()
{
    this->stop();
    ::close(this->epoll);
}

void parking::park(std::unique_ptr<channel> idle, timestamp until)
{
    auto* const key = idle.get();
    const auto descriptor = idle->handle();
    {
        const std::lock_guard lock{this->mutex};
        this->connections.emplace(key, parked{std::move(idle), until});
    }
    // One shot: the thread that takes the connection over must not race with a second event.
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
    event.data.ptr = key;
    if (::epoll_ctl(this->epoll, EPOLL_CTL_ADD, descriptor, &event) != 0) {
        if (auto refused = this->take(key)) {
            this->on_expired(std::move(refused));
        }
    }
}

void parking::stop()
{
    if (!this->stopping.exchange(true)) {
        this->watcher.join();
        this->expire(timestamp::max());
    }
}

void parking::run()
{
    constexpr std::size_t most_events = 64;
    std::array<epoll_event, most_events> events{};
    auto next_check = steady_now() + check_interval;
    while (!this->stopping) {
        const auto count =
            ::epoll_wait(this->epoll, events.data(), most_events, static_cast<int>(check_interval.count()));
        for (int index = 0; index < count; ++index) {
            auto ready =
                this->take(static_cast<const channel*>(events.at(static_cast<std::size_t>(index)).data.ptr));
            if (ready) {
                ::epoll_ctl(this->epoll, EPOLL_CTL_DEL, ready->handle(), nullptr);
                this->on_input(std::move(ready));
            }
        }
        if (const auto now = steady_now(); now >= next_check) {
            this->expire(now);
            next_check = now + check_interval;
        }
    }
}

std::unique_ptr<channel> parking::take(const channel* key)
{
    const std::lock_guard lock{this->mutex};
    const auto found = this->connections.find(key);
    if (found == this->connections.end()) {
        return nullptr;
    }
    auto taken = std::move(found->second.connection);
    this->connections.erase(found);
    return taken;
}

void parking::expire(timestamp now)
{
    std::vector<std::unique_ptr<channel>> expired;
    {
        const std::lock_guard lock{this->mutex};
        for (auto entry = this->connections.begin(); entry != this->connections.end();) {
            if (entry->second.until > now) {
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
