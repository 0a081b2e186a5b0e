#include <kumquatdrift/mesh/route_index.hpp>

#include <algorithm>
#include <cassert>
#include <cctype>
#include <utility>

namespace kumquatdrift {
namespace {

std::string host_key(std::string_view host)
{
    std::string key{host.substr(0, host.find(':'))};
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return key;
}

} // namespace

route_index::route_index(mesh_config_ptr config) : source{std::move(config)}
{
    assert(this->source);
    for (const auto& route : this->source->routes) {
        this->hosts[host_key(route.host)].emplace(route.prefix, &route);
    }
}

const mesh_route* route_index::find(std::string_view host, std::string_view target) const
{
    const auto found = this->hosts.find(host_key(host));
    if (found == this->hosts.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find_first_of("?#"));
    for (auto end = path.size(); end > 0;) {
        const auto slash = path.rfind('/', end - 1);
        if (slash == std::string_view::npos) {
            break;
        }
        if (const auto route = found->second.find(path.substr(0, slash + 1)); route != found->second.end()) {
            return route->second;
        }
        end = slash;
    }
    return nullptr;
}

const std::string& part_chooser::choose(const mesh_route& route)
{
    assert(!route.parts.empty());
    if (route.parts.size() == 1) {
        return route.parts.front().service;
    }
    std::vector<double> weights{};
    double total{};
    for (const auto& part : route.parts) {
        weights.push_back(part.weight);
        total += part.weight;
    }
    auto& state = this->tallies[route.host + route.prefix];
    if (state.weights != weights) {
        state = {weights, std::vector<double>(weights.size())};
    }
    for (std::size_t part = 0; part < weights.size(); ++part) {
        state.credit[part] += weights[part];
    }
    const auto chosen = static_cast<std::size_t>(std::max_element(state.credit.begin(), state.credit.end()) -
                                                 state.credit.begin());
    state.credit[chosen] -= total;
    return route.parts[chosen].service;
}

} // namespace kumquatdrift
