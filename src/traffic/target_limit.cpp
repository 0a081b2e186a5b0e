#include <kumquatdrift/traffic/target_limit.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatdrift {
namespace {

double capacity(double rate) noexcept
{
    return std::max(1.0, rate * std::chrono::duration<double>{target_limit::burst}.count());
}

} // namespace

void target_limit::on_response(std::optional<double> named, timestamp sent, timestamp now) noexcept
{
    this->known = true;
    if (named) {
        this->named_at = now;
        this->set(*named, now);
    }
    else if (this->limit && sent >= this->named_at && now - this->named_at >= hold_time) {
        this->limit.reset();
    }
}

void target_limit::restore(double rate, timestamp now) noexcept
{
    if (!this->known) {
        this->named_at = now;
        this->set(rate, now);
    }
}

void target_limit::set(double rate, timestamp now) noexcept
{
    const auto effective = std::max(rate, min_rate);
    // The requests of the time before are not counted, so a new limit starts without a burst.
    this->tokens = this->limit ? std::min(this->available(now), capacity(effective)) : 0.0;
    this->refilled_at = now;
    this->limit = effective;
}

double target_limit::available(timestamp now) const noexcept
{
    const std::chrono::duration<double> elapsed = std::max(now - this->refilled_at, microseconds{0});
    return std::min(this->tokens + elapsed.count() * *this->limit, capacity(*this->limit));
}

bool target_limit::try_take(timestamp now) noexcept
{
    if (!this->limit) {
        return true;
    }
    this->tokens = this->available(now);
    this->refilled_at = now;
    if (this->tokens < 1.0) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

microseconds target_limit::wait(std::size_t ahead, timestamp now) const noexcept
{
    if (!this->limit) {
        return microseconds{0};
    }
    const auto missing = static_cast<double>(ahead) + 1.0 - this->available(now);
    return microseconds{
        static_cast<microseconds::rep>(std::ceil(std::max(missing, 0.0) * 1e6 / *this->limit))};
}

} // namespace kumquatdrift
