#include "options.hpp"

#include <tclap/CmdLine.h>

namespace load_generator {

using kumquatdrift::milliseconds;

options parse_options(int argc, char** argv)
{
    TCLAP::CmdLine line{
        "Open-loop caller. Calls start at fixed times whether or not earlier ones have ended.", ' ', "0.1"};
    TCLAP::UnlabeledValueArg<std::string> address{"address", "Address to call", true, "", "IP:PORT", line};
    TCLAP::ValueArg<std::string> host{"", "host", "Host header", false, "localhost", "NAME", line};
    TCLAP::ValueArg<std::string> path{"", "path", "Path with query", false, "/echo", "PATH", line};
    TCLAP::ValueArg<std::string> method{"", "method", "Method", false, "GET", "METHOD", line};
    TCLAP::ValueArg<double> rate{"", "rate", "Calls per second", false, 100.0, "N", line};
    TCLAP::ValueArg<std::uint32_t> duration{
        "", "duration-ms", "Time during which calls are started", false, 1'000, "MS", line};
    TCLAP::ValueArg<std::uint32_t> connections{
        "", "connections", "Keep-alive connections; bounds the calls in flight", false, 8, "N", line};
    TCLAP::ValueArg<std::uint64_t> body{"", "body-bytes", "Size of the request body", false, 0, "N", line};
    TCLAP::ValueArg<std::string> key{
        "", "key-header", "Header for idempotency keys, one key per call", false, "", "NAME", line};
    TCLAP::ValueArg<std::string> prefix{"",     "id-prefix", "Prefix of request ids and keys", false, "load-",
                                        "TEXT", line};
    TCLAP::ValueArg<std::uint32_t> timeout{"",   "timeout-ms", "Time to wait for a response", false, 10'000,
                                           "MS", line};
    line.parse(argc, argv);
    return {address.getValue(),
            host.getValue(),
            path.getValue(),
            method.getValue(),
            rate.getValue(),
            milliseconds{duration.getValue()},
            connections.getValue(),
            body.getValue(),
            key.getValue(),
            prefix.getValue(),
            milliseconds{timeout.getValue()}};
}

} // namespace load_generator
