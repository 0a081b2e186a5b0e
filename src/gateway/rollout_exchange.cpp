#include "rollout_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include <kumquatdrift/core/boot_clock.hpp>

#include "rollout_codec.hpp"

namespace kumquatdrift {
namespace {

/*! @brief Interval at which steps are decided. */
constexpr microseconds update_interval{100'000};
/*! @brief Interval at which all nodes are looked through, for each node, so that the cost of it doesn't grow
 * with their number. */
constexpr microseconds lookup_interval_per_node{400};
/*! @brief Interval at which the targets of a service are looked up after the end of its roll-out. */
constexpr microseconds final_lookup_interval{1'000'000};
/*! @brief Number of reports of the outcomes in the time for stopping a bad version. Two make a slice, and two
 * slices are enough evidence. */
constexpr int reports_per_revert_time = 10;
/*! @brief Reports in a slice. */
constexpr int reports_per_slice = 2;
/*! @brief Interval of reports without news, which show the deciding node who is behind. */
constexpr microseconds idle_report_interval{2'000'000};
/*! @brief Interval at which the deciding node is determined. */
constexpr microseconds decider_check_interval{500'000};
/*! @brief Delay after a write that has failed. */
constexpr microseconds write_retry_delay{500'000};
/*! @brief Time for which a version that has just appeared beside others gets no requests unless its order is
 * known: the order comes within a second. */
constexpr microseconds new_version_delay{2'000'000};
/*! @brief Part of the duration that a node which has learned the time of the order only from the store takes
 * as the longest time that has passed: the clock of the writer may differ. */
constexpr double max_passed_part = 0.75;

std::int64_t milliseconds_of(microseconds duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

} // namespace

rollout_exchange::rollout_exchange(dependencies components)
    : shared{std::move(components)}, started{boot_now()}
{
    if (!this->enabled()) {
        return;
    }
    this->shared.peer_nodes.set_rollout_handlers(
        {[this](hop::Hello& hello) {
             for (const auto& [service, state] : this->rollouts) {
                 encode(state, boot_now(), *hello.add_rollouts());
             }
         },
         [this](const std::string& node, const hop::Rollout& message) { this->on_state(node, message); },
         [this](const std::string& node, const hop::RolloutEvidence& message) {
             this->on_evidence(node, message);
         }});
    this->shared.loop.on_tick([this](timestamp now) { this->on_tick(now); });
}

microseconds rollout_exchange::report_interval() const noexcept
{
    return this->shared.settings.rollouts.revert_time / reports_per_revert_time;
}

void rollout_exchange::on_order(rollout_order order)
{
    if (!this->enabled()) {
        return;
    }
    const auto now = boot_now();
    this->adopt({std::move(order), now, rollout_phase::announced, now}, true, "store");
}

void rollout_exchange::adopt(const rollout& stated, bool from_store, const std::string& source)
{
    const auto now = boot_now();
    if (!merge(this->rollouts, stated, from_store, now)) {
        return;
    }
    auto& state = this->rollouts.find(stated.order.service)->second;
    auto& part = this->parts[state.order.service];
    if (part.order != state.order.id) {
        part = {};
        part.order = state.order.id;
    }
    this->log_phase(state, "stated", source);
    // Nodes that don't follow the store learn of the order from those that do.
    if (from_store) {
        this->broadcast(state);
    }
    this->update(state.order.service, state, now);
}

void rollout_exchange::set_phase(rollout& state, rollout_phase phase, const std::string& cause)
{
    if (state.phase == phase) {
        return;
    }
    state.phase = phase;
    state.phase_since = boot_now();
    this->log_phase(state, cause, "self");
    this->broadcast(state);
}

void rollout_exchange::log_phase(const rollout& state, const std::string& cause, const std::string& source)
{
    const auto& part = this->parts[state.order.service];
    this->shared.metrics
        .gauge_of("gateway_rollout_phase",
                  "Phase of the latest roll-out: 0 announced, 1 trial, 2 moving, 3 stopped, 4 completed, "
                  "5 reverted",
                  {{"service", state.order.service}})
        .set(static_cast<std::int64_t>(state.phase));
    this->shared.log.write(
        log_level::info, event_class::state, "rollout", "rollout_phase",
        "service={} version={} phase={} cause={} source={} age_ms={} duration_ms={} requests={} sent={}",
        log_value(state.order.service), log_value(state.order.version), to_name(state.phase),
        log_value(cause), log_value(source), milliseconds_of(boot_now() - state.ordered_at),
        milliseconds_of(state.order.duration), part.exposure.request_count(), part.exposure.sent_count());
}

void rollout_exchange::broadcast(const rollout& state)
{
    hop::Frame frame{};
    encode(state, boot_now(), *frame.mutable_rollout());
    this->shared.peer_nodes.broadcast(frame);
}

void rollout_exchange::on_state(const std::string& node, const hop::Rollout& message)
{
    if (const auto stated = decode(message, boot_now())) {
        this->adopt(*stated, false, node);
    }
}

void rollout_exchange::on_evidence(const std::string& node, const hop::RolloutEvidence& message)
{
    this->on_state(node, message.known());
    const auto state = this->rollouts.find(message.known().service());
    if (state == this->rollouts.end()) {
        return;
    }
    if (state->second.order.id != message.known().order() ||
        static_cast<std::uint32_t>(state->second.phase) != message.known().phase()) {
        hop::Frame frame{};
        encode(state->second, boot_now(), *frame.mutable_rollout());
        this->shared.peer_nodes.send_to(node, frame);
    }
    auto& part = this->parts[state->first];
    if (part.deciding && state->second.order.id == message.known().order()) {
        this->add_outcomes(*part.deciding, node, message.started_ms(), decode(message));
    }
}

void rollout_exchange::add_outcomes(rollout_decision& deciding, const std::string& node,
                                    std::uint64_t started_ms, version_outcomes outcomes)
{
    auto& known = deciding.by_node[node];
    if (started_ms < known.started_ms) {
        return;
    }
    if (started_ms > known.started_ms) {
        known = {started_ms, {}};
    }
    add_growth(deciding.slice, outcomes, known.outcomes);
    known.outcomes = std::move(outcomes);
}

void rollout_exchange::on_tick(timestamp now)
{
    if (this->next_update > now) {
        return;
    }
    this->next_update = now + update_interval;
    if (this->next_version_check <= now) {
        this->next_version_check = now + this->lookup_interval();
        this->find_new_versions(now);
    }
    for (auto& [service, state] : this->rollouts) {
        this->update(service, state, now);
    }
}

microseconds rollout_exchange::lookup_interval() const noexcept
{
    const auto nodes = static_cast<microseconds::rep>(this->shared.peer_nodes.members().all().size());
    return std::max(update_interval, lookup_interval_per_node * nodes);
}

void rollout_exchange::find_new_versions(timestamp now)
{
    for (const auto& [node, member] : this->shared.peer_nodes.members().all()) {
        const auto& record = member.record;
        if (record.state != report_state::ready || record.version.empty()) {
            continue;
        }
        auto& seen = this->versions[record.service];
        if (seen.usable_from.contains(record.version)) {
            continue;
        }
        // The versions that a node finds at its start have been in use.
        const auto is_first = seen.usable_from.empty() || now - this->started < new_version_delay;
        const auto usable_from = is_first ? now : now + new_version_delay;
        seen.usable_from.emplace(record.version, usable_from);
        seen.all_usable_from = std::max(seen.all_usable_from, usable_from);
    }
}

void rollout_exchange::update(const std::string& service, rollout& state, timestamp now)
{
    auto& part = this->parts[service];
    if (part.next_lookup <= now) {
        part.next_lookup = now + (is_final(state.phase) ? final_lookup_interval : this->lookup_interval());
        part.targets = find_targets(state.order, this->shared.settings.rollouts.exposure_share,
                                    this->shared.self(), this->shared.peer_nodes.members(), now);
        part.target_count = static_cast<std::size_t>(
            std::count_if(part.targets.roles.begin(), part.targets.roles.end(), [](const auto& entry) {
                const auto role = entry.second.first;
                return role == target_role::target || role == target_role::trial_target;
            }));
    }
    if (is_final(state.phase)) {
        part.deciding.reset();
        return;
    }
    if (part.next_decider_check <= now) {
        part.next_decider_check = now + decider_check_interval;
        const auto self = this->shared.self();
        const auto decider = deciding_node(service, self, this->shared.peer_nodes.members());
        if (std::exchange(part.decider, decider) != decider) {
            this->shared.log.write(log_level::info, event_class::state, "rollout", "rollout_decider",
                                   "service={} version={} node={}", log_value(service),
                                   log_value(state.order.version), log_value(decider));
            part.outcomes_changed = true;
        }
        if (decider != self.node) {
            part.deciding.reset();
        }
        else if (!part.deciding) {
            part.deciding.emplace().slice_end = now + this->report_interval() * reports_per_slice;
        }
    }
    this->report(state, part, now);
    if (part.deciding) {
        this->decide(state, part, now);
    }
}

void rollout_exchange::report(const rollout& state, participation& part, timestamp now)
{
    const auto due = part.outcomes_changed ? part.next_report : part.last_report + idle_report_interval;
    if (part.decider.empty() || due > now) {
        return;
    }
    part.next_report = now + this->report_interval();
    part.last_report = now;
    part.outcomes_changed = false;
    const auto self = this->shared.self();
    if (part.deciding) {
        this->add_outcomes(*part.deciding, self.node, self.started_ms, part.outcomes);
        return;
    }
    hop::Frame frame{};
    auto& message = *frame.mutable_rollout_evidence();
    encode(state, now, *message.mutable_known());
    message.set_started_ms(self.started_ms);
    encode(part.outcomes, message);
    part.outcomes_changed = !this->shared.peer_nodes.send_to(part.decider, frame);
}

void rollout_exchange::decide(rollout& state, participation& part, timestamp now)
{
    auto& deciding = *part.deciding;
    if (deciding.slice_end <= now) {
        deciding.slice_end = now + this->report_interval() * reports_per_slice;
        if (state.phase == rollout_phase::moving) {
            deciding.comparison.end_comparison();
        }
        deciding.comparison.add_slice(std::exchange(deciding.slice, {}));
    }
    const auto& targets = part.targets;
    const auto verdict = deciding.comparison.verdict();
    const auto idle = targets.previous_running == 0 && targets.previous_load_at > state.phase_since;
    const auto step = next_step(state, {verdict, has_room(targets), idle}, now);
    const auto& figures = deciding.comparison.figures();
    if (step == rollout_step::move || step == rollout_step::stop) {
        this->shared.log.write(
            log_level::info, event_class::state, "rollout", "rollout_decided",
            "service={} version={} step={} verdict={} outcome={} route={} evidence={:.2f} "
            "enough={:.2f} expected_share={:.4f} target_share={:.4f} previous_requests={} target_requests={} "
            "target_slots={} previous_slots={} age_ms={} duration_ms={}",
            log_value(state.order.service), log_value(state.order.version), to_name(step), to_name(verdict),
            to_name(figures.outcome), log_value(figures.route), figures.evidence, bad_version_evidence,
            figures.previous_share, figures.target_share, figures.previous_requests, figures.target_requests,
            targets.target_slots, targets.previous_slots, milliseconds_of(now - state.ordered_at),
            milliseconds_of(state.order.duration));
    }
    switch (step) {
    case rollout_step::wait:
        break;
    case rollout_step::move:
        this->set_phase(state, rollout_phase::moving, "no_difference");
        break;
    case rollout_step::stop:
        this->set_phase(state, rollout_phase::stopped,
                        verdict == version_verdict::bad ? "bad_version" : "not_complete_in_time");
        break;
    case rollout_step::write_running:
        this->write(state, part, rollout_status::running);
        break;
    case rollout_step::write_completed:
        this->write(state, part, rollout_status::completed);
        break;
    case rollout_step::write_reverted:
        this->write(state, part, rollout_status::reverted);
        break;
    }
}

void rollout_exchange::write(const rollout& state, participation& part, rollout_status status)
{
    const auto now = boot_now();
    auto& deciding = *part.deciding;
    if (deciding.writing || deciding.next_write > now) {
        return;
    }
    deciding.writing = true;
    const auto age = static_cast<std::uint64_t>(milliseconds_of(now - state.ordered_at));
    this->shared.platform.write_rollout(state.order, {status, unix_ms() - age},
                                        [this, service = state.order.service, order = state.order.id,
                                         status](const std::optional<rollout_record>& held) {
                                            this->on_written(service, order, status, held);
                                        });
}

void rollout_exchange::on_written(const std::string& service, std::uint64_t order, rollout_status wanted,
                                  const std::optional<rollout_record>& held)
{
    const auto state = this->rollouts.find(service);
    if (state == this->rollouts.end() || state->second.order.id != order) {
        return;
    }
    auto& part = this->parts[service];
    if (part.deciding) {
        part.deciding->writing = false;
        part.deciding->next_write = boot_now() + write_retry_delay;
    }
    this->shared.log.write(held ? log_level::info : log_level::warn, event_class::state, "rollout",
                           held ? "rollout_status_held" : "rollout_status_unknown",
                           "service={} version={} wanted={} held={}", log_value(service),
                           log_value(state->second.order.version), to_name(wanted),
                           held ? to_name(held->status) : "unknown");
    if (!held) {
        return;
    }
    if (held->status == rollout_status::running && state->second.phase == rollout_phase::announced &&
        held->ordered_ms != 0) {
        const auto passed_ms = unix_ms() - std::min(unix_ms(), held->ordered_ms);
        const auto longest = milliseconds{std::llround(
            max_passed_part * static_cast<double>(milliseconds_of(state->second.order.duration)))};
        const auto passed = std::min(milliseconds{static_cast<milliseconds::rep>(passed_ms)}, longest);
        state->second.ordered_at = std::min(state->second.ordered_at, boot_now() - microseconds{passed});
    }
    const auto phase = phase_of(held->status);
    if (phase > state->second.phase) {
        this->set_phase(state->second, phase, "store");
    }
}

} // namespace kumquatdrift
