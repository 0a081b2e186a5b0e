#include <kumquatdrift/traffic/nested_room.hpp>

#include <algorithm>

namespace kumquatdrift {
namespace {

/*! @brief Factor on the limit when a nested call is refused. */
constexpr double decrease = 0.7;

/*! @brief Share of the slots by which the limit rises in a second. */
constexpr double increase_per_s = 0.2;

/*! @brief Shortest time between two decreases: refusals at the same moment have the same cause. */
constexpr microseconds decrease_interval{100'000};

/*! @brief Smallest limit, as a share of the slots. Calls may be refused for causes outside this service. */
constexpr double min_share = 0.25;

/*! @brief Weight of the newest request in the share of those that make calls. */
constexpr double newest_weight = 0.05;

/*! @brief Share of the requests from which a route counts as one that makes calls. */
constexpr double significant_share = 0.1;

/*! @brief Share below which a route is forgotten. */
constexpr double forgotten_share = 0.01;

} // namespace

double nested_room::limit_at(std::uint32_t slots, timestamp now) const noexcept
{
    if (this->lowered_to == 0.0) {
        return slots;
    }
    const std::chrono::duration<double> risen = now - this->lowered_at;
    return std::min<double>(slots, this->lowered_to + slots * increase_per_s * risen.count());
}

void nested_room::on_call_ended(bool refused, std::uint32_t slots, timestamp now) noexcept
{
    if (!refused || (this->lowered_to > 0.0 && now - this->lowered_at < decrease_interval)) {
        return;
    }
    this->lowered_to = std::max({1.0, slots * min_share, this->limit_at(slots, now) * decrease});
    this->lowered_at = now;
}

std::uint32_t nested_room::limit(std::uint32_t slots, timestamp now) const noexcept
{
    return std::max(1U, static_cast<std::uint32_t>(this->limit_at(slots, now)));
}

void nested_call_routes::on_run_ended(std::uint32_t route, bool made_calls)
{
    const auto found = this->shares.find(route);
    if (route == 0 || (found == this->shares.end() && !made_calls)) {
        return;
    }
    if (found == this->shares.end()) {
        if (this->shares.size() >= max_routes) {
            this->shares.clear();
        }
        this->shares.emplace(route, 1.0);
        return;
    }
    found->second += (static_cast<double>(made_calls) - found->second) * newest_weight;
    if (found->second < forgotten_share) {
        this->shares.erase(found);
    }
}

bool nested_call_routes::contains(std::uint32_t route) const noexcept
{
    const auto found = this->shares.find(route);
    return found != this->shares.end() && found->second >= significant_share;
}

} // namespace kumquatdrift
