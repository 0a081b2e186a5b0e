#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <tclap/CmdLine.h>

#include "handler.hpp"
#include "store.hpp"

namespace {

namespace server = kumquatdrift::log_server;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

/*! @brief Idle timeout of connections. Clients must use a shorter one, or they reuse a closed connection. */
constexpr int keep_alive_timeout_seconds = 15;
constexpr int receive_timeout_seconds = 60;
constexpr int thread_stack_bytes = 256 * 1024;

struct options {
    std::string listen{};
    int threads{};
    server::fault_settings faults{};
};

options parse_options(int argc, char** argv)
{
    TCLAP::CmdLine command{
        "Simulates the platform's append-only log. POST /streams/NAME/records appends the body, "
        "GET /streams/NAME/records?from=&limit=&wait_ms= reads and GET /streams/NAME returns the retained "
        "range. "
        "GET /control returns counters and POST /control sets "
        "{\"outage\":bool,\"delay_ms\":n,\"lose_answers\":n,\"retention_records\":n,\"retention_ms\":n,"
        "\"appends_per_s\":n}. Records are kept in memory only.",
        ' ', "0.1.0"};
    TCLAP::ValueArg<std::string> listen{
        "l",       "listen", "Address to listen on. Port 0 picks a free one.", false, "127.0.0.1:9400",
        "IP:PORT", command};
    TCLAP::ValueArg<int> threads{
        "", "threads", "Connections served at the same time, each by a thread.", false, 1024, "N", command};
    TCLAP::ValueArg<std::uint64_t> rate{
        "", "appends-per-s", "Appends accepted in a second; others get 429.", false, 400, "N", command};
    TCLAP::ValueArg<std::uint64_t> records{
        "", "retention-records", "Records kept in each stream, 0 for no limit.", false, 0, "N", command};
    TCLAP::ValueArg<std::uint64_t> retention{
        "", "retention-ms", "Time that records are kept, 0 for no limit.", false, 0, "MS", command};
    command.setExceptionHandling(false);
    command.parse(argc, argv);
    options parsed{listen.getValue(), threads.getValue(), {}};
    parsed.faults.appends_per_s = rate.getValue();
    parsed.faults.retention_records = records.getValue();
    parsed.faults.retention_ms = retention.getValue();
    return parsed;
}

Poco::Net::HTTPServerParams::Ptr make_parameters(int threads)
{
    Poco::Net::HTTPServerParams::Ptr parameters{new Poco::Net::HTTPServerParams};
    parameters->setMaxThreads(threads);
    parameters->setMaxQueued(threads);
    parameters->setKeepAlive(true);
    parameters->setKeepAliveTimeout(Poco::Timespan{keep_alive_timeout_seconds, 0});
    parameters->setMaxKeepAliveRequests(0);
    parameters->setTimeout(Poco::Timespan{receive_timeout_seconds, 0});
    return parameters;
}

[[noreturn]] void serve(const options& settings)
{
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGINT);
    sigaddset(&stop_signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    const auto streams = std::make_shared<server::store>();
    streams->set(settings.faults);
    constexpr int backlog = 1024;
    constexpr int idle_threads = 16;
    const Poco::Net::ServerSocket socket{Poco::Net::SocketAddress{settings.listen}, backlog};
    Poco::ThreadPool pool{idle_threads, settings.threads, 60, thread_stack_bytes};
    Poco::Net::HTTPServer http{server::make_handler_factory(streams), pool, socket,
                               make_parameters(settings.threads)};
    http.start();
    std::cout << "log_server: listening on " << socket.address().toString() << std::endl;
    int received{};
    sigwait(&stop_signals, &received);
    // Stopping the POCO server while connections close is a data race in its event delegates. The log is kept
    // in memory only, so the process exits without closing open connections.
    std::quick_exit(0);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        serve(parse_options(argc, argv));
    }
    catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    }
    catch (const TCLAP::ArgException& error) {
        std::cerr << "log_server: " << error.error() << ' ' << error.argId() << "; see --help\n";
        return exit_usage;
    }
    catch (const Poco::Exception& error) {
        std::cerr << "log_server: " << error.displayText() << '\n';
        return exit_failed;
    }
}
