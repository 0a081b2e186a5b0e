#include "node/periodic_task.hpp"

#include <utility>

namespace kumquatdrift::internal {

periodic_task::periodic_task(milliseconds task_interval, std::function<void()> function)
    : interval{task_interval}, task{std::move(function)}
{
    this->thread = std::thread{[this] { this->run(); }};
}

periodic_task::~periodic_task()
{
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->stop_requested.notify_all();
    this->thread.join();
}

void periodic_task::run()
{
    std::unique_lock lock{this->mutex};
    while (!this->stop_requested.wait_for(lock, this->interval, [this] { return this->stopping; })) {
        lock.unlock();
        this->task();
        lock.lock();
    }
}

} // namespace kumquatdrift::internal
