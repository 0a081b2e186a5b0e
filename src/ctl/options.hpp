#ifndef KUMQUATDRIFT_SRC_CTL_OPTIONS_HPP
#define KUMQUATDRIFT_SRC_CTL_OPTIONS_HPP

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/ctl/run.hpp>

namespace kumquatdrift::internal {

/*! @brief Options of one command. */
struct ctl_options {
    /*! @brief Positional arguments after the command name. */
    std::vector<std::string> operands{};
    /*! @brief URL of the log. */
    std::string log{};
    /*! @brief Admin address of a node. `trace-config` also accepts the name of a node. */
    std::string node{};
    /*! @brief Author of an edit. */
    std::string author{};
    /*! @brief Data centre whose merged configuration is shown, empty for none. */
    std::string data_centre{};
    /*! @brief Document to show, empty for all. */
    std::string document{};
    /*! @brief Version to compare from (`--from`) or to show (`--at`). */
    std::optional<std::uint64_t> from{};
    /*! @brief Version to compare with (`--to`). */
    std::optional<std::uint64_t> to{};
    /*! @brief Maximum number of printed records, 0 for no limit. */
    std::uint64_t limit{};
    /*! @brief True for JSON output. */
    bool json{};
    /*! @brief True to wait until all live nodes have the version in force. */
    bool wait{};
    /*! @brief True to include members that are not live. */
    bool all{};
    /*! @brief Maximum time to wait if `wait` is set. */
    milliseconds wait_timeout{};
};

/*! @brief Options that a command can accept, in groups that are enabled together. */
enum class option_group : std::uint8_t {
    /*! @brief `--json`. */
    json,
    /*! @brief `--log`. */
    log,
    /*! @brief `--node`. */
    node,
    /*! @brief `--author`, `--wait`, `--wait-timeout-s`. */
    edit,
    /*! @brief `--from` and `--to`. */
    versions,
    /*! @brief `--document`. */
    document,
    /*! @brief `--data-centre` and `--at`. */
    selection,
    /*! @brief `--limit`. */
    limit,
    /*! @brief `--all`. */
    all,
};

/*! @brief Options, ports and streams of a running command. */
struct command_context {
    /*! @brief Options. */
    ctl_options options{};
    /*! @brief Access to everything outside the process. */
    const ctl_ports& ports;
    /*! @brief Stream for results. */
    std::ostream& out;
    /*! @brief Stream for errors and notices. */
    std::ostream& err;
};

/*! @brief Description of a command. */
struct command_spec {
    /*! @brief Name. */
    std::string_view name{};
    /*! @brief Operands, as shown in the help. */
    std::string_view operands{};
    /*! @brief Summary for the help, one or two sentences. */
    std::string_view summary{};
    /*! @brief Options that the command accepts. */
    std::vector<option_group> groups{};
    /*! @brief Minimum number of operands. */
    std::size_t min_operands{};
    /*! @brief Maximum number of operands. */
    std::size_t max_operands{};
    /*! @brief Function that runs the command. */
    exit_code (*run)(const command_context& context){};
};

/**
 * @brief Returns the options of a group as a usage line shows them.
 * @param group The group.
 * @return Text such as `[--log URL]`.
 */
[[nodiscard]] std::string_view describe_options(option_group group) noexcept;

/**
 * @brief Parses the options of a command. `--log`, `--node` and `--author` default to their environment
 * variables.
 * @param spec The command.
 * @param arguments Arguments after the name of the command.
 * @param context Receives the options. Help and errors are printed to its streams.
 * @return Nothing if the command can run, otherwise the exit code.
 */
[[nodiscard]] std::optional<exit_code>
parse_options(const command_spec& spec, const std::vector<std::string>& arguments, command_context& context);

/**
 * @brief Prints an error, prefixed with the program name.
 * @param context Command context.
 * @param code Exit code to return.
 * @param reason What is wrong and what the user can do.
 * @return The exit code that was passed.
 */
exit_code report_error(const command_context& context, exit_code code, std::string_view reason);

} // namespace kumquatdrift::internal

#endif
