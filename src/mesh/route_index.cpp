#include <kumquatdrift/mesh/route_index.hpp>

#include <algorithm>
#include <cassert>
#include <cctype>
#include <functional>
#include <utility>

namespace kumquatdrift {
namespace {

/*! @brief Returns a host name in lower case, without port. */
std::string normalized_host(std::string_view host)
{
    std::string name{host.substr(0, host.find(':'))};
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

} // namespace

std::size_t route_index::key_hash::operator()(const route_key& key) const noexcept
{
    const std::hash<std::string_view> hash{};
    return hash(key.first) * 31 + hash(key.second);
}

route_index::route_index(mesh_config_ptr config) : indexed_config{std::move(config)}
{
    assert(this->indexed_config);
    this->routes.reserve(this->indexed_config->routes.size());
    for (const auto& route : this->indexed_config->routes) {
        this->routes.emplace(route_key{route->host, route->prefix}, route.get());
    }
}

const mesh_route* route_index::find(std::string_view host, std::string_view target) const
{
    const auto name = normalized_host(host);
    const auto path = target.substr(0, target.find_first_of("?#"));
    for (auto end = path.size(); end > 0;) {
        const auto slash = path.rfind('/', end - 1);
        if (slash == std::string_view::npos) {
            break;
        }
        const auto route = this->routes.find(route_key{name, path.substr(0, slash + 1)});
        if (route != this->routes.end()) {
            return route->second;
        }
        end = slash;
    }
    return nullptr;
}

const std::string& weighted_service_selector::select(const mesh_route& route)
{
    assert(!route.services.empty());
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    std::vector<double> weights{};
    double total{};
    for (const auto& weighted : route.services) {
        weights.push_back(weighted.weight);
        total += weighted.weight;
    }
    auto& state = this->states[route.host + route.prefix];
    if (state.weights != weights) {
        state = {weights, std::vector<double>(weights.size())};
    }
    for (std::size_t index = 0; index < weights.size(); ++index) {
        state.current_weights[index] += weights[index];
    }
    const auto chosen = static_cast<std::size_t>(
        std::max_element(state.current_weights.begin(), state.current_weights.end()) -
        state.current_weights.begin());
    state.current_weights[chosen] -= total;
    return route.services[chosen].service;
}

} // namespace kumquatdrift
