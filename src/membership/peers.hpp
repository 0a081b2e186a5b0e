#ifndef KUMQUATDRIFT_SRC_MEMBERSHIP_PEERS_HPP
#define KUMQUATDRIFT_SRC_MEMBERSHIP_PEERS_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/membership/state.hpp>

namespace kumquatdrift::internal {

/**
 * @brief Rebuilds the cached peers if the liveness of a member has changed.
 * @param state State.
 */
void refresh_peers(membership_state& state);

/**
 * @brief Selects distinct keys at random.
 * @param keys Keys to select from.
 * @param count Largest number of keys.
 * @param rng Random engine.
 * @return The selected keys in random order.
 */
[[nodiscard]] std::vector<std::uint64_t> sample(std::vector<std::uint64_t> keys, std::size_t count,
                                                random_engine& rng);

/**
 * @brief Selects a random member of another data centre, usually one of its relays.
 * @param state State.
 * @param data_centre_index Index of the data centre.
 * @param rng Random engine.
 * @return The member, or null if none is known.
 */
[[nodiscard]] const member* pick_remote_member(const membership_state& state, std::size_t data_centre_index,
                                               random_engine& rng);

} // namespace kumquatdrift::internal

#endif
