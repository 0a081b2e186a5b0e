#ifndef KUMQUATDRIFT_GATEWAY_SETTINGS_HPP
#define KUMQUATDRIFT_GATEWAY_SETTINGS_HPP

#include <cstddef>
#include <cstdint>
#include <string>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/telemetry/log_level.hpp>
#include <kumquatdrift/traffic/placement.hpp>

namespace kumquatdrift {

/*! @brief How soon a key that was removed from the configuration is refused. */
struct revocation_settings {
    /*! @brief True if each node, also one that is cut off, refuses requests with keys while it can't know
     * whether they are still valid. */
    bool strict{};
    /*! @brief Time after the publication of a configuration from which on no request runs with a key that it
     * removed. */
    microseconds bound{5'000'000};
};

/*! @brief Tolerance of the usage caps of client accounts. */
struct usage_cap_settings {
    /*! @brief Length of the sliding window in which admitted requests are counted. */
    microseconds window{5'000'000};
    /*! @brief Requests that may be admitted beyond the cap in a window, as a ratio. */
    double excess{0.1};
    /*! @brief Requests that may be admitted beyond the cap and the ratio in a window. */
    double slack{20.0};
};

/*! @brief Bounds on the damage that a bad version of a target can do during its roll-out. */
struct rollout_settings {
    /*! @brief Largest share of the requests of the service that reach the new version before the verdict; 0
     * if roll-outs are not followed. */
    double exposure_share{};
    /*! @brief Requests that may reach it beyond that share. */
    double exposure_slack{50.0};
    /*! @brief Time from the bad response that proves a version bad until no request reaches it. */
    microseconds revert_time{5'000'000};
};

/*! @brief Limits on clients that don't behave. */
struct client_limit_settings {
    /*! @brief Time for which a client may take no byte of an answer that waits for it. */
    microseconds stall{10'000'000};
    /*! @brief Pace in KB per second below which a client that reads an answer has to give way while memory is
     * short. */
    double min_pace_kb{64.0};
};

/*! @brief Settings of the gateway; docs/settings.md lists their units, ranges and defaults. */
struct gateway_settings {
    /*! @brief Name of this node. */
    std::string node{};
    /*! @brief Data centre of this node. */
    std::string data_centre{};
    /*! @brief IP address of this host. */
    std::string ip{};
    /*! @brief Service of the target on this host; requests that originate here carry it as their caller. */
    std::string service{};
    /*! @brief Address of the target, used unless a report states another. */
    std::string target_address{};
    /*! @brief Address to which callers send requests. */
    std::string callers_address{};
    /*! @brief Address to which other nodes connect. */
    std::string peers_address{};
    /*! @brief Address to which the target sends its reports. */
    std::string reports_address{};
    /*! @brief Address on which the platform checks readiness. */
    std::string ready_address{};
    /*! @brief Address on which metrics are served; empty to disable it. */
    std::string metrics_address{};
    /*! @brief Address of the store of the platform. */
    std::string store_address{};
    /*! @brief Interval between two reports of the target. */
    microseconds report_interval{1'500'000};
    /*! @brief Time from the stop signal until the process is killed. */
    microseconds grace{6'000'000};
    /*! @brief Limit on the retries of all nodes together, as a ratio to the requests for a service. */
    double retry_ratio{0.2};
    /*! @brief Number of retries of all nodes together that are allowed beyond the ratio in one window. */
    double retry_extra{60.0};
    /*! @brief Length of the window for the retry limit. */
    microseconds retry_window{10'000'000};
    /*! @brief Memory limit of the process in MiB. */
    std::size_t memory_mb{256};
    /*! @brief Limit on the file descriptors of the process. */
    std::size_t max_descriptors{1'024};
    /*! @brief Minimum level of log lines. */
    log_level log{log_level::info};
    /*! @brief Costs of targets on other nodes and in other data centres. */
    placement_settings placement{};
    /*! @brief Revocation of keys of client accounts. */
    revocation_settings revocation{};
    /*! @brief Tolerance of usage caps. */
    usage_cap_settings usage_caps{};
    /*! @brief Bounds of roll-outs. */
    rollout_settings rollouts{};
    /*! @brief Limits on clients that don't behave. */
    client_limit_settings clients{};
};

/**
 * @brief Parses settings from JSON with comments. Unknown members are ignored.
 * @param text JSON text.
 * @return The settings, or the first error with the path of the member.
 */
[[nodiscard]] result<gateway_settings> parse_gateway_settings(const std::string& text);

} // namespace kumquatdrift

#endif
