#ifndef KUMQUATDRIFT_DISTRIBUTION_CANDIDATES_HPP
#define KUMQUATDRIFT_DISTRIBUTION_CANDIDATES_HPP

#include <string>
#include <vector>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/distribution/sources.hpp>
#include <kumquatdrift/membership/types.hpp>

namespace kumquatdrift::internal {

/**
 * @brief Computes the nodes that a node may watch from its member view.
 * @param view Member view.
 * @param node Name of the node.
 * @param data_centre Data centre of the node.
 * @return The candidates.
 */
[[nodiscard]] source_candidates find_candidates(const member_view& view, const std::string& node,
                                                const std::string& data_centre);

/**
 * @brief Selects the peers from which a node fetches snapshots: those that announce the highest versions.
 * @param view Member view.
 * @param node Name of the node.
 * @param count Largest number of peers.
 * @param rng Random engine, to order peers of the same version.
 * @return Names of the peers.
 */
[[nodiscard]] std::vector<std::string> select_snapshot_peers(const member_view& view, const std::string& node,
                                                             std::size_t count, random_engine& rng);

/**
 * @brief Returns the control address of a node.
 * @param view Member view.
 * @param node Name of the node.
 * @return IP address and port, empty if the view does not contain the node.
 */
[[nodiscard]] std::string control_address(const member_view& view, const std::string& node);

} // namespace kumquatdrift::internal

#endif
