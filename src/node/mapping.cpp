#include "node/mapping.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <string>

#include <Poco/Net/SocketAddress.h>

namespace kumquatdrift::internal {

namespace {

listener_limits listener_limits_of(const std::string& ip, const http_listener_settings& listener)
{
    listener_limits limits;
    limits.address = Poco::Net::SocketAddress{ip, static_cast<Poco::UInt16>(listener.port)}.toString();
    limits.max_connections = static_cast<std::uint32_t>(listener.max_connections);
    limits.max_threads = static_cast<std::uint32_t>(listener.max_threads);
    limits.max_header_bytes = static_cast<std::uint32_t>(listener.max_header_bytes);
    limits.max_body_bytes = static_cast<std::uint64_t>(listener.max_body_bytes);
    limits.header_timeout = milliseconds{listener.header_timeout_ms};
    limits.idle_timeout = milliseconds{listener.idle_timeout_ms};
    limits.client_wait = milliseconds{listener.client_wait_ms};
    limits.body_stall_timeout = milliseconds{listener.body_stall_timeout_ms};
    return limits;
}

gossip_address gossip_address_of(const std::string& text)
{
    const Poco::Net::SocketAddress address{text};
    return {address.host().toString(), address.port()};
}

} // namespace

http_log_settings log_settings_of(const daemon_settings& settings)
{
    http_log_settings log;
    log.url = settings.log_url;
    log.connect_timeout = milliseconds{settings.log_connect_timeout_ms};
    log.response_timeout = milliseconds{settings.log_timeout_ms};
    return log;
}

membership_settings membership_settings_of(const daemon_settings& settings)
{
    // Probes and pushes propagate most changes, so they get the larger part of the byte budget. Digest
    // exchanges only recover the changes that were missed.
    constexpr double datagram_fraction = 2.0 / 3.0;
    membership_settings membership;
    membership.probe_period = milliseconds{settings.probe_interval_ms};
    membership.ack_timeout = milliseconds{settings.probe_timeout_ms};
    membership.suspicion_timeout = milliseconds{settings.suspicion_timeout_ms};
    membership.exchange_period = milliseconds{settings.sync_interval_ms};
    const auto budget = static_cast<double>(settings.gossip_bytes_per_second);
    membership.datagram_bytes_per_second = budget * datagram_fraction;
    membership.exchange_bytes_per_second = budget * (1.0 - datagram_fraction);
    for (const auto& seed : settings.seeds) {
        membership.seeds.push_back(gossip_address_of(seed));
    }
    return membership;
}

std::uint64_t make_start_time(std::uint64_t epoch_us, random_engine& rng)
{
    constexpr std::uint64_t us_per_s = 1'000'000;
    return epoch_us + std::uniform_int_distribution<std::uint64_t>{0, us_per_s - 1}(rng);
}

member_identity identity_of(const daemon_settings& settings)
{
    random_engine rng{std::random_device{}()};
    return {settings.node, settings.data_centre, settings.ip,
            static_cast<std::uint16_t>(settings.gossip_port), make_start_time(epoch_now_us(), rng)};
}

distribution_settings distribution_settings_of(const daemon_settings& settings)
{
    distribution_settings distribution;
    auto& sources = distribution.sources;
    sources.mode = from_name<source_mode>(settings.distribution_source).value_or(source_mode::relays);
    sources.poll_interval = milliseconds{settings.log_poll_interval_ms};
    sources.heartbeat_interval = milliseconds{settings.heartbeat_interval_ms};
    sources.silence_timeout = milliseconds{settings.silence_timeout_ms};
    distribution.log_retention = milliseconds{settings.log_retention_ms};
    return distribution;
}

proxy_settings proxy_settings_of(const daemon_settings& settings)
{
    proxy_settings proxy;
    proxy.node = settings.node;
    proxy.caller = listener_limits_of(settings.ip, settings.caller);
    proxy.peer = listener_limits_of(settings.ip, settings.peer);
    proxy.pool.connections_per_node = static_cast<std::uint32_t>(settings.connections_per_node);
    proxy.pool.connections_per_target = static_cast<std::uint32_t>(settings.connections_per_target);
    proxy.pool.connect_timeout = milliseconds{settings.connect_timeout_ms};
    proxy.quarantine.quarantine_time = milliseconds{settings.quarantine_ms};
    proxy.quarantine.longest_quarantine =
        std::max(proxy.quarantine.longest_quarantine, proxy.quarantine.quarantine_time);
    return proxy;
}

listener_limits admin_limits_of(const daemon_settings& settings)
{
    return listener_limits_of(settings.admin_ip.empty() ? settings.ip : settings.admin_ip, settings.admin);
}

std::uint64_t epoch_now_us()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<microseconds>(now).count());
}

} // namespace kumquatdrift::internal
