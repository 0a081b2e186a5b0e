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

/*! @brief Counters of one route at one listener. */
struct route_metrics {
    /*! @brief Requests in flight, for the limit of the route. */
    std::atomic<std::uint32_t> in_flight{};
    /*! @brief Answers by class of status: index 2 counts 2xx. */
    std::array<counter*, 6> answers{};
    /*! @brief Retries. */
    counter* retries{};
    /*! @brief Time from the head of the request to the end of the answer. */
    latency_histogram* latency{};
};

/*! @brief Lets one log line per second through, so that an outage does not flood the log. Safe for any
 * thread. */
class log_limit {
public:
    /*! @brief Checks whether a line may be written now. @return True at most once a second. */
    [[nodiscard]] bool allow() noexcept;

private:
    std::atomic<std::int64_t> next_us{};
};

/*! @brief Counters of all routes at one listener. Safe for any thread. */
class metrics_by_route {
public:
    /**
     * @brief Constructs an empty set.
     * @param registry Registry; outlives this.
     * @param listener Name of the listener, used as label.
     */
    metrics_by_route(metrics_registry& registry, std::string listener);

    /**
     * @brief Finds or creates the counters of a route.
     * @param route Name of the route.
     * @return The counters.
     */
    [[nodiscard]] route_metrics& of(std::string_view route);

private:
    metrics_registry& all;
    std::string label;
    std::shared_mutex mutex{};
    std::map<std::string, std::unique_ptr<route_metrics>, std::less<>> routes{};
};

/*! @brief Counts a request in flight for as long as it lives. */
class in_flight_guard {
public:
    /**
     * @brief Counts the request.
     * @param in_flight Counter.
     */
    explicit in_flight_guard(std::atomic<std::uint32_t>& in_flight) noexcept
        : number{in_flight}, present{in_flight.fetch_add(1) + 1}
    {
    }

    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

    ~in_flight_guard()
    {
        this->number.fetch_sub(1);
    }

    /*! @brief Returns the number of requests in flight when this one came, itself included. */
    [[nodiscard]] std::uint32_t count() const noexcept
    {
        return this->present;
    }

private:
    std::atomic<std::uint32_t>& number;
    std::uint32_t present;
};

/*! @brief Counters of attempts that brought no answer, by the way in which they ended. */
class failure_metrics {
public:
    /**
     * @brief Registers the counters.
     * @param registry Registry; outlives this.
     */
    explicit failure_metrics(metrics_registry& registry);

    /**
     * @brief Counts an attempt if it brought no answer.
     * @param end How it ended.
     */
    void note(hop_end end) noexcept;

private:
    std::array<counter*, enum_names<hop_end>::table.size()> by_end{};
};

/*! @brief Span of one hop. Works without a tracer too, then it only derives ids. */
class hop_span {
public:
    /**
     * @brief Starts a span.
     * @param tracer Tracer; may be null.
     * @param operation Name of the hop.
     * @param parent Context of the parent; a new trace is started without one.
     */
    hop_span(const std::shared_ptr<ring_tracer>& tracer, std::string_view operation,
             const std::optional<trace_context>& parent);

    /*! @brief Returns the context to pass on. */
    [[nodiscard]] const trace_context& context() const noexcept
    {
        return this->ids;
    }

    /**
     * @brief Sets a tag; does nothing if the trace is not sampled.
     * @param name Name.
     * @param value Value.
     */
    void tag(std::string_view name, const opentracing::Value& value);

private:
    std::unique_ptr<opentracing::Span> span{};
    trace_context ids{};
};

} // namespace kumquatdrift::internal

#endif
