#include "proxy/target_gate.hpp"

#include <algorithm>
#include <utility>

namespace kumquatdrift::internal {

namespace {

// Waiting threads look for passed deadlines and gone clients this often.
constexpr milliseconds tick_interval{5};

constexpr milliseconds retry_after_drop{1'000};

} // namespace

target_gate::target_gate(target_record announced, const admission_settings& settings)
    : record{std::move(announced)}, control{settings, steady_now()}
{
}

gate_answer target_gate::enter(const admission_request& request, const channel& client)
{
    std::unique_lock lock{this->mutex};
    const auto decision = this->control.offer(request, steady_now());
    if (decision.kind != admission_kind::queued) {
        const auto is_admitted = decision.kind == admission_kind::admitted;
        return {is_admitted ? gate_outcome::admitted : gate_outcome::rejected, decision.reason,
                decision.retry_after};
    }
    waiter self;
    this->waiters.emplace(request.id, &self);
    auto outcome = gate_outcome::admitted;
    while (self.state == wait_state::waiting) {
        // A drop at the deadline must still reach the entry node in time.
        self.changed.wait_until(lock, std::min(steady_now() + tick_interval, request.deadline));
        if (self.state == wait_state::waiting && client.is_cut()) {
            this->control.cancel(request.id);
            outcome = gate_outcome::cancelled;
            break;
        }
        this->tick(steady_now(), steady_now() >= request.deadline);
    }
    this->waiters.erase(request.id);
    if (self.state == wait_state::dropped) {
        return {gate_outcome::dropped, rejection::deadline, retry_after_drop};
    }
    return {outcome, rejection::none, retry_after_drop};
}

void target_gate::leave(request_id id, run_outcome outcome)
{
    const std::lock_guard lock{this->mutex};
    this->wake(this->control.finish(id, outcome, steady_now()), wait_state::started);
}

void target_gate::announce(const admission_settings& settings)
{
    const std::lock_guard lock{this->mutex};
    this->wake(this->control.announce(settings, steady_now()), wait_state::started);
    this->wake(this->control.expire(steady_now()), wait_state::dropped);
}

void target_gate::drain()
{
    const std::lock_guard lock{this->mutex};
    this->wake(this->control.drain(), wait_state::dropped);
}

load_report target_gate::load() const
{
    const std::lock_guard lock{this->mutex};
    return this->control.load(steady_now());
}

std::vector<std::uint64_t> target_gate::fingerprints() const
{
    const std::lock_guard lock{this->mutex};
    return this->control.fingerprints_in_flight();
}

bool target_gate::is_draining() const
{
    const std::lock_guard lock{this->mutex};
    return this->control.is_draining();
}

void target_gate::wake(const std::vector<request_id>& ids, wait_state state)
{
    for (const auto id : ids) {
        if (const auto found = this->waiters.find(id); found != this->waiters.end()) {
            found->second->state = state;
            found->second->changed.notify_one();
        }
    }
}

void target_gate::tick(timestamp now, bool is_due)
{
    if (!is_due && now - this->last_tick < tick_interval) {
        return;
    }
    this->last_tick = now;
    this->wake(this->control.expire(now), wait_state::dropped);
    this->wake(this->control.start_waiting(now), wait_state::started);
}

} // namespace kumquatdrift::internal
