#include "proxy/load_balancer.hpp"

#include "proxy/target_host.hpp"

namespace kumquatdrift::internal {

void load_balancer::refresh(const routing_snapshot& snapshot)
{
    const std::pair identity{snapshot.version, snapshot.generation};
    const std::lock_guard lock{this->load_mutex};
    if (this->applied_snapshot != identity) {
        this->loads.update_endpoints(snapshot, steady_now());
        this->applied_snapshot = identity;
    }
}

endpoint_choice load_balancer::choose(const routed_service& service, std::span<const std::string> tried)
{
    const std::lock_guard lock{this->load_mutex};
    const auto now = steady_now();
    auto& rng = thread_random();
    auto choice = choose_endpoint(service, this->loads, tried, now, rng);
    if (!choice.endpoint && !tried.empty()) {
        choice = choose_endpoint(service, this->loads, {}, now, rng);
    }
    if (choice.endpoint) {
        this->loads.on_sent(service.endpoints[*choice.endpoint].key, now);
    }
    return choice;
}

void load_balancer::on_done(const endpoint& chosen)
{
    const std::lock_guard lock{this->load_mutex};
    this->loads.on_done(chosen.key);
}

void load_balancer::on_response(const endpoint& from, std::string_view load)
{
    const std::lock_guard lock{this->load_mutex};
    this->loads.on_response(from, parse_load(load), steady_now());
}

void load_balancer::on_target_failed(const endpoint& failed)
{
    const std::lock_guard lock{this->load_mutex};
    this->loads.on_target_failed(failed.key, steady_now());
}

void load_balancer::on_node_failed(const endpoint& failed)
{
    const std::lock_guard lock{this->load_mutex};
    this->loads.on_node_failed(failed.node, steady_now());
}

void load_balancer::on_first_attempt(const route_config& route)
{
    const std::lock_guard lock{this->retry_budget_mutex};
    this->retry_budgets[route.service].on_first_attempt(route.retry.budget_percent);
}

std::optional<microseconds> load_balancer::retry_delay(const route_config& route,
                                                       const failed_attempt& failed)
{
    const std::lock_guard lock{this->retry_budget_mutex};
    auto& budget = this->retry_budgets[route.service];
    return decide_retry(route, failed, budget, steady_now(), thread_random()).delay;
}

} // namespace kumquatdrift::internal
