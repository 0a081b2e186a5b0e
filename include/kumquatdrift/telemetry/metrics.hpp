#ifndef KUMQUATDRIFT_TELEMETRY_METRICS_HPP
#define KUMQUATDRIFT_TELEMETRY_METRICS_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <kumquatdrift/telemetry/fwd.hpp>

namespace kumquatdrift {

/*! @brief Label that distinguishes the series of one metric. */
struct metric_label {
    /*! @brief Name: letters, digits and underscores. */
    std::string name{};
    /*! @brief Value: any text. */
    std::string value{};

    /*! @brief Orders by name, then value. */
    bool operator<(const metric_label& other) const noexcept
    {
        return std::tie(this->name, this->value) < std::tie(other.name, other.value);
    }
};

/*! @brief Monotonically increasing counter. Thread-safe. */
class counter {
public:
    /**
     * @brief Increments the counter.
     * @param amount Increment.
     */
    void add(std::uint64_t amount = 1) noexcept
    {
        this->count.fetch_add(amount, std::memory_order_relaxed);
    }

    /*! @brief Returns the count. */
    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return this->count.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> count{};
};

/*! @brief Value that can increase and decrease. Thread-safe. */
class gauge {
public:
    /**
     * @brief Replaces the value.
     * @param new_value New value.
     */
    void set(std::int64_t new_value) noexcept
    {
        this->current.store(new_value, std::memory_order_relaxed);
    }

    /**
     * @brief Adds to the value.
     * @param amount Amount to add; may be negative.
     */
    void add(std::int64_t amount) noexcept
    {
        this->current.fetch_add(amount, std::memory_order_relaxed);
    }

    /*! @brief Returns the value. */
    [[nodiscard]] std::int64_t value() const noexcept
    {
        return this->current.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> current{};
};

/*! @brief Histogram of durations in seconds. Thread-safe. */
class latency_histogram {
public:
    /**
     * @brief Constructs an empty histogram.
     * @param bounds Upper bounds of the buckets in seconds: at least two, strictly ascending and above zero.
     */
    explicit latency_histogram(const std::vector<double>& bounds);

    /**
     * @brief Records a duration.
     * @param seconds The duration in seconds.
     */
    void observe(double seconds);

    /**
     * @brief Returns the cumulative count of each bucket.
     * @return Pairs of upper bound in seconds and cumulative count, ascending; the last bound is infinity.
     */
    [[nodiscard]] std::vector<std::pair<double, std::uint64_t>> buckets() const;

    /**
     * @brief Returns the sum of all durations.
     * @return The sum in seconds.
     */
    [[nodiscard]] double sum() const noexcept
    {
        return this->total.load(std::memory_order_relaxed);
    }

private:
    using axis_type = boost::histogram::axis::variable<double>;
    using cell_type = boost::histogram::accumulators::thread_safe<std::uint64_t>;
    using storage_type = boost::histogram::dense_storage<cell_type>;

    boost::histogram::histogram<std::tuple<axis_type>, storage_type> cells;
    std::atomic<double> total{};
};

/**
 * @brief Returns the bucket bounds for request latencies.
 * @return Bounds from 50 microseconds to 10 seconds, dense around 1.1 ms, the budget of the latency that the
 * mesh adds to a request.
 */
[[nodiscard]] std::vector<double> latency_bounds();

/**
 * @brief Registry of all metrics of a process. Thread-safe.
 *
 * Lookups take a lock and allocate. Callers on the request path keep the returned reference, which is valid
 * as long as the registry exists.
 */
class metrics_registry {
public:
    /*! @brief Labels of one series. */
    using labels = std::vector<metric_label>;

    /**
     * @brief Finds or creates a counter.
     * @param name Name of the metric; by convention it ends in `_total`.
     * @param help Description, one line.
     * @param series Labels of the series.
     * @return The counter.
     */
    [[nodiscard]] counter& counter_of(std::string_view name, std::string_view help, labels series = {});

    /**
     * @brief Finds or creates a gauge.
     * @param name Name of the metric.
     * @param help Description, one line.
     * @param series Labels of the series.
     * @return The gauge.
     */
    [[nodiscard]] gauge& gauge_of(std::string_view name, std::string_view help, labels series = {});

    /**
     * @brief Finds or creates a histogram with the bounds of `latency_bounds`.
     * @param name Name of the metric; by convention it ends in `_seconds`.
     * @param help Description, one line.
     * @param series Labels of the series.
     * @return The histogram.
     */
    [[nodiscard]] latency_histogram& histogram_of(std::string_view name, std::string_view help,
                                                  labels series = {});

    /**
     * @brief Adds a gauge whose value is read at each call of `exposition`.
     * @param name Name of the metric.
     * @param help Description, one line.
     * @param read Returns the value; called on the thread that calls `exposition`, with the registry locked.
     */
    void add_gauge_callback(std::string_view name, std::string_view help, std::function<double()> read);

    /**
     * @brief Formats all metrics in the Prometheus text exposition format, version 0.0.4.
     * @return The text.
     */
    [[nodiscard]] std::string exposition() const;

private:
    struct family {
        std::string help{};
        std::map<labels, std::unique_ptr<counter>> counters{};
        std::map<labels, std::unique_ptr<gauge>> gauges{};
        std::map<labels, std::unique_ptr<latency_histogram>> histograms{};
        std::function<double()> read{};
    };

    family& family_of(std::string_view name, std::string_view help);

    mutable std::mutex mutex{};
    std::map<std::string, family, std::less<>> families{};
};

} // namespace kumquatdrift

#endif
