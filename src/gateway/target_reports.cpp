#include "target_host.hpp"

#include <algorithm>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {

report_order target_host::on_report(const target_report& stated)
{
    const auto now = boot_now();
    auto report = stated;
    if (stated.instance == this->current.instance && stated.started_ms == this->stated_start_ms) {
        report.started_ms = this->current.started_ms;
    }
    const auto order = order_report(this->reports, this->current, report, this->report_interval, now);
    // `ready` of an incarnation that has left is applied, but for the state.
    const auto is_after_leave = order == report_order::newer && report.state == report_state::ready &&
                                report.started_ms == this->current.started_ms &&
                                is_leave(this->current.state);
    if (!is_applied(order) || is_after_leave) {
        this->shared.log.write(log_level::info, event_class::state, "target", "report_ignored",
                               "cause={} instance={} state={} born={} sequence={} known_instance={} "
                               "known_state={} known_born={} "
                               "known_sequence={}",
                               is_after_leave ? "after_leave" : to_name(order), log_value(report.instance),
                               to_name(report.state), stated.started_ms, report.sequence,
                               log_value(this->current.instance), to_name(this->current.state),
                               this->stated_start_ms, this->current.sequence);
    }
    if (!is_applied(order)) {
        return order;
    }
    this->last_report_at = now;
    if (order == report_order::leave) {
        this->set_state(report_state::gone, "report");
        return order;
    }
    if (order == report_order::restarted && is_leave(this->current.state)) {
        this->verify_restarted(stated);
        return order;
    }
    if (order == report_order::restarted ||
        (order == report_order::replaces && report.instance == this->current.instance &&
         report.started_ms < this->current.started_ms)) {
        this->accept_restarted(stated);
        return order;
    }
    const auto is_new = order == report_order::replaces || this->current.instance.empty();
    if (is_new) {
        this->begin_incarnation();
    }
    // A leave that was applied before the start was known is among the memories.
    const auto before = this->current.state;
    const auto leaving = !is_new && report.started_ms == this->current.started_ms && is_leave(before);
    this->stated_start_ms = stated.started_ms;
    this->apply(report, leaving && report.state == report_state::ready ? before : report.state, is_new);
    return order;
}

void target_host::begin_incarnation()
{
    if (!this->current.instance.empty()) {
        this->on_crash();
    }
    ++this->incarnation;
    this->queue.reset_estimates();
    this->shed_rate = {};
    this->log_limit("new_instance");
    this->client.close_idle();
}

void target_host::use_address(const target_report& report)
{
    const auto address = parse_address(report.address);
    this->client.set_address(address ? *address : this->default_address);
}

void target_host::apply(const target_report& report, report_state state, bool is_new)
{
    const auto before = this->current.state;
    this->current = report;
    this->current.state = before;
    this->use_address(report);
    const auto left_sequence = this->apply_memory();
    const auto has_left = left_sequence && state == report_state::ready;
    if (has_left && !this->reports.contender) {
        this->contest_current(*left_sequence);
    }
    this->set_state(has_left ? report_state::draining : state, has_left ? "remembered"
                                                               : is_new ? "new_instance"
                                                                        : "report");
}

void target_host::verify_restarted(const target_report& report)
{
    if (this->verifies_restart || this->liveness_path.empty()) {
        return;
    }
    this->verifies_restart = true;
    // Nothing else is sent to a target that has left.
    this->use_address(report);
    this->request_health(this->liveness_path, [this, report](const std::optional<target_health>& health) {
        this->verifies_restart = false;
        // Another leave, or another incarnation, ends the contention.
        if (health && health->instance == report.instance && is_leave(this->current.state) &&
            this->reports.contender && this->reports.contender->instance == report.instance) {
            this->accept_restarted(report);
        }
    });
}

void target_host::accept_restarted(target_report report)
{
    this->begin_incarnation();
    this->stated_start_ms = report.started_ms;
    // Every node tells incarnations apart by id and start, so this one gets a start that no other one has
    // had.
    report.started_ms = std::max(report.started_ms, this->current.started_ms);
    for (const auto& memory : this->memories) {
        if (memory.instance == report.instance) {
            report.started_ms = std::max(report.started_ms, memory.started_ms);
        }
    }
    ++report.started_ms;
    this->reports.contender.reset();
    this->reports.known_at = boot_now();
    this->shared.log.write(log_level::warn, event_class::state, "target", "target_restarted",
                           "instance={} born={} start={} sequence={} before={} known_sequence={}",
                           log_value(report.instance), this->stated_start_ms, report.started_ms,
                           report.sequence, to_name(this->current.state), this->current.sequence);
    this->apply(report, report.state, true);
}

} // namespace kumquatdrift
