#include "loop.hpp"

#include <utility>

#include <boost/asio/post.hpp>

namespace kumquatdrift {

event_loop::event_loop()
{
    this->schedule_tick();
}

event_loop::timer_id event_loop::call_at(timestamp when, std::function<void()> function)
{
    const auto id = ++this->last_id;
    this->timer_queue.emplace(when, id);
    this->timers.emplace(id, std::pair{when, std::move(function)});
    return id;
}

void event_loop::cancel(timer_id id)
{
    const auto found = this->timers.find(id);
    if (found == this->timers.end()) {
        return;
    }
    const auto [first, last] = this->timer_queue.equal_range(found->second.first);
    for (auto entry = first; entry != last; ++entry) {
        if (entry->second == id) {
            this->timer_queue.erase(entry);
            break;
        }
    }
    this->timers.erase(found);
}

event_loop::turn::~turn()
{
    auto& pending = this->owner.deferred;
    while (this->owner.turn_depth == 1 && !pending.empty()) {
        for (const auto& function : std::exchange(pending, {})) {
            function();
        }
    }
    --this->owner.turn_depth;
}

void event_loop::defer(std::function<void()> function)
{
    if (this->turn_depth > 0) {
        this->deferred.push_back(std::move(function));
        return;
    }
    boost::asio::post(this->io, [this, function = std::move(function)] {
        const turn current{*this};
        function();
    });
}

void event_loop::on_tick(std::function<void(timestamp)> function)
{
    this->tick_handlers.push_back(std::move(function));
}

void event_loop::on_suspension(std::function<void(microseconds)> function)
{
    this->suspension_handlers.push_back(std::move(function));
}

void event_loop::run()
{
    this->io.run();
}

void event_loop::stop()
{
    this->io.stop();
}

void event_loop::schedule_tick()
{
    this->tick_timer.expires_after(tick_interval);
    this->tick_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            const turn current{*this};
            this->tick();
            this->schedule_tick();
        }
    });
}

void event_loop::tick()
{
    const auto now = boot_now();
    if (const auto gap = now - this->last_tick; gap > suspension_gap) {
        for (const auto& handler : this->suspension_handlers) {
            handler(gap);
        }
    }
    this->last_tick = now;
    while (!this->timer_queue.empty() && this->timer_queue.begin()->first <= now) {
        const auto id = this->timer_queue.begin()->second;
        this->timer_queue.erase(this->timer_queue.begin());
        auto function = std::move(this->timers.at(id).second);
        this->timers.erase(id);
        function();
    }
    for (const auto& handler : this->tick_handlers) {
        handler(now);
    }
}

} // namespace kumquatdrift
