#ifndef KUMQUATDRIFT_TESTS_SUPPORT_TRAFFIC_WORLD_STEPS_HPP
#define KUMQUATDRIFT_TESTS_SUPPORT_TRAFFIC_WORLD_STEPS_HPP

#include "support/traffic_world.hpp"

namespace kumquatdrift {

inline traffic_world::traffic_world(std::uint64_t seed, checker rule_checker)
    : check{std::move(rule_checker)}, rng{seed}
{
    for (std::uint32_t number = 0; number < target_count; ++number) {
        const auto node = "n" + std::to_string(number);
        this->service.endpoints.push_back(
            {.key = node + "/t", .node = node, .slots = 2, .local = number < 3});
        const admission_settings settings{.slots = 2, .queue_limit = queue_limit};
        this->targets.push_back({.control = admission{settings, this->now}, .slots = 2});
    }
    this->tick();
}

inline void traffic_world::apply(const traffic_step& next)
{
    auto& node = this->targets[next.first % target_count];
    switch (next.kind) {
    case traffic_step_kind::call:
        this->start_call(next);
        break;
    case traffic_step_kind::advance:
        this->advance_to(this->now + milliseconds{next.first});
        break;
    case traffic_step_kind::cancel:
        this->cancel(next);
        break;
    case traffic_step_kind::drain:
        this->drain(node, next.second % 2 == 0);
        break;
    case traffic_step_kind::replace:
        this->replace(node);
        break;
    case traffic_step_kind::announce:
        this->announce(node, 1 + next.second % 4);
        break;
    case traffic_step_kind::shed:
        node.sheds_requests = next.second % 2 == 0;
        break;
    case traffic_step_kind::network:
        this->loss_percent = next.first % 3 * 10;
        this->broken_connection_percent = next.first / 3 % 3 * 10;
        this->connect_refusal_percent = next.second % 3 * 10;
        break;
    case traffic_step_kind::gossip:
        this->gossip();
        break;
    }
    this->check_all();
}

inline void traffic_world::finish_all()
{
    constexpr milliseconds longest_call{2'000};
    this->advance_to(this->now + longest_call);
    this->check_all();
    for (const auto& ended : this->calls) {
        this->check(ended.final_responses == 1, "each call gets exactly one final response");
    }
    this->gossip();
    const auto is_rejected = [this](crash_quarantine& quarantine, std::uint64_t fingerprint) {
        const auto action = quarantine.check(fingerprint, "probe", this->now).action;
        quarantine.on_inconclusive_end(fingerprint, "probe");
        return action == quarantine_action::reject;
    };
    for (auto fingerprint = crashing_fingerprint + 1; fingerprint <= crashing_fingerprint + 4;
         ++fingerprint) {
        for (auto& entry : this->entries) {
            this->check(!is_rejected(entry.quarantine, fingerprint),
                        "only requests that crash targets are in quarantine after all calls");
        }
        for (auto& node : this->targets) {
            this->check(!is_rejected(node.quarantine, fingerprint),
                        "only requests that crash targets are in quarantine after all calls");
        }
    }
}

inline void traffic_world::start_call(const traffic_step& next)
{
    const auto id = this->calls.size();
    auto& started = this->calls.emplace_back();
    started.entry = next.first % entry_count;
    started.fingerprint = crashing_fingerprint + next.second % 5;
    started.route.idempotent = next.second / 8 % 2 == 0;
    started.route.retry = {.max_attempts = 3, .budget_percent = budget_percent};
    started.deadline = this->now + milliseconds{20 * (1 + next.first / 4)};
    auto& entry = this->entries[started.entry];
    entry.budget.on_first_attempt(budget_percent);
    ++entry.calls;
    this->schedule(started.deadline - this->now, [this, id] {
        const auto& expired = this->calls[id];
        this->check(expired.final_responses > 0 || expired.open_attempt != 0,
                    "no call waits for a retry at its deadline");
        this->abandon_call(id);
    });
    this->start_attempt(id);
}

inline void traffic_world::start_attempt(std::uint64_t call_id)
{
    auto& current = this->calls[call_id];
    if (current.final_responses > 0) {
        return;
    }
    auto& entry = this->entries[current.entry];
    const auto choice =
        choose_endpoint(this->service, entry.loads, current.tried_endpoints, this->now, this->rng);
    if (!choice.endpoint) {
        this->end_call(call_id);
        return;
    }
    const auto& key = this->service.endpoints[*choice.endpoint].key;
    const auto action = entry.quarantine.check(current.fingerprint, key, this->now).action;
    if (action == quarantine_action::reject || action == quarantine_action::reject_busy) {
        this->end_call(call_id);
        return;
    }
    ++current.attempts;
    current.tried_endpoints.push_back(key);
    auto& sent = this->attempts.emplace_back();
    sent.call = call_id;
    sent.target = static_cast<std::uint32_t>(*choice.endpoint);
    sent.is_isolated_at_entry = action == quarantine_action::run_alone;
    current.open_attempt = this->attempts.size();
    entry.loads.on_sent(key, this->now);
    this->send_to_node(current.open_attempt);
}

inline void traffic_world::send_to_node(std::uint64_t attempt_id)
{
    if (this->draw(this->connect_refusal_percent)) {
        this->receive_at_entry(attempt_id, {hop_peer::node, hop_end::connect_refused, 0, {}, {}});
        return;
    }
    if (this->draw(this->loss_percent)) {
        return;
    }
    const auto is_broken = this->draw(this->broken_connection_percent);
    if (is_broken) {
        this->schedule(this->draw_delay(), [this, attempt_id] {
            this->receive_at_entry(attempt_id, {hop_peer::node, hop_end::connection_lost, 100, {}, {}});
        });
    }
    if (!is_broken || this->draw(50)) {
        this->schedule(this->draw_delay(), [this, attempt_id] { this->receive_at_node(attempt_id); });
    }
}

inline void traffic_world::receive_at_node(std::uint64_t attempt_id)
{
    auto& node = this->node_of(attempt_id);
    auto& received = this->attempts[attempt_id - 1];
    const auto& current = this->call_of(attempt_id);
    const auto action =
        node.quarantine.check(current.fingerprint, this->key_of(attempt_id), this->now).action;
    if (action == quarantine_action::reject || action == quarantine_action::reject_busy) {
        const auto status = action == quarantine_action::reject ? quarantined_status : std::uint16_t{503};
        this->respond(attempt_id, status, verdict::not_run);
        return;
    }
    received.is_isolated_at_node = action == quarantine_action::run_alone;
    if (received.is_isolated_at_node) {
        this->check(!node.isolated_fingerprint, "at most one suspect request runs at a target at a time");
        node.isolated_fingerprint = current.fingerprint;
    }
    const auto decision = node.control.offer({attempt_id, current.deadline, current.fingerprint}, this->now);
    if (decision.kind == admission_kind::rejected) {
        this->reject_all({attempt_id});
    }
    if (decision.kind == admission_kind::admitted) {
        this->start_at_target(attempt_id);
    }
}

inline void traffic_world::start_at_target(std::uint64_t attempt_id)
{
    auto& node = this->node_of(attempt_id);
    auto& current = this->call_of(attempt_id);
    this->check(!node.drained, "no request starts after the drain");
    this->check(node.running.size() < node.slots, "slots are never exceeded");
    this->check(this->now < current.deadline, "no request starts after its deadline");
    node.running.insert(attempt_id);
    if (node.crashed) {
        this->schedule(microseconds{0}, [this, attempt_id] {
            this->end_at_target(attempt_id, {hop_peer::target, hop_end::connect_refused, 0, {}, {}});
        });
        return;
    }
    if (node.sheds_requests) {
        this->schedule(milliseconds{1}, [this, attempt_id] {
            this->end_at_target(attempt_id, {hop_peer::target, hop_end::answered, 100, 503, "not_run"});
        });
        return;
    }
    ++current.executions;
    this->attempts[attempt_id - 1].ran = true;
    this->check(current.route.idempotent || current.executions <= 1,
                "a non-idempotent request runs at most once");
    if (current.fingerprint == crashing_fingerprint) {
        const auto target = this->attempts[attempt_id - 1].target;
        const auto incarnation = node.incarnation;
        this->schedule(milliseconds{3},
                       [this, target, incarnation] { this->crash_target(target, incarnation); });
        return;
    }
    this->schedule(this->draw_delay() * 4, [this, attempt_id] {
        this->end_at_target(attempt_id, {hop_peer::target, hop_end::answered, 100, 200, {}});
    });
}

inline void traffic_world::end_at_target(std::uint64_t attempt_id, const hop_observation& observation)
{
    auto& node = this->node_of(attempt_id);
    if (node.running.erase(attempt_id) == 0) {
        return;
    }
    const auto effect = verdict_of(observation);
    const auto fingerprint = this->call_of(attempt_id).fingerprint;
    const auto& key = this->key_of(attempt_id);
    const auto is_answered = observation.end == hop_end::answered;
    if (is_answered && effect == verdict::ran) {
        node.quarantine.on_success(fingerprint, key, this->now);
        node.isolated_fingerprint =
            node.isolated_fingerprint == fingerprint ? std::nullopt : node.isolated_fingerprint;
    }
    else if (!suggests_crash(observation)) {
        this->end_isolation(attempt_id);
    }
    if (effect == verdict::ran) {
        this->respond(attempt_id, 200, std::nullopt);
    }
    else {
        this->respond(attempt_id, effect == verdict::not_run ? 503 : target_lost_status, effect);
    }
    const auto response_outcome = effect == verdict::ran ? run_outcome::answered : run_outcome::shed;
    const auto outcome = is_answered ? response_outcome : run_outcome::failed;
    this->start_all(node.control.finish(attempt_id, outcome, this->now));
}

inline void traffic_world::crash_target(std::uint32_t target, std::uint64_t incarnation)
{
    auto& node = this->targets[target];
    if (node.crashed || node.incarnation != incarnation) {
        return;
    }
    node.crashed = true;
    ++node.incarnation;
    ++node.crashes;
    this->check(node.crashes <= 2, "the same request crashes the target of a node at most twice");
    const auto in_flight = node.control.fingerprints_in_flight();
    node.quarantine.on_target_crashed(in_flight, this->service.endpoints[target].key, this->now);
    node.isolated_fingerprint.reset();
    const auto interrupted = node.running;
    for (const auto attempt_id : interrupted) {
        this->end_at_target(attempt_id, {hop_peer::target, hop_end::connection_lost, 100, {}, {}});
    }
    this->schedule(milliseconds{300}, [this, target] {
        this->targets[target].crashed = false;
        this->announce(this->targets[target], this->targets[target].slots);
    });
}

inline void traffic_world::respond(std::uint64_t attempt_id, std::uint16_t status,
                                   std::optional<verdict> reported)
{
    if (this->draw(this->loss_percent)) {
        return;
    }
    hop_observation observation{hop_peer::node, hop_end::answered, 100, status, {}};
    if (reported) {
        observation.verdict_text = to_name(*reported);
    }
    if (this->draw(this->broken_connection_percent)) {
        observation.end = hop_end::connection_lost;
    }
    this->schedule(this->draw_delay(),
                   [this, attempt_id, observation] { this->receive_at_entry(attempt_id, observation); });
}

inline void traffic_world::receive_at_entry(std::uint64_t attempt_id, const hop_observation& observation)
{
    auto& current = this->call_of(attempt_id);
    if (current.final_responses > 0 || current.open_attempt != attempt_id) {
        return;
    }
    const auto effect = verdict_of(observation);
    this->check(effect != verdict::not_run || !this->attempts[attempt_id - 1].ran,
                "not_run is reported only for an attempt that did not run");
    auto& entry = this->entries[current.entry];
    const auto& endpoint = this->service.endpoints[this->attempts[attempt_id - 1].target];
    if (observation.end == hop_end::answered) {
        entry.loads.on_response(endpoint, this->node_of(attempt_id).control.load(this->now), this->now);
    }
    else {
        entry.loads.on_node_failed(endpoint.node, this->now);
    }
    if (observation.end == hop_end::answered && effect == verdict::ran) {
        entry.quarantine.on_success(current.fingerprint, endpoint.key, this->now);
    }
    else if (suggests_crash(observation)) {
        entry.quarantine.on_target_crashed(std::array{current.fingerprint}, endpoint.key, this->now);
    }
    this->close_attempt(attempt_id);
    current.effect = combine_verdicts(current.effect, effect);
    if (effect == verdict::ran) {
        this->end_call(this->attempts[attempt_id - 1].call);
        return;
    }
    const failed_attempt failed{
        current.attempts, effect, false, true, current.deadline, is_quarantine_rejection(observation)};
    const auto decision = decide_retry(current.route, failed, entry.budget, this->now, this->rng);
    if (!decision.delay) {
        this->end_call(this->attempts[attempt_id - 1].call);
        return;
    }
    ++entry.retries;
    this->schedule(*decision.delay,
                   [this, id = this->attempts[attempt_id - 1].call] { this->start_attempt(id); });
}

inline void traffic_world::close_attempt(std::uint64_t attempt_id)
{
    auto& current = this->call_of(attempt_id);
    auto& entry = this->entries[current.entry];
    entry.loads.on_done(this->key_of(attempt_id));
    if (this->attempts[attempt_id - 1].is_isolated_at_entry) {
        entry.quarantine.on_inconclusive_end(current.fingerprint, this->key_of(attempt_id));
    }
    current.open_attempt = 0;
}

inline void traffic_world::abandon_call(std::uint64_t call_id)
{
    auto& current = this->calls[call_id];
    if (current.final_responses > 0) {
        return;
    }
    if (current.open_attempt != 0) {
        current.effect = combine_verdicts(current.effect, verdict::may_have_run);
        this->close_attempt(current.open_attempt);
    }
    this->end_call(call_id);
}

inline void traffic_world::end_call(std::uint64_t call_id)
{
    auto& ended = this->calls[call_id];
    ++ended.final_responses;
    this->check(this->now <= ended.deadline, "the final response is sent by the deadline");
    this->check(ended.effect != verdict::not_run || ended.executions == 0,
                "not_run is reported only for a call that did not run");
}

inline void traffic_world::cancel(const traffic_step& next)
{
    if (this->calls.empty()) {
        return;
    }
    const auto id = this->calls.size() - 1 - next.first % std::min<std::size_t>(this->calls.size(), 8);
    const auto attempt_id = this->calls[id].open_attempt;
    if (attempt_id != 0) {
        auto& node = this->node_of(attempt_id);
        const auto outcome = node.control.cancel(attempt_id);
        const auto is_running = node.running.contains(attempt_id);
        this->check((outcome == cancel_outcome::running) == is_running,
                    "cancel reports whether the request is running");
        if (outcome == cancel_outcome::removed) {
            this->end_isolation(attempt_id);
        }
    }
    this->abandon_call(id);
}

inline void traffic_world::drain(target_node& node, bool announced)
{
    const auto in_flight = node.running;
    if (announced) {
        node.drained = true;
        auto settings = this->settings_of(node);
        settings.state = target_state::draining;
        this->start_all(node.control.announce(settings, this->now));
        return;
    }
    const auto rejected = node.control.drain();
    node.drained = true;
    for (const auto attempt_id : rejected) {
        this->check(!in_flight.contains(attempt_id), "a drain does not reject running requests");
    }
    this->reject_all(rejected);
}

inline void traffic_world::replace(target_node& node)
{
    if (!node.drained || !node.running.empty()) {
        return;
    }
    node.drained = false;
    node.control = admission{this->settings_of(node), this->now};
}

inline void traffic_world::announce(target_node& node, std::uint32_t slots)
{
    node.slots = slots;
    this->start_all(node.control.announce(this->settings_of(node), this->now));
}

inline void traffic_world::gossip()
{
    std::vector<crash_quarantine*> nodes;
    for (auto& entry : this->entries) {
        nodes.push_back(&entry.quarantine);
    }
    for (auto& node : this->targets) {
        nodes.push_back(&node.quarantine);
    }
    for (const auto* from : nodes) {
        for (const auto& advisory : from->advisories(this->now)) {
            for (auto* to : nodes) {
                to->on_advisory(advisory, this->now);
            }
        }
    }
}

inline void traffic_world::tick()
{
    for (auto& node : this->targets) {
        this->reject_all(node.control.expire(this->now));
        this->start_all(node.control.start_queued(this->now));
    }
    this->schedule(milliseconds{5}, [this] { this->tick(); });
}

inline void traffic_world::start_all(const std::vector<request_id>& started)
{
    for (const auto attempt_id : started) {
        this->start_at_target(attempt_id);
    }
}

inline void traffic_world::reject_all(const std::vector<request_id>& rejected)
{
    for (const auto attempt_id : rejected) {
        this->end_isolation(attempt_id);
        this->respond(attempt_id, 503, verdict::not_run);
    }
}

inline void traffic_world::end_isolation(std::uint64_t attempt_id)
{
    if (!this->attempts[attempt_id - 1].is_isolated_at_node) {
        return;
    }
    auto& node = this->node_of(attempt_id);
    const auto fingerprint = this->call_of(attempt_id).fingerprint;
    node.quarantine.on_inconclusive_end(fingerprint, this->key_of(attempt_id));
    node.isolated_fingerprint =
        node.isolated_fingerprint == fingerprint ? std::nullopt : node.isolated_fingerprint;
}

inline void traffic_world::advance_to(timestamp until)
{
    while (!this->events.empty() && this->events.top().due <= until) {
        const auto next = this->events.top();
        this->events.pop();
        this->now = next.due;
        next.action();
    }
    this->now = until;
}

inline void traffic_world::check_all() const
{
    for (const auto& node : this->targets) {
        const auto load = node.control.load(this->now);
        this->check(load.in_use == node.running.size(),
                    "the number of slots in use equals the number of running requests");
        this->check(load.queued <= queue_limit, "the queue does not exceed its limit");
        this->check(load.slots <= node.slots, "the slot limit does not exceed the announced slots");
    }
    for (const auto& entry : this->entries) {
        const std::chrono::duration<double> elapsed = this->now.time_since_epoch();
        const auto max_retries = retry_budget::burst + retry_budget::floor_per_second * elapsed.count() +
                                 entry.calls * budget_percent / 100.0;
        this->check(entry.retries <= max_retries + 1.0, "retries stay within the retry budget");
    }
}

} // namespace kumquatdrift

#endif
