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

/*! @brief Settings of the gateway. docs/settings.md states unit, range and default of each. */
struct gateway_settings {
    /*! @brief Name of the node. */
    std::string node{};
    /*! @brief Data centre. */
    std::string data_centre{};
    /*! @brief IP address of the host. */
    std::string ip{};
    /*! @brief Service of the target on this host; names the caller of the requests that begin here. */
    std::string service{};
    /*! @brief Address of the target. */
    std::string target_address{};
    /*! @brief Address for callers. */
    std::string callers_address{};
    /*! @brief Address for other nodes. */
    std::string peers_address{};
    /*! @brief Address for the reports of the target. */
    std::string reports_address{};
    /*! @brief Address for the readiness check. */
    std::string ready_address{};
    /*! @brief Address for metrics; empty for none. */
    std::string metrics_address{};
    /*! @brief Address of the platform's store. */
    std::string store_address{};
    /*! @brief Time between two reports of the target. */
    microseconds report_interval{1'500'000};
    /*! @brief Time from the request to stop until the process is killed. */
    microseconds grace{6'000'000};
    /*! @brief Sum of retries of all nodes, as a share of the requests for a service. */
    double retry_ratio{0.2};
    /*! @brief Sum of retries of all nodes that are allowed beyond the share, in one window. */
    double retry_extra{60.0};
    /*! @brief Length of the window. */
    microseconds retry_window{10'000'000};
    /*! @brief Memory that the process may use, in megabytes. */
    std::size_t memory_mb{256};
    /*! @brief Descriptors that the process may use. */
    std::size_t max_descriptors{1'024};
    /*! @brief Lowest level of log lines. */
    log_level log{log_level::info};
    /*! @brief Prices of distance. */
    placement_settings placement{};
};

/**
 * @brief Parses settings: JSON with comments.
 * @param text Text.
 * @return The settings, or the first thing that is wrong and where. Unknown members are ignored.
 */
[[nodiscard]] result<gateway_settings> parse_gateway_settings(const std::string& text);

} // namespace kumquatdrift

#endif
