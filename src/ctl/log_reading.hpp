#ifndef KUMQUATDRIFT_SRC_CTL_LOG_READING_HPP
#define KUMQUATDRIFT_SRC_CTL_LOG_READING_HPP

#include <optional>
#include <string>

#include <kumquatdrift/config/recovery.hpp>
#include <kumquatdrift/ctl/run.hpp>
#include <kumquatdrift/log/port.hpp>

#include "options.hpp"

namespace kumquatdrift::internal {

/*! @brief The configuration as it is in the log. */
struct config_reading {
    /*! @brief Port to the log. */
    log_port log{};
    /*! @brief Retained records. */
    log_batch batch{};
    /*! @brief State recovered from them. */
    recovered_config config{};
};

/**
 * @brief Connects to the log.
 * @param context The context; errors go to its stream.
 * @param code Receives the exit code after an error.
 * @return The port, or nothing after an error.
 */
[[nodiscard]] std::optional<log_port> open_log(const command_context& context, exit_code& code);

/**
 * @brief Reads the log and recovers the configuration from it.
 * @param context The context; errors go to its stream.
 * @param start Checkpoint to start from.
 * @param code Receives the exit code after an error.
 * @return The reading, or nothing after an error.
 */
[[nodiscard]] std::optional<config_reading> read_config(const command_context& context, recovery_start start,
                                                        exit_code& code);

/**
 * @brief Recovers the state as of a version.
 * @param batch Retained records.
 * @param version The version.
 * @return The state, or why it is not known any more.
 */
[[nodiscard]] result<config_state> state_at(const log_batch& batch, config_version version);

/**
 * @brief Reads the name of a document from the words of a command.
 * @param words The words; `base`, or `overlay` and a data centre. What was read is removed.
 * @return The document name, or what is accepted.
 */
[[nodiscard]] result<std::string> take_document_name(std::vector<std::string>& words);

/**
 * @brief Reads a document from a file.
 * @param context The context.
 * @param path Path of the file, `-` for standard input.
 * @return The document, or what is wrong with the file.
 */
[[nodiscard]] result<json_document> read_document(const command_context& context, const std::string& path);

} // namespace kumquatdrift::internal

#endif
