#ifndef KUMQUATDRIFT_SRC_CONFIG_VALIDATION_HPP
#define KUMQUATDRIFT_SRC_CONFIG_VALIDATION_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <kumquatdrift/config/types.hpp>
#include <kumquatdrift/core/result.hpp>

#include "json.hpp"

namespace kumquatdrift::internal {

/*! @brief How a configuration is read. */
enum class reading_mode : std::uint8_t {
    /*! @brief Required members must be present, null is an error, references are checked. */
    complete,
    /*! @brief As `complete`, but references are not checked. */
    members,
    /*! @brief An overlay: members may be absent or null, references are not checked. */
    overlay,
};

/**
 * @brief Reads and checks a configuration.
 * @param document The configuration or overlay.
 * @param mode How to read it.
 * @return The typed configuration, or the JSON place of the first error with what is accepted there.
 */
[[nodiscard]] result<effective_config> read_config(const object_ptr& document, reading_mode mode);

} // namespace kumquatdrift::internal

#endif
