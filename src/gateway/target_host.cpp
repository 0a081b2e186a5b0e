#include "target_host.hpp"

#include <algorithm>
#include <utility>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Time to connect to a target on the same host; a sound one takes about a millisecond. */
constexpr microseconds connect_timeout{250'000};
/*! @brief Idle connections kept to the target; more than any target of today has slots. */
constexpr std::size_t max_idle_connections = 64;
/*! @brief Largest answer of a target in bytes; answers are held whole until they are complete. */
constexpr std::size_t max_answer_bytes = 16'777'216;
/*! @brief Age of an idle connection that may carry a request that runs once. */
constexpr microseconds fresh_enough{2'000'000};
/*! @brief Age of an idle connection that may carry any other request; the target's own time goes first. */
constexpr microseconds any_age{60'000'000};
/*! @brief Intervals between reports without a report or an answer after which a target is taken as gone; one
 * that was only late is used again with its next report. */
constexpr double silent_intervals = 1.6;
/*! @brief Time in which a lost connection counts as part of a death that is noticed later. */
constexpr microseconds same_death{2'000'000};
/*! @brief Time for a liveness check. */
constexpr microseconds health_timeout{1'000'000};

bool is_promise(unsigned status) noexcept
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

target_host::target_host(const parts& common, std::string name, microseconds interval,
                         std::function<void()> changed)
    : shared{common}, node{std::move(name)}, report_interval{interval}, on_change{std::move(changed)},
      client{common.loop, {connect_timeout, max_idle_connections, 65'536, max_answer_bytes}},
      run_seconds{
          common.metrics.histogram_of("gateway_run_seconds", "Time that requests hold a slot of the target")},
      wait_seconds{common.metrics.histogram_of("gateway_wait_seconds", "Time that requests wait for a slot")}
{
    this->shared.loop.on_tick([this](timestamp now) { this->on_tick(now); });
}

void target_host::set_address(const socket_address& address)
{
    this->fallback = address;
    if (this->current.address.empty()) {
        this->client.set_address(address);
    }
}

bool target_host::on_report(const target_report& report)
{
    // A liveness check and some leaves tell neither birth nor sequence.
    const auto same = report.instance == this->current.instance &&
                      (report.born == this->current.born || this->current.born == 0 || report.born == 0);
    const auto unordered = same && report.state == report_state::gone && report.sequence == 0;
    const auto older =
        same ? !unordered && report.sequence <= this->current.sequence : report.born < this->current.born;
    if (older && this->reported_at) {
        this->shared.log.write(
            log_level::info, event_class::state, "target", "old_report",
            "instance={} born={} sequence={} known_instance={} known_born={} known_sequence={}",
            log_value(report.instance), report.born, report.sequence, log_value(this->current.instance),
            this->current.born, this->current.sequence);
        return false;
    }
    const auto before = this->current.state;
    if (!same) {
        if (!this->current.instance.empty()) {
            this->on_died();
        }
        this->queue.forget_target();
        this->client.drop_idle();
    }
    // A target that has said that it leaves does not come back under the same incarnation.
    const auto left = same && (before == report_state::draining || before == report_state::gone);
    const auto state = left && report.state == report_state::ready ? before : report.state;
    this->current = report;
    this->current.state = before;
    this->reported_at = boot_now();
    const auto address = parse_address(report.address);
    this->client.set_address(address ? *address : this->fallback);
    this->set_state(state, same ? "report" : "new_instance");
    return true;
}

void target_host::set_state(report_state state, const std::string& cause)
{
    const auto before = std::exchange(this->current.state, state);
    this->queue.set_slots(state == report_state::ready ? std::max(this->current.slots, 1U) : 0);
    if (before != state || cause == "new_instance") {
        this->shared.log.write(log_level::info, event_class::state, "target", "target_state",
                               "instance={} state={} before={} cause={} slots={} sequence={}",
                               log_value(this->current.instance), to_name(state), to_name(before),
                               log_value(cause), this->current.slots, this->current.sequence);
        if (state != report_state::ready) {
            for (const auto id : this->queue.remove_all()) {
                this->refuse(id, "target_" + std::string{to_name(state)});
            }
        }
        this->on_change();
    }
    this->start_waiting();
}

void target_host::check_health(const std::string& service, const std::string& health_path)
{
    if (this->reported_at || health_path.empty()) {
        return;
    }
    call_order order{};
    order.bytes = write_request("GET", health_path, "Host: " + this->client.address().ip + "\r\n", "");
    order.deadline = boot_now() + health_timeout;
    this->client.call(std::move(order), [this, service](const call_result& outcome) {
        const auto health = outcome.end == call_end::answered
                                ? this->shared.platform.decode_health(outcome.answer)
                                : std::nullopt;
        if (!health || this->reported_at) {
            this->shared.log.write(log_level::info, event_class::state, "target", "health_unknown",
                                   "end={} status={} cause={}", to_name(outcome.end), outcome.answer.status,
                                   log_value(outcome.cause));
            return;
        }
        this->current.instance = health->instance;
        this->current.service = service;
        this->current.slots = health->slots;
        this->reported_at = boot_now();
        this->set_state(report_state::ready, "health");
    });
}

std::string target_host::refusal_of(const run_order& order) const
{
    if (this->current.state != report_state::ready) {
        return "target_" + std::string{to_name(this->current.state)};
    }
    return order.service == this->current.service ? "" : "other_service";
}

std::uint64_t target_host::run(const run_order_ptr& order, run_callback done)
{
    const auto id = ++this->last_id;
    const auto now = boot_now();
    this->runs.emplace(id, pending_run{order, std::move(done), 0, false, now});
    const auto refusal = this->refusal_of(*order);
    const auto decision = refusal.empty()
                              ? this->queue.offer({id, order->priority, order->inner, order->objective,
                                                   order->deadline, order->group, order->expected},
                                                  now)
                              : run_decision::refuse;
    if (decision == run_decision::run) {
        this->dispatch(id);
    }
    else if (decision == run_decision::refuse) {
        this->shared.loop.defer(
            [this, id, cause = refusal.empty() ? queue_full : refusal] { this->refuse(id, cause); });
    }
    return id;
}

void target_host::dispatch(std::uint64_t id)
{
    auto& pending = this->runs.at(id);
    const auto now = boot_now();
    const auto& order = *pending.order;
    const auto& headers = this->shared.platform.headers();
    this->wait_seconds.observe(std::chrono::duration<double>{now - pending.began}.count());
    const auto check = this->shared.quarantine.check(order.fingerprint, this->node, now);
    if (check.action == quarantine_action::refuse || check.action == quarantine_action::refuse_busy) {
        this->queue.finish(id, false, now);
        this->shared.loop.defer([this, id] { this->refuse(id, "quarantine"); });
        return;
    }
    pending.started = true;
    this->running_attempts.insert(order.attempt);
    pending.began = now;
    const auto left = std::chrono::duration_cast<milliseconds>(order.deadline - now).count();
    std::string lines{order.lines};
    lines.append(headers.time_left_ms)
        .append(": ")
        .append(std::to_string(std::max<long>(left, 1)))
        .append("\r\n");
    lines.append(headers.expected_instance).append(": ").append(this->current.instance).append("\r\n");
    lines.append(headers.caller_service).append(": ").append(order.caller_service).append("\r\n");
    call_order call{};
    call.bytes = write_request(order.method, order.target, lines, order.body);
    call.no_body = order.method == "HEAD";
    call.deadline = order.deadline;
    call.max_idle = order.repeatable ? any_age : fresh_enough;
    call.id_field = headers.attempt_id;
    call.id = order.attempt;
    pending.call = this->client.call(
        std::move(call), [this, id](call_result outcome) { this->on_answer(id, std::move(outcome)); });
}

run_result target_host::classify(const run_order& order, call_result& outcome) const
{
    const auto& headers = this->shared.platform.headers();
    run_result end{};
    end.instance = this->current.instance;
    end.cause = outcome.cause;
    switch (outcome.end) {
    case call_end::not_sent:
        end.end = run_end::refused;
        return end;
    case call_end::lost:
        end.end = run_end::lost;
        return end;
    case call_end::malformed:
        end.end = run_end::malformed;
        return end;
    case call_end::timed_out:
        end.end = run_end::timed_out;
        return end;
    case call_end::answered:
        break;
    }
    auto& answer = outcome.answer;
    end.status = answer.status;
    const auto* echoed = find_field(answer.fields, headers.attempt_id);
    if (answer.status == 421 || find_field(answer.fields, headers.not_run) != nullptr) {
        end.end = run_end::shed;
        end.cause = "target answered " + std::to_string(answer.status) + ", not run";
    }
    else if (find_field(answer.fields, headers.answer_signature) == nullptr || echoed == nullptr ||
             *echoed != order.attempt || find_field(answer.fields, "Content-Encoding") != nullptr) {
        end.end = run_end::malformed;
        end.cause = "answer without signature or id, or with a coding";
    }
    else if (is_promise(answer.status)) {
        // The status would promise that the request has not run, which the target does not say.
        end.end = run_end::malformed;
        end.cause = "status " + std::to_string(answer.status) + " of a request that ran";
    }
    else {
        end.end = run_end::answered;
        end.reason = std::move(answer.reason);
        end.lines = end_to_end_lines(answer.fields, {headers.target_load});
        end.body = std::move(answer.body);
    }
    return end;
}

void target_host::on_answer(std::uint64_t id, call_result outcome)
{
    const auto found = this->runs.find(id);
    if (found == this->runs.end()) {
        return;
    }
    const auto now = boot_now();
    const auto& order = *found->second.order;
    auto result = this->classify(order, outcome);
    this->queue.finish(id, result.end == run_end::answered && result.status < 500, now);
    if (outcome.end == call_end::answered) {
        this->answered_at = now;
    }
    if (result.end == run_end::answered) {
        result.ran = now - found->second.began;
        this->run_seconds.observe(std::chrono::duration<double>{now - found->second.began}.count());
        this->shared.quarantine.on_success(order.fingerprint, this->node, now);
    }
    else {
        this->shared.quarantine.on_ended(order.fingerprint, this->node);
    }
    if (result.end == run_end::lost) {
        this->lately_lost.push_back({order.fingerprint, now});
    }
    // A connection that a request had no time to wait for says nothing of the target.
    if (outcome.end == call_end::not_sent && now < order.deadline) {
        this->on_unreachable(result.cause);
    }
    else if (outcome.answer.status == 421) {
        this->set_state(report_state::unknown, "other_instance_answered");
    }
    this->end(id, std::move(result));
    this->start_waiting();
}

void target_host::on_unreachable(const std::string& cause)
{
    this->on_died();
    if (this->current.state == report_state::ready) {
        this->set_state(report_state::unknown, "unreachable: " + cause);
    }
}

void target_host::on_died()
{
    const auto now = boot_now();
    std::vector<std::uint64_t> suspects{};
    for (const auto& lost : this->lately_lost) {
        if (now - lost.at <= same_death) {
            suspects.push_back(lost.fingerprint);
        }
    }
    this->lately_lost.clear();
    if (!suspects.empty()) {
        this->shared.log.write(log_level::warn, event_class::state, "target", "target_died",
                               "instance={} in_flight={}", log_value(this->current.instance),
                               suspects.size());
        this->shared.quarantine.on_target_died(suspects, this->node, now);
    }
}

void target_host::start_waiting()
{
    while (const auto id = this->queue.start_next(boot_now())) {
        this->dispatch(*id);
    }
}

void target_host::refuse(std::uint64_t id, const std::string& cause)
{
    run_result result{};
    result.end = run_end::refused;
    result.cause = cause;
    result.time_to_room = this->queue.time_to_room();
    this->end(id, std::move(result));
}

void target_host::end(std::uint64_t id, run_result outcome)
{
    auto node_handle = this->runs.extract(id);
    if (node_handle.empty()) {
        return;
    }
    this->forget_attempt(node_handle.mapped());
    outcome.load = this->load();
    outcome.instance = this->current.instance;
    if (outcome.end != run_end::answered) {
        const auto& order = *node_handle.mapped().order;
        this->shared.log.write(log_level::info, event_class::failed_request, "target", "run_ended",
                               "id={} end={} cause={} instance={} running={} waiting={} slots={} left_ms={}",
                               log_value(order.attempt), to_name(outcome.end), log_value(outcome.cause),
                               log_value(outcome.instance), outcome.load.running, outcome.load.waiting,
                               outcome.load.slots,
                               std::chrono::duration_cast<milliseconds>(order.deadline - boot_now()).count());
    }
    node_handle.mapped().done(std::move(outcome));
}

void target_host::forget_attempt(const pending_run& pending)
{
    if (const auto found = this->running_attempts.find(pending.order->attempt);
        pending.started && found != this->running_attempts.end()) {
        this->running_attempts.erase(found);
    }
}

void target_host::cancel(std::uint64_t id)
{
    const auto node_handle = this->runs.extract(id);
    if (node_handle.empty()) {
        return;
    }
    const auto& pending = node_handle.mapped();
    this->forget_attempt(pending);
    if (pending.started) {
        this->client.cancel(pending.call);
        this->shared.quarantine.on_ended(pending.order->fingerprint, this->node);
    }
    this->queue.remove(id);
    this->queue.finish(id, false, boot_now());
    this->start_waiting();
}

target_load target_host::load() const noexcept
{
    return this->queue.load();
}

void target_host::on_suspension()
{
    this->client.drop_idle();
}

void target_host::on_tick(timestamp now)
{
    for (const auto id : this->queue.expire(now)) {
        this->refuse(id, "waited_too_long");
    }
    this->start_waiting();
    const auto longest_silence =
        std::chrono::duration_cast<microseconds>(this->report_interval * silent_intervals);
    if (this->reported_at && this->current.state == report_state::ready &&
        now - std::max(*this->reported_at, this->answered_at) > longest_silence) {
        this->set_state(report_state::unknown, "no_report");
    }
}

} // namespace kumquatdrift
