#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

#include <pthread.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <kumquatdrift/node/service.hpp>
#include <kumquatdrift/settings/parse.hpp>
#include <kumquatdrift/telemetry/log.hpp>

namespace {

using kumquatdrift::log_level;
using kumquatdrift::log_part;
using kumquatdrift::part_logger;

// Exit codes of kumquatdriftd, documented in its --help.
constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_forced = 3;

constexpr const char* version = "0.1.0";

struct options {
    std::string config{};
    bool check_only{};
    bool describe_only{};
};

options parse_command_line(int argc, char** argv)
{
    TCLAP::CmdLine command{
        "kumquatdriftd, the node of kumquatdrift: one process on each target host. It carries configuration, "
        "membership and requests. SIGTERM or SIGINT drains it; a second signal ends it at once. Exit codes: "
        "0 after a complete drain or a check without errors, 1 if it could not start or requests were still "
        "in flight at the end of the drain timeout, 2 for invalid settings or options, 3 after a second "
        "signal.",
        ' ', version};
    TCLAP::ValueArg<std::string> config{
        "c",    "config", "Settings file: JSON with comments, described in docs/settings.md.", false, "",
        "FILE", command};
    TCLAP::SwitchArg check{"", "check",
                           "Check the settings file, print each error with its location and the "
                           "accepted range, and exit.",
                           command};
    TCLAP::SwitchArg describe{
        "", "describe-settings",
        "Print all settings with units, accepted ranges and defaults as a table, and exit.", command};
    command.setExceptionHandling(false);
    command.parse(argc, argv);
    return {config.getValue(), check.getValue(), describe.getValue()};
}

/*! @brief Blocks the shutdown signals in this thread and in all threads that it starts later. */
sigset_t block_shutdown_signals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int wait_for_shutdown_signal(const sigset_t& signals)
{
    int number = 0;
    while (sigwait(&signals, &number) != 0) {}
    return number;
}

int run_node(const kumquatdrift::daemon_settings& settings)
{
    const auto signals = block_shutdown_signals();
    // A write to a connection that the peer has closed must fail with an error code instead of ending the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
    const auto node = kumquatdrift::node_service::create(settings);
    const part_logger logger{log_part::node};
    if (!node) {
        logger.write(log_level::error, "cannot start: " + node.last_reason());
        return exit_failed;
    }
    wait_for_shutdown_signal(signals);
    std::thread{[signals] {
        wait_for_shutdown_signal(signals);
        _exit(exit_forced);
    }}.detach();
    return (*node)->drain() ? exit_ok : exit_failed;
}

int run_command(const options& arguments)
{
    if (arguments.describe_only) {
        std::cout << kumquatdrift::describe_settings();
        return exit_ok;
    }
    if (arguments.config.empty()) {
        std::cerr << "kumquatdriftd: --config FILE is required; see --help\n";
        return exit_usage;
    }
    const auto settings = kumquatdrift::load_settings(arguments.config);
    if (!settings) {
        std::cerr << settings.last_reason() << '\n';
        return exit_usage;
    }
    if (arguments.check_only) {
        std::cout << arguments.config << ": no errors\n";
        return exit_ok;
    }
    kumquatdrift::set_up_log(
        kumquatdrift::from_name<log_level>(settings->log_level).value_or(log_level::info));
    return run_node(*settings);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run_command(parse_command_line(argc, argv));
    }
    catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    }
    catch (const TCLAP::ArgException& error) {
        std::cerr << "kumquatdriftd: " << error.error() << " " << error.argId() << "; see --help\n";
        return exit_usage;
    }
    catch (const std::exception& error) {
        std::cerr << "kumquatdriftd: " << error.what() << '\n';
        return exit_failed;
    }
}
