#ifndef KUMQUATDRIFT_MESH_LINK_DELAY_HPP
#define KUMQUATDRIFT_MESH_LINK_DELAY_HPP

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/**
 * @brief Estimates the queueing delay of the link to a node: the round trip of its pings minus the shortest
 * round trip seen, which is the latency of the link itself. Rises with the first slow ping, also while that
 * is unanswered, and falls gradually, so that the requests of all nodes do not return to a link at once. Not
 * synchronised.
 */
class link_delay {
public:
    /*! @brief Time in seconds in which the delay halves after a faster ping. It falls to a sixteenth in a
     *         second, which is about three pings of a link in use. */
    static constexpr double half_life_s = 0.25;
    /*! @brief Time in seconds in which the weight of a ping halves in the mean delay for each request in
     *         transit. It spans several ping intervals, and a link that is no longer used is forgotten soon.
     */
    static constexpr double mean_half_life_s = 5.0;

    /**
     * @brief Records that a ping was sent. Only one ping is outstanding at a time.
     * @param now Current time.
     * @param in_transit Number of requests that were sent and had not arrived.
     */
    void on_ping(timestamp now, std::uint32_t in_transit) noexcept
    {
        this->ping_sent_at = now;
        this->in_transit_at_ping = in_transit;
    }

    /**
     * @brief Records the reply to the outstanding ping. Ignored if there is none.
     * @param now Current time.
     */
    void on_pong(timestamp now) noexcept
    {
        if (!this->ping_sent_at) {
            return;
        }
        const auto falling = this->falling_at(now);
        const auto round_trip = now - *this->ping_sent_at;
        this->ping_sent_at.reset();
        this->shortest = std::min(this->shortest.value_or(round_trip), round_trip);
        this->latest = round_trip - *this->shortest;
        this->peak = std::max(falling, this->latest);
        if (this->in_transit_at_ping > 0) {
            const auto weight = this->weight_at(now);
            this->delay_sum = this->delay_sum * weight + static_cast<double>(this->latest.count());
            this->in_transit_sum = this->in_transit_sum * weight + this->in_transit_at_ping;
            this->summed_at = now;
        }
        this->peak_at = now;
    }

    /*! @brief Discards the outstanding ping, whose reply cannot arrive any more. */
    void on_link_closed() noexcept
    {
        this->ping_sent_at.reset();
    }

    /**
     * @brief Returns the queueing delay.
     * @param now Current time.
     * @return Delay of both directions together; 0 until a ping was sent.
     */
    [[nodiscard]] microseconds at(timestamp now) const noexcept
    {
        const auto measured = std::max(this->latest, this->falling_at(now));
        if (!this->ping_sent_at) {
            return measured;
        }
        const auto age = now - *this->ping_sent_at;
        return std::max(measured, age - this->shortest.value_or(microseconds{0}));
    }

    /**
     * @brief Returns the time that the link is expected to need for requests in transit, at the mean delay
     * for each request in transit that recent pings have shown. It is known before the next ping shows it.
     * @param now Current time.
     * @param in_transit Number of requests that were sent and had not arrived.
     * @return Expected queueing delay.
     */
    [[nodiscard]] microseconds expected_at(timestamp now, std::uint32_t in_transit) const noexcept
    {
        const auto weight = this->weight_at(now);
        const auto each = this->delay_sum * weight / (this->in_transit_sum * weight + 1.0);
        return microseconds{static_cast<microseconds::rep>(each * in_transit)};
    }

private:
    [[nodiscard]] double weight_at(timestamp now) const noexcept
    {
        const auto elapsed = std::chrono::duration<double>{now - this->summed_at}.count();
        return std::exp2(-elapsed / mean_half_life_s);
    }

    [[nodiscard]] microseconds falling_at(timestamp now) const noexcept
    {
        const auto elapsed = std::chrono::duration<double>{now - this->peak_at}.count();
        const auto left = static_cast<double>(this->peak.count()) * std::exp2(-elapsed / half_life_s);
        return microseconds{static_cast<microseconds::rep>(left)};
    }

    std::optional<timestamp> ping_sent_at{};
    std::optional<microseconds> shortest{};
    microseconds latest{};
    microseconds peak{};
    timestamp peak_at{};
    std::uint32_t in_transit_at_ping{};
    /*! @brief Weighted sum of the delays, in microseconds, of pings sent behind requests in transit. */
    double delay_sum{};
    /*! @brief Weighted sum of the numbers of these requests. */
    double in_transit_sum{};
    timestamp summed_at{};
};

} // namespace kumquatdrift

#endif
