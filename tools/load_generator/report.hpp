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

/*! @brief Latency histogram with logarithmic bins of 2%, from 1 microsecond to 100 seconds. */
class latency_histogram {
public:
    /*! @brief Records a latency. @param latency The latency. */
    void add(kumquatdrift::microseconds latency)
    {
        this->bins(static_cast<double>(std::max<std::int64_t>(latency.count(), 1)));
        this->largest = std::max(this->largest, latency);
        ++this->count;
    }

    /*! @brief Adds the latencies of another histogram. @param other The other histogram. */
    void merge(const latency_histogram& other)
    {
        this->bins += other.bins;
        this->largest = std::max(this->largest, other.largest);
        this->count += other.count;
    }

    /**
     * @brief Estimates a quantile as the upper bound of its bin, so at most 2% too large.
     * @param fraction Fraction of the calls, 0 to 1.
     * @return Latency in milliseconds.
     */
    [[nodiscard]] double quantile_ms(double fraction) const
    {
        const auto rank = fraction * static_cast<double>(this->count);
        double cumulative{};
        for (auto bin : boost::histogram::indexed(this->bins)) {
            cumulative += *bin;
            if (cumulative >= rank && cumulative > 0) {
                return std::min(bin.bin().upper() / us_per_ms, this->max_ms());
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

    decltype(boost::histogram::make_histogram(axis_type{930, 1.0, 1e8})) bins{
        boost::histogram::make_histogram(axis_type{930, 1.0, 1e8})};
    kumquatdrift::microseconds largest{};
    std::uint64_t count{};
};

/*! @brief Results of one thread, or the totals of all threads. */
struct report {
    /*! @brief Calls sent. */
    std::uint64_t sent{};
    /*! @brief Complete responses with a status below 400. */
    std::uint64_t ok{};
    /*! @brief Responses by status; `broken` counts calls without a complete response. */
    std::map<std::string, std::uint64_t> by_status{};
    /*! @brief Responses by the execution verdict in their verdict header. */
    std::map<std::string, std::uint64_t> by_verdict{};
    /*! @brief Latency from the scheduled start, so including late starts, to the end of the response. */
    latency_histogram from_schedule{};
    /*! @brief Latency from the actual send to the end of the response. */
    latency_histogram from_send{};

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
