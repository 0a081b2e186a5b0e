#include <kumquatdrift/traffic/retry.hpp>

#include <algorithm>

#include <kumquatdrift/core/backoff.hpp>

namespace kumquatdrift {
namespace {

// Short compared to the shortest deadlines in use, long compared to the 1 to 6 ms that a request takes.
constexpr backoff_policy retry_backoff{.base = microseconds{10'000}, .cap = microseconds{250'000}};

constexpr microseconds min_retry_after{100'000};
constexpr microseconds max_retry_after{30'000'000};

constexpr double percent = 100.0;

bool is_safe_to_retry(const route_config& route, const failed_attempt& attempt) noexcept
{
    if (attempt.effect == verdict::not_run) {
        return true;
    }
    return attempt.effect == verdict::may_have_run && route.idempotent;
}

} // namespace

void retry_budget::on_first_attempt(std::uint32_t budget_percent) noexcept
{
    this->tokens.add(std::min(budget_percent, 100U) / percent);
}

bool retry_budget::try_take(timestamp now) noexcept
{
    return this->tokens.try_take(1.0, now);
}

retry_decision decide_retry(const route_config& route, const failed_attempt& attempt, retry_budget& budget,
                            timestamp now, random_engine& rng)
{
    const auto is_exhausted = attempt.attempts >= route.retry.max_attempts;
    const auto is_final = attempt.response_started || !attempt.body_replayable || attempt.quarantined;
    if (is_exhausted || is_final || !is_safe_to_retry(route, attempt)) {
        return {};
    }
    const auto delay = backoff_delay(retry_backoff, std::max(attempt.attempts, 1U) - 1, rng);
    if (now + delay >= attempt.deadline || !budget.try_take(now)) {
        return {};
    }
    return {.delay = delay};
}

milliseconds retry_after_for(std::size_t queued, std::uint32_t slots, microseconds service_time,
                             random_engine& rng)
{
    const auto queue_position = std::min<std::size_t>(queued + 1, 1'000'000);
    const auto capped = std::min(service_time, max_retry_after);
    const auto expected = capped * static_cast<std::int64_t>(queue_position) / std::max(slots, 1U);
    const auto middle = std::clamp<microseconds>(expected, min_retry_after * 2, max_retry_after * 2 / 3);
    return std::chrono::ceil<milliseconds>(middle / 2 + full_jitter(rng, middle));
}

} // namespace kumquatdrift
