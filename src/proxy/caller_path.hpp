#ifndef KUMQUATDRIFT_PROXY_CALLER_PATH_HPP
#define KUMQUATDRIFT_PROXY_CALLER_PATH_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "proxy/entry_state.hpp"
#include "proxy/observe.hpp"
#include "proxy/target_host.hpp"

namespace kumquatdrift::internal {

/*! @brief Answers requests of callers at their entry node. */
class caller_path {
public:
    /**
     * @brief Constructs the path.
     * @param settings Settings.
     * @param rest_of_node The rest of the node.
     * @param local Targets of this host.
     * @param is_draining True while the node drains.
     */
    caller_path(const proxy_settings& settings, const proxy_dependencies& rest_of_node, target_host& local,
                const std::atomic<bool>& is_draining);

    /**
     * @brief Answers one request.
     * @param client Exchange with the caller.
     */
    void handle(exchange& client);

private:
    friend class caller_request;

    void answer(exchange& client, hop_span& span, route_metrics*& counters);
    void refuse_unmatched(exchange& client, const routing_snapshot& snapshot, std::string_view host);
    [[nodiscard]] std::string next_attempt_id();

    const proxy_dependencies& dependencies;
    target_host& host;
    const std::atomic<bool>& draining;
    std::shared_ptr<connection_pool> nodes;
    metrics_by_route metrics;
    failure_metrics failures;
    log_limit node_log{};
    entry_state state{};
    std::string attempt_prefix;
    std::atomic<std::uint64_t> next_attempt{1};
};

} // namespace kumquatdrift::internal

#endif
