#include <iostream>

#include <malloc.h>
#include <unistd.h>

#include <tclap/CmdLine.h>

#include <kumquatdrift/gateway/gateway.hpp>

#include <platform/adapter.hpp>

namespace {

/*! @brief Size in bytes of a block from which on its memory goes back to the system once it is freed. By
 * default the allocator raises it with each long answer, and then keeps what lies between blocks in use. */
constexpr int mapped_block_bytes = 262'144;
/*! @brief Number of free bytes at the end of the heap that are kept. */
constexpr int kept_heap_bytes = 4'194'304;

struct arguments {
    std::string settings_path{};
    bool check_only{};
};

arguments parse_arguments(int argc, char** argv)
{
    TCLAP::CmdLine command_line{"Forwards the requests of the callers on this host through the service mesh.",
                                ' ', "0.1.0"};
    TCLAP::ValueArg<std::string> settings{"s",    "settings",  "Settings file, JSON with comments", true, "",
                                          "path", command_line};
    TCLAP::SwitchArg check{"c", "check", "Check the settings file and exit", command_line};
    command_line.parse(argc, argv);
    return {settings.getValue(), check.getValue()};
}

} // namespace

int main(int argc, char** argv)
{
    using namespace kumquatdrift;
    const auto args = parse_arguments(argc, argv);
    const auto settings = load_gateway_settings(args.settings_path);
    if (!settings) {
        std::cerr << "kumquatdrift-gateway: " << args.settings_path << ": " << settings.last_reason() << '\n';
        return 2;
    }
    if (args.check_only) {
        std::cout << args.settings_path << " is valid\n";
        return 0;
    }
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    mallopt(M_TRIM_THRESHOLD, kept_heap_bytes);
    event_log log{STDOUT_FILENO, settings->log};
    return run_gateway(*settings, args.settings_path, platform::make_adapter, log) ? 0 : 1;
}
