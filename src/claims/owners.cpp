#include "claims/owners.hpp"

#include <kumquatdrift/core/rendezvous.hpp>

namespace kumquatdrift::internal {
namespace {

// The member view of a large mesh changes many times per second. A cached ranking is used for at least this
// long even if the view has changed.
constexpr milliseconds min_cache_time{250};

bool can_own(const member_entry& entry)
{
    // Suspected nodes remain owners, so that a false suspicion does not move partitions. If the node has
    // failed, the second owner serves its partitions.
    const auto reachable = entry.status == member_status::alive || entry.status == member_status::suspect;
    return reachable && entry.record.state == member_state::alive;
}

owner_node to_owner(const member_view& view, const std::string& name)
{
    const auto found = view.members.find(name);
    if (found == view.members.end()) {
        return {name, {}};
    }
    const auto& record = found->second.record;
    return {name, record.ip + ':' + std::to_string(record.control_port)};
}

} // namespace

std::vector<owner_node> rank_owners(const member_view& view, std::size_t partition)
{
    std::vector<std::string> live;
    for (const auto& [name, entry] : view.members) {
        if (can_own(entry)) {
            live.push_back(name);
        }
    }
    if (live.empty()) {
        live.push_back(view.self);
    }
    std::vector<owner_node> owners;
    for (const auto& name : rendezvous_rank(claim_stream(partition), std::move(live), owners_per_partition)) {
        owners.push_back(to_owner(view, name));
    }
    return owners;
}

owner_table::owner_table(claim_service::view_function current_view) : view{std::move(current_view)} {}

std::vector<owner_node> owner_table::owners_of(std::size_t partition)
{
    const auto current = this->view();
    const auto now = steady_now();
    const std::lock_guard lock{this->mutex};
    auto& entry = this->cache.at(partition);
    if (!entry || (entry->generation != current->generation && now - entry->computed_at > min_cache_time)) {
        entry = cached_owners{current->generation, now, rank_owners(*current, partition)};
    }
    return entry->owners;
}

} // namespace kumquatdrift::internal
