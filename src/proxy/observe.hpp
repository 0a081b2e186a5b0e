#ifndef KUMQUATDRIFT_PROXY_OBSERVE_HPP
#define KUMQUATDRIFT_PROXY_OBSERVE_HPP

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <shared_mutex>
#include <string>
#include <string_view>

#include <kumquatdrift/telemetry/metrics.hpp>
#include <kumquatdrift/telemetry/trace.hpp>
#include <kumquatdrift/traffic/verdicts.hpp>

namespace kumquatdrift::internal {

/*! @brief Metrics of one route at one listener. */
struct route_metrics {
    /*! @brief Requests in flight, compared with the limit of the route. */
    std::atomic<std::uint32_t> in_flight{};
    /*! @brief Responses by status class: index 2 counts 2xx. */
    std::array<counter*, 6> responses{};
    /*! @brief Attempts after the first one. */
    counter* retries{};
    /*! @brief Time from the head of the request to the end of the response in seconds. */
    latency_histogram* latency{};
};

/*! @brief Allows one log line per second, so that an outage does not flood the log. Thread-safe. */
class log_rate_limiter {
public:
    /*! @brief Checks whether a line may be written now. @return True at most once per second. */
    [[nodiscard]] bool allow() noexcept;

private:
    std::atomic<std::int64_t> next_us{};
};

/*! @brief Metrics of all routes at one listener. Thread-safe. */
class metrics_by_route {
public:
    /**
     * @brief Constructs an empty set.
     * @param registry Registry that holds the series; must outlive this object.
     * @param listener Value of the `listener` label.
     */
    metrics_by_route(metrics_registry& registry, std::string listener);

    /**
     * @brief Finds or creates the metrics of a route.
     * @param route Name of the route.
     * @return The metrics; valid as long as this object.
     */
    [[nodiscard]] route_metrics& of(std::string_view route);

private:
    metrics_registry& metrics;
    std::string listener_label;
    std::shared_mutex mutex{};
    std::map<std::string, std::unique_ptr<route_metrics>, std::less<>> routes{};
};

/*! @brief Counts a request as in flight during the lifetime of the guard. */
class in_flight_guard {
public:
    /**
     * @brief Increments the counter.
     * @param in_flight Counter of requests in flight; must outlive this object.
     */
    explicit in_flight_guard(std::atomic<std::uint32_t>& in_flight) noexcept
        : requests{in_flight}, count_at_start{in_flight.fetch_add(1) + 1}
    {
    }

    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

    ~in_flight_guard()
    {
        this->requests.fetch_sub(1);
    }

    /*! @brief Returns the number of requests in flight at construction, this one included. */
    [[nodiscard]] std::uint32_t count() const noexcept
    {
        return this->count_at_start;
    }

private:
    std::atomic<std::uint32_t>& requests;
    std::uint32_t count_at_start;
};

/*! @brief Counters of attempts that got no response, by how they ended. */
class failure_metrics {
public:
    /**
     * @brief Registers the counters.
     * @param registry Registry that holds the series; must outlive this object.
     */
    explicit failure_metrics(metrics_registry& registry);

    /**
     * @brief Counts an attempt unless it got a response.
     * @param end How the attempt ended.
     */
    void record(hop_end end) noexcept;

private:
    std::array<counter*, enum_names<hop_end>::table.size()> counter_by_end{};
};

/*! @brief Trace span of one hop. Without a tracer, or if the parent is not sampled, it only derives the ids
 * to propagate. */
class hop_span {
public:
    /**
     * @brief Starts a span.
     * @param tracer Tracer; may be null.
     * @param operation Name of the hop.
     * @param parent Context of the parent span; a new trace is started without one.
     */
    hop_span(const std::shared_ptr<ring_tracer>& tracer, std::string_view operation,
             const std::optional<trace_context>& parent);

    /*! @brief Returns the trace context to propagate. */
    [[nodiscard]] const trace_context& context() const noexcept
    {
        return this->ids;
    }

    /**
     * @brief Sets a tag; does nothing if the trace is not sampled.
     * @param name Name of the tag.
     * @param value Value of the tag.
     */
    void tag(std::string_view name, const opentracing::Value& value);

private:
    std::unique_ptr<opentracing::Span> span{};
    trace_context ids{};
};

} // namespace kumquatdrift::internal

#endif
