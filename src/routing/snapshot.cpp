#include <kumquatdrift/routing/snapshot.hpp>

#include <algorithm>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace kumquatdrift {
namespace {

using service_index = std::unordered_map<std::string_view, std::size_t>;

// Suspect members still receive requests, because they may refute the suspicion. Until they are declared
// dead, failed connections lead to their ejection.
bool is_routable(const member_entry& entry) noexcept
{
    const auto is_live = entry.status == member_status::alive || entry.status == member_status::suspect;
    return is_live && entry.record.state == member_state::alive;
}

endpoint make_endpoint(const member_record& record, const target_record& target, const std::string& self,
                       const std::string& data_centre)
{
    return {.key = record.node + '/' + target.id,
            .node = record.node,
            .data_centre = record.data_centre,
            .target = target.id,
            .ip = record.ip,
            .peer_port = record.peer_port,
            .slots = std::max(target.slots, 1U),
            .state = target.state,
            .own = record.node == self,
            .local = record.data_centre == data_centre};
}

void add_endpoints(routing_snapshot& snapshot, const service_index& index, const member_view& view)
{
    for (const auto& [name, entry] : view.members) {
        if (!is_routable(entry)) {
            continue;
        }
        for (const auto& target : entry.record.targets) {
            const auto service = index.find(target.service);
            if (service == index.end() || target.state == target_state::draining) {
                continue;
            }
            snapshot.services[service->second].endpoints.push_back(
                make_endpoint(entry.record, target, view.self, snapshot.data_centre));
        }
    }
    for (auto& service : snapshot.services) {
        std::stable_partition(service.endpoints.begin(), service.endpoints.end(),
                              [](const endpoint& candidate) { return candidate.local; });
    }
}

// Orders routes by precedence and keeps routes of one host adjacent, so that `match_route` can find them by
// binary search.
bool precedes(const compiled_route& left, const compiled_route& right)
{
    const auto rank = [](const route_config& route) {
        const auto longest_first = -static_cast<std::ptrdiff_t>(route.path_prefix.size());
        return std::make_tuple(route.host.empty(), std::string_view{route.host}, longest_first,
                               route.methods.empty(), std::string_view{route.name});
    };
    return rank(left.config) < rank(right.config);
}

} // namespace

result<routing_snapshot_ptr> build_snapshot(const effective_config& config, const member_view& view)
{
    auto snapshot = std::make_shared<routing_snapshot>();
    snapshot->version = config.version;
    snapshot->generation = view.endpoint_generation;
    snapshot->data_centre = config.data_centre;
    service_index index;
    for (const auto& [name, service] : config.services) {
        index.emplace(name, snapshot->services.size());
        snapshot->services.push_back({.config = service, .endpoints = {}});
    }
    for (const auto& [name, route] : config.routes) {
        const auto service = index.find(route.service);
        if (service == index.end()) {
            return failure{"route " + name + " refers to service " + route.service +
                           ", which is not defined"};
        }
        snapshot->routes.push_back({.config = route, .service = service->second});
    }
    std::sort(snapshot->routes.begin(), snapshot->routes.end(), precedes);
    add_endpoints(*snapshot, index, view);
    return routing_snapshot_ptr{std::move(snapshot)};
}

} // namespace kumquatdrift
