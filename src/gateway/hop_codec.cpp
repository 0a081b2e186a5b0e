#include "hop_codec.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace kumquatdrift {
namespace {

constexpr std::size_t length_bytes = 4;
constexpr double per_mille = 1'000.0;

milliseconds left(timestamp until, timestamp now)
{
    return std::chrono::duration_cast<milliseconds>(std::max(until - now, microseconds{0}));
}

std::uint32_t number(milliseconds time)
{
    return static_cast<std::uint32_t>(time.count());
}

} // namespace

void append_frame(const hop::Frame& frame, std::string& output)
{
    const auto size = frame.ByteSizeLong();
    for (int shift = 24; shift >= 0; shift -= 8) {
        output.push_back(static_cast<char>((size >> shift) & 0xffU));
    }
    frame.AppendToString(&output);
}

frame_status read_frame(const std::string& buffer, std::size_t& offset, hop::Frame& frame)
{
    if (buffer.size() - offset < length_bytes) {
        return frame_status::need_more;
    }
    std::size_t size{};
    for (std::size_t index = 0; index < length_bytes; ++index) {
        size = (size << 8U) | static_cast<unsigned char>(buffer[offset + index]);
    }
    if (size > max_frame_bytes) {
        return frame_status::invalid;
    }
    if (buffer.size() - offset - length_bytes < size) {
        return frame_status::need_more;
    }
    if (!frame.ParseFromArray(buffer.data() + offset + length_bytes, static_cast<int>(size))) {
        return frame_status::invalid;
    }
    offset += length_bytes + size;
    return frame_status::complete;
}

void encode(const target_load& load, hop::Load& into)
{
    into.set_running(load.running);
    into.set_waiting(load.waiting);
    into.set_slots(load.slots);
    into.set_service_us(static_cast<std::uint32_t>(load.service_time.count()));
    into.set_slowness_permille(static_cast<std::uint32_t>(std::lround(load.slowness * per_mille)));
}

target_load decode(const hop::Load& from)
{
    const auto slowness = from.slowness_permille() == 0 ? 1.0 : from.slowness_permille() / per_mille;
    return {from.running(), from.waiting(), from.slots(), microseconds{from.service_us()}, slowness};
}

void encode(const member_record& record, hop::Member& into)
{
    into.set_node(record.node);
    into.set_data_centre(record.data_centre);
    into.set_ip(record.ip);
    into.set_port(record.port);
    into.set_started_ms(record.started_ms);
    into.set_revision(record.revision);
    into.set_service(record.service);
    into.set_instance(record.instance);
    into.set_state(static_cast<std::uint32_t>(record.state));
    into.set_cold_ms(number(std::chrono::duration_cast<milliseconds>(record.cold_left)));
    into.set_leaving(record.leaving);
    into.set_config_version(record.config_version);
    encode(record.load, *into.mutable_load());
}

std::optional<member_record> decode(const hop::Member& from)
{
    if (from.node().empty() || from.ip().empty() || from.port() == 0 || from.port() > 65'535) {
        return std::nullopt;
    }
    const auto state = from.state() <= static_cast<std::uint32_t>(report_state::gone)
                           ? static_cast<report_state>(from.state())
                           : report_state::unknown;
    return member_record{from.node(),
                         from.data_centre(),
                         from.ip(),
                         static_cast<std::uint16_t>(from.port()),
                         from.started_ms(),
                         from.revision(),
                         from.service(),
                         from.instance(),
                         state,
                         milliseconds{from.cold_ms()},
                         from.leaving(),
                         from.config_version(),
                         decode(from.load())};
}

void encode(const run_order& order, timestamp now, hop::Run& into)
{
    into.set_service(order.service);
    into.set_attempt(order.attempt);
    into.set_method(order.method);
    into.set_target(order.target);
    into.set_fields(order.lines);
    into.set_body(order.body);
    into.set_time_left_ms(number(left(order.deadline, now)));
    into.set_objective_left_ms(number(left(order.objective, now)));
    into.set_priority(order.priority);
    into.set_inner(order.inner);
    into.set_repeatable(order.repeatable);
    into.set_group(order.group);
    into.set_caller_service(order.caller_service);
    into.set_fingerprint(order.fingerprint);
    into.set_expected_us(static_cast<std::uint32_t>(order.expected.count()));
}

run_order_ptr decode(hop::Run& from, timestamp now)
{
    auto order = std::make_shared<run_order>();
    order->service = std::move(*from.mutable_service());
    order->attempt = std::move(*from.mutable_attempt());
    order->method = std::move(*from.mutable_method());
    order->target = std::move(*from.mutable_target());
    order->lines = std::move(*from.mutable_fields());
    order->body = std::move(*from.mutable_body());
    order->deadline = now + milliseconds{from.time_left_ms()};
    order->objective = now + milliseconds{from.objective_left_ms()};
    order->priority = from.priority();
    order->inner = from.inner();
    order->repeatable = from.repeatable();
    order->group = from.group();
    order->caller_service = std::move(*from.mutable_caller_service());
    order->fingerprint = from.fingerprint();
    order->expected = microseconds{from.expected_us()};
    return order;
}

void encode(run_result& result, hop::Answer& into)
{
    into.set_end(static_cast<std::uint32_t>(result.end));
    into.set_status(result.status);
    into.set_reason(std::move(result.reason));
    into.set_fields(std::move(result.lines));
    into.set_body(std::move(result.body));
    into.set_retry_after_ms(number(std::chrono::ceil<milliseconds>(result.time_to_room)));
    into.set_cause(std::move(result.cause));
    into.set_instance(std::move(result.instance));
    into.set_ran_us(static_cast<std::uint32_t>(result.ran.count()));
    encode(result.load, *into.mutable_load());
}

run_result decode(hop::Answer& from)
{
    run_result result{};
    // An end that this version does not know says nothing of whether the request ran.
    result.end = from.end() <= static_cast<std::uint32_t>(run_end::unreachable)
                     ? static_cast<run_end>(from.end())
                     : run_end::lost;
    result.status = from.status();
    result.reason = std::move(*from.mutable_reason());
    result.lines = std::move(*from.mutable_fields());
    result.body = std::move(*from.mutable_body());
    result.time_to_room = milliseconds{from.retry_after_ms()};
    result.cause = std::move(*from.mutable_cause());
    result.instance = std::move(*from.mutable_instance());
    result.load = decode(from.load());
    result.ran = microseconds{from.ran_us()};
    return result;
}

void encode(const crash_advisory& advisory, hop::CrashAdvisory& into)
{
    into.set_fingerprint(advisory.fingerprint);
    into.set_age_ms(number(advisory.age));
    for (const auto& one : advisory.evidence) {
        auto& evidence = *into.add_evidence();
        evidence.set_target(one.target);
        evidence.set_deaths(one.deaths);
        evidence.set_cleared(one.cleared);
    }
}

crash_advisory decode(const hop::CrashAdvisory& from)
{
    crash_advisory advisory{from.fingerprint(), milliseconds{from.age_ms()}, {}};
    for (const auto& one : from.evidence()) {
        advisory.evidence.push_back({one.target(), one.deaths(), one.cleared()});
    }
    return advisory;
}

} // namespace kumquatdrift
