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
        node.sheds = next.second % 2 == 0;
        break;
    case traffic_step_kind::network:
        this->loss_percent = next.first % 3 * 10;
        this->cut_percent = next.first / 3 % 3 * 10;
        this->refusal_percent = next.second % 3 * 10;
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
        this->check(ended.finals == 1, "each call gets exactly one final answer");
    }
    this->gossip();
    const auto is_refused = [this](crash_quarantine& suspects, std::uint64_t fingerprint) {
        const auto action = suspects.check(fingerprint, "probe", this->now).action;
        suspects.on_inconclusive_end(fingerprint, "probe");
        return action == quarantine_action::refuse;
    };
    for (std::uint64_t innocent = killer + 1; innocent <= killer + 4; ++innocent) {
        for (auto& entry : this->entries) {
            this->check(!is_refused(entry.suspects, innocent), "no innocent request stays in quarantine");
        }
        for (auto& node : this->targets) {
            this->check(!is_refused(node.suspects, innocent), "no innocent request stays in quarantine");
        }
    }
}

inline void traffic_world::start_call(const traffic_step& next)
{
    const auto id = this->calls.size();
    auto& started = this->calls.emplace_back();
    started.entry = next.first % entry_count;
    started.fingerprint = killer + next.second % 5;
    started.route.idempotent = next.second / 8 % 2 == 0;
    started.route.retry = {.max_attempts = 3, .budget_percent = budget_percent};
    started.deadline = this->now + milliseconds{20 * (1 + next.first / 4)};
    auto& entry = this->entries[started.entry];
    entry.budget.on_call(budget_percent);
    ++entry.calls;
    this->at(started.deadline - this->now, [this, id] {
        const auto& late = this->calls[id];
        this->check(late.finals > 0 || late.open_attempt != 0,
                    "no answer waits for a retry that comes too late");
        this->give_up(id);
    });
    this->start_attempt(id);
}

inline void traffic_world::start_attempt(std::uint64_t call_id)
{
    auto& current = this->calls[call_id];
    if (current.finals > 0) {
        return;
    }
    auto& entry = this->entries[current.entry];
    const auto choice = choose_endpoint(this->service, entry.loads, current.used, this->now, this->rng);
    if (!choice.endpoint) {
        this->end_call(call_id);
        return;
    }
    const auto& key = this->service.endpoints[*choice.endpoint].key;
    const auto action = entry.suspects.check(current.fingerprint, key, this->now).action;
    if (action == quarantine_action::refuse || action == quarantine_action::refuse_busy) {
        this->end_call(call_id);
        return;
    }
    ++current.attempts;
    current.used.push_back(key);
    auto& sent = this->attempts.emplace_back();
    sent.call = call_id;
    sent.target = static_cast<std::uint32_t>(*choice.endpoint);
    sent.entry_alone = action == quarantine_action::run_alone;
    current.open_attempt = this->attempts.size();
    entry.loads.on_sent(key, this->now);
    this->send_to_node(current.open_attempt);
}

inline void traffic_world::send_to_node(std::uint64_t attempt_id)
{
    if (this->draw(this->refusal_percent)) {
        this->receive_at_entry(attempt_id, {hop_peer::node, hop_end::connect_refused, 0, {}, {}});
        return;
    }
    if (this->draw(this->loss_percent)) {
        return;
    }
    const auto is_cut = this->draw(this->cut_percent);
    if (is_cut) {
        this->at(this->draw_delay(), [this, attempt_id] {
            this->receive_at_entry(attempt_id, {hop_peer::node, hop_end::connection_lost, 100, {}, {}});
        });
    }
    if (!is_cut || this->draw(50)) {
        this->at(this->draw_delay(), [this, attempt_id] { this->receive_at_node(attempt_id); });
    }
}

inline void traffic_world::receive_at_node(std::uint64_t attempt_id)
{
    auto& node = this->node_of(attempt_id);
    auto& received = this->attempts[attempt_id - 1];
    const auto& current = this->call_of(attempt_id);
    const auto action = node.suspects.check(current.fingerprint, this->key_of(attempt_id), this->now).action;
    if (action == quarantine_action::refuse || action == quarantine_action::refuse_busy) {
        const auto status = action == quarantine_action::refuse ? quarantined_status : std::uint16_t{503};
        this->reply(attempt_id, status, verdict::not_run);
        return;
    }
    received.node_alone = action == quarantine_action::run_alone;
    if (received.node_alone) {
        this->check(!node.alone, "one suspect runs at a target at a time");
        node.alone = current.fingerprint;
    }
    const auto decision = node.control.offer({attempt_id, current.deadline, current.fingerprint}, this->now);
    if (decision.kind == admission_kind::rejected) {
        this->refuse_all({attempt_id});
    }
    if (decision.kind == admission_kind::admitted) {
        this->start_at_target(attempt_id);
    }
}

inline void traffic_world::start_at_target(std::uint64_t attempt_id)
{
    auto& node = this->node_of(attempt_id);
    auto& current = this->call_of(attempt_id);
    this->check(!node.drained, "nothing starts after drain");
    this->check(node.running.size() < node.slots, "slots are never exceeded");
    this->check(this->now < current.deadline, "nothing starts after its deadline");
    node.running.insert(attempt_id);
    if (node.dead) {
        this->at(microseconds{0}, [this, attempt_id] {
            this->end_at_target(attempt_id, {hop_peer::target, hop_end::connect_refused, 0, {}, {}});
        });
        return;
    }
    if (node.sheds) {
        this->at(milliseconds{1}, [this, attempt_id] {
            this->end_at_target(attempt_id, {hop_peer::target, hop_end::answered, 100, 503, "not_run"});
        });
        return;
    }
    ++current.runs;
    this->attempts[attempt_id - 1].ran = true;
    this->check(current.route.idempotent || current.runs <= 1,
                "a request that may not be repeated runs once");
    if (current.fingerprint == killer) {
        const auto target = this->attempts[attempt_id - 1].target;
        const auto incarnation = node.incarnation;
        this->at(milliseconds{3}, [this, target, incarnation] { this->kill(target, incarnation); });
        return;
    }
    this->at(this->draw_delay() * 4, [this, attempt_id] {
        this->end_at_target(attempt_id, {hop_peer::target, hop_end::answered, 100, 200, {}});
    });
}

inline void traffic_world::end_at_target(std::uint64_t attempt_id, const hop_observation& seen)
{
    auto& node = this->node_of(attempt_id);
    if (node.running.erase(attempt_id) == 0) {
        return;
    }
    const auto effect = verdict_of(seen);
    const auto fingerprint = this->call_of(attempt_id).fingerprint;
    const auto& key = this->key_of(attempt_id);
    const auto is_answered = seen.end == hop_end::answered;
    if (is_answered && effect == verdict::ran) {
        node.suspects.on_success(fingerprint, key, this->now);
        node.alone = node.alone == fingerprint ? std::nullopt : node.alone;
    }
    else if (!suggests_crash(seen)) {
        this->end_alone(attempt_id);
    }
    if (effect == verdict::ran) {
        this->reply(attempt_id, 200, std::nullopt);
    }
    else {
        this->reply(attempt_id, effect == verdict::not_run ? 503 : target_lost_status, effect);
    }
    const auto answered = effect == verdict::ran ? run_outcome::answered : run_outcome::shed;
    const auto outcome = is_answered ? answered : run_outcome::failed;
    this->start_all(node.control.finish(attempt_id, outcome, this->now));
}

inline void traffic_world::kill(std::uint32_t target, std::uint64_t incarnation)
{
    auto& node = this->targets[target];
    if (node.dead || node.incarnation != incarnation) {
        return;
    }
    node.dead = true;
    ++node.incarnation;
    ++node.deaths;
    this->check(node.deaths <= 2, "a node loses its target at most twice to one request");
    const auto in_flight = node.control.fingerprints_in_flight();
    node.suspects.on_target_crashed(in_flight, this->service.endpoints[target].key, this->now);
    node.alone.reset();
    const auto lost = node.running;
    for (const auto attempt_id : lost) {
        this->end_at_target(attempt_id, {hop_peer::target, hop_end::connection_lost, 100, {}, {}});
    }
    this->at(milliseconds{300}, [this, target] {
        this->targets[target].dead = false;
        this->announce(this->targets[target], this->targets[target].slots);
    });
}

inline void traffic_world::reply(std::uint64_t attempt_id, std::uint16_t status,
                                 std::optional<verdict> stated)
{
    if (this->draw(this->loss_percent)) {
        return;
    }
    hop_observation seen{hop_peer::node, hop_end::answered, 100, status, {}};
    if (stated) {
        seen.verdict_text = to_name(*stated);
    }
    if (this->draw(this->cut_percent)) {
        seen.end = hop_end::connection_lost;
    }
    this->at(this->draw_delay(), [this, attempt_id, seen] { this->receive_at_entry(attempt_id, seen); });
}

inline void traffic_world::receive_at_entry(std::uint64_t attempt_id, const hop_observation& seen)
{
    auto& current = this->call_of(attempt_id);
    if (current.finals > 0 || current.open_attempt != attempt_id) {
        return;
    }
    const auto effect = verdict_of(seen);
    this->check(effect != verdict::not_run || !this->attempts[attempt_id - 1].ran,
                "not_run is reported only for an attempt that did not run");
    auto& entry = this->entries[current.entry];
    const auto& endpoint = this->service.endpoints[this->attempts[attempt_id - 1].target];
    if (seen.end == hop_end::answered) {
        entry.loads.on_response(endpoint, this->node_of(attempt_id).control.load(this->now), this->now);
    }
    else {
        entry.loads.on_node_failed(endpoint.node, this->now);
    }
    if (seen.end == hop_end::answered && effect == verdict::ran) {
        entry.suspects.on_success(current.fingerprint, endpoint.key, this->now);
    }
    else if (suggests_crash(seen)) {
        entry.suspects.on_target_crashed(std::array{current.fingerprint}, endpoint.key, this->now);
    }
    this->close_attempt(attempt_id);
    current.effect = combine_verdicts(current.effect, effect);
    if (effect == verdict::ran) {
        this->end_call(this->attempts[attempt_id - 1].call);
        return;
    }
    const failed_attempt failed{
        current.attempts, effect, false, true, current.deadline, is_quarantine_rejection(seen)};
    const auto decision = decide_retry(current.route, failed, entry.budget, this->now, this->rng);
    if (!decision.delay) {
        this->end_call(this->attempts[attempt_id - 1].call);
        return;
    }
    ++entry.retries;
    this->at(*decision.delay, [this, id = this->attempts[attempt_id - 1].call] { this->start_attempt(id); });
}

inline void traffic_world::close_attempt(std::uint64_t attempt_id)
{
    auto& current = this->call_of(attempt_id);
    auto& entry = this->entries[current.entry];
    entry.loads.on_done(this->key_of(attempt_id));
    if (this->attempts[attempt_id - 1].entry_alone) {
        entry.suspects.on_inconclusive_end(current.fingerprint, this->key_of(attempt_id));
    }
    current.open_attempt = 0;
}

inline void traffic_world::give_up(std::uint64_t call_id)
{
    auto& current = this->calls[call_id];
    if (current.finals > 0) {
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
    ++ended.finals;
    this->check(this->now <= ended.deadline, "the final answer comes by the deadline");
    this->check(ended.effect != verdict::not_run || ended.runs == 0,
                "not_run is reported only if it did not run");
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
        this->check((outcome == cancel_outcome::running) == is_running, "cancel knows what runs");
        if (outcome == cancel_outcome::removed) {
            this->end_alone(attempt_id);
        }
    }
    this->give_up(id);
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
    const auto dropped = node.control.drain();
    node.drained = true;
    for (const auto attempt_id : dropped) {
        this->check(!in_flight.contains(attempt_id), "drain cuts nothing in flight");
    }
    this->refuse_all(dropped);
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
        nodes.push_back(&entry.suspects);
    }
    for (auto& node : this->targets) {
        nodes.push_back(&node.suspects);
    }
    for (const auto* from : nodes) {
        for (const auto& advisory : from->advisories(this->now)) {
            for (auto* to : nodes) {
                to->on_remote(advisory, this->now);
            }
        }
    }
}

inline void traffic_world::tick()
{
    for (auto& node : this->targets) {
        this->refuse_all(node.control.expire(this->now));
        this->start_all(node.control.start_queued(this->now));
    }
    this->at(milliseconds{5}, [this] { this->tick(); });
}

inline void traffic_world::start_all(const std::vector<request_id>& started)
{
    for (const auto attempt_id : started) {
        this->start_at_target(attempt_id);
    }
}

inline void traffic_world::refuse_all(const std::vector<request_id>& dropped)
{
    for (const auto attempt_id : dropped) {
        this->end_alone(attempt_id);
        this->reply(attempt_id, 503, verdict::not_run);
    }
}

inline void traffic_world::end_alone(std::uint64_t attempt_id)
{
    if (!this->attempts[attempt_id - 1].node_alone) {
        return;
    }
    auto& node = this->node_of(attempt_id);
    const auto fingerprint = this->call_of(attempt_id).fingerprint;
    node.suspects.on_inconclusive_end(fingerprint, this->key_of(attempt_id));
    node.alone = node.alone == fingerprint ? std::nullopt : node.alone;
}

inline void traffic_world::advance_to(timestamp until)
{
    while (!this->events.empty() && this->events.top().at <= until) {
        const auto next = this->events.top();
        this->events.pop();
        this->now = next.at;
        next.action();
    }
    this->now = until;
}

inline void traffic_world::check_all() const
{
    for (const auto& node : this->targets) {
        const auto load = node.control.load(this->now);
        this->check(load.in_use == node.running.size(), "the slots in use are exact");
        this->check(load.queued <= queue_limit, "the queue is bounded");
        this->check(load.slots <= node.slots, "the limit is at most the announced slots");
    }
    for (const auto& entry : this->entries) {
        const std::chrono::duration<double> elapsed = this->now.time_since_epoch();
        const auto most = retry_budget::burst + retry_budget::floor_per_second * elapsed.count() +
                          entry.calls * budget_percent / 100.0;
        this->check(entry.retries <= most + 1.0, "retries stay within the budget");
    }
}

} // namespace kumquatdrift

#endif
