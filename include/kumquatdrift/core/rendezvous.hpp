#ifndef KUMQUATDRIFT_CORE_RENDEZVOUS_HPP
#define KUMQUATDRIFT_CORE_RENDEZVOUS_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatdrift {

/**
 * @brief Ranks members for a key by rendezvous (highest random weight) hashing.
 *
 * The result does not depend on the order of the members. Removing a member does not change the relative
 * order of the others.
 *
 * @param key The key.
 * @param members Names of the members, without duplicates.
 * @param count Maximum number of members to return.
 * @return Up to `count` members, highest rank first.
 */
[[nodiscard]] std::vector<std::string> rendezvous_rank(std::string_view key, std::vector<std::string> members,
                                                       std::size_t count);

} // namespace kumquatdrift

#endif
