#include "client_guard.hpp"

#include <algorithm>
#include <cstdint>

namespace kumquatdrift {
namespace {

constexpr std::size_t bytes_per_mb = 1'048'576;
constexpr double bytes_per_kb = 1'024.0;
/*! @brief What the process holds for others may take the memory limit divided by this number. The rest is for
 * the process itself, for copies while a message is encoded, and for what the kernel holds. */
constexpr std::size_t held_memory_divisor = 2;
/*! @brief Request bodies may occupy the memory limit divided by this number: each body is held twice while
 * the request is forwarded, and responses and the process need the rest. */
constexpr std::size_t body_memory_divisor = 4;
/*! @brief Descriptors reserved for files, the store, other nodes, the target and the control addresses. */
constexpr std::size_t max_reserved_descriptors = 1'000;
/*! @brief Maximum number of connections on each of the addresses for reports, readiness and metrics. */
constexpr std::size_t max_control_connections = 64;
/*! @brief Share of the reserved descriptors that each of these addresses may use, as a divisor. */
constexpr std::size_t control_divisor = 12;
/*! @brief Share of the reserved descriptors that connections to the address for other nodes may use until
 * they have said to which node they belong, as a divisor. */
constexpr std::size_t unidentified_divisor = 4;
/*! @brief Minimum interval between two log lines that say whether memory is short. */
constexpr microseconds min_log_interval{1'000'000};

} // namespace

process_limits limits_of(const gateway_settings& settings) noexcept
{
    const auto memory = settings.memory_mb * bytes_per_mb;
    const auto reserved = std::min(settings.max_descriptors / 2, max_reserved_descriptors);
    return {memory / held_memory_divisor, memory / body_memory_divisor, settings.max_descriptors - reserved,
            std::min(max_control_connections, reserved / control_divisor), reserved / unidentified_divisor};
}

client_guard::client_guard(event_loop& owner, event_log& output, metrics_registry& registry)
    : loop{owner}, log{output}, metrics{registry},
      held_bytes{registry.gauge_of("gateway_held_bytes", "Bytes held for callers, targets and nodes")}
{
}

void client_guard::watch(http_server& server, const std::string& address, const client_limit_settings& limits)
{
    this->servers.push_back(&server);
    server.set_stall_timeout(limits.stall);
    server.set_min_pace(limits.min_pace_kb * bytes_per_kb);
    server.on_drop([this, address](close_cause cause, const std::string& client, std::size_t unsent) {
        this->metrics
            .counter_of("gateway_clients_closed_total", "Connections closed for clients that don't behave",
                        {{"cause", std::string{to_name(cause)}}})
            .add();
        this->log.write(log_level::info, event_class::failed_request, "gateway", "client_closed",
                        "cause={} address={} client={} unsent={}", to_name(cause), address, client, unsent);
    });
}

void client_guard::on_tick(timestamp now)
{
    const auto& memory = this->loop.memory();
    this->held_bytes.set(static_cast<std::int64_t>(memory.held()));
    const auto is_short = memory.is_short();
    if (is_short) {
        for (auto* server : this->servers) {
            server->relieve_memory(now);
        }
    }
    if (this->was_short != is_short && now - this->logged_at >= min_log_interval) {
        this->was_short = is_short;
        this->logged_at = now;
        this->log.write(is_short ? log_level::warn : log_level::info, event_class::state, "gateway",
                        is_short ? "memory_short" : "memory_not_short", "held={} limit={}", memory.held(),
                        memory.limit());
    }
}

} // namespace kumquatdrift
