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
    /*! @brief Words after the command that are not options. */
    std::vector<std::string> words{};
    /*! @brief Address of the log. */
    std::string log{};
    /*! @brief Admin address of a node; a node name in `trace-config`. */
    std::string node{};
    /*! @brief Author of an edit. */
    std::string author{};
    /*! @brief Data centre to show. */
    std::string data_centre{};
    /*! @brief Document to show. */
    std::string document{};
    /*! @brief Version to start a comparison from, or to show. */
    std::optional<std::uint64_t> from{};
    /*! @brief Version to compare with. */
    std::optional<std::uint64_t> to{};
    /*! @brief Largest number of rows. */
    std::uint64_t limit{};
    /*! @brief True for JSON output. */
    bool json{};
    /*! @brief True to wait until all live nodes have the version in force. */
    bool wait{};
    /*! @brief True to show members that are not live, too. */
    bool all{};
    /*! @brief Longest time to wait. */
    milliseconds wait_timeout{};
};

/*! @brief Groups of options that a command accepts. */
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

/*! @brief Everything that a command runs with. */
struct command_context {
    /*! @brief Options. */
    ctl_options options{};
    /*! @brief Ports. */
    const ctl_ports& ports;
    /*! @brief Stream for results. */
    std::ostream& out;
    /*! @brief Stream for errors and notes. */
    std::ostream& err;
};

/*! @brief Description of a command. */
struct command_spec {
    /*! @brief Name. */
    std::string_view name{};
    /*! @brief Words after the name, as shown in the help. */
    std::string_view words{};
    /*! @brief What it does, one or two sentences. */
    std::string_view summary{};
    /*! @brief Options that it accepts. */
    std::vector<option_group> groups{};
    /*! @brief Smallest number of words. */
    std::size_t min_words{};
    /*! @brief Largest number of words. */
    std::size_t max_words{};
    /*! @brief Runs the command. */
    exit_code (*run)(const command_context& context){};
};

/**
 * @brief Lists the options of a group as in a usage line.
 * @param group The group.
 * @return Text such as `[--log URL]`.
 */
[[nodiscard]] std::string_view describe_options(option_group group) noexcept;

/**
 * @brief Reads the options of a command; missing ones come from the environment.
 * @param spec The command.
 * @param arguments Arguments after the name of the command.
 * @param context Receives the options; help and errors go to its streams.
 * @return Nothing if the command may run, else the exit code.
 */
[[nodiscard]] std::optional<exit_code>
parse_options(const command_spec& spec, const std::vector<std::string>& arguments, command_context& context);

/**
 * @brief Prints an error with the prefix of the program.
 * @param context The context.
 * @param code Exit code.
 * @param reason What is wrong and what to do.
 * @return The exit code.
 */
exit_code report_error(const command_context& context, exit_code code, std::string_view reason);

} // namespace kumquatdrift::internal

#endif
