#ifndef KUMQUATDRIFT_DISTRIBUTION_CANDIDATES_HPP
#define KUMQUATDRIFT_DISTRIBUTION_CANDIDATES_HPP

#include <string>
#include <vector>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/distribution/sources.hpp>
#include <kumquatdrift/membership/types.hpp>

namespace kumquatdrift::internal {

/**
 * @brief Computes the candidates of a node from its view.
 * @param view Member view.
 * @param node Name of the node.
 * @param data_centre Data centre of the node.
 * @return The candidates.
 */
[[nodiscard]] source_candidates find_candidates(const member_view& view, const std::string& node,
                                                const std::string& data_centre);

/**
 * @brief Returns the peers that a node asks for a snapshot: those that publish the highest versions.
 * @param view Member view.
 * @param node Name of the node.
 * @param count Largest number of peers.
 * @param rng Random engine; breaks ties.
 * @return Names of the peers.
 */
[[nodiscard]] std::vector<std::string> peers_to_ask(const member_view& view, const std::string& node,
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
