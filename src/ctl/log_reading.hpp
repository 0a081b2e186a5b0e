#ifndef KUMQUATDRIFT_SRC_CTL_LOG_READING_HPP
#define KUMQUATDRIFT_SRC_CTL_LOG_READING_HPP

#include <optional>
#include <string>

#include <kumquatdrift/config/recovery.hpp>
#include <kumquatdrift/ctl/run.hpp>
#include <kumquatdrift/log/port.hpp>

#include "options.hpp"

namespace kumquatdrift::internal {

/*! @brief Configuration recovered from the log, with the records behind it. */
struct config_from_log {
    /*! @brief Port to the log that was read. */
    log_port log{};
    /*! @brief Retained records of the stream. */
    log_batch batch{};
    /*! @brief State recovered from the records, and their outcomes. */
    recovered_config config{};
};

/**
 * @brief Creates a port to the log that the options name.
 * @param context Command context. Errors are printed to its error stream.
 * @param code Set to the exit code on error, otherwise unchanged.
 * @return The port, or nothing on error.
 */
[[nodiscard]] std::optional<log_port> open_log(const command_context& context, exit_code& code);

/**
 * @brief Reads the log and recovers the configuration from it.
 * @param context Command context. Errors are printed to its error stream.
 * @param start Checkpoint to start the recovery from.
 * @param code Set to the exit code on error, otherwise unchanged.
 * @return The configuration, or nothing on error.
 */
[[nodiscard]] std::optional<config_from_log> load_config(const command_context& context, recovery_start start,
                                                         exit_code& code);

/**
 * @brief Recovers the state of the configuration at a version.
 * @param batch Retained records.
 * @param version The version.
 * @return The state, or the reason why it cannot be recovered.
 */
[[nodiscard]] result<config_state> state_at(const log_batch& batch, config_version version);

/**
 * @brief Removes the leading operands that name a document and returns the document name.
 * @param operands Operands that start with `base`, or with `overlay` and a data centre.
 * @return The document name, or a reason that states the accepted forms.
 */
[[nodiscard]] result<std::string> consume_document_name(std::vector<std::string>& operands);

/**
 * @brief Reads and parses a JSON document from a file.
 * @param context Command context.
 * @param path Path of the file, `-` for standard input.
 * @return The document, or the reason why the file cannot be used.
 */
[[nodiscard]] result<json_document> read_document(const command_context& context, const std::string& path);

} // namespace kumquatdrift::internal

#endif
