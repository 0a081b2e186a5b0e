#include <kumquatdrift/traffic/cap_tokens.hpp>

#include <algorithm>

namespace kumquatdrift {
namespace {

/*! @brief Interval in which admitted requests are counted; as many are asked for ahead as half of it took. */
constexpr microseconds count_interval{100'000};
/*! @brief Shortest and longest time for which the home node isn't asked again after it had no token left. */
constexpr microseconds min_refusal_time{5'000};
constexpr microseconds max_refusal_time{50'000};

} // namespace

bool cap_tokens::try_use(timestamp now)
{
    while (!this->batches.empty() &&
           (this->batches.front().count == 0 || this->batches.front().expires <= now)) {
        this->batches.erase(this->batches.begin());
    }
    if (this->batches.empty()) {
        return false;
    }
    --this->batches.front().count;
    if (now - this->interval_start >= count_interval) {
        const auto adjacent = now - this->interval_start < 2 * count_interval;
        this->admitted_before = adjacent ? this->admitted : 0;
        this->admitted = 0;
        this->interval_start = now;
    }
    ++this->admitted;
    return true;
}

std::optional<cap_grant> cap_tokens::refusal(timestamp now) const
{
    return this->refused_until > now ? std::optional{this->refused} : std::nullopt;
}

std::uint32_t cap_tokens::ask(std::size_t waiting, timestamp now)
{
    if (this->asked_at) {
        return 0;
    }
    this->asked_at = now;
    ++this->number;
    const auto recent =
        now - this->interval_start < 2 * count_interval ? std::max(this->admitted, this->admitted_before) : 0;
    return static_cast<std::uint32_t>(waiting) + recent / 2;
}

bool cap_tokens::on_grant(std::uint32_t answered, const cap_grant& grant, timestamp now)
{
    if (!this->asked_at || answered != this->number) {
        return false;
    }
    if (grant.granted > 0) {
        this->batches.push_back({grant.granted, *this->asked_at + cap_ledger::token_lifetime});
    }
    this->asked_at.reset();
    if (grant.wait > microseconds{0}) {
        this->refused = grant;
        this->refused_until = now + std::clamp(grant.wait, min_refusal_time, max_refusal_time);
    }
    return true;
}

bool cap_tokens::expire(timestamp now)
{
    if (!this->asked_at || now - *this->asked_at < response_timeout) {
        return false;
    }
    this->asked_at.reset();
    return true;
}

} // namespace kumquatdrift
