#include "proxy/admission_queue.hpp"

#include <algorithm>
#include <utility>

namespace kumquatdrift::internal {

namespace {

// Interval at which the threads of queued requests check for expired deadlines and closed client connections.
constexpr milliseconds check_interval{5};

constexpr milliseconds retry_after_discard{1'000};

} // namespace

admission_queue::admission_queue(target_record announced, const admission_settings& settings)
    : record{std::move(announced)}, control{settings, steady_now()}
{
}

slot_result admission_queue::acquire_slot(const admission_request& request, const tcp_connection& client)
{
    std::unique_lock lock{this->mutex};
    const auto decision = this->control.offer(request, steady_now());
    if (decision.kind != admission_kind::queued) {
        const auto is_admitted = decision.kind == admission_kind::admitted;
        return {is_admitted ? slot_outcome::admitted : slot_outcome::rejected, decision.reason,
                decision.retry_after};
    }
    waiter own_waiter;
    this->waiters.emplace(request.id, &own_waiter);
    auto outcome = slot_outcome::admitted;
    while (own_waiter.state == queue_state::queued) {
        // Wakes up no later than at the deadline, so that the rejection still reaches the entry node in time.
        own_waiter.changed.wait_until(lock, std::min(steady_now() + check_interval, request.deadline));
        if (own_waiter.state == queue_state::queued && client.is_closed_by_peer()) {
            this->control.cancel(request.id);
            outcome = slot_outcome::cancelled;
            break;
        }
        this->tick(steady_now(), steady_now() >= request.deadline);
    }
    this->waiters.erase(request.id);
    if (own_waiter.state == queue_state::discarded) {
        return {slot_outcome::discarded, rejection_reason::deadline, retry_after_discard};
    }
    return {outcome, rejection_reason::none, retry_after_discard};
}

void admission_queue::release_slot(request_id id, run_outcome outcome)
{
    const std::lock_guard lock{this->mutex};
    this->wake(this->control.finish(id, outcome, steady_now()), queue_state::started);
}

void admission_queue::update_settings(const admission_settings& settings)
{
    const std::lock_guard lock{this->mutex};
    this->wake(this->control.announce(settings, steady_now()), queue_state::started);
    this->wake(this->control.expire(steady_now()), queue_state::discarded);
}

void admission_queue::drain()
{
    const std::lock_guard lock{this->mutex};
    this->wake(this->control.drain(), queue_state::discarded);
}

load_report admission_queue::load() const
{
    const std::lock_guard lock{this->mutex};
    return this->control.load(steady_now());
}

std::vector<std::uint64_t> admission_queue::fingerprints() const
{
    const std::lock_guard lock{this->mutex};
    return this->control.fingerprints_in_flight();
}

bool admission_queue::is_draining() const
{
    const std::lock_guard lock{this->mutex};
    return this->control.is_draining();
}

void admission_queue::wake(const std::vector<request_id>& ids, queue_state state)
{
    for (const auto id : ids) {
        if (const auto found = this->waiters.find(id); found != this->waiters.end()) {
            found->second->state = state;
            found->second->changed.notify_one();
        }
    }
}

void admission_queue::tick(timestamp now, bool is_forced)
{
    if (!is_forced && now - this->last_tick < check_interval) {
        return;
    }
    this->last_tick = now;
    this->wake(this->control.expire(now), queue_state::discarded);
    this->wake(this->control.start_queued(now), queue_state::started);
}

} // namespace kumquatdrift::internal
