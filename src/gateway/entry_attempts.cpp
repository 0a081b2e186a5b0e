#include "entry_router.hpp"

#include <algorithm>
#include <utility>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Maximum number of nodes to which one request is sent. A rejection by a node puts no load on its
 *         target, so this only bounds the time spent. */
constexpr std::uint32_t max_hops = 4;
/*! @brief Maximum number of targets with a full queue to which one request is sent: the one with the
 *         earliest expected response, and one more in case its reported load was out of date. */
constexpr std::uint32_t max_full_targets = 2;
/*! @brief Number of failures without a success in between after which a target is ejected. Error responses
 * and shed requests do not count. */
constexpr std::uint32_t failures_to_eject = 3;
/*! @brief Time for which an ejected target is avoided. */
constexpr microseconds ejection_time{1'000'000};
/*! @brief Time before the deadline below which a request is not retried. */
constexpr microseconds min_attempt_time{20'000};
/*! @brief Time before the end of this process by which a target's node has to respond. It covers the interval
 *         at which that node checks its queue, and the way back. */
constexpr microseconds response_margin{150'000};

} // namespace

std::vector<placement_candidate> entry_router::candidates(const pending_request& pending, timestamp now)
{
    const auto& service = pending.request->service;
    std::vector<placement_candidate> found{};
    const auto may_try_new = pending.request->idempotent && pending.hops == 0;
    const auto& local = this->shared.local_target.report();
    if (local.service == service && local.state == report_state::ready && !pending.tried_nodes.contains("")) {
        found.push_back({"", this->shared.local_target.load(), 0, true, true, false, local.cold_left,
                         this->local_failure_rate.rate_at(now)});
    }
    for (const auto& [node, member] : this->shared.peer_nodes.members().all()) {
        const auto& record = member.record;
        if (member.reachable && record.service == service && member.accepts_requests() &&
            !pending.tried_nodes.contains(node)) {
            found.push_back({node, member.load_at(now), member.sent_since_load(), false,
                             record.data_centre == this->shared.settings.data_centre,
                             member.ejected_until > now, std::max(member.cold_until - now, microseconds{0}),
                             member.failure_rate.rate_at(now), may_try_new && !member.request_sent,
                             member.delay.at(now), member.delay.expected_at(now, member.sent_since_load())});
        }
    }
    return found;
}

void entry_router::limit_to_process_end(pending_request& pending) const
{
    const auto latest_response = this->process_end - response_margin;
    if (pending.request->deadline > latest_response) {
        auto limited = std::make_shared<target_request>(*pending.request);
        limited->deadline = latest_response;
        pending.request = std::move(limited);
    }
}

void entry_router::place(const pending_request_ptr& pending, bool may_try_new_version)
{
    this->limit_to_process_end(*pending);
    const auto now = boot_now();
    const auto& request = *pending->request;
    if (!request.account.empty()) {
        // The key may have been removed, or its proof may have become too old, since the request arrived.
        const auto decision = this->access.decide(pending->exchange->request.fields, *pending->route, false,
                                                  this->access_now());
        if (decision.account == nullptr || decision.account->name != request.account) {
            pending->time_to_free_slot = typical_outage;
            this->reject(pending, std::string{decision.cause.empty() ? "key_removed" : decision.cause});
            return;
        }
    }
    auto choices = this->candidates(*pending, now);
    const auto tries_new_version = this->shared.rollouts.restrict_targets(
        request.service, may_try_new_version && pending->hops == 0, choices);
    if (choices.empty()) {
        pending->time_to_free_slot = std::max(pending->time_to_free_slot, typical_outage);
        this->reject(pending, pending->tried_nodes.empty() ? "no_target"
                                                           : "all_targets_refused: " + pending->last_cause);
        return;
    }
    // The node of the target decides whether the request can be queued, because it knows the queue. Here a
    // request is rejected only if `place_request` finds no target with enough time left, or, for a large
    // body, with enough free slots.
    const auto chosen = place_request(
        choices,
        {pending->route->objective, request.objective - now, request.deadline - now,
         request.expected_service_time, request.body.size(), pending->full_targets > 0, request.nested,
         work_rank_of(request.priority, request.nested, request.objective <= now)},
        this->shared.settings.placement, this->shared.rng);
    if (!chosen.candidate && tries_new_version) {
        this->place(pending, false);
        return;
    }
    if (!chosen.candidate) {
        pending->time_to_free_slot = chosen.time_to_free_slot;
        this->reject(pending, no_room_cause);
        return;
    }
    this->send(pending, choices[*chosen.candidate]);
}

void entry_router::send(const pending_request_ptr& pending, const placement_candidate& candidate)
{
    ++pending->hops;
    pending->node = candidate.node;
    pending->tried_nodes.insert(pending->node);
    this->shared.rollouts.on_sent(pending->request->service, pending->node);
    const auto done = [this, pending](attempt_result result) { this->on_result(pending, std::move(result)); };
    if (candidate.same_host) {
        pending->attempt_handle = this->shared.local_target.run(pending->request, done);
        return;
    }
    pending->attempt_handle = this->shared.peer_nodes.run(candidate.node, pending->request, done);
    if (pending->attempt_handle == 0) {
        attempt_result result{};
        result.outcome = attempt_outcome::unreachable;
        result.cause = "no connection to the node";
        this->on_result(pending, std::move(result));
    }
}

void entry_router::record_for_rollout(const pending_request& pending,
                                      std::optional<microseconds> service_time)
{
    const auto* member = this->shared.peer_nodes.members().find(pending.node);
    const auto cold = pending.node.empty() ? this->shared.local_target.report().cold_left > microseconds{0}
                                           : member != nullptr && member->cold_until > boot_now();
    this->shared.rollouts.on_outcome(pending.request->service, pending.route->name, pending.node,
                                     service_time, cold);
}

void entry_router::record_outcome(const pending_request& pending, const attempt_result& result)
{
    if (result.outcome == attempt_outcome::refused || result.outcome == attempt_outcome::unreachable) {
        return;
    }
    const auto failed = result.outcome != attempt_outcome::answered || result.status >= 500;
    if (result.outcome != attempt_outcome::shed) {
        this->record_for_rollout(pending, failed ? std::nullopt : std::optional{result.service_time});
    }
    if (!failed) {
        this->mean_service_times.observe(pending.route->name, result.service_time);
    }
    if (pending.node.empty()) {
        const std::pair incarnation{result.instance, result.target_started_ms};
        if (std::exchange(this->local_incarnation, incarnation) != incarnation) {
            this->local_failure_rate = {};
        }
        this->local_failure_rate.observe(failed, boot_now());
        return;
    }
    auto* member = this->shared.peer_nodes.members().find(pending.node);
    if (member == nullptr) {
        return;
    }
    member->failure_rate.observe(failed, boot_now());
    if (!failed) {
        member->consecutive_failures = 0;
    }
    else if (result.outcome != attempt_outcome::answered && result.outcome != attempt_outcome::shed &&
             ++member->consecutive_failures >= failures_to_eject) {
        member->consecutive_failures = 0;
        member->ejected_until = boot_now() + ejection_time;
        this->shared.log.write(log_level::warn, event_class::state, "entry", "target_ejected",
                               "node={} instance={} cause={}", pending.node, log_value(result.instance),
                               to_name(result.outcome));
    }
}

double entry_router::failure_rate(const pending_request& pending, timestamp now)
{
    if (pending.node.empty()) {
        return this->local_failure_rate.rate_at(now);
    }
    const auto* member = this->shared.peer_nodes.members().find(pending.node);
    return member != nullptr ? member->failure_rate.rate_at(now) : 0.0;
}

bool entry_router::try_take_retry(const pending_request& pending, const attempt_result& result)
{
    const auto now = boot_now();
    if (pending.hops >= max_hops || pending.request->deadline - now < min_attempt_time) {
        return false;
    }
    if (result.outcome == attempt_outcome::refused || result.outcome == attempt_outcome::unreachable) {
        return !result.cause.starts_with("quarantine") && pending.full_targets < max_full_targets;
    }
    if (result.outcome == attempt_outcome::answered &&
        !is_failure_rate_outlier(this->failure_rate(pending, now), this->candidates(pending, now))) {
        return false;
    }
    const auto safe_to_retry = verdict_of(result.outcome) == verdict::not_run || pending.request->idempotent;
    return safe_to_retry && pending.target_attempts < pending.route->max_attempts &&
           this->retries.try_take(pending.request->service, this->node_count(), now);
}

void entry_router::on_result(const pending_request_ptr& pending, attempt_result result)
{
    if (!this->requests.contains(pending)) {
        return;
    }
    pending->attempt_handle = 0;
    pending->last_cause = result.cause;
    pending->time_to_free_slot = result.time_to_free_slot;
    this->record_outcome(*pending, result);
    if (result.outcome == attempt_outcome::refused && result.cause == queue_full_cause) {
        ++pending->full_targets;
    }
    const auto reached_target =
        result.outcome != attempt_outcome::refused && result.outcome != attempt_outcome::unreachable;
    if (reached_target) {
        ++pending->target_attempts;
    }
    pending->may_have_run = pending->may_have_run || verdict_of(result.outcome) == verdict::may_have_run ||
                            (result.outcome == attempt_outcome::answered && result.status >= 500);
    const auto failed = result.outcome != attempt_outcome::answered || result.status >= 500;
    if (!failed) {
        this->respond(pending, result);
        return;
    }
    if (this->try_take_retry(*pending, result)) {
        this->shared.log.write(log_level::info, event_class::failed_request, "entry", "request_sent_again",
                               "id={} node={} end={} status={} cause={} hops={} targets={}",
                               log_value(pending->request->attempt_id), log_value(pending->node),
                               to_name(result.outcome), result.status, log_value(result.cause), pending->hops,
                               pending->target_attempts);
        if (result.outcome == attempt_outcome::answered) {
            pending->failure_response = std::move(result);
        }
        this->place(pending);
        return;
    }
    if (result.outcome == attempt_outcome::answered) {
        this->respond(pending, result);
        return;
    }
    if (verdict_of(result.outcome) == verdict::not_run) {
        this->reject(pending, result.cause);
        return;
    }
    this->fail(pending, result.outcome == attempt_outcome::timed_out ? 504 : 502, result.cause);
}

} // namespace kumquatdrift
