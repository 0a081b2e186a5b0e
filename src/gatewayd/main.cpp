#include <iostream>

#include <unistd.h>

#include <tclap/CmdLine.h>

#include <kumquatdrift/gateway/gateway.hpp>

#include <platform/adapter.hpp>

namespace {

struct arguments {
    std::string settings{};
    bool check{};
};

arguments parse_arguments(int argc, char** argv)
{
    TCLAP::CmdLine line{"Carries the requests of one host through the mesh, on the users' platform.", ' ',
                        "0.1.0"};
    TCLAP::ValueArg<std::string> settings{"s",    "settings", "Settings file, JSON with comments", true, "",
                                          "path", line};
    TCLAP::SwitchArg check{"c", "check", "Check the settings file and end", line};
    line.parse(argc, argv);
    return {settings.getValue(), check.getValue()};
}

} // namespace

int main(int argc, char** argv)
{
    using namespace kumquatdrift;
    const auto given = parse_arguments(argc, argv);
    const auto settings = load_gateway_settings(given.settings);
    if (!settings) {
        std::cerr << "kumquatdrift-gateway: " << given.settings << ": " << settings.last_reason() << '\n';
        return 2;
    }
    if (given.check) {
        std::cout << given.settings << " is valid\n";
        return 0;
    }
    event_log log{STDOUT_FILENO, settings->log};
    return run_gateway(*settings, given.settings, platform::make_adapter, log) ? 0 : 1;
}
