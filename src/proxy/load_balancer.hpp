#ifndef KUMQUATDRIFT_PROXY_LOAD_BALANCER_HPP
#define KUMQUATDRIFT_PROXY_LOAD_BALANCER_HPP

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>

#include <kumquatdrift/routing/choose.hpp>
#include <kumquatdrift/traffic/retry.hpp>

namespace kumquatdrift::internal {

/*! @brief Chooses endpoints by load and keeps the retry budgets of an entry node. Thread-safe. */
class load_balancer {
public:
    /**
     * @brief Applies the endpoints of a snapshot. Does nothing for the snapshot that was applied last.
     * @param snapshot Snapshot in force.
     */
    void refresh(const routing_snapshot& snapshot);

    /**
     * @brief Chooses an endpoint and adds the request to its load.
     * @param service Service to choose an endpoint of.
     * @param tried Keys of the endpoints that were tried already; chosen again only if there is no other.
     * @return The choice. `on_done` must be called for a chosen endpoint.
     */
    [[nodiscard]] endpoint_choice choose(const routed_service& service, std::span<const std::string> tried);

    /**
     * @brief Removes a request that `choose` added from the load of its endpoint.
     * @param chosen Endpoint that `choose` returned.
     */
    void on_done(const endpoint& chosen);

    /**
     * @brief Records the load reported with a response.
     * @param from Endpoint that sent the response.
     * @param load Value of the load header; may be empty.
     */
    void on_response(const endpoint& from, std::string_view load);

    /**
     * @brief Ejects an endpoint temporarily because its node could not connect to the target, lost the
     * connection or received a malformed response.
     * @param failed Endpoint of the target.
     */
    void on_target_failed(const endpoint& failed);

    /**
     * @brief Ejects all endpoints of a node temporarily because a connection to it could not be established
     * or was lost.
     * @param failed Endpoint on the node.
     */
    void on_node_failed(const endpoint& failed);

    /**
     * @brief Credits the retry budget for the first attempt of a request.
     * @param route Route of the request.
     */
    void on_first_attempt(const route_config& route);

    /**
     * @brief Decides whether a failed attempt is retried, and charges the retry budget if so.
     * @param route Route of the request.
     * @param failed The failed attempt.
     * @return Delay before the next attempt, or nothing if there is no retry.
     */
    [[nodiscard]] std::optional<microseconds> retry_delay(const route_config& route,
                                                          const failed_attempt& failed);

private:
    std::mutex load_mutex{};
    load_table loads{};
    // Version and generation of the snapshot that `refresh` applied last.
    std::optional<std::pair<config_version, std::uint64_t>> applied_snapshot{};
    std::mutex retry_budget_mutex{};
    // By service.
    std::map<std::string, retry_budget, std::less<>> retry_budgets{};
};

} // namespace kumquatdrift::internal

#endif
