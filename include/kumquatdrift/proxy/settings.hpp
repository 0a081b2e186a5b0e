#ifndef KUMQUATDRIFT_PROXY_SETTINGS_HPP
#define KUMQUATDRIFT_PROXY_SETTINGS_HPP

#include <cstdint>
#include <string>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/proxy/fwd.hpp>
#include <kumquatdrift/traffic/quarantine.hpp>

namespace kumquatdrift {

/*! @brief Limits of one HTTP listener. */
struct listener_limits {
    /*! @brief IP address and port to listen on; port 0 picks a free one. */
    std::string address{"127.0.0.1:0"};
    /*! @brief Maximum number of connections. A further one replaces the one that has been idle longest; if
     * none is idle, it gets the response 503 and is closed. */
    std::uint32_t max_connections{4'096};
    /*! @brief Maximum number of threads that serve new connections, and of those that serve connections which
     *         were idle. Further connections are queued for a thread. */
    std::uint32_t max_threads{256};
    /*! @brief Maximum size of a request head in bytes, including the start line and line breaks. */
    std::uint32_t max_header_bytes{16 * 1024};
    /*! @brief Maximum size of a request body in bytes; a route may set a lower limit. */
    std::uint64_t max_body_bytes{64ULL * 1024 * 1024};
    /*! @brief Timeout for receiving a whole request head. */
    milliseconds header_timeout{5'000};
    /*! @brief Maximum time that a connection may be idle between requests. */
    milliseconds idle_timeout{60'000};
    /*! @brief Maximum time without progress while a body is received or a response is sent. */
    milliseconds body_stall_timeout{10'000};
    /*! @brief Maximum time that a request may wait for its client in all, to receive from it and to send to
     * it, while all threads are busy and further connections wait for one. */
    milliseconds client_wait{500};
    /*! @brief False to close each connection after one response. */
    bool keep_alive{true};
};

/*! @brief Limits of the pooled connections to nodes and targets. */
struct pool_limits {
    /*! @brief Maximum number of connections to one node. */
    std::uint32_t connections_per_node{64};
    /*! @brief Maximum number of connections to one target. */
    std::uint32_t connections_per_target{64};
    /*! @brief Timeout for establishing a connection. */
    milliseconds connect_timeout{500};
    /*! @brief Time after which an idle connection is closed. Below the idle timeout of the listeners, so that
     *         the peer rarely closes first. */
    milliseconds idle_timeout{20'000};
};

/*! @brief Settings of the proxy. */
struct proxy_settings {
    /*! @brief Name of this node. */
    std::string node{};
    /*! @brief Listener for callers. */
    listener_limits caller{};
    /*! @brief Listener for other nodes. */
    listener_limits peer{};
    /*! @brief Connections to nodes and targets. */
    pool_limits pool{};
    /*! @brief Durations and limits of the crash quarantine. */
    quarantine_settings quarantine{};
};

} // namespace kumquatdrift

#endif
