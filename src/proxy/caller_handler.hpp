#ifndef KUMQUATDRIFT_PROXY_CALLER_HANDLER_HPP
#define KUMQUATDRIFT_PROXY_CALLER_HANDLER_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "proxy/load_balancer.hpp"
#include "proxy/observe.hpp"
#include "proxy/target_host.hpp"

namespace kumquatdrift::internal {

/*! @brief Handles the requests of callers at their entry node. Thread-safe. */
class caller_handler {
public:
    /**
     * @brief Constructs the handler.
     * @param settings Settings of the proxy.
     * @param node_dependencies Interfaces to the other parts of the node; must outlive this object.
     * @param targets Targets of this host; must outlive this object.
     * @param is_draining True while the node drains; must outlive this object.
     */
    caller_handler(const proxy_settings& settings, const proxy_dependencies& node_dependencies,
                   target_host& targets, const std::atomic<bool>& is_draining);

    /**
     * @brief Handles one request and sends its response.
     * @param client Exchange with the caller.
     */
    void handle(exchange& client);

private:
    friend class caller_request;

    // Sets `counters` once a route has matched.
    void route_request(exchange& client, hop_span& span, route_metrics*& counters);
    void reject_unmatched(exchange& client, const routing_snapshot& snapshot, std::string_view host);
    [[nodiscard]] std::string next_attempt_id();

    const proxy_dependencies& dependencies;
    target_host& host;
    const std::atomic<bool>& draining;
    std::shared_ptr<connection_pool> node_connections;
    metrics_by_route metrics;
    failure_metrics failures;
    log_rate_limiter node_log_limit{};
    load_balancer balancer{};
    std::string attempt_prefix;
    std::atomic<std::uint64_t> attempt_sequence{1};
};

} // namespace kumquatdrift::internal

#endif
