#ifndef KUMQUATDRIFT_CORE_ENUM_NAMES_HPP
#define KUMQUATDRIFT_CORE_ENUM_NAMES_HPP

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include <kumquatdrift/core/fwd.hpp>

namespace kumquatdrift {

/**
 * @brief Name table of an enumeration.
 *
 * A specialisation declares a static constexpr `std::array` of (enumerator, name) pairs named `table`.
 *
 * @tparam Enum Type of the enumeration.
 */
template<typename Enum>
struct enum_names;

/**
 * @brief Returns the name of an enumerator.
 * @param value The enumerator.
 * @return Its name, or `unknown` if the table does not contain the enumerator.
 */
template<typename Enum>
[[nodiscard]] constexpr std::string_view to_name(Enum value) noexcept
{
    for (const auto& [enumerator, name] : enum_names<Enum>::table) {
        if (enumerator == value) {
            return name;
        }
    }
    return "unknown";
}

/**
 * @brief Finds an enumerator by name.
 * @param name The name, case-sensitive.
 * @return The enumerator, or nothing if no enumerator has that name.
 */
template<typename Enum>
[[nodiscard]] constexpr std::optional<Enum> from_name(std::string_view name) noexcept
{
    for (const auto& [enumerator, candidate] : enum_names<Enum>::table) {
        if (candidate == name) {
            return enumerator;
        }
    }
    return std::nullopt;
}

} // namespace kumquatdrift

#endif
