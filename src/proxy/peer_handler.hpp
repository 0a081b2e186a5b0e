#ifndef KUMQUATDRIFT_PROXY_PEER_HANDLER_HPP
#define KUMQUATDRIFT_PROXY_PEER_HANDLER_HPP

#include <atomic>

#include "proxy/observe.hpp"
#include "proxy/target_host.hpp"

namespace kumquatdrift::internal {

/*! @brief Handles requests that other nodes forward to the targets of this host. */
class peer_handler {
public:
    /**
     * @brief Constructs the handler.
     * @param proxy Dependencies of the proxy; must outlive this object.
     * @param local Targets of this host; must outlive this object.
     * @param is_draining True while the node drains; must outlive this object.
     */
    peer_handler(const proxy_dependencies& proxy, target_host& local, const std::atomic<bool>& is_draining);

    /**
     * @brief Handles one request.
     * @param client Exchange with the entry node.
     */
    void handle(exchange& client);

private:
    [[nodiscard]] bool forward(exchange& client, hop_span& span);

    const proxy_dependencies& dependencies;
    target_host& host;
    const std::atomic<bool>& draining;
    metrics_by_route metrics;
};

/**
 * @brief Formats the additional field lines of a relayed response: the verdict of the peer, if it is valid.
 * @param observation Observation of the attempt.
 * @return Field lines, empty without a valid verdict.
 */
[[nodiscard]] std::string verdict_fields(const hop_observation& observation);

} // namespace kumquatdrift::internal

#endif
