#include "body_grants.hpp"

#include <algorithm>

namespace kumquatdrift {
namespace {

/*! @brief Weight of the newest body in the mean time for each byte. */
constexpr double newest_weight = 0.2;

std::size_t bytes_in_transit(const body_grants& grants) noexcept
{
    std::size_t bytes{};
    for (const auto& body : grants.granted) {
        bytes += body.offer.bytes;
    }
    return bytes;
}

template<typename Predicate>
void forget_if(body_grants& grants, Predicate matches)
{
    std::erase_if(grants.waiting, matches);
    std::erase_if(grants.granted, [&](const body_grants::granted_body& body) { return matches(body.offer); });
}

} // namespace

microseconds expected_grant_wait(const body_grants& grants) noexcept
{
    auto bytes_before = bytes_in_transit(grants);
    for (const auto& offer : grants.waiting) {
        bytes_before += offer.bytes;
    }
    const std::chrono::duration<double> wait{static_cast<double>(bytes_before) *
                                             grants.seconds_per_byte.value_or(0.0)};
    return std::chrono::duration_cast<microseconds>(wait);
}

bool add_offer(body_grants& grants, body_offer offer, microseconds time_left, timestamp now)
{
    const auto longest_wait = time_left / grant_wait_divisor;
    if (expected_grant_wait(grants) > longest_wait) {
        return false;
    }
    offer.refuse_at = now + longest_wait;
    grants.waiting.push_back(offer);
    return true;
}

std::vector<grant_decision> take_decisions(body_grants& grants, timestamp now)
{
    std::vector<grant_decision> decisions{};
    std::erase_if(grants.granted,
                  [now](const auto& body) { return now - body.granted_at >= max_grant_time; });
    std::erase_if(grants.waiting, [&](const body_offer& offer) {
        if (offer.refuse_at <= now) {
            decisions.push_back({offer, false});
        }
        return offer.refuse_at <= now;
    });
    auto in_transit = bytes_in_transit(grants);
    while (!grants.waiting.empty() &&
           (in_transit == 0 || in_transit + grants.waiting.front().bytes <= grants.window_bytes)) {
        const auto offer = grants.waiting.front();
        grants.waiting.pop_front();
        in_transit += offer.bytes;
        grants.granted.push_back({offer, now, in_transit});
        decisions.push_back({offer, true});
    }
    grants.is_window_full = grants.is_window_full || !grants.waiting.empty();
    return decisions;
}

void observe_line_delay(body_grants& grants, microseconds delay, timestamp now)
{
    if (now >= grants.interval_end) {
        if (grants.shortest_delay.value_or(microseconds{0}) > max_line_delay) {
            grants.window_bytes = std::max(grants.window_bytes / 4 * 3, min_window_bytes);
        }
        else if (grants.is_window_full) {
            grants.window_bytes = std::min(grants.window_bytes / 4 * 5, max_window_bytes);
        }
        grants.shortest_delay.reset();
        grants.is_window_full = false;
        grants.interval_end = now + window_interval;
    }
    grants.shortest_delay = std::min(grants.shortest_delay.value_or(delay), delay);
}

void on_body_arrived(body_grants& grants, const void* link, std::uint64_t id, timestamp now)
{
    const auto found = std::find_if(grants.granted.begin(), grants.granted.end(), [&](const auto& body) {
        return body.offer.link == link && body.offer.id == id;
    });
    if (found == grants.granted.end()) {
        return;
    }
    const auto sample = std::chrono::duration<double>{now - found->granted_at}.count() /
                        static_cast<double>(std::max<std::size_t>(found->bytes_in_transit, 1));
    const auto mean = grants.seconds_per_byte.value_or(sample);
    grants.seconds_per_byte = mean + (sample - mean) * newest_weight;
    grants.granted.erase(found);
}

void forget_offer(body_grants& grants, const void* link, std::uint64_t id)
{
    forget_if(grants, [&](const body_offer& offer) { return offer.link == link && offer.id == id; });
}

void forget_link(body_grants& grants, const void* link)
{
    forget_if(grants, [&](const body_offer& offer) { return offer.link == link; });
}

} // namespace kumquatdrift
