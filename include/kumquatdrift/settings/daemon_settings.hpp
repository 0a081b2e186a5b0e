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
    /*! @brief Maximum number of open connections. An idle connection occupies no thread. */
    std::int64_t max_connections{};
    /*! @brief Maximum number of threads. Each request occupies one while it is served. */
    std::int64_t max_threads{};
    /*! @brief Maximum total size of the request line and the headers in bytes. */
    std::int64_t max_header_bytes{};
    /*! @brief Maximum size of a request body in bytes. A route may set a lower limit. */
    std::int64_t max_body_bytes{};
    /*! @brief Timeout in milliseconds for receiving the request line and the headers. */
    std::int64_t header_timeout_ms{};
    /*! @brief Maximum time in milliseconds without progress in a received body or a sent response. */
    std::int64_t body_stall_timeout_ms{};
    /*! @brief Maximum time in milliseconds that a keep-alive connection may be idle. */
    std::int64_t idle_timeout_ms{};
    /*! @brief Time in milliseconds that a request may wait for its client while others wait for a thread. */
    std::int64_t client_wait_ms{};
};

/*! @brief Settings of `kumquatdriftd`. The settings page states units, ranges and defaults. */
struct daemon_settings {
    /*! @brief Name of the node, unique in the mesh. */
    std::string node{};
    /*! @brief Data centre of the host. */
    std::string data_centre{};
    /*! @brief IP address that all listeners except the admin listener are bound to. */
    std::string ip{};
    /*! @brief IP address that the admin listener is bound to; empty for the value of `ip`. */
    std::string admin_ip{};
    /*! @brief Maximum time in milliseconds that a graceful shutdown waits for requests in flight. */
    std::int64_t drain_timeout_ms{};

    /*! @brief Listener for callers. */
    http_listener_settings caller{};
    /*! @brief Listener for requests from other nodes. */
    http_listener_settings peer{};
    /*! @brief Listener for announcements, health, status and metrics. */
    http_listener_settings admin{};
    /*! @brief TCP port of the gRPC services. */
    std::int64_t control_port{};
    /*! @brief Maximum size of a gRPC message in bytes. */
    std::int64_t control_max_message_bytes{};
    /*! @brief Maximum number of concurrent gRPC streams per connection. */
    std::int64_t control_max_streams{};
    /*! @brief UDP port of the gossip endpoint. */
    std::int64_t gossip_port{};

    /*! @brief Base URL of the log service. */
    std::string log_url{};
    /*! @brief Timeout in milliseconds for connecting to the log service. */
    std::int64_t log_connect_timeout_ms{};
    /*! @brief Timeout in milliseconds for a log response, in addition to the wait of a long poll. */
    std::int64_t log_timeout_ms{};

    /*! @brief Gossip addresses (`IP:PORT`) of the nodes that are contacted first to join the mesh. */
    std::vector<std::string> seeds{};
    /*! @brief Interval in milliseconds between probes of other nodes. */
    std::int64_t probe_interval_ms{};
    /*! @brief Timeout in milliseconds for the ack of a direct probe, after which other nodes are asked for
     * indirect probes. */
    std::int64_t probe_timeout_ms{};
    /*! @brief Time in milliseconds after which a suspect node is declared dead. */
    std::int64_t suspicion_timeout_ms{};
    /*! @brief Interval in milliseconds between digest exchanges with another node. */
    std::int64_t sync_interval_ms{};
    /*! @brief Maximum rate of the gossip that this node sends, in bytes per second. */
    std::int64_t gossip_bytes_per_second{};

    /*! @brief Source of the configuration: `relays` or `log_poll`. */
    std::string distribution_source{};
    /*! @brief Interval in milliseconds between reads of the log in the `log_poll` mode. */
    std::int64_t log_poll_interval_ms{};
    /*! @brief Interval in milliseconds between the heartbeats that a parent sends on a stream. */
    std::int64_t heartbeat_interval_ms{};
    /*! @brief Time in milliseconds without a heartbeat after which a parent is considered unavailable. */
    std::int64_t silence_timeout_ms{};
    /*! @brief Retention of the log in milliseconds, as the platform configures it. */
    std::int64_t log_retention_ms{};

    /*! @brief Maximum number of pooled connections to each other node. */
    std::int64_t connections_per_node{};
    /*! @brief Maximum number of pooled connections to each target of this host. */
    std::int64_t connections_per_target{};
    /*! @brief Timeout in milliseconds for connecting to a node or a target. */
    std::int64_t connect_timeout_ms{};
    /*! @brief Time in milliseconds for which a request is rejected after its second crash of a target.
     * Doubles with each further crash. */
    std::int64_t quarantine_ms{};

    /*! @brief Lowest level of the log lines that are written: `debug`, `info`, `warn` or `error`. */
    std::string log_level{};
    /*! @brief File for finished spans as JSON lines; empty for none, `-` for standard error. */
    std::string span_sink{};
};

} // namespace kumquatdrift

#endif
