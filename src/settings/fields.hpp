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

/*! @brief Integer setting with an accepted range. */
struct integer_field {
    /*! @brief Minimum accepted value. */
    std::int64_t minimum{};
    /*! @brief Maximum accepted value. */
    std::int64_t maximum{};
    /*! @brief Value if the setting is absent. */
    std::int64_t default_value{};
    /*! @brief Returns a reference to the value in the settings. */
    std::function<std::int64_t&(daemon_settings&)> access{};
};

/*! @brief String setting, validated by a predicate. */
struct text_field {
    /*! @brief True if the setting must be present in the file. */
    bool required{};
    /*! @brief Value if the setting is absent. */
    std::string default_value{};
    /*! @brief Description of the accepted values, for error messages and the settings page. */
    std::string accepted{};
    /*! @brief Returns true if a value is accepted. */
    std::function<bool(std::string_view)> is_valid{};
    /*! @brief Returns a reference to the value in the settings. */
    std::function<std::string&(daemon_settings&)> access{};
};

/*! @brief Setting that is a list of strings. The list is empty if the setting is absent. */
struct list_field {
    /*! @brief Description of the accepted elements, for error messages and the settings page. */
    std::string accepted{};
    /*! @brief Returns true if an element is accepted. */
    std::function<bool(std::string_view)> is_valid{};
    /*! @brief Returns a reference to the value in the settings. */
    std::function<std::vector<std::string>&(daemon_settings&)> access{};
};

/*! @brief Setting that a settings file can contain. */
struct setting_field {
    /*! @brief Dotted path of the setting in the file, such as `log.url`. */
    std::string path{};
    /*! @brief Unit, empty if there is none. */
    std::string unit{};
    /*! @brief Description for the settings page. */
    std::string description{};
    /*! @brief Type of the setting, with its accepted values and default. */
    std::variant<integer_field, text_field, list_field> type{};
};

/**
 * @brief Returns the table of all settings.
 * @return All settings, in the order of the settings page.
 */
[[nodiscard]] const std::vector<setting_field>& settings_table();

/**
 * @brief Checks whether a text is `IP:PORT` with an IPv4 or a bracketed IPv6 address.
 * @param text The text to check.
 * @return True if the IP address is not a wildcard and the port is not 0.
 */
[[nodiscard]] bool is_ip_and_port(std::string_view text);

} // namespace kumquatdrift::internal

#endif
