#ifndef KUMQUATDRIFT_LOAD_GENERATOR_REPORT_HPP
#define KUMQUATDRIFT_LOAD_GENERATOR_REPORT_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <kumquatdrift/core/time.hpp>

namespace load_generator {

/*! @brief Latencies in logarithmic cells of 2%, from 1 microsecond to 100 seconds. */
class latencies {
public:
    /*! @brief Counts a latency. @param time The latency. */
    void add(kumquatdrift::microseconds time)
    {
        this->cells(static_cast<double>(std::max<std::int64_t>(time.count(), 1)));
        this->largest = std::max(this->largest, time);
        ++this->count;
    }

    /*! @brief Adds the latencies of another thread. @param other The other latencies. */
    void merge(const latencies& other)
    {
        this->cells += other.cells;
        this->largest = std::max(this->largest, other.largest);
        this->count += other.count;
    }

    /**
     * @brief Estimates a quantile from above, at most 2% too large.
     * @param share Share of the calls, 0 to 1.
     * @return Latency in milliseconds.
     */
    [[nodiscard]] double quantile_ms(double share) const
    {
        const auto wanted = share * static_cast<double>(this->count);
        double seen{};
        for (auto cell : boost::histogram::indexed(this->cells)) {
            seen += *cell;
            if (seen >= wanted && seen > 0) {
                return std::min(cell.bin().upper() / us_per_ms, this->max_ms());
            }
        }
        return this->max_ms();
    }

    /*! @brief Returns the largest latency in milliseconds. */
    [[nodiscard]] double max_ms() const
    {
        return static_cast<double>(this->largest.count()) / us_per_ms;
    }

private:
    static constexpr double us_per_ms = 1'000.0;
    using axis_type = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    decltype(boost::histogram::make_histogram(axis_type{930, 1.0, 1e8})) cells{
        boost::histogram::make_histogram(axis_type{930, 1.0, 1e8})};
    kumquatdrift::microseconds largest{};
    std::uint64_t count{};
};

/*! @brief Results of one thread, or of all. */
struct report {
    /*! @brief Calls that were started. */
    std::uint64_t sent{};
    /*! @brief Complete answers with a status below 400. */
    std::uint64_t ok{};
    /*! @brief Answers by status; `broken` counts calls without a complete answer. */
    std::map<std::string, std::uint64_t> by_status{};
    /*! @brief Answers by the verdict that the system stated. */
    std::map<std::string, std::uint64_t> by_verdict{};
    /*! @brief Time from the scheduled start to the complete answer. */
    latencies from_schedule{};
    /*! @brief Time from the actual start to the complete answer. */
    latencies from_send{};

    /*! @brief Adds the results of another thread. @param other The other results. */
    void merge(const report& other)
    {
        this->sent += other.sent;
        this->ok += other.ok;
        for (const auto& [status, count] : other.by_status) {
            this->by_status[status] += count;
        }
        for (const auto& [verdict, count] : other.by_verdict) {
            this->by_verdict[verdict] += count;
        }
        this->from_schedule.merge(other.from_schedule);
        this->from_send.merge(other.from_send);
    }
};

} // namespace load_generator

#endif
