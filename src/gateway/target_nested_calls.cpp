#include "target_host.hpp"

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Shortest time between two log lines on the limit of requests with nested calls. */
constexpr microseconds caller_limit_log_interval{1'000'000};

} // namespace

void target_host::on_nested_call(const std::string& attempt)
{
    const auto running = this->running_attempts.find(attempt);
    if (running == this->running_attempts.end()) {
        return;
    }
    if (const auto found = this->requests.find(running->second); found != this->requests.end()) {
        found->second.made_calls = true;
    }
}

void target_host::on_nested_call_ended(bool refused)
{
    if (refused) {
        this->refused_nested_calls.add();
    }
    this->room.on_call_ended(refused, this->current.slots, boot_now());
    this->update_caller_limit(boot_now());
}

void target_host::update_caller_limit(timestamp now)
{
    const auto limit = this->room.limit(this->current.slots, now);
    this->queue.set_caller_limit(limit);
    this->caller_limit_gauge.set(limit);
    const auto before = this->logged_caller_limit == 0 ? this->current.slots : this->logged_caller_limit;
    if (limit == before || now - this->caller_limit_logged_at < caller_limit_log_interval) {
        return;
    }
    this->logged_caller_limit = limit;
    this->caller_limit_logged_at = now;
    this->shared.log.write(log_level::info, event_class::state, "target", "caller_limit",
                           "instance={} limit={} before={} slots={} refused_calls={}",
                           log_value(this->current.instance), limit, before, this->current.slots,
                           this->refused_nested_calls.value());
}

} // namespace kumquatdrift
