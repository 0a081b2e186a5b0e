#include "state.hpp"

#include <utility>

namespace target_server {

using kumquatdrift::target_state;

state::state(options settings) : opts{std::move(settings)}, started{kumquatdrift::steady_now()} {}

target_state state::current() const
{
    const std::lock_guard lock{this->mutex};
    if (this->draining) {
        return target_state::draining;
    }
    const auto age = kumquatdrift::steady_now() - this->started;
    return age < this->opts.cold ? target_state::cold : target_state::ready;
}

void state::start_drain()
{
    const std::lock_guard lock{this->mutex};
    this->draining = true;
    this->changed.notify_all();
}

bool state::try_acquire_slot()
{
    const std::lock_guard lock{this->mutex};
    if (this->opts.shed && this->slots_in_use >= this->opts.slots) {
        return false;
    }
    ++this->slots_in_use;
    return true;
}

void state::release_slot()
{
    const std::lock_guard lock{this->mutex};
    --this->slots_in_use;
}

void state::start_request()
{
    const std::lock_guard lock{this->mutex};
    ++this->in_flight;
}

void state::end_request()
{
    const std::lock_guard lock{this->mutex};
    --this->in_flight;
    this->changed.notify_all();
}

void state::wait_until_idle()
{
    std::unique_lock lock{this->mutex};
    this->changed.wait(lock, [this] { return this->in_flight == 0; });
}

void state::wait_for_drain(kumquatdrift::milliseconds timeout)
{
    std::unique_lock lock{this->mutex};
    const auto was_draining = this->draining;
    this->changed.wait_for(lock, timeout, [this, was_draining] { return this->draining != was_draining; });
}

void state::record_execution(const std::string& id)
{
    const std::lock_guard lock{this->mutex};
    ++this->executions[id];
}

std::map<std::string, std::uint64_t> state::ledger() const
{
    const std::lock_guard lock{this->mutex};
    return this->executions;
}

void state::clear_ledger()
{
    const std::lock_guard lock{this->mutex};
    this->executions.clear();
}

std::uint32_t state::in_use() const
{
    const std::lock_guard lock{this->mutex};
    return this->slots_in_use;
}

} // namespace target_server
