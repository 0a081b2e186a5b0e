#include "target_host.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Timeout for connecting to the target, which is on the same host; normally takes about 1 ms. */
constexpr microseconds connect_timeout{250'000};
/*! @brief Maximum number of idle connections to the target; exceeds the slots of every current target. */
constexpr std::size_t max_idle_connections = 64;
/*! @brief Maximum size of a response body in bytes; a response is buffered until it is complete. */
constexpr std::size_t max_response_bytes = 16'777'216;
/*! @brief Maximum size of all incomplete response bodies together in bytes. Responses without end on all
 * slots would otherwise exceed the memory limit of the process. */
constexpr std::size_t max_buffered_bytes = 33'554'432;
/*! @brief Maximum idle time of a connection that is reused for a non-idempotent request. */
constexpr microseconds max_idle_non_idempotent{2'000'000};
/*! @brief Maximum idle time of a connection that is reused for an idempotent request; the keep-alive timeout
 *         of the target also applies. */
constexpr microseconds max_idle_idempotent{60'000'000};
/*! @brief Time after a refusal without an id for which requests that are not idempotent get new connections:
 * on a used one, another such refusal would not prove that they haven't run. */
constexpr microseconds new_connections_after_refusal{10'000'000};
/*! @brief Report intervals without a report or a response after which the target is unavailable. Its next
 *         report makes it available again, in case it was only late. */
constexpr double max_silent_intervals = 1.6;
/*! @brief Time before the end of this process by which requests have to finish. It covers the interval at
 * which the queue is checked, and the way of a refusal to another node. */
constexpr microseconds end_margin{150'000};
/*! @brief Maximum time between a lost connection and the detection of the crash to which it is attributed. */
constexpr microseconds crash_window{2'000'000};

/*! @brief Checks whether a status tells callers that the request wasn't executed. */
bool implies_not_executed(unsigned status) noexcept
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

target_host::target_host(const dependencies& common, std::string name, microseconds interval,
                         std::function<void()> changed)
    : shared{common}, node{std::move(name)}, report_interval{interval}, on_change{std::move(changed)},
      client{common.loop,
             {connect_timeout, max_idle_connections, 65'536, max_response_bytes, max_buffered_bytes, true}},
      limit_gauge{common.metrics.gauge_of(
          "gateway_target_limit",
          "Requests per second that the target accepts, rounded; 0 if it names no limit")},
      shed_gauge{common.metrics.gauge_of("gateway_target_shed_permille",
                                         "Share of the requests that the target sheds, in thousandths")},
      requests_sent{
          common.metrics.counter_of("gateway_target_requests_total", "Requests sent to the target")},
      caller_limit_gauge{common.metrics.gauge_of(
          "gateway_caller_limit", "Requests with nested calls that may run on the target at the same time")},
      refused_nested_calls{common.metrics.counter_of("gateway_nested_calls_refused_total",
                                                     "Nested calls of the target that found no room")},
      bad_loads{common.metrics.counter_of("gateway_target_bad_loads_total",
                                          "Statements of the load that could not be decoded")},
      run_seconds{
          common.metrics.histogram_of("gateway_run_seconds", "Time that requests hold a slot of the target")},
      wait_seconds{common.metrics.histogram_of("gateway_wait_seconds", "Time that requests wait for a slot")}
{
    this->shared.loop.on_tick([this](timestamp now) { this->on_tick(now); });
}

void target_host::set_address(const socket_address& address)
{
    this->default_address = address;
    if (this->current.address.empty()) {
        this->client.set_address(address);
    }
}

void target_host::set_end(timestamp end) noexcept
{
    this->queue.set_end(end - end_margin);
}

std::string target_host::rejection_cause(const target_request& request) const
{
    if (this->current.state != report_state::ready) {
        return "target_" + std::string{to_name(this->current.state)};
    }
    return request.service == this->current.service ? "" : "other_service";
}

std::uint64_t target_host::run(const target_request_ptr& request, attempt_callback done)
{
    const auto id = ++this->last_id;
    const auto now = boot_now();
    this->requests.emplace(id, pending_request{request, std::move(done), 0, false, now, 0, false});
    const auto rejection = this->rejection_cause(*request);
    this->update_caller_limit(now);
    const auto decision =
        rejection.empty()
            ? this->queue.offer({id, request->priority, request->nested, request->objective,
                                 request->deadline, request->parent_hash, request->expected_service_time,
                                 !request->nested && this->caller_routes.contains(request->route_hash)},
                                now)
            : run_decision::reject;
    if (decision == run_decision::run) {
        this->dispatch(id);
    }
    else if (decision == run_decision::reject) {
        this->shared.loop.defer([this, id, cause = rejection.empty() ? queue_full_cause : rejection] {
            this->reject(id, cause);
        });
    }
    return id;
}

void target_host::dispatch(std::uint64_t id)
{
    auto& pending = this->requests.at(id);
    const auto now = boot_now();
    const auto& request = *pending.request;
    const auto& headers = this->shared.platform.headers();
    this->wait_seconds.observe(std::chrono::duration<double>{now - pending.since}.count());
    const auto check = this->shared.quarantine.check(request.fingerprint, this->node, now);
    if (check.action == quarantine_action::reject || check.action == quarantine_action::reject_busy) {
        this->queue.finish(id, false, now);
        this->shared.loop.defer([this, id] { this->reject(id, "quarantine"); });
        return;
    }
    pending.started = true;
    this->running_attempts.emplace(request.attempt_id, id);
    pending.since = now;
    pending.incarnation = this->incarnation;
    const auto remaining = std::chrono::duration_cast<milliseconds>(request.deadline - now).count();
    std::string lines{request.header_lines};
    lines.append(headers.time_left_ms)
        .append(": ")
        .append(std::to_string(std::max<long>(remaining, 1)))
        .append("\r\n");
    lines.append(headers.expected_instance).append(": ").append(this->current.instance).append("\r\n");
    lines.append(headers.caller_service).append(": ").append(request.caller_service).append("\r\n");
    if (!request.account.empty()) {
        lines.append(headers.client_account).append(": ").append(request.account).append("\r\n");
    }
    call_request call{};
    call.bytes = serialize_request(request.method, request.request_target, lines, request.body);
    call.no_body = request.method == "HEAD";
    call.deadline = request.deadline;
    call.max_idle = request.idempotent ? max_idle_idempotent : max_idle_non_idempotent;
    call.needs_new_connection = !request.idempotent && now < this->new_connections_until;
    call.id_field = headers.attempt_id;
    call.id = request.attempt_id;
    this->requests_sent.add();
    pending.call_id = this->client.call(
        std::move(call), [this, id](call_result result) { this->on_response(id, std::move(result)); });
}

attempt_result target_host::classify(const target_request& request, call_result& call) const
{
    const auto& headers = this->shared.platform.headers();
    attempt_result result{};
    result.cause = call.cause;
    switch (call.outcome) {
    case call_outcome::not_sent:
        result.outcome = attempt_outcome::refused;
        return result;
    case call_outcome::lost:
        result.outcome = attempt_outcome::lost;
        return result;
    case call_outcome::malformed:
        result.outcome = attempt_outcome::malformed;
        return result;
    case call_outcome::timed_out:
        result.outcome = attempt_outcome::timed_out;
        return result;
    case call_outcome::answered:
        break;
    }
    auto& response = call.response;
    result.status = response.status;
    const auto* echoed = find_field(response.fields, headers.attempt_id);
    const auto refused = response.status == 421 || find_field(response.fields, headers.not_run) != nullptr;
    // An idempotent request may be sent again in any case, and the connection isn't used again.
    if (!call.is_certain && !(refused && request.idempotent)) {
        result.outcome = attempt_outcome::malformed;
        result.cause = "status " + std::to_string(response.status) + " without id on a used connection";
    }
    else if (refused) {
        result.outcome = attempt_outcome::shed;
        result.cause = "target answered " + std::to_string(response.status) + ", not run";
    }
    else if (find_field(response.fields, headers.response_signature) == nullptr || echoed == nullptr ||
             *echoed != request.attempt_id || find_field(response.fields, "Content-Encoding") != nullptr) {
        result.outcome = attempt_outcome::malformed;
        result.cause = "answer without signature or id, or with a coding";
    }
    else if (implies_not_executed(response.status)) {
        // Callers take this status as proof that the request wasn't executed; the target didn't confirm it.
        result.outcome = attempt_outcome::malformed;
        result.cause = "status " + std::to_string(response.status) + " of a request that ran";
    }
    else {
        result.outcome = attempt_outcome::answered;
        result.reason = std::move(response.reason);
        result.header_lines = end_to_end_lines(response.fields, {headers.server_load});
        result.body = std::move(response.body);
    }
    return result;
}

void target_host::on_response(std::uint64_t id, call_result call)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
        return;
    }
    const auto now = boot_now();
    // Copied, because a change of state rejects queued requests, whose callbacks may add others.
    const auto request_pointer = found->second.request;
    const auto sent_at = found->second.since;
    const auto sent_to = found->second.incarnation;
    const auto& request = *request_pointer;
    auto result = this->classify(request, call);
    this->queue.finish(id, result.outcome == attempt_outcome::answered && result.status < 500, now);
    if (call.outcome == call_outcome::answered) {
        this->last_response_at = now;
        if (result.outcome != attempt_outcome::answered &&
            find_field(call.response.fields, this->shared.platform.headers().attempt_id) == nullptr) {
            this->new_connections_until = now + new_connections_after_refusal;
        }
        if (result.outcome == attempt_outcome::answered || result.outcome == attempt_outcome::shed) {
            this->on_notice(call.response, sent_at, sent_to);
        }
    }
    if (result.outcome == attempt_outcome::answered || result.outcome == attempt_outcome::shed) {
        this->shed_rate.observe(result.outcome == attempt_outcome::shed, now);
        this->shed_gauge.set(std::lround(this->shed_rate.rate_at(now) * 1'000.0));
    }
    if (result.outcome == attempt_outcome::answered) {
        result.service_time = now - sent_at;
        this->caller_routes.on_run_ended(request.route_hash, found->second.made_calls);
        this->run_seconds.observe(std::chrono::duration<double>{now - sent_at}.count());
        this->shared.quarantine.on_success(request.fingerprint, this->node, now);
    }
    else {
        this->shared.quarantine.on_inconclusive_end(request.fingerprint, this->node);
    }
    if (result.outcome == attempt_outcome::lost) {
        this->recent_losses.push_back({request.fingerprint, now});
    }
    // A connect attempt that the request's deadline cut short says nothing about the target.
    if (call.outcome == call_outcome::not_sent && now < request.deadline) {
        this->on_unreachable(result.cause);
    }
    else if (call.is_certain && call.response.status == 421 && this->current.state == report_state::ready) {
        this->set_state(report_state::unknown, "other_instance_answered");
    }
    this->complete(id, std::move(result));
    this->start_queued();
}

void target_host::on_unreachable(const std::string& cause)
{
    this->on_crash();
    if (this->current.state == report_state::ready) {
        this->set_state(report_state::unknown, "unreachable: " + cause);
    }
}

void target_host::on_crash()
{
    const auto now = boot_now();
    std::vector<std::uint64_t> suspects{};
    for (const auto& lost : this->recent_losses) {
        if (now - lost.at <= crash_window) {
            suspects.push_back(lost.fingerprint);
        }
    }
    this->recent_losses.clear();
    if (!suspects.empty()) {
        this->shared.log.write(log_level::warn, event_class::state, "target", "target_died",
                               "instance={} in_flight={}", log_value(this->current.instance),
                               suspects.size());
        this->shared.quarantine.on_target_crashed(suspects, this->node, now);
    }
}

void target_host::start_queued()
{
    this->update_caller_limit(boot_now());
    while (const auto id = this->queue.start_next(boot_now())) {
        this->dispatch(*id);
    }
}

void target_host::reject(std::uint64_t id, const std::string& cause)
{
    attempt_result result{};
    result.outcome = attempt_outcome::refused;
    result.cause = cause;
    result.time_to_free_slot = this->queue.time_to_free_slot(boot_now());
    this->complete(id, std::move(result));
}

void target_host::complete(std::uint64_t id, attempt_result result)
{
    auto node_handle = this->requests.extract(id);
    if (node_handle.empty()) {
        return;
    }
    this->remove_attempt(id, node_handle.mapped());
    result.load = this->load();
    result.instance = this->current.instance;
    result.target_started_ms = this->current.started_ms;
    if (result.outcome != attempt_outcome::answered) {
        const auto& request = *node_handle.mapped().request;
        this->shared.log.write(
            log_level::info, event_class::failed_request, "target", "run_ended",
            "id={} end={} cause={} instance={} running={} waiting={} slots={} remaining_ms={}",
            log_value(request.attempt_id), to_name(result.outcome), log_value(result.cause),
            log_value(result.instance), result.load.running, result.load.queued, result.load.slots,
            std::chrono::duration_cast<milliseconds>(request.deadline - boot_now()).count());
    }
    node_handle.mapped().done(std::move(result));
}

void target_host::remove_attempt(std::uint64_t id, const pending_request& pending)
{
    const auto [begin, end] = this->running_attempts.equal_range(pending.request->attempt_id);
    const auto found = std::find_if(begin, end, [id](const auto& entry) { return entry.second == id; });
    if (found != end) {
        this->running_attempts.erase(found);
    }
}

void target_host::cancel(std::uint64_t id)
{
    const auto node_handle = this->requests.extract(id);
    if (node_handle.empty()) {
        return;
    }
    const auto& pending = node_handle.mapped();
    this->remove_attempt(id, pending);
    if (pending.started) {
        this->client.cancel(pending.call_id);
        this->shared.quarantine.on_inconclusive_end(pending.request->fingerprint, this->node);
    }
    this->queue.remove(id);
    this->queue.finish(id, false, boot_now());
    this->start_queued();
}

target_load target_host::load() const noexcept
{
    auto load = this->queue.load(boot_now());
    load.shed_rate = this->shed_rate.rate_at(boot_now());
    load.left = this->current.state == report_state::draining || this->current.state == report_state::gone;
    return load;
}

void target_host::on_suspension()
{
    this->client.close_idle();
}

void target_host::on_tick(timestamp now)
{
    this->client.limit_reading();
    for (const auto id : this->queue.expire(now)) {
        this->reject(id, waited_too_long_cause);
    }
    this->start_queued();
    if (this->await_leaves_until && *this->await_leaves_until <= now) {
        this->await_leaves_until = now + this->report_interval;
        this->verify_held();
    }
    const auto max_silence =
        std::chrono::duration_cast<microseconds>(this->report_interval * max_silent_intervals);
    if (this->last_report_at && this->current.state == report_state::ready &&
        now - std::max(*this->last_report_at, this->last_response_at) > max_silence) {
        this->set_state(report_state::unknown, "no_report");
    }
}

} // namespace kumquatdrift
