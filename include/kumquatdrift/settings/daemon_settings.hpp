#ifndef KUMQUATDRIFT_SETTINGS_DAEMON_SETTINGS_HPP
#define KUMQUATDRIFT_SETTINGS_DAEMON_SETTINGS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <kumquatdrift/settings/fwd.hpp>

namespace kumquatdrift {

/*! @brief Port and limits of one HTTP listener. The settings page states units, ranges and defaults. */
struct http_listener_settings {
    /*! @brief TCP port. */
    std::int64_t port{};
    /*! @brief Open connections. An idle one holds no thread. */
    std::int64_t max_connections{};
    /*! @brief Threads, one for each request that is being served. */
    std::int64_t max_threads{};
    /*! @brief Total size of the request line and the headers in bytes. */
    std::int64_t max_header_bytes{};
    /*! @brief Size of a request body in bytes. */
    std::int64_t max_body_bytes{};
    /*! @brief Time in milliseconds to receive the request line and the headers. */
    std::int64_t header_timeout_ms{};
    /*! @brief Time in milliseconds that a body may make no progress. */
    std::int64_t body_stall_timeout_ms{};
    /*! @brief Time in milliseconds that a keep-alive connection may be idle. */
    std::int64_t idle_timeout_ms{};
};

/*! @brief Settings of `kumquatdriftd`. The settings page states units, ranges and defaults. */
struct daemon_settings {
    /*! @brief Name of the node, unique in the mesh. */
    std::string node{};
    /*! @brief Data centre of the host. */
    std::string data_centre{};
    /*! @brief IP address on which all listeners but the admin listener are bound. */
    std::string ip{};
    /*! @brief IP address on which the admin listener is bound; empty means `ip`. */
    std::string admin_ip{};
    /*! @brief Time in milliseconds that a graceful shutdown waits for requests in flight. */
    std::int64_t drain_timeout_ms{};

    /*! @brief Listener for callers. */
    http_listener_settings caller{};
    /*! @brief Listener for requests from other nodes. */
    http_listener_settings peer{};
    /*! @brief Listener for announcements, health, status and metrics. */
    http_listener_settings admin{};
    /*! @brief TCP port of the gRPC services. */
    std::int64_t control_port{};
    /*! @brief Size of a gRPC message in bytes. */
    std::int64_t control_max_message_bytes{};
    /*! @brief Open gRPC streams per connection. */
    std::int64_t control_max_streams{};
    /*! @brief UDP port of the gossip endpoint. */
    std::int64_t gossip_port{};

    /*! @brief Base URL of the log service. */
    std::string log_url{};
    /*! @brief Time in milliseconds to connect to the log service. */
    std::int64_t log_connect_timeout_ms{};
    /*! @brief Time in milliseconds to wait for an answer beyond the wait of a long poll. */
    std::int64_t log_timeout_ms{};

    /*! @brief Gossip addresses (`ip:port`) of nodes to contact first. */
    std::vector<std::string> seeds{};
    /*! @brief Time in milliseconds between probes. */
    std::int64_t probe_interval_ms{};
    /*! @brief Time in milliseconds to wait for the answer to a probe. */
    std::int64_t probe_timeout_ms{};
    /*! @brief Time in milliseconds from suspicion to death. */
    std::int64_t suspicion_timeout_ms{};
    /*! @brief Time in milliseconds between digest exchanges. */
    std::int64_t sync_interval_ms{};
    /*! @brief Budget of the gossip in bytes per second. */
    std::int64_t gossip_bytes_per_second{};

    /*! @brief Source of the configuration: `relays` or `log_poll`. */
    std::string distribution_source{};
    /*! @brief Time in milliseconds between reads in the `log_poll` mode. */
    std::int64_t log_poll_interval_ms{};
    /*! @brief Time in milliseconds between heartbeats on a stream. */
    std::int64_t heartbeat_interval_ms{};
    /*! @brief Time in milliseconds without heartbeat after which a parent counts as silent. */
    std::int64_t silence_timeout_ms{};
    /*! @brief Retention of the log in milliseconds, as the platform states it. */
    std::int64_t log_retention_ms{};

    /*! @brief Connections to each other node. */
    std::int64_t pool_per_node{};
    /*! @brief Connections to each target of this host. */
    std::int64_t pool_per_target{};
    /*! @brief Time in milliseconds to connect to a node or a target. */
    std::int64_t connect_timeout_ms{};
    /*! @brief Time in milliseconds for which a crash suspect is quarantined. */
    std::int64_t quarantine_ms{};

    /*! @brief Level of the logs: `debug`, `info`, `warn` or `error`. */
    std::string log_level{};
    /*! @brief File for finished spans as JSON lines; empty for none, `-` for standard error. */
    std::string span_sink{};
};

} // namespace kumquatdrift

#endif
