#include "settings/fields.hpp"

#include <algorithm>
#include <array>
#include <cctype>

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>

namespace kumquatdrift::internal {

namespace {

constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t hour_ms = 3'600'000;
constexpr std::int64_t mebibyte = 1024LL * 1024;
constexpr std::size_t max_name_length = 63;

bool is_valid_name(std::string_view text)
{
    const auto allowed = [](unsigned char character) {
        return std::islower(character) != 0 || std::isdigit(character) != 0 || character == '-' ||
               character == '.';
    };
    return !text.empty() && text.size() <= max_name_length && std::all_of(text.begin(), text.end(), allowed);
}

bool is_non_wildcard_ip(std::string_view text)
{
    Poco::Net::IPAddress address;
    return Poco::Net::IPAddress::tryParse(std::string{text}, address) && !address.isWildcard();
}

bool is_empty_or_ip(std::string_view text)
{
    return text.empty() || is_non_wildcard_ip(text);
}

bool is_http_url(std::string_view text)
{
    try {
        const Poco::URI uri{std::string{text}};
        return uri.getScheme() == "http" && is_non_wildcard_ip(uri.getHost()) && uri.getPort() != 0;
    }
    catch (const Poco::Exception&) {
        return false;
    }
}

bool is_distribution_source(std::string_view text)
{
    return text == "relays" || text == "log_poll";
}

bool is_log_level(std::string_view text)
{
    constexpr std::array<std::string_view, 4> levels{"debug", "info", "warn", "error"};
    return std::find(levels.begin(), levels.end(), text) != levels.end();
}

bool accepts_any_text(std::string_view)
{
    return true;
}

/*! @brief Builds the table of settings, one call per setting. */
class settings_table_builder {
public:
    void integer(std::string path, std::string unit, std::string description, integer_field type)
    {
        this->fields.push_back({std::move(path), std::move(unit), std::move(description), std::move(type)});
    }

    void text(std::string path, std::string description, text_field type)
    {
        this->fields.push_back({std::move(path), {}, std::move(description), std::move(type)});
    }

    void list(std::string path, std::string description, list_field type)
    {
        this->fields.push_back({std::move(path), {}, std::move(description), std::move(type)});
    }

    std::vector<setting_field> fields{};
};

/*! @brief Default values that differ between the HTTP listeners. */
struct listener_defaults {
    std::int64_t port{};
    std::int64_t max_connections{};
    std::int64_t max_threads{};
    std::int64_t max_body_bytes{};
};

using listener_member = http_listener_settings daemon_settings::*;

void add_listener(settings_table_builder& table, const std::string& name, listener_member listener,
                  const listener_defaults& defaults)
{
    const auto prefix = "listeners." + name + ".";
    const auto member = [listener](std::int64_t http_listener_settings::*value) {
        return [listener, value](daemon_settings& settings) -> std::int64_t& {
            return settings.*listener.*value;
        };
    };
    using listener_settings = http_listener_settings;
    table.integer(prefix + "port", "", "TCP port.",
                  {1, max_port, defaults.port, member(&listener_settings::port)});
    table.integer(prefix + "max_connections", "connections", "Open connections. An idle one holds no thread.",
                  {1, 10'000, defaults.max_connections, member(&listener_settings::max_connections)});
    table.integer(prefix + "max_threads", "threads", "Threads, one for each request that is being served.",
                  {4, 10'000, defaults.max_threads, member(&listener_settings::max_threads)});
    table.integer(prefix + "max_header_bytes", "bytes", "Total size of the request line and the headers.",
                  {512, mebibyte, 16'384, member(&listener_settings::max_header_bytes)});
    table.integer(prefix + "max_body_bytes", "bytes",
                  "Size of a request body. A route may set a lower limit.",
                  {0, 4096 * mebibyte, defaults.max_body_bytes, member(&listener_settings::max_body_bytes)});
    table.integer(prefix + "header_timeout_ms", "ms", "Time to receive the request line and the headers.",
                  {10, hour_ms, 5'000, member(&listener_settings::header_timeout_ms)});
    table.integer(prefix + "body_stall_timeout_ms", "ms", "Time that a body may make no progress.",
                  {10, hour_ms, 10'000, member(&listener_settings::body_stall_timeout_ms)});
    table.integer(prefix + "idle_timeout_ms", "ms", "Time that a keep-alive connection may be idle.",
                  {10, hour_ms, 60'000, member(&listener_settings::idle_timeout_ms)});
    table.integer(prefix + "client_wait_ms", "ms",
                  "Time that a request may wait for its client in all while others wait for a thread.",
                  {10, hour_ms, 500, member(&listener_settings::client_wait_ms)});
}

void add_node_settings(settings_table_builder& table)
{
    const std::string accepted_names = "1 to 63 lower-case letters, digits, hyphens and dots";
    table.text("node", "Name of the node, unique in the mesh.",
               {true, "", accepted_names, is_valid_name,
                [](daemon_settings& settings) -> std::string& { return settings.node; }});
    table.text("data_centre", "Data centre of the host.",
               {true, "", accepted_names, is_valid_name,
                [](daemon_settings& settings) -> std::string& { return settings.data_centre; }});
    table.text("ip", "IP address of the host. All listeners but the admin listener are bound to it.",
               {true, "", "an IP address that is not a wildcard", is_non_wildcard_ip,
                [](daemon_settings& settings) -> std::string& { return settings.ip; }});
    table.text("admin_ip", "IP address of the admin listener; empty for the value of `ip`.",
               {false, "", "an IP address, or empty", is_empty_or_ip,
                [](daemon_settings& settings) -> std::string& { return settings.admin_ip; }});
    table.integer("drain_timeout_ms", "ms", "Time that a graceful shutdown waits for requests in flight.",
                  {0, hour_ms, 60'000,
                   [](daemon_settings& settings) -> std::int64_t& { return settings.drain_timeout_ms; }});
}

void add_listeners(settings_table_builder& table)
{
    add_listener(table, "caller", &daemon_settings::caller, {7400, 4'096, 256, 256 * mebibyte});
    add_listener(table, "peer", &daemon_settings::peer, {7401, 4'096, 512, 256 * mebibyte});
    add_listener(table, "admin", &daemon_settings::admin, {7402, 256, 16, mebibyte});
    table.integer("listeners.control.port", "", "TCP port of the gRPC services.",
                  {1, max_port, 7403,
                   [](daemon_settings& settings) -> std::int64_t& { return settings.control_port; }});
    table.integer("listeners.control.max_message_bytes", "bytes", "Size of a gRPC message.",
                  {65'536, 64 * mebibyte, 8 * mebibyte, [](daemon_settings& settings) -> std::int64_t& {
                       return settings.control_max_message_bytes;
                   }});
    table.integer("listeners.control.max_streams", "streams", "Open gRPC streams per connection.",
                  {1, 10'000, 64,
                   [](daemon_settings& settings) -> std::int64_t& { return settings.control_max_streams; }});
    table.integer(
        "listeners.gossip.port", "", "UDP port of the gossip endpoint.",
        {1, max_port, 7404, [](daemon_settings& settings) -> std::int64_t& { return settings.gossip_port; }});
}

void add_log(settings_table_builder& table)
{
    table.text("log.url", "Base URL of the platform's log service.",
               {true, "", "http://IP:PORT", is_http_url,
                [](daemon_settings& settings) -> std::string& { return settings.log_url; }});
    table.integer("log.connect_timeout_ms", "ms", "Time to connect to the log service.",
                  {10, hour_ms, 1'000, [](daemon_settings& settings) -> std::int64_t& {
                       return settings.log_connect_timeout_ms;
                   }});
    table.integer("log.timeout_ms", "ms", "Time to wait for an answer beyond the wait of a long poll.",
                  {10, hour_ms, 2'000,
                   [](daemon_settings& settings) -> std::int64_t& { return settings.log_timeout_ms; }});
    table.integer(
        "log.retention_ms", "ms",
        "Time for which the log keeps a record. Checkpoints are written before a quarter of it has passed.",
        {1'000, 365 * 24 * hour_ms, 24 * hour_ms,
         [](daemon_settings& settings) -> std::int64_t& { return settings.log_retention_ms; }});
}

void add_membership(settings_table_builder& table)
{
    table.list("membership.seeds",
               "Gossip addresses of nodes to contact first. May be empty when the log is reachable.",
               {"IP:PORT", is_ip_and_port,
                [](daemon_settings& settings) -> std::vector<std::string>& { return settings.seeds; }});
    table.integer("membership.probe_interval_ms", "ms", "Time between probes of other nodes.",
                  {50, 60'000, 1'000,
                   [](daemon_settings& settings) -> std::int64_t& { return settings.probe_interval_ms; }});
    table.integer("membership.probe_timeout_ms", "ms",
                  "Time to wait for the answer to a probe before other nodes are asked to probe.",
                  {10, 60'000, 300,
                   [](daemon_settings& settings) -> std::int64_t& { return settings.probe_timeout_ms; }});
    table.integer("membership.suspicion_timeout_ms", "ms", "Time from suspicion to death of a node.",
                  {100, 600'000, 3'000,
                   [](daemon_settings& settings) -> std::int64_t& { return settings.suspicion_timeout_ms; }});
    table.integer("membership.sync_interval_ms", "ms", "Time between digest exchanges with another node.",
                  {100, 600'000, 10'000,
                   [](daemon_settings& settings) -> std::int64_t& { return settings.sync_interval_ms; }});
    table.integer("membership.bytes_per_second", "bytes/s", "Budget of the gossip that this node sends.",
                  {500, 10 * mebibyte, 6'000, [](daemon_settings& settings) -> std::int64_t& {
                       return settings.gossip_bytes_per_second;
                   }});
}

void add_distribution(settings_table_builder& table)
{
    table.text("distribution.source",
               "`relays`: relays tail the log, other nodes follow two parents. `log_poll`: every node polls "
               "the log.",
               {false, "relays", "relays or log_poll", is_distribution_source,
                [](daemon_settings& settings) -> std::string& { return settings.distribution_source; }});
    table.integer("distribution.log_poll_interval_ms", "ms", "Time between reads in the `log_poll` mode.",
                  {50, hour_ms, 1'000,
                   [](daemon_settings& settings) -> std::int64_t& { return settings.log_poll_interval_ms; }});
    table.integer("distribution.heartbeat_interval_ms", "ms", "Time between heartbeats of a parent.",
                  {100, hour_ms, 1'000, [](daemon_settings& settings) -> std::int64_t& {
                       return settings.heartbeat_interval_ms;
                   }});
    table.integer("distribution.silence_timeout_ms", "ms", "Time after which a parent counts as silent.",
                  {200, hour_ms, 2'200,
                   [](daemon_settings& settings) -> std::int64_t& { return settings.silence_timeout_ms; }});
}

void add_traffic(settings_table_builder& table)
{
    table.integer("traffic.connections_per_node", "connections", "Pooled connections to each other node.",
                  {1, 1'000, 16,
                   [](daemon_settings& settings) -> std::int64_t& { return settings.connections_per_node; }});
    table.integer("traffic.connections_per_target", "connections",
                  "Pooled connections to each target of this host.",
                  {1, 1'000, 32, [](daemon_settings& settings) -> std::int64_t& {
                       return settings.connections_per_target;
                   }});
    table.integer("traffic.connect_timeout_ms", "ms", "Time to connect to a node or a target.",
                  {1, 60'000, 250,
                   [](daemon_settings& settings) -> std::int64_t& { return settings.connect_timeout_ms; }});
    table.integer("traffic.quarantine_ms", "ms",
                  "Time for which a request that crashed two targets is rejected.",
                  {100, 24 * hour_ms, 60'000,
                   [](daemon_settings& settings) -> std::int64_t& { return settings.quarantine_ms; }});
}

void add_telemetry(settings_table_builder& table)
{
    table.text("telemetry.log_level", "Lowest level of the logs that are written.",
               {false, "info", "debug, info, warn or error", is_log_level,
                [](daemon_settings& settings) -> std::string& { return settings.log_level; }});
    table.text("telemetry.span_sink",
               "File for finished spans as JSON lines; empty for none, `-` for standard error.",
               {false, "", "a path, `-`, or empty", accepts_any_text,
                [](daemon_settings& settings) -> std::string& { return settings.span_sink; }});
}

} // namespace

bool is_ip_and_port(std::string_view text)
{
    try {
        const Poco::Net::SocketAddress address{std::string{text}};
        const auto separator = text.rfind(':');
        return separator != std::string_view::npos && is_non_wildcard_ip(address.host().toString()) &&
               address.port() != 0 && (text.front() == '[' || is_non_wildcard_ip(text.substr(0, separator)));
    }
    catch (const Poco::Exception&) {
        return false;
    }
}

const std::vector<setting_field>& settings_table()
{
    static const std::vector<setting_field> table = [] {
        settings_table_builder builder;
        add_node_settings(builder);
        add_listeners(builder);
        add_log(builder);
        add_membership(builder);
        add_distribution(builder);
        add_traffic(builder);
        add_telemetry(builder);
        return std::move(builder.fields);
    }();
    return table;
}

} // namespace kumquatdrift::internal
