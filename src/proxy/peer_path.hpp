#ifndef KUMQUATDRIFT_PROXY_PEER_PATH_HPP
#define KUMQUATDRIFT_PROXY_PEER_PATH_HPP

#include <atomic>

#include "proxy/observe.hpp"
#include "proxy/target_host.hpp"

namespace kumquatdrift::internal {

/*! @brief Answers requests that other nodes forward to the targets of this host. */
class peer_path {
public:
    /**
     * @brief Constructs the path.
     * @param rest_of_node The rest of the node.
     * @param local Targets of this host.
     * @param is_draining True while the node drains.
     */
    peer_path(const proxy_dependencies& rest_of_node, target_host& local,
              const std::atomic<bool>& is_draining);

    /**
     * @brief Answers one request.
     * @param client Exchange with the entry node.
     */
    void handle(exchange& client);

private:
    [[nodiscard]] bool run(exchange& client, hop_span& span);

    const proxy_dependencies& dependencies;
    target_host& host;
    const std::atomic<bool>& draining;
    metrics_by_route metrics;
};

/**
 * @brief Makes the field lines that go with a relayed answer: a valid verdict of the other side.
 * @param observation What was observed.
 * @return Field lines.
 */
[[nodiscard]] std::string verdict_fields(const hop_observation& observation);

} // namespace kumquatdrift::internal

#endif
