#include <kumquatdrift/traffic/admission.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace kumquatdrift {
namespace {

// Weight of a new service time in the mean: about the last 16 requests count.
constexpr std::int64_t service_time_divisor = 16;

// Decrease of the limit when the target sheds load, as in AIMD congestion control.
constexpr double shed_decrease = 0.75;

// Answers that were shed together are one signal. The limit would otherwise fall to 1 in one burst.
constexpr microseconds decrease_interval{100'000};

// Share of the slots that a cold target gets at first.
constexpr double cold_share = 0.1;

constexpr milliseconds least_retry_after{100};
constexpr milliseconds retry_after_drain{1'000};

} // namespace

admission::admission(const admission_settings& announced, timestamp now)
    : settings{announced}, cold_since{now}, draining{announced.state == target_state::draining},
      shed_limit{static_cast<double>(std::max(announced.slots, 1U))}
{
    this->settings.slots = std::max(announced.slots, 1U);
}

admission_decision admission::offer(const admission_request& request, timestamp now)
{
    if (this->draining) {
        return this->reject(rejection::draining, now);
    }
    const auto is_waiting = std::any_of(this->waiting.begin(), this->waiting.end(),
                                        [&](const auto& other) { return other.id == request.id; });
    if (is_waiting || this->running.contains(request.id)) {
        return this->reject(rejection::duplicate_id, now);
    }
    if (request.deadline <= now) {
        return this->reject(rejection::deadline, now);
    }
    const auto has_room = this->running.size() < this->limit(now);
    if (has_room && this->next_startable(now) == this->waiting.end()) {
        this->running.emplace(request.id, running_request{now, request.fingerprint});
        return {.kind = admission_kind::admitted, .reason = rejection::none, .retry_after = {}};
    }
    if (this->waiting.size() >= this->settings.queue_limit) {
        return this->reject(rejection::queue_full, now);
    }
    const auto ready_at = now + this->expected_wait(this->waiting.size(), now) + this->mean_service;
    if (ready_at > request.deadline) {
        return this->reject(rejection::deadline, now);
    }
    this->waiting.push_back(request);
    return {.kind = admission_kind::queued, .reason = rejection::none, .retry_after = {}};
}

std::vector<request_id> admission::finish(request_id id, run_outcome outcome, timestamp now)
{
    const auto found = this->running.find(id);
    assert(found != this->running.end());
    if (found == this->running.end()) {
        return {};
    }
    const auto held = now - found->second.started;
    this->observe(outcome, held, now);
    this->running.erase(found);
    return this->start_waiting(now);
}

std::vector<request_id> admission::expire(timestamp now)
{
    std::vector<request_id> dropped;
    std::erase_if(this->waiting, [&](const admission_request& request) {
        const auto is_dropped = this->draining || this->is_late(request, now);
        if (is_dropped) {
            dropped.push_back(request.id);
        }
        return is_dropped;
    });
    return dropped;
}

std::vector<request_id> admission::start_waiting(timestamp now)
{
    std::vector<request_id> started;
    while (!this->draining && this->running.size() < this->limit(now)) {
        const auto next = this->next_startable(now);
        if (next == this->waiting.end()) {
            break;
        }
        this->running.emplace(next->id, running_request{now, next->fingerprint});
        started.push_back(next->id);
        this->waiting.erase(next);
    }
    return started;
}

cancel_outcome admission::cancel(request_id id)
{
    if (this->running.contains(id)) {
        return cancel_outcome::running;
    }
    const auto removed = std::erase_if(this->waiting, [id](const auto& request) { return request.id == id; });
    return removed > 0 ? cancel_outcome::removed : cancel_outcome::unknown;
}

std::vector<request_id> admission::announce(const admission_settings& announced, timestamp now)
{
    const auto was_cold = this->settings.state == target_state::cold;
    if (announced.state == target_state::cold && !was_cold) {
        this->cold_since = now;
    }
    this->draining = this->draining || announced.state == target_state::draining;
    const auto was_unlimited = this->shed_limit >= this->settings.slots;
    this->settings = announced;
    this->settings.slots = std::max(announced.slots, 1U);
    const auto slots = static_cast<double>(this->settings.slots);
    this->shed_limit = was_unlimited ? slots : std::min(this->shed_limit, slots);
    return this->start_waiting(now);
}

std::vector<request_id> admission::drain()
{
    this->draining = true;
    std::vector<request_id> dropped;
    dropped.reserve(this->waiting.size());
    for (const auto& request : this->waiting) {
        dropped.push_back(request.id);
    }
    this->waiting.clear();
    return dropped;
}

load_report admission::load(timestamp now) const
{
    return {.in_use = static_cast<std::uint32_t>(this->running.size()),
            .queued = static_cast<std::uint32_t>(this->waiting.size()),
            .slots = this->limit(now)};
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
    return this->mean_service;
}

std::uint32_t admission::limit(timestamp now) const
{
    auto limited = std::min(this->shed_limit, static_cast<double>(this->settings.slots));
    if (this->settings.state == target_state::cold && this->settings.slow_start.count() > 0) {
        const std::chrono::duration<double> elapsed = now - this->cold_since;
        const auto share = elapsed / std::chrono::duration<double>{this->settings.slow_start};
        limited = std::min(limited, this->settings.slots * std::clamp(share, cold_share, 1.0));
    }
    return static_cast<std::uint32_t>(std::max(1.0, std::floor(limited)));
}

// Half the mean: a request faster than the mean may still be answered in time.
bool admission::is_late(const admission_request& request, timestamp now) const noexcept
{
    return request.deadline <= now || now + this->mean_service / 2 > request.deadline;
}

std::deque<admission_request>::iterator admission::next_startable(timestamp now)
{
    return std::find_if(this->waiting.begin(), this->waiting.end(),
                        [&](const admission_request& request) { return !this->is_late(request, now); });
}

microseconds admission::expected_wait(std::size_t ahead, timestamp now) const
{
    const auto turns = static_cast<std::int64_t>(ahead) + 1;
    return this->mean_service * turns / this->limit(now);
}

admission_decision admission::reject(rejection reason, timestamp now) const
{
    const auto wait = this->draining
                          ? retry_after_drain
                          : std::chrono::ceil<milliseconds>(this->expected_wait(this->waiting.size(), now));
    return {
        .kind = admission_kind::rejected, .reason = reason, .retry_after = std::max(wait, least_retry_after)};
}

void admission::observe(run_outcome outcome, microseconds held, timestamp now)
{
    if (outcome == run_outcome::shed) {
        const auto is_new_signal = !this->last_decrease || now - *this->last_decrease >= decrease_interval;
        if (is_new_signal) {
            const auto in_use = static_cast<double>(this->running.size());
            this->shed_limit = std::max(1.0, std::min(this->shed_limit, in_use) * shed_decrease);
            this->last_decrease = now;
        }
        return;
    }
    // A call that was cancelled early says nothing about the time that the target needs.
    if (outcome == run_outcome::failed && held < this->mean_service) {
        return;
    }
    const auto is_first = this->mean_service.count() == 0;
    this->mean_service += is_first ? held : (held - this->mean_service) / service_time_divisor;
    if (outcome == run_outcome::answered) {
        // One more after as many answers as the limit allows at once: about one per service time.
        const auto slots = static_cast<double>(this->settings.slots);
        this->shed_limit = std::min(slots, this->shed_limit + 1.0 / this->shed_limit);
    }
}

} // namespace kumquatdrift
