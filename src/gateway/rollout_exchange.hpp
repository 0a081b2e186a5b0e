#ifndef KUMQUATDRIFT_GATEWAY_ROLLOUT_EXCHANGE_HPP
#define KUMQUATDRIFT_GATEWAY_ROLLOUT_EXCHANGE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/gateway/platform.hpp>
#include <kumquatdrift/gateway/settings.hpp>
#include <kumquatdrift/mesh/rollouts.hpp>
#include <kumquatdrift/telemetry/event_log.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>
#include <kumquatdrift/traffic/exposure.hpp>
#include <kumquatdrift/traffic/placement.hpp>
#include <kumquatdrift/traffic/version_comparison.hpp>

#include "loop.hpp"
#include "peers.hpp"
#include "run.hpp"

namespace kumquatdrift {

/*! @brief Outcomes that a process has sent. */
struct reported_outcomes {
    std::uint64_t started_ms{};
    version_outcomes outcomes{};
};

/*! @brief State of a roll-out that only the deciding node has. */
struct rollout_decision {
    version_comparison comparison{};
    std::map<std::string, reported_outcomes, std::less<>> by_node{};
    version_outcomes slice{};
    timestamp slice_end{};
    timestamp next_write{};
    bool writing{};
};

/**
 * @brief Takes part in the roll-outs of services: keeps requests from the targets that they must not reach,
 * counts outcomes, tells other nodes of orders and phases, and decides if this is the deciding node.
 *
 * Without a share in the settings, all functions do nothing.
 */
class rollout_exchange {
public:
    /*! @brief Objects and functions that this object uses; all must outlive it. */
    struct dependencies {
        event_loop& loop;
        event_log& log;
        metrics_registry& metrics;
        mesh_platform& platform;
        peers& peer_nodes;
        const gateway_settings& settings;
        /*! @brief Returns the record of this node. */
        std::function<member_record()> self{};
    };

    /**
     * @brief Constructs an object that knows no roll-out.
     * @param components Objects and functions that it uses.
     */
    explicit rollout_exchange(dependencies components);

    /**
     * @brief Handles an order that was read from the store.
     * @param order Order.
     */
    void on_order(rollout_order order);

    /**
     * @brief Counts a request of a caller of this node.
     * @param service Service of the request.
     */
    void on_request(std::string_view service);

    /**
     * @brief Removes the targets that a request must not reach now.
     * @param service Service of the request.
     * @param may_try_new True if the request may be one of the share of the new version; false for a retry.
     * @param candidates Targets of the service; some are removed.
     * @return True if only targets of the new version are left that take the limited share; if they can't
     * serve the request, the others may.
     */
    bool restrict_targets(std::string_view service, bool may_try_new,
                          std::vector<placement_candidate>& candidates);

    /**
     * @brief Counts a request that is sent to a target.
     * @param service Service.
     * @param node Node of the target; empty for this one.
     */
    void on_sent(std::string_view service, std::string_view node);

    /**
     * @brief Counts the outcome of a request.
     * @param service Service.
     * @param route Name of the route.
     * @param node Node of the target; empty for this one.
     * @param service_time Time for which it held a slot; nothing if it failed or did not end in time.
     * @param cold True if the target is in the slow phase after its start.
     */
    void on_outcome(std::string_view service, const std::string& route, std::string_view node,
                    std::optional<microseconds> service_time, bool cold);

private:
    /*! @brief Versions of the targets of a service that have been seen. */
    struct seen_versions {
        /*! @brief Time from which each version may be used without an order. */
        std::map<std::string, timestamp, std::less<>> usable_from{};
        /*! @brief Latest of these times. */
        timestamp all_usable_from{};
    };

    /*! @brief State of a roll-out on this node, beside the table. */
    struct participation {
        std::uint64_t order{};
        exposure_limit exposure{};
        version_outcomes outcomes{};
        bool outcomes_changed{};
        rollout_targets targets{};
        /*! @brief Number of targets of the new version. */
        std::size_t target_count{};
        std::string decider{};
        timestamp next_report{};
        timestamp last_report{};
        timestamp next_decider_check{};
        timestamp next_lookup{};
        std::optional<rollout_decision> deciding{};
    };

    [[nodiscard]] bool enabled() const noexcept
    {
        return this->shared.settings.rollouts.exposure_share > 0.0;
    }

    [[nodiscard]] microseconds report_interval() const noexcept;
    [[nodiscard]] microseconds lookup_interval() const noexcept;
    void on_tick(timestamp now);
    void update(const std::string& service, rollout& state, timestamp now);
    void find_new_versions(timestamp now);
    void hold_new_versions(std::string_view service, std::vector<placement_candidate>& candidates);
    void adopt(const rollout& stated, bool from_store, const std::string& source);
    void set_phase(rollout& state, rollout_phase phase, const std::string& cause);
    void on_state(const std::string& node, const hop::Rollout& message);
    void on_evidence(const std::string& node, const hop::RolloutEvidence& message);
    void add_outcomes(rollout_decision& deciding, const std::string& node, std::uint64_t started_ms,
                      version_outcomes outcomes);
    void report(const rollout& state, participation& part, timestamp now);
    void decide(rollout& state, participation& part, timestamp now);
    void write(const rollout& state, participation& part, rollout_status status);
    void on_written(const std::string& service, std::uint64_t order, rollout_status wanted,
                    const std::optional<rollout_record>& held);
    void broadcast(const rollout& state);
    void log_phase(const rollout& state, const std::string& cause, const std::string& source);

    dependencies shared;
    rollout_table rollouts{};
    std::map<std::string, participation, std::less<>> parts{};
    std::map<std::string, seen_versions, std::less<>> versions{};
    timestamp started{};
    timestamp next_update{};
    timestamp next_version_check{};
};

} // namespace kumquatdrift

#endif
