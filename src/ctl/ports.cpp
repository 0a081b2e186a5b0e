#include <kumquatdrift/ctl/run.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include <Poco/UUIDGenerator.h>

#include <kumquatdrift/log/http.hpp>

#include "log/http_client.hpp"

namespace kumquatdrift {

namespace {

constexpr int http_ok = 200;

result<std::string> fetch_status(const std::string& url)
{
    const auto address = internal::parse_service_address(url);
    if (!address) {
        return failure{address.last_reason()};
    }
    internal::http_client client{*address, {}};
    auto exchange = client.send_safe({.path = "/v1/status"});
    if (exchange.effect != verdict::ran) {
        return failure{exchange.reason};
    }
    if (exchange.response.status != http_ok) {
        return failure{url + " answered with status " + std::to_string(exchange.response.status) +
                       "; it must be the admin address of a node"};
    }
    return std::move(exchange.response.body);
}

result<std::string> read_stream(std::istream& stream, const std::string& name)
{
    std::string text{std::istreambuf_iterator<char>{stream}, {}};
    if (stream.bad()) {
        return failure{name + " cannot be read"};
    }
    return text;
}

result<std::string> read_file(const std::string& path)
{
    if (path == "-") {
        return read_stream(std::cin, "standard input");
    }
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return failure{path + " cannot be opened; check the path and its permissions"};
    }
    return read_stream(file, path);
}

std::optional<std::string> read_environment(const std::string& name)
{
    const auto* const value = std::getenv(name.c_str());
    return value != nullptr ? std::optional<std::string>{value} : std::nullopt;
}

} // namespace

ctl_ports make_ctl_ports()
{
    ctl_ports ports;
    ports.connect_log = [](const std::string& url) { return make_http_log_port({.url = url}); };
    ports.fetch_status = fetch_status;
    ports.read_file = read_file;
    ports.environment = read_environment;
    ports.make_edit_id = [] { return Poco::UUIDGenerator::defaultGenerator().createRandom().toString(); };
    ports.now = steady_now;
    ports.sleep = [](milliseconds duration) { std::this_thread::sleep_for(duration); };
    return ports;
}

} // namespace kumquatdrift
