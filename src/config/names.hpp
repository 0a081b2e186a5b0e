#ifndef KUMQUATDRIFT_SRC_CONFIG_NAMES_HPP
#define KUMQUATDRIFT_SRC_CONFIG_NAMES_HPP

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace kumquatdrift::internal {

/*! @brief Longest name of a service, route or data centre. Names appear in metric labels and headers. */
inline constexpr std::size_t max_name_length = 64;

/*! @brief What `is_name` accepts, for messages. */
inline constexpr std::string_view accepted_name = "1 to 64 letters, digits, '-', '_' or '.'";

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
 * @brief Checks that a text consists of alphanumeric and certain other characters.
 * @param text The text.
 * @param others Further accepted characters.
 * @param longest Largest number of characters.
 * @return True if the text is not empty, not too long and has no other characters.
 */
[[nodiscard]] constexpr bool consists_of(std::string_view text, std::string_view others,
                                         std::size_t longest) noexcept
{
    return !text.empty() && text.size() <= longest &&
           std::all_of(text.begin(), text.end(), [&](char character) {
               return is_alphanumeric(character) || others.find(character) != std::string_view::npos;
           });
}

/**
 * @brief Checks the name of a service, route or data centre.
 * @param text The name.
 * @return True if it is accepted.
 */
[[nodiscard]] constexpr bool is_name(std::string_view text) noexcept
{
    return consists_of(text, "-_.", max_name_length);
}

} // namespace kumquatdrift::internal

#endif
