#ifndef KUMQUATDRIFT_SRC_CONFIG_VALIDATION_HPP
#define KUMQUATDRIFT_SRC_CONFIG_VALIDATION_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <kumquatdrift/config/types.hpp>
#include <kumquatdrift/core/result.hpp>

#include "json.hpp"

namespace kumquatdrift::internal {

/*! @brief Which rules a configuration has to satisfy. */
enum class validation_mode : std::uint8_t {
    /*! @brief Required members must be present, null is an error, and each route must refer to an existing
     * service. */
    complete,
    /*! @brief As `complete`, but the services that routes refer to need not exist. */
    no_references,
    /*! @brief An overlay: members may be absent or null, and references are not checked. */
    overlay,
};

/**
 * @brief Reads and validates a configuration.
 * @param document The configuration or overlay.
 * @param mode Rules to apply.
 * @return The typed configuration, or the JSON pointer to the first error and what is accepted there.
 */
[[nodiscard]] result<effective_config> read_config(const object_ptr& document, validation_mode mode);

} // namespace kumquatdrift::internal

#endif
