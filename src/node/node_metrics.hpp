#ifndef KUMQUATDRIFT_NODE_NODE_METRICS_HPP
#define KUMQUATDRIFT_NODE_NODE_METRICS_HPP

#include <functional>

#include <kumquatdrift/claims/service.hpp>
#include <kumquatdrift/distribution/service.hpp>
#include <kumquatdrift/membership/service.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>

namespace kumquatdrift::internal {

/**
 * @brief Adds the metrics of the control plane. Their values are read at each scrape.
 * @param registry Registry that gets the metrics.
 * @param membership Membership; must outlive all scrapes.
 * @param distribution Distribution; must outlive all scrapes.
 * @param claims Claims; must outlive all scrapes.
 * @param in_force Returns the configuration version in force, 0 for none.
 */
void add_control_plane_metrics(metrics_registry& registry, const membership_service& membership,
                               const distribution_service& distribution, const claim_service& claims,
                               std::function<config_version()> in_force);

} // namespace kumquatdrift::internal

#endif
