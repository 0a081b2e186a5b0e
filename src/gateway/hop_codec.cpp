#include "hop_codec.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>

#include <kumquatdrift/http/message.hpp>

namespace kumquatdrift {
namespace {

constexpr double per_mille = 1'000.0;
/*! @brief Time in seconds to which encoded rate limits refer. */
constexpr double limit_unit_s = 1'000.0;

/*! @brief Returns the time until a deadline; 0 if it has passed. */
milliseconds remaining(timestamp until, timestamp now)
{
    return std::chrono::duration_cast<milliseconds>(std::max(until - now, microseconds{0}));
}

std::uint32_t millisecond_count(milliseconds duration)
{
    return static_cast<std::uint32_t>(duration.count());
}

std::uint32_t microsecond_count(microseconds duration)
{
    return static_cast<std::uint32_t>(
        std::clamp<microseconds::rep>(duration.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t encode_limit(double requests_per_second)
{
    constexpr double max = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(requests_per_second * limit_unit_s, max));
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
    if (buffer.size() - offset < frame_prefix_bytes) {
        return frame_status::need_more;
    }
    std::size_t size{};
    for (std::size_t index = 0; index < frame_prefix_bytes; ++index) {
        size = (size << 8U) | static_cast<unsigned char>(buffer[offset + index]);
    }
    if (size > max_frame_bytes) {
        return frame_status::invalid;
    }
    if (buffer.size() - offset - frame_prefix_bytes < size) {
        return frame_status::need_more;
    }
    if (!frame.ParseFromArray(buffer.data() + offset + frame_prefix_bytes, static_cast<int>(size))) {
        return frame_status::invalid;
    }
    offset += frame_prefix_bytes + size;
    return frame_status::complete;
}

void encode(const target_load& load, hop::Load& message)
{
    message.set_running(load.running);
    message.set_waiting(load.queued);
    message.set_slots(load.slots);
    message.set_service_us(static_cast<std::uint32_t>(load.service_time.count()));
    message.set_slowness_permille(static_cast<std::uint32_t>(std::lround(load.slowness * per_mille)));
    message.set_limit_per_1000_s(encode_limit(load.limit.value_or(0.0)));
    message.set_limit_wait_us(microsecond_count(load.limit_wait));
    message.set_limit_unknown(!load.limit);
    message.set_left(load.left);
    message.set_shed_permille(static_cast<std::uint32_t>(std::lround(load.shed_rate * per_mille)));
    if (load.work) {
        message.set_running_work_us(microsecond_count(load.work->running));
        const auto& queued = load.work->queued;
        const auto end = std::find_if(queued.rbegin(), queued.rend(), [](microseconds work) {
                             return work.count() > 0;
                         }).base();
        std::for_each(queued.begin(), end,
                      [&message](microseconds work) { message.add_queued_work_us(microsecond_count(work)); });
    }
}

void encode(const target_memory& memory, hop::TargetMemory& message)
{
    message.set_instance(memory.instance);
    message.set_left(memory.left);
    message.set_left_stated_by_ms(memory.left_stated_by_ms);
    message.set_limit_per_1000_s(encode_limit(memory.limit));
    message.set_started_ms(memory.started_ms);
    message.set_left_stated_by_nonce(memory.left_stated_by_nonce);
    message.set_sequence(memory.sequence);
}

target_memory decode(const hop::TargetMemory& message)
{
    return {message.instance(),          message.left(),
            message.left_stated_by_ms(), message.limit_per_1000_s() / limit_unit_s,
            message.started_ms(),        message.left_stated_by_nonce(),
            message.sequence()};
}

target_load decode(const hop::Load& message)
{
    const auto slowness = message.slowness_permille() == 0 ? 1.0 : message.slowness_permille() / per_mille;
    target_load load{message.running(),
                     message.waiting(),
                     message.slots(),
                     microseconds{message.service_us()},
                     slowness,
                     message.limit_unknown() ? std::nullopt
                                             : std::optional{message.limit_per_1000_s() / limit_unit_s},
                     microseconds{message.limit_wait_us()},
                     message.left(),
                     std::min(message.shed_permille() / per_mille, 1.0)};
    if (message.has_running_work_us()) {
        load.work = remaining_work{microseconds{message.running_work_us()}, {}};
        std::transform(message.queued_work_us().begin(),
                       message.queued_work_us().begin() +
                           std::min<int>(message.queued_work_us_size(), work_rank_count),
                       load.work->queued.begin(), [](std::uint32_t work) { return microseconds{work}; });
    }
    return load;
}

void encode(const member_record& record, hop::Member& message)
{
    message.set_node(record.node);
    message.set_data_centre(record.data_centre);
    message.set_ip(record.ip);
    message.set_port(record.port);
    message.set_started_ms(record.started_ms);
    message.set_revision(record.revision);
    message.set_service(record.service);
    message.set_instance(record.instance);
    message.set_state(static_cast<std::uint32_t>(record.state));
    message.set_cold_ms(millisecond_count(std::chrono::duration_cast<milliseconds>(record.cold_left)));
    message.set_leaving(record.leaving);
    message.set_config_version(record.config_version);
    message.set_store_lost(record.store_lost);
    encode(record.load, *message.mutable_load());
    message.set_target_started_ms(record.target_started_ms);
    if (record.store_generation) {
        message.set_store_generation(*record.store_generation);
    }
    message.set_version(record.version);
    message.set_process_nonce(record.process_nonce);
    message.set_target_sequence(record.target_sequence);
}

std::optional<member_record> decode(const hop::Member& message)
{
    if (message.node().empty() || message.ip().empty() || message.port() == 0 || message.port() > 65'535) {
        return std::nullopt;
    }
    const auto state = message.state() <= static_cast<std::uint32_t>(report_state::gone)
                           ? static_cast<report_state>(message.state())
                           : report_state::unknown;
    return member_record{message.node(),
                         message.data_centre(),
                         message.ip(),
                         static_cast<std::uint16_t>(message.port()),
                         message.started_ms(),
                         message.revision(),
                         message.service(),
                         message.instance(),
                         state,
                         milliseconds{message.cold_ms()},
                         message.leaving(),
                         message.config_version(),
                         message.store_lost(),
                         decode(message.load()),
                         message.has_store_generation() ? std::optional{message.store_generation()}
                                                        : std::nullopt,
                         message.target_started_ms(),
                         message.version(),
                         message.process_nonce(),
                         message.target_sequence()};
}

void encode(const target_request& request, timestamp now, hop::Run& message)
{
    message.set_service(request.service);
    message.set_attempt(request.attempt_id);
    message.set_method(request.method);
    message.set_target(request.request_target);
    message.set_fields(request.header_lines);
    message.set_body(request.body);
    message.set_time_left_ms(millisecond_count(remaining(request.deadline, now)));
    message.set_objective_left_ms(millisecond_count(remaining(request.objective, now)));
    message.set_priority(request.priority);
    message.set_inner(request.nested);
    message.set_repeatable(request.idempotent);
    message.set_group(request.parent_hash);
    message.set_caller_service(request.caller_service);
    message.set_account(request.account);
    message.set_fingerprint(request.fingerprint);
    message.set_expected_us(static_cast<std::uint32_t>(request.expected_service_time.count()));
    message.set_route_hash(request.route_hash);
}

target_request_ptr decode(hop::Run& message, timestamp now)
{
    auto request = std::make_shared<target_request>();
    request->service = std::move(*message.mutable_service());
    request->attempt_id = std::move(*message.mutable_attempt());
    request->method = std::move(*message.mutable_method());
    request->request_target = std::move(*message.mutable_target());
    request->header_lines = std::move(*message.mutable_fields());
    request->body = std::move(*message.mutable_body());
    request->deadline = now + milliseconds{message.time_left_ms()};
    request->objective = now + milliseconds{message.objective_left_ms()};
    request->priority = message.priority();
    request->nested = message.inner();
    request->idempotent = message.repeatable();
    request->parent_hash = message.group();
    request->caller_service = std::move(*message.mutable_caller_service());
    request->account = std::move(*message.mutable_account());
    request->fingerprint = message.fingerprint();
    request->expected_service_time = microseconds{message.expected_us()};
    request->route_hash = message.route_hash();
    return request;
}

void encode(attempt_result& result, hop::Answer& message)
{
    message.set_end(static_cast<std::uint32_t>(result.outcome));
    message.set_status(result.status);
    message.set_reason(std::move(result.reason));
    message.set_fields(std::move(result.header_lines));
    message.set_body(std::move(result.body));
    message.set_retry_after_ms(millisecond_count(std::chrono::ceil<milliseconds>(result.time_to_free_slot)));
    message.set_cause(std::move(result.cause));
    message.set_instance(std::move(result.instance));
    message.set_ran_us(static_cast<std::uint32_t>(result.service_time.count()));
    encode(result.load, *message.mutable_load());
}

attempt_result decode(hop::Answer& message)
{
    attempt_result result{};
    // Whether the request was executed is unknown if a newer version sent an outcome that this one lacks.
    result.outcome = message.end() <= static_cast<std::uint32_t>(attempt_outcome::unreachable)
                         ? static_cast<attempt_outcome>(message.end())
                         : attempt_outcome::lost;
    result.status = message.status();
    result.reason = std::move(*message.mutable_reason());
    result.header_lines = std::move(*message.mutable_fields());
    result.body = std::move(*message.mutable_body());
    result.time_to_free_slot = milliseconds{message.retry_after_ms()};
    result.cause = std::move(*message.mutable_cause());
    if (result.outcome == attempt_outcome::answered &&
        (result.status < min_final_status || result.status > max_status)) {
        result.outcome = attempt_outcome::malformed;
        result.cause = "node passed on status " + std::to_string(result.status);
    }
    result.instance = std::move(*message.mutable_instance());
    result.load = decode(message.load());
    result.service_time = microseconds{message.ran_us()};
    return result;
}

void encode(const crash_advisory& advisory, hop::CrashAdvisory& message)
{
    message.set_fingerprint(advisory.fingerprint);
    message.set_age_ms(millisecond_count(advisory.age));
    for (const auto& entry : advisory.evidence) {
        auto& evidence = *message.add_evidence();
        evidence.set_target(entry.target);
        evidence.set_deaths(entry.crashes);
        evidence.set_cleared(entry.cleared);
    }
}

crash_advisory decode(const hop::CrashAdvisory& message)
{
    crash_advisory advisory{message.fingerprint(), milliseconds{message.age_ms()}, {}};
    for (const auto& entry : message.evidence()) {
        advisory.evidence.push_back({entry.target(), entry.deaths(), entry.cleared()});
    }
    return advisory;
}

} // namespace kumquatdrift
