#ifndef KUMQUATDRIFT_NODE_NODE_METRICS_HPP
#define KUMQUATDRIFT_NODE_NODE_METRICS_HPP

#include <functional>

#include <kumquatdrift/claims/service.hpp>
#include <kumquatdrift/distribution/service.hpp>
#include <kumquatdrift/membership/service.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>

namespace kumquatdrift::internal {

/**
 * @brief Adds the metrics of the control plane, which are read when they are scraped.
 * @param registry Registry.
 * @param membership Membership; must outlive the registry's use.
 * @param distribution Distribution; must outlive the registry's use.
 * @param claims Claims; must outlive the registry's use.
 * @param in_force Returns the version in force.
 */
void add_control_metrics(metrics_registry& registry, const membership_service& membership,
                         const distribution_service& distribution, const claim_service& claims,
                         std::function<config_version()> in_force);

} // namespace kumquatdrift::internal

#endif
