#ifndef KUMQUATDRIFT_GATEWAY_CLIENT_GUARD_HPP
#define KUMQUATDRIFT_GATEWAY_CLIENT_GUARD_HPP

#include <cstddef>
#include <string>
#include <vector>

#include <kumquatdrift/gateway/settings.hpp>
#include <kumquatdrift/telemetry/event_log.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>

#include "http_server.hpp"
#include "loop.hpp"

namespace kumquatdrift {

/*! @brief Parts of the process's memory and descriptors. */
struct process_limits {
    /*! @brief Bytes that the process may hold for others. */
    std::size_t held_bytes{};
    /*! @brief Bytes of all request bodies together. */
    std::size_t body_bytes{};
    /*! @brief Connections of callers. */
    std::size_t callers{};
    /*! @brief Connections on each of the addresses for reports, readiness and metrics. */
    std::size_t control{};
    /*! @brief Connections that have not said to which node they belong. */
    std::size_t unidentified{};
};

/**
 * @brief Divides the memory and the descriptors of the process.
 * @param settings Settings.
 * @return The parts; together they stay below the limits of the process.
 */
[[nodiscard]] process_limits limits_of(const gateway_settings& settings) noexcept;

/*! @brief Keeps clients that don't behave from using up the memory of the process. */
class client_guard {
public:
    /**
     * @brief Constructs a guard without servers.
     * @param loop Event loop, whose memory account it watches.
     * @param log Event log.
     * @param metrics Registry of metrics.
     */
    client_guard(event_loop& loop, event_log& log, metrics_registry& metrics);

    /**
     * @brief Applies the limits on clients to a server, and counts and logs the connections that it closes.
     * @param server Server; must outlive the guard.
     * @param address Address of the server, for the log.
     * @param limits Limits.
     */
    void watch(http_server& server, const std::string& address, const client_limit_settings& limits);

    /**
     * @brief Drops clients that hold memory while it is short.
     * @param now Current time.
     */
    void on_tick(timestamp now);

private:
    event_loop& loop;
    event_log& log;
    metrics_registry& metrics;
    std::vector<http_server*> servers{};
    gauge& held_bytes;
    /*! @brief True if the last line about it said that memory is short. */
    bool was_short{};
    timestamp logged_at{};
};

} // namespace kumquatdrift

#endif
