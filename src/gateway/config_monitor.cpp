#include "config_monitor.hpp"

#include <chrono>
#include <utility>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {
namespace {

double seconds_since(timestamp since, timestamp now)
{
    return since == timestamp{} ? 0.0 : std::chrono::duration<double>{now - since}.count();
}

} // namespace

std::string pending_source(const config_fetch& fetch, timestamp now)
{
    if (!fetch.source.empty()) {
        return "node:" + fetch.source;
    }
    return fetch.next_store_read > now ? "store" : "none";
}

config_monitor::config_monitor(metrics_registry& registry, event_log& output,
                               std::function<const config_fetch&()> state,
                               const revocation_settings& revocation_of_keys)
    : log{output}, fetch{std::move(state)}, revocation{revocation_of_keys}
{
    registry.add_gauge_callback("gateway_config_version", "Version of the configuration in force",
                                [this] { return static_cast<double>(this->fetch().version); });
    registry.add_gauge_callback("gateway_config_newest_known", "Newest version that any node has reported",
                                [this] { return static_cast<double>(this->fetch().newest_known); });
    registry.add_gauge_callback("gateway_config_behind_seconds",
                                "Time since which a version that is missing here has been known",
                                [this] { return seconds_since(this->fetch().behind_since, boot_now()); });
    registry.add_gauge_callback(
        "gateway_config_unconfirmed_seconds",
        "Time since the version in force was last known to be the newest; -1 if never", [this] {
            const auto at = this->fetch().confirmed_at;
            return at == timestamp{} ? -1.0 : seconds_since(at, boot_now());
        });
    registry.add_gauge_callback(
        "gateway_config_unproven_seconds",
        "Time since the version in force was last proven to be the newest; -1 if never", [this] {
            const auto at = this->fetch().proven_at;
            return at == timestamp{} ? -1.0 : seconds_since(at, boot_now());
        });
}

void config_monitor::on_tick(timestamp now)
{
    const auto& state = this->fetch();
    const auto behind = is_behind(state) && now - state.behind_since > max_lag_when_ready;
    if (behind) {
        this->behind_since = state.behind_since;
    }
    if (std::exchange(this->logged_behind, behind) != behind) {
        this->log.write(behind ? log_level::warn : log_level::info, event_class::state, "config",
                        behind ? "config_behind" : "config_caught_up",
                        "version={} newest_known={} behind_ms={} waits_for={}", state.version,
                        state.newest_known,
                        std::chrono::duration_cast<milliseconds>(now - this->behind_since).count(),
                        log_value(behind ? pending_source(state, now) : ""));
    }
    const auto unconfirmed = state.version != 0 && !is_confirmed(state, now);
    if (std::exchange(this->logged_unconfirmed, unconfirmed) != unconfirmed) {
        this->log.write(unconfirmed ? log_level::warn : log_level::info, event_class::state, "config",
                        unconfirmed ? "config_unconfirmed" : "config_confirmed",
                        "version={} unconfirmed_ms={}", state.version,
                        static_cast<std::int64_t>(seconds_since(state.confirmed_at, now) * 1'000.0));
    }
    const auto unused =
        this->revocation.strict && state.version != 0 && !are_keys_valid(state, this->revocation.bound, now);
    if (std::exchange(this->logged_keys_unused, unused) != unused) {
        this->log.write(unused ? log_level::warn : log_level::info, event_class::state, "access",
                        unused ? "keys_unproven" : "keys_proven", "version={} unproven_ms={} bound_ms={}",
                        state.version,
                        static_cast<std::int64_t>(seconds_since(state.proven_at, now) * 1'000.0),
                        this->revocation.bound.count() / 1'000);
    }
}

} // namespace kumquatdrift
