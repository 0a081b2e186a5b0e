#include <kumquatdrift/telemetry/trace.hpp>

#include <cassert>
#include <charconv>
#include <chrono>

#include <Poco/JSONString.h>

#include <kumquatdrift/core/digest.hpp>
#include <kumquatdrift/proxy/headers.hpp>

namespace kumquatdrift {
namespace {

constexpr std::size_t traceparent_length = 55;

random_engine& thread_rng()
{
    thread_local random_engine rng{std::random_device{}()};
    return rng;
}

std::optional<std::uint64_t> parse_hex(std::string_view text) noexcept
{
    // The W3C specification allows lower-case digits only.
    if (text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
        return std::nullopt;
    }
    std::uint64_t value{};
    constexpr int base = 16;
    std::from_chars(text.data(), text.data() + text.size(), value, base);
    return value;
}

std::uint64_t random_nonzero_id(random_engine& rng)
{
    return std::uniform_int_distribution<std::uint64_t>{1}(rng);
}

struct json_value_visitor {
    std::string operator()(bool value) const
    {
        return value ? "true" : "false";
    }
    std::string operator()(double value) const
    {
        return std::to_string(value);
    }
    std::string operator()(std::int64_t value) const
    {
        return std::to_string(value);
    }
    std::string operator()(std::uint64_t value) const
    {
        return std::to_string(value);
    }
    std::string operator()(const std::string& value) const
    {
        return Poco::toJSON(value);
    }
    std::string operator()(const char* value) const
    {
        return Poco::toJSON(std::string{value});
    }
    template<typename Other>
    std::string operator()(const Other& /*value*/) const
    {
        return "null";
    }
};

std::string to_json_value(const opentracing::Value& value)
{
    return opentracing::Value::visit(value, json_value_visitor{});
}

// The OpenTracing API prescribes these names.
// NOLINTBEGIN(readability-identifier-naming)
class ring_span final : public opentracing::Span {
public:
    ring_span(std::shared_ptr<const ring_tracer> tracer, finished_span start,
              opentracing::SteadyTime steady_start)
        : owner{std::move(tracer)}, record{std::move(start)}, ids{record.ids}, started{steady_start}
    {
    }
    ring_span(const ring_span&) = delete;
    ring_span& operator=(const ring_span&) = delete;
    ~ring_span() override
    {
        this->Finish();
    }

    void FinishWithOptions(const opentracing::FinishSpanOptions& options) noexcept override
    {
        if (std::exchange(this->finished, true) || !this->record.ids.sampled) {
            return;
        }
        const auto elapsed = options.finish_steady_timestamp - this->started;
        this->record.duration_us = std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count();
        this->owner->store(std::move(this->record));
    }
    void SetOperationName(opentracing::string_view name) noexcept override
    {
        this->record.operation = name;
    }
    void SetTag(opentracing::string_view key, const opentracing::Value& value) noexcept override
    {
        if (!this->finished && this->record.ids.sampled) {
            this->record.tags.emplace_back(key, to_json_value(value));
        }
    }
    void SetBaggageItem(opentracing::string_view /*key*/,
                        opentracing::string_view /*value*/) noexcept override
    {
    }
    std::string BaggageItem(opentracing::string_view /*key*/) const noexcept override
    {
        return {};
    }
    void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
             /*fields*/) noexcept override
    {
    }
    void Log(opentracing::SystemTime /*time*/,
             std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
             /*fields*/) noexcept override
    {
    }
    void Log(opentracing::SystemTime /*time*/,
             const std::vector<std::pair<opentracing::string_view, opentracing::Value>>&
             /*fields*/) noexcept override
    {
    }
    const opentracing::SpanContext& context() const noexcept override
    {
        return this->ids;
    }
    const opentracing::Tracer& tracer() const noexcept override
    {
        return *this->owner;
    }

private:
    std::shared_ptr<const ring_tracer> owner;
    finished_span record;
    span_context ids;
    opentracing::SteadyTime started;
    bool finished{};
};
// NOLINTEND(readability-identifier-naming)

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
extract_from(const opentracing::TextMapReader& reader)
{
    std::unique_ptr<opentracing::SpanContext> found;
    const auto iteration =
        reader.ForeachKey([&found](opentracing::string_view key,
                                   opentracing::string_view value) -> opentracing::expected<void> {
            if (std::string_view{key.data(), key.size()} != trace_header) {
                return {};
            }
            if (const auto ids = parse_traceparent({value.data(), value.size()})) {
                found = std::make_unique<span_context>(*ids);
            }
            return {};
        });
    if (!iteration) {
        return opentracing::make_unexpected(iteration.error());
    }
    return found;
}

opentracing::expected<void> inject_into(const opentracing::SpanContext& context,
                                        const opentracing::TextMapWriter& writer)
{
    const auto* ring_context = dynamic_cast<const span_context*>(&context);
    if (ring_context == nullptr) {
        return opentracing::make_unexpected(opentracing::invalid_span_context_error);
    }
    return writer.Set(opentracing::string_view{trace_header.data(), trace_header.size()},
                      format_traceparent(ring_context->ids()));
}

} // namespace

std::optional<trace_context> parse_traceparent(std::string_view text) noexcept
{
    // Hexadecimal digits, separated by dashes: 2 of the version, 32 of the trace id, 16 of the span id, 2 of
    // the flags. Later versions may append a dash and further fields.
    if (text.size() < traceparent_length || text[2] != '-' || text[35] != '-' || text[52] != '-') {
        return std::nullopt;
    }
    const auto version = parse_hex(text.substr(0, 2));
    const auto high = parse_hex(text.substr(3, 16));
    const auto low = parse_hex(text.substr(19, 16));
    const auto span = parse_hex(text.substr(36, 16));
    const auto flags = parse_hex(text.substr(53, 2));
    constexpr std::uint64_t forbidden_version = 0xFF;
    if (!version || !high || !low || !span || !flags || *version == forbidden_version) {
        return std::nullopt;
    }
    const auto extended = text.size() > traceparent_length;
    if (extended && (*version == 0 || text[traceparent_length] != '-')) {
        return std::nullopt;
    }
    if ((*high == 0 && *low == 0) || *span == 0) {
        return std::nullopt;
    }
    return trace_context{*high, *low, *span, (*flags & 1U) != 0};
}

std::string format_traceparent(const trace_context& context)
{
    return "00-" + to_hex(context.trace_high) + to_hex(context.trace_low) + '-' + to_hex(context.span) +
           (context.sampled ? "-01" : "-00");
}

trace_context start_trace(bool sampled, random_engine& rng)
{
    return {random_nonzero_id(rng), random_nonzero_id(rng), random_nonzero_id(rng), sampled};
}

trace_context child_of(const trace_context& parent, random_engine& rng)
{
    auto child = parent;
    child.span = random_nonzero_id(rng);
    return child;
}

// The OpenTracing API prescribes these names.
// NOLINTBEGIN(readability-identifier-naming)
void span_context::ForeachBaggageItem(
    std::function<bool(const std::string& key, const std::string& value)> /*visit*/) const
{
}

std::unique_ptr<opentracing::SpanContext> span_context::Clone() const noexcept
{
    return std::make_unique<span_context>(this->trace_ids);
}

std::string span_context::ToTraceID() const noexcept
{
    return to_hex(this->trace_ids.trace_high) + to_hex(this->trace_ids.trace_low);
}

std::string span_context::ToSpanID() const noexcept
{
    return to_hex(this->trace_ids.span);
}
// NOLINTEND(readability-identifier-naming)

std::string to_json(const finished_span& span)
{
    std::string text = "{\"trace\":\"" + to_hex(span.ids.trace_high) + to_hex(span.ids.trace_low);
    text += "\",\"span\":\"" + to_hex(span.ids.span) + '"';
    if (span.parent != 0) {
        text += ",\"parent\":\"" + to_hex(span.parent) + '"';
    }
    text += ",\"operation\":" + Poco::toJSON(span.operation);
    text += ",\"start_us\":" + std::to_string(span.start_us);
    text += ",\"duration_us\":" + std::to_string(span.duration_us);
    text += ",\"tags\":{";
    for (const auto& [name, value] : span.tags) {
        text += (text.back() == '{' ? "" : ",") + Poco::toJSON(name) + ':' + value;
    }
    return text + "}}";
}

ring_tracer::ring_tracer(std::size_t capacity, bool sample_new_traces)
    : sample_new{sample_new_traces}, spans{capacity}
{
    assert(capacity > 0);
}

std::shared_ptr<ring_tracer> ring_tracer::create(std::size_t capacity, bool sample_new_traces)
{
    return std::shared_ptr<ring_tracer>{new ring_tracer{capacity, sample_new_traces}};
}

std::size_t ring_tracer::write_spans(const std::function<void(std::string_view line)>& sink)
{
    boost::circular_buffer<finished_span> finished_spans;
    {
        const std::lock_guard lock{this->mutex};
        finished_spans.set_capacity(this->spans.capacity());
        finished_spans.swap(this->spans);
    }
    for (const auto& span : finished_spans) {
        sink(to_json(span));
    }
    return finished_spans.size();
}

void ring_tracer::store(finished_span span) const noexcept
{
    const std::lock_guard lock{this->mutex};
    this->spans.push_back(std::move(span));
}

// The OpenTracing API prescribes these names.
// NOLINTBEGIN(readability-identifier-naming)
std::unique_ptr<opentracing::Span>
ring_tracer::StartSpanWithOptions(opentracing::string_view operation,
                                  const opentracing::StartSpanOptions& options) const noexcept
{
    const span_context* parent{};
    for (const auto& [kind, context] : options.references) {
        parent = parent == nullptr ? dynamic_cast<const span_context*>(context) : parent;
    }
    finished_span start;
    auto& rng = thread_rng();
    start.ids = parent == nullptr ? start_trace(this->sample_new, rng) : child_of(parent->ids(), rng);
    start.parent = parent == nullptr ? 0 : parent->ids().span;
    const auto system_start = options.start_system_timestamp == opentracing::SystemTime{}
                                  ? opentracing::SystemClock::now()
                                  : options.start_system_timestamp;
    const auto steady_start = options.start_steady_timestamp == opentracing::SteadyTime{}
                                  ? opentracing::SteadyClock::now()
                                  : options.start_steady_timestamp;
    const auto since_epoch = system_start.time_since_epoch();
    start.start_us = std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
    start.operation = operation;
    auto span = std::make_unique<ring_span>(this->shared_from_this(), std::move(start), steady_start);
    for (const auto& [key, value] : options.tags) {
        span->SetTag(key, value);
    }
    return span;
}

opentracing::expected<void> ring_tracer::Inject(const opentracing::SpanContext& /*context*/,
                                                std::ostream& /*writer*/) const
{
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

opentracing::expected<void> ring_tracer::Inject(const opentracing::SpanContext& context,
                                                const opentracing::TextMapWriter& writer) const
{
    return inject_into(context, writer);
}

opentracing::expected<void> ring_tracer::Inject(const opentracing::SpanContext& context,
                                                const opentracing::HTTPHeadersWriter& writer) const
{
    return inject_into(context, writer);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
ring_tracer::Extract(std::istream& /*reader*/) const
{
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
ring_tracer::Extract(const opentracing::TextMapReader& reader) const
{
    return extract_from(reader);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
ring_tracer::Extract(const opentracing::HTTPHeadersReader& reader) const
{
    return extract_from(reader);
}
// NOLINTEND(readability-identifier-naming)

} // namespace kumquatdrift
