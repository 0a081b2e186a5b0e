#ifndef KUMQUATDRIFT_CORE_TOKEN_BUCKET_HPP
#define KUMQUATDRIFT_CORE_TOKEN_BUCKET_HPP

#include <algorithm>
#include <cassert>
#include <optional>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/*! @brief Token bucket rate limiter. Not thread-safe. */
class token_bucket {
public:
    /**
     * @brief Constructs a full bucket.
     * @param tokens_per_second Refill rate, at least zero.
     * @param burst Capacity in tokens.
     */
    token_bucket(double tokens_per_second, double burst) noexcept
        : rate{tokens_per_second}, capacity{burst}, tokens{burst}
    {
        assert(tokens_per_second >= 0.0 && burst >= 0.0);
    }

    /**
     * @brief Takes tokens if enough are available.
     * @param amount Number of tokens.
     * @param now Current time.
     * @return True if the tokens were taken.
     */
    [[nodiscard]] bool try_take(double amount, timestamp now) noexcept
    {
        this->refill(now);
        if (this->tokens < amount) {
            return false;
        }
        this->tokens -= amount;
        return true;
    }

    /**
     * @brief Adds tokens up to the capacity.
     * @param amount Number of tokens.
     */
    void add(double amount) noexcept
    {
        this->tokens = std::min(this->capacity, this->tokens + amount);
    }

    /**
     * @brief Returns the number of tokens available.
     * @param now Current time.
     * @return Number of tokens.
     */
    [[nodiscard]] double available(timestamp now) noexcept
    {
        this->refill(now);
        return this->tokens;
    }

private:
    void refill(timestamp now) noexcept
    {
        if (!this->last) {
            this->last = now;
        }
        if (now > *this->last) {
            const std::chrono::duration<double> elapsed = now - *this->last;
            this->add(elapsed.count() * this->rate);
            this->last = now;
        }
    }

    double rate;
    double capacity;
    double tokens;
    std::optional<timestamp> last{};
};

} // namespace kumquatdrift

#endif
