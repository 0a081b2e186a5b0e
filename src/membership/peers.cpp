#include <membership/peers.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <utility>

#include <kumquatdrift/membership/relays.hpp>

#include <membership/table.hpp>

namespace kumquatdrift::internal {
namespace {

// One of this many selections picks any member instead of a relay, because the known relays of a data centre
// may all be out of date after a long partition.
constexpr std::uint32_t any_member_interval = 4;

} // namespace

void refresh_peers(membership_state& state)
{
    auto& peers = state.peers;
    if (!peers.stale) {
        return;
    }
    peers = peer_cache{};
    peers.stale = false;
    peers.by_data_centre.resize(state.data_centres.size());
    peers.relays.resize(state.data_centres.size());
    std::vector<std::vector<std::string>> candidates(state.data_centres.size());
    for (const auto& [key, known] : state.members) {
        if (can_relay(known.record.state, known.status)) {
            candidates[known.data_centre_index].push_back(known.record.node);
        }
        if (key == state.self || known.record.state == member_state::left) {
            continue;
        }
        const bool dead = known.status == member_status::dead;
        if (!dead) {
            peers.by_data_centre[known.data_centre_index].push_back(key);
        }
        else if (known.data_centre_index == own_data_centre) {
            peers.dead.push_back(key);
        }
    }
    peers.local = peers.by_data_centre[own_data_centre];
    for (std::size_t data_centre_index = 0; data_centre_index < state.data_centres.size();
         ++data_centre_index) {
        // Computes the same relays as `relays_of`, but without a view: copying the table into one takes 2 ms.
        for (const auto& name : rank_relays(state.data_centres[data_centre_index].name,
                                            std::move(candidates[data_centre_index]))) {
            const auto key = key_of(name);
            if (key == state.self) {
                peers.is_relay = peers.is_relay || data_centre_index == own_data_centre;
                continue;
            }
            peers.relays[data_centre_index].push_back(key);
        }
    }
}

std::vector<std::uint64_t> sample(std::vector<std::uint64_t> keys, std::size_t count, random_engine& rng)
{
    const auto selected = std::min(count, keys.size());
    for (std::size_t index = 0; index < selected; ++index) {
        const auto other = std::uniform_int_distribution<std::size_t>{index, keys.size() - 1}(rng);
        std::swap(keys[index], keys[other]);
    }
    keys.resize(selected);
    return keys;
}

const member* pick_remote_member(const membership_state& state, std::size_t data_centre_index,
                                 random_engine& rng)
{
    if (data_centre_index >= state.peers.by_data_centre.size()) {
        return nullptr;
    }
    const auto& relays = state.peers.relays[data_centre_index];
    const bool any = relays.empty() || rng() % any_member_interval == 0;
    const auto& keys = any ? state.peers.by_data_centre[data_centre_index] : relays;
    if (keys.empty()) {
        return nullptr;
    }
    const auto index = std::uniform_int_distribution<std::size_t>{0, keys.size() - 1}(rng);
    const auto found = state.members.find(keys[index]);
    return found == state.members.end() ? nullptr : &found->second;
}

} // namespace kumquatdrift::internal
