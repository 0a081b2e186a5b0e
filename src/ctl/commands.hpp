#ifndef KUMQUATDRIFT_SRC_CTL_COMMANDS_HPP
#define KUMQUATDRIFT_SRC_CTL_COMMANDS_HPP

#include "options.hpp"

namespace kumquatdrift::internal {

/**
 * @brief Validates files without the log.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_validate(const command_context& context);

/**
 * @brief Publishes a file.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_publish(const command_context& context);

/**
 * @brief Publishes old content as a new version.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_revert(const command_context& context);

/**
 * @brief Prints the outcomes of the retained records.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_history(const command_context& context);

/**
 * @brief Prints documents or a merged configuration.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_show(const command_context& context);

/**
 * @brief Prints the differences between two contents of a document.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_diff(const command_context& context);

/**
 * @brief Prints the live nodes.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_status(const command_context& context);

/**
 * @brief Explains which configuration a node holds, and why.
 * @param context Options, ports and streams.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_trace_config(const command_context& context);

} // namespace kumquatdrift::internal

#endif
