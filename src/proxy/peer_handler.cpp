#include "proxy/peer_handler.hpp"

#include <charconv>
#include <optional>
#include <string>
#include <utility>

#include <kumquatdrift/proxy/headers.hpp>

#include "proxy/fields.hpp"

namespace kumquatdrift::internal {

namespace {

constexpr milliseconds retry_after_drain{1'000};
// A longer deadline is rejected as an error of the sender. The limit also prevents an overflow when the
// deadline is added to the current time.
constexpr std::uint64_t max_deadline_ms = 24ULL * 3'600 * 1'000;

template<typename Number>
std::optional<Number> parse_number(std::string_view text, int base)
{
    Number number{};
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, base);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::string verdict_fields(const hop_observation& observation)
{
    std::string fields;
    if (observation.verdict_text && from_name<verdict>(*observation.verdict_text)) {
        append_field(fields, verdict_header, *observation.verdict_text);
    }
    return fields;
}

peer_handler::peer_handler(const proxy_dependencies& proxy, target_host& local,
                           const std::atomic<bool>& is_draining)
    : dependencies{proxy}, host{local}, draining{is_draining}, metrics{*proxy.metrics, "peer"}
{
}

void peer_handler::handle(exchange& client)
{
    const auto started = steady_now();
    const auto& head = client.request().head();
    hop_span span{this->dependencies.tracer, "peer", parse_traceparent(field_of(head, trace_header))};
    auto& counters = this->metrics.of("all");
    const in_flight_guard guard{counters.in_flight};
    const auto is_complete = this->forward(client, span);
    constexpr unsigned statuses_per_class = 100;
    const auto status_class = client.status() / statuses_per_class;
    if (status_class > 0 && status_class < counters.responses.size()) {
        counters.responses.at(status_class)->add();
    }
    const std::chrono::duration<double> elapsed = steady_now() - started;
    counters.latency->observe(elapsed.count());
    span.tag("status", client.status());
    span.tag("complete", is_complete);
}

bool peer_handler::forward(exchange& client, hop_span& span)
{
    const auto& head = client.request().head();
    if (this->draining) {
        client.close_after_response();
        client.send_error({503, verdict::not_run, retry_after_drain, "The node drains.", {}});
        return false;
    }
    const std::string target{field_of(head, target_header)};
    const auto remaining_ms = parse_number<std::uint64_t>(field_of(head, deadline_header), 10);
    const auto fingerprint = parse_number<std::uint64_t>(field_of(head, fingerprint_header), 16);
    if (target.empty() || !remaining_ms || *remaining_ms > max_deadline_ms || !fingerprint) {
        client.send_error(
            {400, verdict::not_run, {}, "Fields of the entry node are missing or malformed.", {}});
        return false;
    }
    request_body body{client, client.limits().max_body_bytes};
    if (body.is_too_large()) {
        client.send_error(make_body_error(read_status::body_too_large, verdict::not_run));
        return false;
    }
    client_request request{
        client, body, std::string{head.method_string()}, std::string{head.target()}, {}, {}, {}, {}};
    append_end_to_end_fields(request.fields, head);
    request.deadline = steady_now() + milliseconds{static_cast<std::int64_t>(*remaining_ms)};
    request.fingerprint = *fingerprint;
    request.trace = span.context();
    if (!client.awaits_continue()) {
        // Without `Expect`, the entry node has the whole body already. Reading it before a slot is acquired
        // keeps the slot from being held while the body arrives.
        const auto read = body.read_prefix(request.deadline);
        if (read != read_status::ok) {
            client.close_after_response();
            client.send_error(make_body_error(read, verdict::not_run));
            return false;
        }
    }
    this->host.refresh(this->dependencies.snapshot());
    attempt current;
    this->host.start(target, request, current);
    if (current.error) {
        if (current.slot) {
            append_field(current.error->fields, load_header, format_load(current.slot->load()));
            current.slot->release(current.observation);
        }
        client.send_error(*current.error);
        return false;
    }
    auto fields = verdict_fields(current.observation);
    append_field(fields, load_header, format_load(current.slot->load()));
    const auto is_complete = current.sent->relay(fields, nullptr);
    current.slot->release(current.sent->observed());
    return is_complete;
}

} // namespace kumquatdrift::internal
