#ifndef KUMQUATDRIFT_MEMBERSHIP_RELAYS_HPP
#define KUMQUATDRIFT_MEMBERSHIP_RELAYS_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/membership/types.hpp>

namespace kumquatdrift {

/**
 * @brief Returns the number of relays of a data centre: one percent of its members, at least two.
 * @param members Number of live members.
 * @return max(2, members / 100 rounded up).
 */
[[nodiscard]] std::size_t relay_count(std::size_t members) noexcept;

/**
 * @brief Checks whether a member can be a relay: it is not dead, draining or left.
 *
 * Suspects qualify, so that a false suspicion does not change the relays. Unreachable members qualify,
 * because either all members of a data centre are unreachable or none.
 *
 * @param state State that the member publishes.
 * @param status Status of the member as observed by this node.
 * @return True if it can be a relay.
 */
[[nodiscard]] bool can_relay(member_state state, member_status status) noexcept;

/**
 * @brief Selects the relays of a data centre by rendezvous hashing.
 * @param data_centre Name of the data centre.
 * @param members Names of its members that can be relays.
 * @return Names of the relays, the highest rank first.
 */
[[nodiscard]] std::vector<std::string> rank_relays(std::string_view data_centre,
                                                   std::vector<std::string> members);

/**
 * @brief Returns the relays of a data centre according to a view.
 * @param view Member view.
 * @param data_centre Name of the data centre.
 * @return Names of the relays, the highest rank first. Fewer than two only if fewer members can be relays.
 */
[[nodiscard]] std::vector<std::string> relays_of(const member_view& view, std::string_view data_centre);

} // namespace kumquatdrift

#endif
