#ifndef KUMQUATDRIFT_SRC_CONFIG_OVERLAY_CHECK_HPP
#define KUMQUATDRIFT_SRC_CONFIG_OVERLAY_CHECK_HPP

#include "json.hpp"

namespace kumquatdrift::internal {

/**
 * @brief Checks whether the merge of a base with an overlay is valid, looking only at what the overlay names.
 *
 * A base edit is checked against every overlay. Reading each merge as a whole took 0.95 ms per overlay at 150
 * services and 300 routes.
 *
 * @param base A base that is valid alone.
 * @param overlay An overlay that has passed `validate_overlay`.
 * @return The same as a complete validation of the merge.
 */
[[nodiscard]] bool is_valid_merge(const object_ptr& base, const object_ptr& overlay);

} // namespace kumquatdrift::internal

#endif
