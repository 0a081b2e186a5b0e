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

// Exit codes of kumquatdriftd, listed in its --help.
constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_invalid = 2;
constexpr int exit_forced = 3;

constexpr const char* version = "0.1.0";

struct options {
    std::string config{};
    bool check{};
    bool describe{};
};

options parse_options(int argc, char** argv)
{
    TCLAP::CmdLine command{
        "kumquatdriftd, the node of kumquatdrift: one process on each target host. It carries configuration, "
        "membership and requests. SIGTERM or SIGINT drains it; a second signal ends it at once. Exit codes: "
        "0 "
        "after a complete drain or a check without fault, 1 if it could not start or requests were still in "
        "flight at the end of the drain timeout, 2 for faulty settings or options, 3 after a second signal.",
        ' ', version};
    TCLAP::ValueArg<std::string> config{
        "c",    "config", "Settings file: JSON with comments, described in docs/settings.md.", false, "",
        "FILE", command};
    TCLAP::SwitchArg check{"", "check",
                           "Check the settings file, print each fault with its place and the "
                           "accepted range, and exit.",
                           command};
    TCLAP::SwitchArg describe{
        "", "describe-settings",
        "Print all settings with units, accepted ranges and defaults as a table, and exit.", command};
    command.setExceptionHandling(false);
    command.parse(argc, argv);
    return {config.getValue(), check.getValue(), describe.getValue()};
}

/*! @brief Blocks the shutdown signals in this thread and in all threads started later. */
sigset_t block_shutdown_signals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int wait_for_signal(const sigset_t& signals)
{
    int number = 0;
    while (sigwait(&signals, &number) != 0) {}
    return number;
}

int run_node(const kumquatdrift::daemon_settings& settings)
{
    const auto signals = block_shutdown_signals();
    // A peer that closes a connection must end in an error code, not in the end of the process.
    std::signal(SIGPIPE, SIG_IGN);
    const auto node = kumquatdrift::node_service::create(settings);
    const part_logger logger{log_part::node};
    if (!node) {
        logger.write(log_level::error, "cannot start: " + node.last_reason());
        return exit_failed;
    }
    wait_for_signal(signals);
    std::thread{[signals] {
        wait_for_signal(signals);
        _exit(exit_forced);
    }}.detach();
    return (*node)->drain() ? exit_ok : exit_failed;
}

int run(const options& chosen)
{
    if (chosen.describe) {
        std::cout << kumquatdrift::describe_settings();
        return exit_ok;
    }
    if (chosen.config.empty()) {
        std::cerr << "kumquatdriftd: --config FILE is required; see --help\n";
        return exit_invalid;
    }
    const auto settings = kumquatdrift::load_settings(chosen.config);
    if (!settings) {
        std::cerr << settings.last_reason() << '\n';
        return exit_invalid;
    }
    if (chosen.check) {
        std::cout << chosen.config << ": no fault\n";
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
        return run(parse_options(argc, argv));
    }
    catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    }
    catch (const TCLAP::ArgException& error) {
        std::cerr << "kumquatdriftd: " << error.error() << " " << error.argId() << "; see --help\n";
        return exit_invalid;
    }
    catch (const std::exception& error) {
        std::cerr << "kumquatdriftd: " << error.what() << '\n';
        return exit_failed;
    }
}
