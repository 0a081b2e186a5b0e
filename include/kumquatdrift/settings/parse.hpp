#ifndef KUMQUATDRIFT_SETTINGS_PARSE_HPP
#define KUMQUATDRIFT_SETTINGS_PARSE_HPP

#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/settings/daemon_settings.hpp>
#include <kumquatdrift/settings/fwd.hpp>

namespace kumquatdrift {

/*! @brief Error in a settings file. */
struct setting_error {
    /*! @brief Dotted path such as `listeners.caller.port`, or `file` if the text cannot be parsed. */
    std::string location{};
    /*! @brief What is wrong, with the accepted values. */
    std::string reason{};
};

/*! @brief Settings read from a file, with the errors in the file. */
struct parsed_settings {
    /*! @brief The settings. Valid only if there are no errors. */
    daemon_settings settings{};
    /*! @brief All errors: unknown settings, invalid values in table order, then conflicts. */
    std::vector<setting_error> errors{};
};

/**
 * @brief Parses settings from JSON with comments.
 * @param text Contents of the settings file.
 * @return The settings and all errors.
 */
[[nodiscard]] parsed_settings parse_settings(std::string_view text);

/**
 * @brief Reads settings from a file.
 * @param path Path of the file.
 * @return The settings, or a reason with one line for each error in the file.
 */
[[nodiscard]] result<daemon_settings> load_settings(const std::string& path);

/**
 * @brief Describes every setting with its unit, range and default as a Markdown table.
 * @return The table as it appears on the settings page.
 */
[[nodiscard]] std::string describe_settings();

} // namespace kumquatdrift

#endif
