#include "node/periodic_task.hpp"

#include <utility>

namespace kumquatdrift::internal {

periodic_task::periodic_task(milliseconds pause, std::function<void()> function)
    : interval{pause}, work{std::move(function)}
{
    this->thread = std::thread{[this] { this->run(); }};
}

periodic_task::~periodic_task()
{
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->stopped.notify_all();
    this->thread.join();
}

void periodic_task::run()
{
    std::unique_lock lock{this->mutex};
    while (!this->stopped.wait_for(lock, this->interval, [this] { return this->stopping; })) {
        lock.unlock();
        this->work();
        lock.lock();
    }
}

} // namespace kumquatdrift::internal
