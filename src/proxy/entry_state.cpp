#include "proxy/entry_state.hpp"

#include "proxy/target_host.hpp"

namespace kumquatdrift::internal {

void entry_state::refresh(const routing_snapshot& snapshot)
{
    const std::pair identity{snapshot.version, snapshot.generation};
    const std::lock_guard lock{this->load_mutex};
    if (this->seen != identity) {
        this->loads.retain(snapshot, steady_now());
        this->seen = identity;
    }
}

endpoint_choice entry_state::choose(const routed_service& service, std::span<const std::string> used)
{
    const std::lock_guard lock{this->load_mutex};
    const auto now = steady_now();
    auto& rng = thread_random();
    auto choice = choose_endpoint(service, this->loads, used, now, rng);
    if (!choice.endpoint && !used.empty()) {
        choice = choose_endpoint(service, this->loads, {}, now, rng);
    }
    if (choice.endpoint) {
        this->loads.on_sent(service.endpoints[*choice.endpoint].key, now);
    }
    return choice;
}

void entry_state::done(const endpoint& chosen)
{
    const std::lock_guard lock{this->load_mutex};
    this->loads.on_done(chosen.key);
}

void entry_state::on_answer(const endpoint& from, std::string_view load)
{
    const std::lock_guard lock{this->load_mutex};
    this->loads.on_answer(from, parse_load(load), steady_now());
}

void entry_state::on_target_failed(const endpoint& failed)
{
    const std::lock_guard lock{this->load_mutex};
    this->loads.on_target_failed(failed.key, steady_now());
}

void entry_state::on_node_failed(const endpoint& failed)
{
    const std::lock_guard lock{this->load_mutex};
    this->loads.on_node_failed(failed.node, steady_now());
}

void entry_state::on_call(const route_config& route)
{
    const std::lock_guard lock{this->budget_mutex};
    this->budgets[route.service].on_call(route.retry.budget_percent);
}

std::optional<microseconds> entry_state::retry_delay(const route_config& route, const failed_attempt& failed)
{
    const std::lock_guard lock{this->budget_mutex};
    auto& budget = this->budgets[route.service];
    return decide_retry(route, failed, budget, steady_now(), thread_random()).delay;
}

} // namespace kumquatdrift::internal
