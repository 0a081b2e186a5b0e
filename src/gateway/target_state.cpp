#include "target_host.hpp"

#include <algorithm>
#include <utility>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Timeout of a liveness check. */
constexpr microseconds health_timeout{1'000'000};
/*! @brief Time for which the recorded leaves are awaited before a liveness check decides. */
constexpr microseconds max_leaves_wait{1'000'000};

} // namespace

void target_host::set_state(report_state stated, const std::string& cause)
{
    this->is_held = stated == report_state::ready && this->await_leaves_until.has_value();
    const auto state = this->is_held ? report_state::unknown : stated;
    if (cause != "remembered" && is_leave(state)) {
        const target_memory leave{this->current.instance, true, 0, 0.0, this->current.started_ms, 0,
                                  this->current.sequence};
        if (this->remember(leave)) {
            this->unrecorded_leave = leave;
        }
    }
    const auto before = std::exchange(this->current.state, state);
    this->queue.set_slots(state == report_state::ready ? std::max(this->current.slots, 1U) : 0);
    if (before != state || cause == "new_instance") {
        this->shared.log.write(log_level::info, event_class::state, "target", "target_state",
                               "instance={} state={} before={} cause={} slots={} sequence={}",
                               log_value(this->current.instance), to_name(state), to_name(before),
                               log_value(cause), this->current.slots, this->current.sequence);
        if (state != report_state::ready) {
            for (const auto id : this->queue.remove_all()) {
                this->reject(id, "target_" + std::string{to_name(state)});
            }
        }
        this->on_change();
    }
    this->start_queued();
}

void target_host::check_health(const std::string& service, const std::string& health_path)
{
    this->set_liveness_path(health_path);
    if (this->last_report_at || health_path.empty()) {
        return;
    }
    this->request_health(health_path, [this, service](const std::optional<target_health>& health) {
        if (!health || this->last_report_at) {
            return;
        }
        this->current.instance = health->instance;
        this->current.service = service;
        this->current.slots = health->slots;
        this->last_report_at = boot_now();
        const auto has_left = this->apply_memory();
        this->set_state(has_left ? report_state::draining : report_state::ready,
                        has_left ? "remembered" : "health");
    });
}

void target_host::request_health(const std::string& health_path,
                                 std::function<void(std::optional<target_health>)> done)
{
    call_request request{};
    request.bytes = serialize_request("GET", health_path, "Host: " + this->client.address().ip + "\r\n", "");
    request.deadline = boot_now() + health_timeout;
    this->client.call(std::move(request), [this, done = std::move(done)](const call_result& result) {
        const auto health = result.outcome == call_outcome::answered
                                ? this->shared.platform.decode_health(result.response)
                                : std::nullopt;
        if (!health) {
            this->shared.log.write(log_level::info, event_class::state, "target", "health_unknown",
                                   "end={} status={} cause={}", to_name(result.outcome),
                                   result.response.status, log_value(result.cause));
        }
        done(health);
    });
}

void target_host::await_recorded_leaves()
{
    this->await_leaves_until = boot_now() + max_leaves_wait;
}

void target_host::restore_recorded(const target_memory& leave)
{
    if (leave.started_ms > 0 || this->await_leaves_until || !this->reports.start_stated) {
        this->restore(leave, 1);
    }
}

void target_host::on_leaves_read()
{
    if (!std::exchange(this->await_leaves_until, std::nullopt)) {
        return;
    }
    if (std::exchange(this->is_held, false)) {
        const auto has_left = this->apply_memory();
        if (has_left) {
            this->contest_current(*has_left);
        }
        this->set_state(has_left ? report_state::draining : report_state::ready,
                        has_left ? "remembered" : "leaves_read");
    }
}

void target_host::verify_held()
{
    if (!this->is_held) {
        return;
    }
    const auto accept = [this] {
        this->shared.log.write(log_level::warn, event_class::state, "target", "leaves_unread", "instance={}",
                               log_value(this->current.instance));
        this->on_leaves_read();
    };
    if (this->liveness_path.empty()) {
        accept();
        return;
    }
    this->request_health(this->liveness_path, [this, accept](const std::optional<target_health>& health) {
        if (health && this->is_held && health->instance == this->current.instance) {
            accept();
        }
    });
}

std::optional<target_memory> target_host::take_unrecorded_leave()
{
    return std::exchange(this->unrecorded_leave, std::nullopt);
}

} // namespace kumquatdrift
