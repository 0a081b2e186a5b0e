#include "distribution/candidates.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include <kumquatdrift/core/rendezvous.hpp>
#include <kumquatdrift/membership/relays.hpp>

namespace kumquatdrift::internal {

namespace {

std::vector<std::string> rank_all(const std::string& node, std::vector<std::string> names)
{
    const auto count = names.size();
    return rendezvous_rank(node, std::move(names), count);
}

} // namespace

source_candidates find_candidates(const member_view& view, const std::string& node,
                                  const std::string& data_centre)
{
    source_candidates found;
    found.parents = relays_of(view, data_centre);
    // A node acts as a relay as long as its view contains none.
    found.is_relay = found.parents.empty() || std::erase(found.parents, node) > 0;
    found.parents = rank_all(node, std::move(found.parents));
    std::set<std::string> remote;
    std::size_t nodes = 0;
    for (const auto& [name, entry] : view.members) {
        if (entry.record.data_centre != data_centre) {
            remote.insert(entry.record.data_centre);
        }
        else if (entry.status != member_status::dead) {
            ++nodes;
        }
    }
    found.nodes = std::max<std::size_t>(nodes, 1);
    for (const auto& name : remote) {
        const auto relays = relays_of(view, name);
        found.remote_relays.insert(found.remote_relays.end(), relays.begin(), relays.end());
    }
    found.remote_relays = rank_all(node, std::move(found.remote_relays));
    return found;
}

std::vector<std::string> select_snapshot_peers(const member_view& view, const std::string& node,
                                               std::size_t count, random_engine& rng)
{
    std::vector<std::pair<config_version, std::string>> peers;
    for (const auto& [name, entry] : view.members) {
        if (name != node && entry.status != member_status::dead && entry.record.state != member_state::left) {
            peers.emplace_back(entry.record.version, name);
        }
    }
    std::shuffle(peers.begin(), peers.end(), rng);
    std::stable_sort(peers.begin(), peers.end(),
                     [](const auto& left, const auto& right) { return left.first > right.first; });
    peers.resize(std::min(peers.size(), count));
    std::vector<std::string> names;
    names.reserve(peers.size());
    for (auto& [version, name] : peers) {
        names.push_back(std::move(name));
    }
    return names;
}

std::string control_address(const member_view& view, const std::string& node)
{
    const auto found = view.members.find(node);
    if (found == view.members.end()) {
        return {};
    }
    return found->second.record.ip + ':' + std::to_string(found->second.record.control_port);
}

} // namespace kumquatdrift::internal
