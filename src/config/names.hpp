#ifndef KUMQUATDRIFT_SRC_CONFIG_NAMES_HPP
#define KUMQUATDRIFT_SRC_CONFIG_NAMES_HPP

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace kumquatdrift::internal {

/*! @brief Largest length of the name of a service, route or data centre. Names appear in metric labels and
 * headers. */
inline constexpr std::size_t max_name_length = 64;

/*! @brief Names that `is_valid_name` accepts, for error messages. */
inline constexpr std::string_view name_requirements = "1 to 64 letters, digits, '-', '_' or '.'";

/**
 * @brief Checks for an ASCII letter or digit.
 * @param character The character.
 * @return True if it is one.
 */
[[nodiscard]] constexpr bool is_alphanumeric(char character) noexcept
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9');
}

/**
 * @brief Checks that a text consists of ASCII letters, digits and certain other characters.
 * @param text The text.
 * @param others Other accepted characters.
 * @param max_length Largest number of characters.
 * @return True if the text is not empty, not too long and has no other characters.
 */
[[nodiscard]] constexpr bool consists_of(std::string_view text, std::string_view others,
                                         std::size_t max_length) noexcept
{
    return !text.empty() && text.size() <= max_length &&
           std::all_of(text.begin(), text.end(), [&](char character) {
               return is_alphanumeric(character) || others.find(character) != std::string_view::npos;
           });
}

/**
 * @brief Checks the name of a service, route or data centre.
 * @param text The name.
 * @return True if it is valid.
 */
[[nodiscard]] constexpr bool is_valid_name(std::string_view text) noexcept
{
    return consists_of(text, "-_.", max_name_length);
}

} // namespace kumquatdrift::internal

#endif
