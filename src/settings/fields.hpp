#ifndef KUMQUATDRIFT_SETTINGS_FIELDS_HPP
#define KUMQUATDRIFT_SETTINGS_FIELDS_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <kumquatdrift/settings/daemon_settings.hpp>

namespace kumquatdrift::internal {

/*! @brief A whole number with its accepted range. */
struct integer_field {
    /*! @brief Smallest accepted value. */
    std::int64_t minimum{};
    /*! @brief Largest accepted value. */
    std::int64_t maximum{};
    /*! @brief Value if the member is absent. */
    std::int64_t fallback{};
    /*! @brief Finds the member in the settings. */
    std::function<std::int64_t&(daemon_settings&)> member{};
};

/*! @brief A text, checked by a function that returns the reason for a rejection or an empty text. */
struct text_field {
    /*! @brief True if the member must be present. */
    bool required{};
    /*! @brief Value if the member is absent. */
    std::string fallback{};
    /*! @brief What is accepted, for messages and the settings page. */
    std::string accepted{};
    /*! @brief Checks a value. */
    std::function<bool(std::string_view)> check{};
    /*! @brief Finds the member in the settings. */
    std::function<std::string&(daemon_settings&)> member{};
};

/*! @brief A list of texts. */
struct list_field {
    /*! @brief What is accepted as an element. */
    std::string accepted{};
    /*! @brief Checks an element. */
    std::function<bool(std::string_view)> check{};
    /*! @brief Finds the member in the settings. */
    std::function<std::vector<std::string>&(daemon_settings&)> member{};
};

/*! @brief One row of the table of settings. */
struct field {
    /*! @brief Path in the file, its parts joined by dots. */
    std::string path{};
    /*! @brief Unit, empty if there is none. */
    std::string unit{};
    /*! @brief What the setting does. */
    std::string description{};
    /*! @brief Type, range and default. */
    std::variant<integer_field, text_field, list_field> kind{};
};

/**
 * @brief Returns the table of all settings.
 * @return The table.
 */
[[nodiscard]] const std::vector<field>& settings_table();

/**
 * @brief Checks for `IP:PORT` with an IPv4 or bracketed IPv6 address.
 * @param text The text to check.
 * @return True if it is an address with a port other than 0.
 */
[[nodiscard]] bool is_ip_and_port(std::string_view text);

} // namespace kumquatdrift::internal

#endif
