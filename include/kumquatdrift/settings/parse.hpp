#ifndef KUMQUATDRIFT_SETTINGS_PARSE_HPP
#define KUMQUATDRIFT_SETTINGS_PARSE_HPP

#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/settings/daemon_settings.hpp>
#include <kumquatdrift/settings/fwd.hpp>

namespace kumquatdrift {

/*! @brief One fault of a settings file. */
struct setting_fault {
    /*! @brief Place in the file, as a path such as `listeners.caller.port`, or a line of the file. */
    std::string place{};
    /*! @brief What is wrong and what is accepted. */
    std::string reason{};
};

/*! @brief Outcome of reading a settings file. */
struct settings_outcome {
    /*! @brief The settings. Usable only if there is no fault. */
    daemon_settings settings{};
    /*! @brief All faults, in order of the file's table. */
    std::vector<setting_fault> faults{};
};

/**
 * @brief Reads settings from JSON with comments.
 * @param text Contents of the settings file.
 * @return The settings and all faults.
 */
[[nodiscard]] settings_outcome parse_settings(std::string_view text);

/**
 * @brief Reads settings from a file and joins its faults into one reason.
 * @param path Path of the file.
 * @return The settings, or the reason why they cannot be used.
 */
[[nodiscard]] result<daemon_settings> load_settings(const std::string& path);

/**
 * @brief Describes every setting with its unit, range and default as a Markdown table.
 * @return The text of the settings page's table.
 */
[[nodiscard]] std::string describe_settings();

} // namespace kumquatdrift

#endif
