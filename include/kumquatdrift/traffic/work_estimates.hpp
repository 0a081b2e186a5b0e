#ifndef KUMQUATDRIFT_TRAFFIC_WORK_ESTIMATES_HPP
#define KUMQUATDRIFT_TRAFFIC_WORK_ESTIMATES_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/*! @brief Number of ranks by which queued work is reported: nested calls, priorities, late requests. */
inline constexpr std::size_t work_rank_count = 8;

/*! @brief Rank of nested calls, which start before all others. */
inline constexpr std::size_t nested_work_rank = 0;

/*! @brief Rank of late requests, which start after all others. */
inline constexpr std::size_t late_work_rank = work_rank_count - 1;

/**
 * @brief Returns the rank of a request that is neither a nested call nor late.
 * @param priority Priority; 0 is the most urgent. The least urgent ones share a rank.
 * @return Rank between those of nested calls and of late requests.
 */
[[nodiscard]] constexpr std::size_t work_rank_of(std::uint32_t priority) noexcept
{
    return std::min<std::size_t>(priority + std::size_t{1}, late_work_rank - 1);
}

/**
 * @brief Returns the rank of a request.
 * @param priority Priority; 0 is the most urgent.
 * @param nested True for a nested call.
 * @param late True if the objective has passed.
 * @return Rank; requests of a lower one start first.
 */
[[nodiscard]] constexpr std::size_t work_rank_of(std::uint32_t priority, bool nested, bool late) noexcept
{
    return nested ? nested_work_rank : late ? late_work_rank : work_rank_of(priority);
}

/*! @brief Work that a target still has to do, as the time for which it will hold slots there. */
struct remaining_work {
    /*! @brief Work of the requests that run. */
    microseconds running{};
    /*! @brief Work of the queued requests by rank. */
    std::array<microseconds, work_rank_count> queued{};

    /**
     * @brief Returns the queued work that starts before a new request.
     * @param rank Rank of the new request.
     * @return Work of all ranks up to that one.
     */
    [[nodiscard]] constexpr microseconds queued_before(std::size_t rank) const noexcept
    {
        microseconds sum{};
        for (std::size_t index = 0; index <= rank && index < work_rank_count; ++index) {
            sum += this->queued[index];
        }
        return sum;
    }
};

/**
 * @brief Multiplies work by a factor.
 * @param work Work.
 * @param factor Factor, such as the slowness of a target.
 * @return The product.
 */
[[nodiscard]] constexpr remaining_work scaled(const remaining_work& work, double factor) noexcept
{
    const auto times = [factor](microseconds time) {
        return microseconds{static_cast<microseconds::rep>(static_cast<double>(time.count()) * factor)};
    };
    remaining_work product{times(work.running), {}};
    std::transform(work.queued.begin(), work.queued.end(), product.queued.begin(), times);
    return product;
}

} // namespace kumquatdrift

#endif
