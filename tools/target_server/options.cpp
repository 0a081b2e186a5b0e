#include "options.hpp"

#include <tclap/CmdLine.h>

namespace target_server {

using kumquatdrift::milliseconds;

options parse_options(int argc, char** argv)
{
    TCLAP::CmdLine line{"Simulated target of the mesh.", ' ', "0.1"};
    const std::string ip_port{"IP:PORT"};
    TCLAP::ValueArg<std::string> listen{"",      "listen", "Address to listen on", false, "127.0.0.1:0",
                                        ip_port, line};
    TCLAP::ValueArg<std::string> service{"",     "service", "Service to announce", false, "service",
                                         "NAME", line};
    TCLAP::ValueArg<std::string> id{"", "id", "Id to announce", false, "target-1", "ID", line};
    TCLAP::ValueArg<std::uint32_t> slots{"", "slots", "Requests run at the same time", false, 10, "N", line};
    TCLAP::ValueArg<std::string> announce{
        "",    "announce", "Base URL of the node's admin listener, e.g. http://127.0.0.1:9300", false, "",
        "URL", line};
    TCLAP::ValueArg<std::uint32_t> work{"", "work-ms", "Time that each request takes", false, 0, "MS", line};
    TCLAP::ValueArg<std::uint32_t> cold{
        "", "cold-ms", "Time after the start in which the target is cold", false, 0, "MS", line};
    TCLAP::ValueArg<std::uint32_t> cold_factor{
        "", "cold-factor", "Factor on the work time while cold", false, 4, "N", line};
    TCLAP::ValueArg<std::uint32_t> lag{
        "", "health-lag-ms", "Delay of the health and load responses", false, 0, "MS", line};
    TCLAP::SwitchArg lie{"", "lie", "Always report a ready and idle target", line};
    TCLAP::SwitchArg no_shed{"", "no-shed", "Run requests beyond the slots instead of rejecting them", line};
    TCLAP::ValueArg<std::uint32_t> notice{
        "",  "drain-notice-ms", "Time from the announced drain to the end of listening", false, 500, "MS",
        line};
    TCLAP::ValueArg<std::uint32_t> connections{
        "", "connections", "Largest number of connections", false, 120, "N", line};
    line.parse(argc, argv);
    return {listen.getValue(),
            service.getValue(),
            id.getValue(),
            slots.getValue(),
            announce.getValue(),
            milliseconds{work.getValue()},
            milliseconds{cold.getValue()},
            cold_factor.getValue(),
            milliseconds{lag.getValue()},
            lie.getValue(),
            !no_shed.getValue(),
            milliseconds{notice.getValue()},
            connections.getValue()};
}

} // namespace target_server
