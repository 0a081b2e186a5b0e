#ifndef KUMQUATDRIFT_SRC_CTL_COMMANDS_HPP
#define KUMQUATDRIFT_SRC_CTL_COMMANDS_HPP

#include "options.hpp"

namespace kumquatdrift::internal {

/**
 * @brief Runs `validate`: checks configuration files without access to the log.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_validate(const command_context& context);

/**
 * @brief Runs `publish`: publishes a file as the new content of a document.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_publish(const command_context& context);

/**
 * @brief Runs `revert`: publishes the content of an earlier edit as a new version.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_revert(const command_context& context);

/**
 * @brief Runs `history`: prints the outcomes of the retained records.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_history(const command_context& context);

/**
 * @brief Runs `show`: prints the documents, one document or a merged configuration.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_show(const command_context& context);

/**
 * @brief Runs `diff`: prints the differences between two versions of a document, or a version and a file.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_diff(const command_context& context);

/**
 * @brief Runs `status`: prints the nodes as one node sees them.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_status(const command_context& context);

/**
 * @brief Runs `trace-config`: explains which version a node has in force, and why.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_trace_config(const command_context& context);

} // namespace kumquatdrift::internal

#endif
