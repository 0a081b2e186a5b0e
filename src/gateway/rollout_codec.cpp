#include "rollout_codec.hpp"

#include <algorithm>

namespace kumquatdrift {
namespace {

std::uint64_t millisecond_count(microseconds duration)
{
    return static_cast<std::uint64_t>(
        std::max<milliseconds::rep>(std::chrono::duration_cast<milliseconds>(duration).count(), 0));
}

/*! @brief Longest time that is accepted from another node: a year. */
constexpr std::uint64_t max_time_ms = 31'536'000'000;

milliseconds decode_time(std::uint64_t time_ms)
{
    return milliseconds{static_cast<milliseconds::rep>(std::min(time_ms, max_time_ms))};
}

void encode(const outcome_counts& counts, hop::RolloutEvidence::Outcomes& message)
{
    message.set_failed(counts.failed);
    message.set_succeeded(counts.succeeded);
    auto used = counts.by_time.size();
    while (used > 0 && counts.by_time.at(used - 1) == 0) {
        --used;
    }
    for (std::size_t number = 0; number < used; ++number) {
        message.add_by_time(counts.by_time.at(number));
    }
}

outcome_counts decode(const hop::RolloutEvidence::Outcomes& message)
{
    outcome_counts counts{message.failed(), message.succeeded(), {}};
    const auto size = std::min(counts.by_time.size(), static_cast<std::size_t>(message.by_time_size()));
    std::copy_n(message.by_time().begin(), size, counts.by_time.begin());
    return counts;
}

} // namespace

void encode(const rollout& state, timestamp now, hop::Rollout& message)
{
    message.set_service(state.order.service);
    message.set_version(state.order.version);
    message.set_order(state.order.id);
    message.set_duration_ms(millisecond_count(state.order.duration));
    message.set_age_ms(millisecond_count(now - state.ordered_at));
    message.set_phase(static_cast<std::uint32_t>(state.phase));
}

std::optional<rollout> decode(const hop::Rollout& message, timestamp now)
{
    if (message.service().empty() || message.version().empty() ||
        message.phase() > static_cast<std::uint32_t>(rollout_phase::reverted)) {
        return std::nullopt;
    }
    return rollout{
        {message.service(), message.version(), decode_time(message.duration_ms()), message.order()},
        now - decode_time(message.age_ms()),
        static_cast<rollout_phase>(message.phase()),
        now};
}

void encode(const version_outcomes& outcomes, hop::RolloutEvidence& message)
{
    for (const auto& [route, counts] : outcomes) {
        auto& entry = *message.add_routes();
        entry.set_route(route);
        encode(counts.previous, *entry.mutable_previous());
        for (const auto& group : counts.target) {
            encode(group, *entry.add_target());
        }
    }
}

version_outcomes decode(const hop::RolloutEvidence& message)
{
    version_outcomes outcomes{};
    for (const auto& entry : message.routes()) {
        auto& counts = outcomes[entry.route()];
        counts.previous = decode(entry.previous());
        const auto groups = std::min(counts.target.size(), static_cast<std::size_t>(entry.target_size()));
        for (std::size_t group = 0; group < groups; ++group) {
            counts.target.at(group) = decode(entry.target(static_cast<int>(group)));
        }
    }
    return outcomes;
}

} // namespace kumquatdrift
