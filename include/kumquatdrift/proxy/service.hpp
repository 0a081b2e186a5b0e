#ifndef KUMQUATDRIFT_PROXY_SERVICE_HPP
#define KUMQUATDRIFT_PROXY_SERVICE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <kumquatdrift/claims/port.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/membership/types.hpp>
#include <kumquatdrift/proxy/fwd.hpp>
#include <kumquatdrift/proxy/settings.hpp>
#include <kumquatdrift/routing/snapshot.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>
#include <kumquatdrift/telemetry/trace.hpp>
#include <kumquatdrift/traffic/quarantine.hpp>

namespace kumquatdrift {

/*! @brief Interfaces of the proxy to the other parts of the node. Its functions are called on any thread. */
struct proxy_dependencies {
    /*! @brief Returns the routing snapshot in force; null before the first one. */
    std::function<routing_snapshot_ptr()> snapshot{};
    /*! @brief Claims on idempotency keys. */
    claim_port claims{};
    /*! @brief Receives the advisory about a crash, for propagation to other nodes; may be empty. */
    std::function<void(const crash_advisory&)> on_advisory{};
    /*! @brief Receives the name of a node to which a connection could not be established or was lost; may be
     * empty. */
    std::function<void(const std::string& node)> on_node_failed{};
    /*! @brief Registry of metrics; outlives the proxy. */
    metrics_registry* metrics{};
    /*! @brief Tracer; may be null. */
    std::shared_ptr<ring_tracer> tracer{};
};

/*! @brief Ports of the running listeners. */
struct proxy_ports {
    /*! @brief Port for callers. */
    std::uint16_t caller{};
    /*! @brief Port for other nodes. */
    std::uint16_t peer{};
};

/*! @brief HTTP proxy of a node: its listeners for callers and for other nodes. Thread-safe. */
class proxy_service {
public:
    /**
     * @brief Starts both listeners.
     * @param settings Settings of the proxy.
     * @param dependencies Interfaces to the other parts of the node.
     * @return The service, or the reason why it cannot start.
     */
    [[nodiscard]] static result<std::unique_ptr<proxy_service>> create(const proxy_settings& settings,
                                                                       proxy_dependencies dependencies);

    proxy_service(const proxy_service&) = delete;
    proxy_service& operator=(const proxy_service&) = delete;
    ~proxy_service();

    /*! @brief Returns the ports. */
    [[nodiscard]] proxy_ports ports() const noexcept;

    /**
     * @brief Replaces the targets of this host. A target that is missing or draining gets no new requests;
     *        its requests in flight are completed.
     * @param targets Announced targets.
     */
    void update_targets(const std::vector<target_record>& targets);

    /**
     * @brief Merges an advisory about crashes from another node.
     * @param advisory The advisory.
     */
    void offer_advisory(const crash_advisory& advisory);

    /**
     * @brief Lists the advisories about crashes to propagate to other nodes, newest first.
     * @return The advisories.
     */
    [[nodiscard]] std::vector<crash_advisory> advisories() const;

    /*! @brief Rejects new requests as `not_run` from now on; requests in flight are completed. */
    void drain();

    /**
     * @brief Returns the number of requests in flight at both listeners.
     * @return Number of requests.
     */
    [[nodiscard]] std::size_t in_flight() const noexcept;

    /**
     * @brief Stops the listener for callers, then the one for other nodes. Each waits for its requests in
     *        flight.
     * @param grace Maximum time to wait; the connections of remaining requests are then shut down.
     * @return True if all requests in flight were completed.
     */
    bool stop(milliseconds grace);

private:
    struct implementation;

    explicit proxy_service(std::unique_ptr<implementation> created) noexcept;

    std::unique_ptr<implementation> impl;
};

} // namespace kumquatdrift

#endif
