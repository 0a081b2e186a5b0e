#ifndef KUMQUATDRIFT_CTL_RUN_HPP
#define KUMQUATDRIFT_CTL_RUN_HPP

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/ctl/fwd.hpp>
#include <kumquatdrift/log/port.hpp>

namespace kumquatdrift {

/*! @brief Exit codes of kumquatdriftctl. Scripts depend on them, so the meaning of a code never changes. */
enum class exit_code : int {
    /*! @brief The command succeeded. */
    ok = 0,
    /*! @brief The command failed for a reason without a dedicated code. */
    failed = 1,
    /*! @brief The usage is wrong or a document is invalid. Nothing was changed. */
    invalid = 2,
    /*! @brief Another edit of the document was accepted first. Nothing was changed. */
    lost_race = 3,
    /*! @brief The log cannot be read or written. */
    log_unavailable = 4,
    /*! @brief The edit was accepted, but some live node did not have it in force before the timeout. */
    wait_timeout = 5,
};

/*! @brief Access of the commands to the log, the nodes, files, the environment and the clock. */
struct ctl_ports {
    /*! @brief Creates a port to the log at a URL. */
    std::function<result<log_port>(const std::string& url)> connect_log{};
    /*! @brief Fetches the response body of `GET /v1/status` from the admin address of a node. */
    std::function<result<std::string>(const std::string& url)> fetch_status{};
    /*! @brief Reads a file. The path `-` stands for standard input. */
    std::function<result<std::string>(const std::string& path)> read_file{};
    /*! @brief Returns the value of an environment variable, or nothing if it is not set. */
    std::function<std::optional<std::string>(const std::string& name)> environment{};
    /*! @brief Generates an edit id that is unique across all processes. */
    std::function<std::string()> make_edit_id{};
    /*! @brief Returns the current time of a monotonic clock. */
    std::function<timestamp()> now{};
    /*! @brief Blocks the calling thread for a duration. */
    std::function<void(milliseconds)> sleep{};
};

/**
 * @brief Creates the ports that the kumquatdriftctl program uses.
 * @return Ports to the real log, nodes, file system, environment and clock.
 */
[[nodiscard]] ctl_ports make_ctl_ports();

/**
 * @brief Parses the command line and runs the command.
 * @param arguments Arguments without the program name.
 * @param ports Access to everything outside the process.
 * @param out Stream for results.
 * @param err Stream for errors and notices.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_ctl(const std::vector<std::string>& arguments, const ctl_ports& ports,
                                std::ostream& out, std::ostream& err);

} // namespace kumquatdrift

#endif
