#include <kumquatdrift/traffic/admission.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace kumquatdrift {
namespace {

// Inverse weight of a new service time in the mean: the mean follows about the last 16 requests.
constexpr std::int64_t service_time_divisor = 16;

// Factor on the limit when the target sheds a request, as in AIMD congestion control.
constexpr double shed_decrease = 0.75;

// Responses that shed requests within this time count as one signal. Otherwise a single burst would lower the
// limit to 1.
constexpr microseconds decrease_interval{100'000};

// Fraction of the slots that a cold target gets at first.
constexpr double initial_cold_fraction = 0.1;

constexpr milliseconds min_retry_after{100};
constexpr milliseconds retry_after_draining{1'000};

} // namespace

admission::admission(const admission_settings& announced, timestamp now)
    : settings{announced}, cold_since{now}, draining{announced.state == target_state::draining},
      adaptive_limit{static_cast<double>(std::max(announced.slots, 1U))}
{
    this->settings.slots = std::max(announced.slots, 1U);
}

admission_decision admission::offer(const admission_request& request, timestamp now)
{
    if (this->draining) {
        return this->reject(rejection_reason::draining, now);
    }
    const auto is_queued = std::any_of(this->queued.begin(), this->queued.end(),
                                       [&](const auto& other) { return other.id == request.id; });
    if (is_queued || this->running.contains(request.id)) {
        return this->reject(rejection_reason::duplicate_id, now);
    }
    if (request.deadline <= now) {
        return this->reject(rejection_reason::deadline, now);
    }
    const auto has_free_slot = this->running.size() < this->concurrency_limit(now);
    if (has_free_slot && this->next_startable(now) == this->queued.end()) {
        this->running.emplace(request.id, running_request{now, request.fingerprint});
        return {.kind = admission_kind::admitted, .reason = rejection_reason::none, .retry_after = {}};
    }
    if (this->queued.size() >= this->settings.queue_limit) {
        return this->reject(rejection_reason::queue_full, now);
    }
    const auto expected_end = now + this->estimate_wait(this->queued.size(), now) + this->mean_service_time;
    if (expected_end > request.deadline) {
        return this->reject(rejection_reason::deadline, now);
    }
    this->queued.push_back(request);
    return {.kind = admission_kind::queued, .reason = rejection_reason::none, .retry_after = {}};
}

std::vector<request_id> admission::finish(request_id id, run_outcome outcome, timestamp now)
{
    const auto found = this->running.find(id);
    assert(found != this->running.end());
    if (found == this->running.end()) {
        return {};
    }
    const auto service_time = now - found->second.started;
    this->observe(outcome, service_time, now);
    this->running.erase(found);
    return this->start_queued(now);
}

std::vector<request_id> admission::expire(timestamp now)
{
    std::vector<request_id> removed_ids;
    std::erase_if(this->queued, [&](const admission_request& request) {
        const auto is_removed = this->draining || this->is_too_late(request, now);
        if (is_removed) {
            removed_ids.push_back(request.id);
        }
        return is_removed;
    });
    return removed_ids;
}

std::vector<request_id> admission::start_queued(timestamp now)
{
    std::vector<request_id> started;
    while (!this->draining && this->running.size() < this->concurrency_limit(now)) {
        const auto next = this->next_startable(now);
        if (next == this->queued.end()) {
            break;
        }
        this->running.emplace(next->id, running_request{now, next->fingerprint});
        started.push_back(next->id);
        this->queued.erase(next);
    }
    return started;
}

cancel_outcome admission::cancel(request_id id)
{
    if (this->running.contains(id)) {
        return cancel_outcome::running;
    }
    const auto removed = std::erase_if(this->queued, [id](const auto& request) { return request.id == id; });
    return removed > 0 ? cancel_outcome::removed : cancel_outcome::unknown;
}

std::vector<request_id> admission::announce(const admission_settings& announced, timestamp now)
{
    const auto was_cold = this->settings.state == target_state::cold;
    if (announced.state == target_state::cold && !was_cold) {
        this->cold_since = now;
    }
    this->draining = this->draining || announced.state == target_state::draining;
    const auto was_not_lowered = this->adaptive_limit >= this->settings.slots;
    this->settings = announced;
    this->settings.slots = std::max(announced.slots, 1U);
    const auto slots = static_cast<double>(this->settings.slots);
    this->adaptive_limit = was_not_lowered ? slots : std::min(this->adaptive_limit, slots);
    return this->start_queued(now);
}

std::vector<request_id> admission::drain()
{
    this->draining = true;
    std::vector<request_id> removed_ids;
    removed_ids.reserve(this->queued.size());
    for (const auto& request : this->queued) {
        removed_ids.push_back(request.id);
    }
    this->queued.clear();
    return removed_ids;
}

load_report admission::load(timestamp now) const
{
    return {.in_use = static_cast<std::uint32_t>(this->running.size()),
            .queued = static_cast<std::uint32_t>(this->queued.size()),
            .slots = this->concurrency_limit(now)};
}

std::vector<std::uint64_t> admission::fingerprints_in_flight() const
{
    std::vector<std::uint64_t> fingerprints;
    fingerprints.reserve(this->running.size());
    for (const auto& [id, request] : this->running) {
        fingerprints.push_back(request.fingerprint);
    }
    return fingerprints;
}

bool admission::is_draining() const noexcept
{
    return this->draining;
}

microseconds admission::service_time() const noexcept
{
    return this->mean_service_time;
}

std::uint32_t admission::concurrency_limit(timestamp now) const
{
    auto current = std::min(this->adaptive_limit, static_cast<double>(this->settings.slots));
    if (this->settings.state == target_state::cold && this->settings.slow_start.count() > 0) {
        const std::chrono::duration<double> elapsed = now - this->cold_since;
        const auto fraction = elapsed / std::chrono::duration<double>{this->settings.slow_start};
        current = std::min(current, this->settings.slots * std::clamp(fraction, initial_cold_fraction, 1.0));
    }
    return static_cast<std::uint32_t>(std::max(1.0, std::floor(current)));
}

// Requires only half of the mean service time, because a request faster than the mean may still be answered
// in time.
bool admission::is_too_late(const admission_request& request, timestamp now) const noexcept
{
    return request.deadline <= now || now + this->mean_service_time / 2 > request.deadline;
}

std::deque<admission_request>::iterator admission::next_startable(timestamp now)
{
    return std::find_if(this->queued.begin(), this->queued.end(),
                        [&](const admission_request& request) { return !this->is_too_late(request, now); });
}

microseconds admission::estimate_wait(std::size_t ahead, timestamp now) const
{
    const auto queue_position = static_cast<std::int64_t>(ahead) + 1;
    return this->mean_service_time * queue_position / this->concurrency_limit(now);
}

admission_decision admission::reject(rejection_reason reason, timestamp now) const
{
    const auto wait = this->draining
                          ? retry_after_draining
                          : std::chrono::ceil<milliseconds>(this->estimate_wait(this->queued.size(), now));
    return {
        .kind = admission_kind::rejected, .reason = reason, .retry_after = std::max(wait, min_retry_after)};
}

void admission::observe(run_outcome outcome, microseconds service_time, timestamp now)
{
    if (outcome == run_outcome::shed) {
        const auto is_new_signal = !this->last_decrease || now - *this->last_decrease >= decrease_interval;
        if (is_new_signal) {
            const auto in_use = static_cast<double>(this->running.size());
            this->adaptive_limit = std::max(1.0, std::min(this->adaptive_limit, in_use) * shed_decrease);
            this->last_decrease = now;
        }
        return;
    }
    // A call that failed early gives no information on the service time.
    if (outcome == run_outcome::failed && service_time < this->mean_service_time) {
        return;
    }
    const auto is_first = this->mean_service_time.count() == 0;
    this->mean_service_time +=
        is_first ? service_time : (service_time - this->mean_service_time) / service_time_divisor;
    if (outcome == run_outcome::answered) {
        // Additive increase: the limit grows by one in as many responses as it allows at once, which is about
        // one for each service time.
        const auto slots = static_cast<double>(this->settings.slots);
        this->adaptive_limit = std::min(slots, this->adaptive_limit + 1.0 / this->adaptive_limit);
    }
}

} // namespace kumquatdrift
