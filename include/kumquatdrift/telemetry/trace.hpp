#ifndef KUMQUATDRIFT_TELEMETRY_TRACE_HPP
#define KUMQUATDRIFT_TELEMETRY_TRACE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/circular_buffer.hpp>
#include <opentracing/tracer.h>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/telemetry/fwd.hpp>

namespace kumquatdrift {

/*! @brief W3C trace context, level 1. */
struct trace_context {
    /*! @brief Upper half of the trace id. */
    std::uint64_t trace_high{};
    /*! @brief Lower half of the trace id. */
    std::uint64_t trace_low{};
    /*! @brief Span id, not zero. */
    std::uint64_t span{};
    /*! @brief True if the spans of the trace are recorded. */
    bool sampled{};

    /*! @brief Compares all members. */
    bool operator==(const trace_context&) const = default;
};

/**
 * @brief Parses a `traceparent` header.
 * @param text Value of the header.
 * @return The context, or nothing if the text is malformed or an id is zero.
 */
[[nodiscard]] std::optional<trace_context> parse_traceparent(std::string_view text) noexcept;

/**
 * @brief Formats a `traceparent` header of version 00.
 * @param context The context.
 * @return The text, 55 characters.
 */
[[nodiscard]] std::string format_traceparent(const trace_context& context);

/**
 * @brief Starts a new trace.
 * @param sampled True if its spans are recorded.
 * @param rng Random engine.
 * @return The context of the root span.
 */
[[nodiscard]] trace_context start_trace(bool sampled, random_engine& rng);

/**
 * @brief Derives the context of a child span: same trace, same sampling flag, new span id.
 * @param parent Context of the parent.
 * @param rng Random engine.
 * @return Context of the child.
 */
[[nodiscard]] trace_context child_of(const trace_context& parent, random_engine& rng);

/*! @brief Span context of the OpenTracing API. */
class span_context : public opentracing::SpanContext {
public:
    /**
     * @brief Constructs a span context.
     * @param ids Trace id, span id and sampling flag.
     */
    explicit span_context(trace_context ids) noexcept : trace_ids{ids} {}

    /**
     * @brief Returns the trace context.
     * @return Trace id, span id and sampling flag.
     */
    [[nodiscard]] const trace_context& ids() const noexcept
    {
        return this->trace_ids;
    }

    // The OpenTracing API prescribes these names.
    // NOLINTBEGIN(readability-identifier-naming)
    /*! @brief Does nothing, because baggage is not supported. */
    void ForeachBaggageItem(
        std::function<bool(const std::string& key, const std::string& value)> visit) const override;
    /*! @brief Copies the context. */
    [[nodiscard]] std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override;
    /*! @brief Returns the trace id as 32 hexadecimal digits. */
    [[nodiscard]] std::string ToTraceID() const noexcept override;
    /*! @brief Returns the span id as 16 hexadecimal digits. */
    [[nodiscard]] std::string ToSpanID() const noexcept override;
    // NOLINTEND(readability-identifier-naming)

private:
    trace_context trace_ids;
};

/*! @brief Record of a finished span, as the tracer stores and writes it. */
struct finished_span {
    /*! @brief Trace id, span id and sampling flag. */
    trace_context ids{};
    /*! @brief Id of the parent span, 0 if there is none. */
    std::uint64_t parent{};
    /*! @brief Name of the operation. */
    std::string operation{};
    /*! @brief Start in microseconds since the epoch. */
    std::int64_t start_us{};
    /*! @brief Duration in microseconds. */
    std::int64_t duration_us{};
    /*! @brief Tags as pairs of name and JSON value. */
    std::vector<std::pair<std::string, std::string>> tags{};
};

/**
 * @brief Formats a span as one line of JSON, without newline.
 * @param span The span.
 * @return The JSON object.
 */
[[nodiscard]] std::string to_json(const finished_span& span);

/*! @brief Tracer that keeps the latest sampled spans in a ring buffer. Thread-safe. */
class ring_tracer : public opentracing::Tracer, public std::enable_shared_from_this<ring_tracer> {
public:
    /**
     * @brief Creates a tracer.
     * @param capacity Largest number of stored spans, at least one; the oldest are overwritten.
     * @param sample_new_traces True if traces that this tracer starts are sampled.
     * @return The tracer.
     */
    [[nodiscard]] static std::shared_ptr<ring_tracer> create(std::size_t capacity, bool sample_new_traces);

    /**
     * @brief Writes the stored spans as lines of JSON, oldest first, and removes them.
     * @param sink Receives one line per call, without newline.
     * @return Number of spans written.
     */
    std::size_t write_spans(const std::function<void(std::string_view line)>& sink);

    /**
     * @brief Stores a finished span. Called by spans when they finish.
     * @param span The span.
     */
    void store(finished_span span) const noexcept;

    // The OpenTracing API prescribes these names.
    // NOLINTBEGIN(readability-identifier-naming)
    /*! @brief Starts a span. Without a parent, starts a new trace. */
    [[nodiscard]] std::unique_ptr<opentracing::Span>
    StartSpanWithOptions(opentracing::string_view operation,
                         const opentracing::StartSpanOptions& options) const noexcept override;
    /*! @brief Not supported. */
    opentracing::expected<void> Inject(const opentracing::SpanContext& context,
                                       std::ostream& writer) const override;
    /*! @brief Sets `traceparent`. */
    opentracing::expected<void> Inject(const opentracing::SpanContext& context,
                                       const opentracing::TextMapWriter& writer) const override;
    /*! @brief Sets `traceparent`. */
    opentracing::expected<void> Inject(const opentracing::SpanContext& context,
                                       const opentracing::HTTPHeadersWriter& writer) const override;
    /*! @brief Not supported. */
    [[nodiscard]] opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(std::istream& reader) const override;
    /*! @brief Reads `traceparent`; returns a null pointer if it is missing or malformed. */
    [[nodiscard]] opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(const opentracing::TextMapReader& reader) const override;
    /*! @brief Reads `traceparent`; returns a null pointer if it is missing or malformed. */
    [[nodiscard]] opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(const opentracing::HTTPHeadersReader& reader) const override;
    // NOLINTEND(readability-identifier-naming)

private:
    ring_tracer(std::size_t capacity, bool sample_new_traces);

    bool sample_new;
    mutable std::mutex mutex{};
    mutable boost::circular_buffer<finished_span> spans;
};

} // namespace kumquatdrift

#endif
