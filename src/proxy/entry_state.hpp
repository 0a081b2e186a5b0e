#ifndef KUMQUATDRIFT_PROXY_ENTRY_STATE_HPP
#define KUMQUATDRIFT_PROXY_ENTRY_STATE_HPP

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>

#include <kumquatdrift/routing/choose.hpp>
#include <kumquatdrift/traffic/retry.hpp>

namespace kumquatdrift::internal {

/*! @brief Loads of the endpoints and retry budgets of an entry node. Safe for any thread. */
class entry_state {
public:
    /**
     * @brief Takes over the endpoints of a snapshot. Cheap if it is the one seen last.
     * @param snapshot Snapshot in force.
     */
    void refresh(const routing_snapshot& snapshot);

    /**
     * @brief Chooses an endpoint and counts the request that is about to be sent to it.
     * @param service Service.
     * @param used Keys of the endpoints that were tried; used again only if there is no other.
     * @return The choice. `done` must be called for a chosen endpoint.
     */
    [[nodiscard]] endpoint_choice choose(const routed_service& service, std::span<const std::string> used);

    /**
     * @brief Ends a request that was counted by `choose`.
     * @param chosen Endpoint.
     */
    void done(const endpoint& chosen);

    /**
     * @brief Takes the load that came with an answer.
     * @param from Endpoint that answered.
     * @param load Text of the load header, may be empty.
     */
    void on_answer(const endpoint& from, std::string_view load);

    /**
     * @brief Avoids an endpoint for a while because its node could not reach the target.
     * @param failed Endpoint.
     */
    void on_target_failed(const endpoint& failed);

    /**
     * @brief Avoids a node for a while because it refused or broke a connection.
     * @param failed Endpoint on the node.
     */
    void on_node_failed(const endpoint& failed);

    /**
     * @brief Feeds the retry budget with a first attempt.
     * @param route Route of the request.
     */
    void on_call(const route_config& route);

    /**
     * @brief Decides on a retry.
     * @param route Route of the request.
     * @param failed The failed attempt.
     * @return Delay before the next attempt, or nothing.
     */
    [[nodiscard]] std::optional<microseconds> retry_delay(const route_config& route,
                                                          const failed_attempt& failed);

private:
    std::mutex load_mutex{};
    load_table loads{};
    std::optional<std::pair<config_version, std::uint64_t>> seen{};
    std::mutex budget_mutex{};
    std::map<std::string, retry_budget, std::less<>> budgets{};
};

} // namespace kumquatdrift::internal

#endif
