#include <membership/peers.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <utility>

#include <kumquatdrift/membership/relays.hpp>

#include <membership/table.hpp>

namespace kumquatdrift::internal {
namespace {

// Relays of a data centre that was cut off for long may all be out of date; any of its members then helps.
constexpr std::uint32_t any_member_odds = 4;

} // namespace

void refresh_peers(membership_state& state)
{
    auto& peers = state.peers;
    if (!peers.stale) {
        return;
    }
    peers = peer_cache{};
    peers.stale = false;
    peers.by_site.resize(state.sites.size());
    peers.relays.resize(state.sites.size());
    std::vector<std::vector<std::string>> candidates(state.sites.size());
    for (const auto& [key, known] : state.members) {
        if (can_relay(known.record.state, known.status)) {
            candidates[known.site].push_back(known.record.node);
        }
        if (key == state.self || known.record.state == member_state::left) {
            continue;
        }
        const bool dead = known.status == member_status::dead;
        if (!dead) {
            peers.by_site[known.site].push_back(key);
        }
        else if (known.site == own_site) {
            peers.dead.push_back(key);
        }
    }
    peers.local = peers.by_site[own_site];
    for (std::size_t slot = 0; slot < state.sites.size(); ++slot) {
        // The same relays as `relays_of` finds in a view; the copy of the table into a view takes 2 ms.
        for (const auto& name : rank_relays(state.sites[slot].name, std::move(candidates[slot]))) {
            const auto key = key_of(name);
            if (key == state.self) {
                peers.relay = peers.relay || slot == own_site;
                continue;
            }
            peers.relays[slot].push_back(key);
        }
    }
}

std::vector<std::uint64_t> sample(std::vector<std::uint64_t> keys, std::size_t count, random_engine& rng)
{
    const auto taken = std::min(count, keys.size());
    for (std::size_t index = 0; index < taken; ++index) {
        const auto other = std::uniform_int_distribution<std::size_t>{index, keys.size() - 1}(rng);
        std::swap(keys[index], keys[other]);
    }
    keys.resize(taken);
    return keys;
}

const member* draw_remote(const membership_state& state, std::size_t site, random_engine& rng)
{
    if (site >= state.peers.by_site.size()) {
        return nullptr;
    }
    const auto& relays = state.peers.relays[site];
    const bool any = relays.empty() || rng() % any_member_odds == 0;
    const auto& keys = any ? state.peers.by_site[site] : relays;
    if (keys.empty()) {
        return nullptr;
    }
    const auto index = std::uniform_int_distribution<std::size_t>{0, keys.size() - 1}(rng);
    const auto found = state.members.find(keys[index]);
    return found == state.members.end() ? nullptr : &found->second;
}

} // namespace kumquatdrift::internal
