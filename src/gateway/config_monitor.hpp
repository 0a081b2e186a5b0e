#ifndef KUMQUATDRIFT_GATEWAY_CONFIG_MONITOR_HPP
#define KUMQUATDRIFT_GATEWAY_CONFIG_MONITOR_HPP

#include <functional>
#include <string>

#include <kumquatdrift/gateway/settings.hpp>
#include <kumquatdrift/mesh/config_fetch.hpp>
#include <kumquatdrift/telemetry/event_log.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>

namespace kumquatdrift {

/**
 * @brief Names what a node that is behind waits for.
 * @param fetch State of the node.
 * @param now Current time.
 * @return `node:NAME`, `store`, or `none` if it has asked neither.
 */
[[nodiscard]] std::string pending_source(const config_fetch& fetch, timestamp now);

/*! @brief Shows in metrics and in the log whether the configuration of this node is the newest. */
class config_monitor {
public:
    /**
     * @brief Constructs a monitor and adds its metrics.
     * @param registry Metrics; must not be read after the monitor is destroyed.
     * @param output Event log; must outlive the monitor.
     * @param state Returns what this node knows about newer configurations.
     * @param revocation_of_keys Settings of the revocation of keys; must outlive the monitor.
     */
    config_monitor(metrics_registry& registry, event_log& output, std::function<const config_fetch&()> state,
                   const revocation_settings& revocation_of_keys);

    /**
     * @brief Logs each change between current, behind and unconfirmed, and whether keys are used.
     * @param now Current time.
     */
    void on_tick(timestamp now);

private:
    event_log& log;
    std::function<const config_fetch&()> fetch;
    bool logged_behind{};
    const revocation_settings& revocation;
    bool logged_unconfirmed{};
    bool logged_keys_unused{};
    timestamp behind_since{};
};

} // namespace kumquatdrift

#endif
