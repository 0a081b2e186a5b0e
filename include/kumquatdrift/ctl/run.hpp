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

/*! @brief Exit codes of kumquatdriftctl. Scripts depend on them; they never change their meaning. */
enum class exit_code : int {
    /*! @brief Done. */
    ok = 0,
    /*! @brief Failed for a reason that has no code of its own. */
    failed = 1,
    /*! @brief Wrong usage, or a document that is not valid. Nothing was changed. */
    invalid = 2,
    /*! @brief Another edit of the document was accepted first. Nothing was changed. */
    lost_race = 3,
    /*! @brief The log cannot be read or written. */
    log_unavailable = 4,
    /*! @brief The edit was accepted, but not all nodes had it in force in time. */
    wait_timeout = 5,
};

/*! @brief What the commands need of the outside. */
struct ctl_ports {
    /*! @brief Makes a port to the log at an address. */
    std::function<result<log_port>(const std::string& url)> connect_log{};
    /*! @brief Fetches the body of `GET /v1/status` from the admin address of a node. */
    std::function<result<std::string>(const std::string& url)> fetch_status{};
    /*! @brief Reads a file; `-` is standard input. */
    std::function<result<std::string>(const std::string& path)> read_file{};
    /*! @brief Returns an environment variable. */
    std::function<std::optional<std::string>(const std::string& name)> environment{};
    /*! @brief Makes an edit id that no other call of any process makes. */
    std::function<std::string()> make_edit_id{};
    /*! @brief Returns the current time. */
    std::function<timestamp()> now{};
    /*! @brief Sleeps. */
    std::function<void(milliseconds)> sleep{};
};

/**
 * @brief Makes the ports of the real program.
 * @return The ports.
 */
[[nodiscard]] ctl_ports make_ctl_ports();

/**
 * @brief Runs one command.
 * @param arguments Arguments without the program name.
 * @param ports Ports.
 * @param out Stream for results.
 * @param err Stream for errors and notes.
 * @return The exit code.
 */
[[nodiscard]] exit_code run_ctl(const std::vector<std::string>& arguments, const ctl_ports& ports,
                                std::ostream& out, std::ostream& err);

} // namespace kumquatdrift

#endif
