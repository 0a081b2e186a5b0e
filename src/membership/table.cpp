#include <membership/table.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

#include <membership/queue.hpp>

namespace kumquatdrift::internal {
namespace {

// After a restart on a host whose clock was set back, the start time is below that of the previous process
// and other nodes would ignore the new one. The node then raises its start time above that of the received
// record. These limits reject a record too far ahead to be the node's own, and end the raises if two nodes
// share a name.
constexpr std::uint64_t max_clock_step_us = 86'400'000'000;
constexpr std::uint32_t max_start_time_raises = 8;

// Returns the bit set of the other data centres to which this node, as a relay, must send a change.
std::uint64_t other_data_centres(const membership_state& state, const member& known) noexcept
{
    if (!state.peers.is_relay || known.data_centre_index != own_data_centre) {
        return 0;
    }
    const auto count = state.data_centres.size();
    const auto all = count >= max_data_centres ? ~std::uint64_t{0} : (std::uint64_t{1} << count) - 1;
    return all & ~std::uint64_t{1};
}

void accept_own_record(membership_state& state, const decoded_record& incoming, timestamp now)
{
    auto& own = own_member(state);
    const auto& record = incoming.record;
    if (record.start_time == own.record.start_time) {
        state.version_floor = std::max(state.version_floor, incoming.earlier_version);
        state.counters.forged += record.sequence > own.record.sequence ? 1 : 0;
        return;
    }
    if (record.start_time > own.record.start_time) {
        const bool plausible = record.start_time - own.record.start_time <= max_clock_step_us &&
                               state.start_time_raises < max_start_time_raises;
        if (!plausible) {
            ++state.counters.forged;
            return;
        }
        ++state.start_time_raises;
        state.keys.erase(own.identity);
        own.record.start_time = record.start_time + 1;
        own.identity = identity_of(own.record.node, own.record.start_time);
        state.keys[own.identity] = state.self;
        advance_generation(state, true);
    }
    state.version_floor = std::max({state.version_floor, record.version, incoming.earlier_version});
    own.earlier_version = state.version_floor;
    queue_change(state, own, now);
}

bool insert_member(membership_state& state, std::uint64_t key, decoded_record incoming, timestamp now)
{
    // Nodes that remove dead members at different times would otherwise reintroduce them to each other
    // forever.
    if (incoming.dead || incoming.record.state == member_state::left) {
        return false;
    }
    const auto data_centre_index = find_or_add_data_centre(state, incoming.record.data_centre, now);
    if (data_centre_index == max_data_centres || state.members.size() >= state.settings.max_members) {
        ++state.counters.invalid;
        return false;
    }
    member inserted;
    inserted.identity = identity_of(incoming.record.node, incoming.record.start_time);
    inserted.base_sequence = incoming.base_sequence;
    inserted.earlier_version = incoming.earlier_version;
    inserted.record = std::move(incoming.record);
    inserted.changed_at = now;
    inserted.data_centre_index = data_centre_index;
    state.keys[inserted.identity] = key;
    const auto& known = state.members.emplace(key, std::move(inserted)).first->second;
    state.peers.stale = true;
    advance_generation(state, true);
    queue_change(state, known, now);
    return true;
}

void replace_record(membership_state& state, std::uint64_t key, member& known, decoded_record incoming,
                    std::size_t data_centre_index, timestamp now)
{
    const bool restarted = incoming.record.start_time != known.record.start_time;
    const bool version_only =
        !restarted && incoming.base_sequence <= known.record.sequence && known.status == member_status::alive;
    const bool urgent = !restarted && is_urgent(known.record, incoming.record);
    if (restarted) {
        state.keys.erase(known.identity);
        known.identity = identity_of(incoming.record.node, incoming.record.start_time);
        state.keys[known.identity] = key;
    }
    if (incoming.record.state != known.record.state || known.status != member_status::alive || restarted) {
        known.changed_at = now;
        state.peers.stale = true;
    }
    known.status = member_status::alive;
    const auto replaced = restarted ? known.record.version : config_version{0};
    known.earlier_version = std::max({known.earlier_version, incoming.earlier_version, replaced});
    known.base_sequence = incoming.base_sequence;
    known.record = std::move(incoming.record);
    known.data_centre_index = data_centre_index;
    advance_generation(state, !version_only);
    if (version_only) {
        queue_version(state, known, now);
        return;
    }
    queue_change(state, known, now);
    if (urgent) {
        queue_push(state, known, now);
    }
    if (restarted && has_version_floor(known) && data_centre_index != own_data_centre &&
        state.peers.is_relay) {
        state.changes.entries[key].remote_data_centres |= std::uint64_t{1} << data_centre_index;
    }
}

// Keeps the highest version of earlier processes of a node until the node itself has received it.
void merge_earlier_version(membership_state& state, member& known, const decoded_record& incoming,
                           timestamp now)
{
    const bool is_newer = incoming.record.start_time == known.record.start_time &&
                          incoming.earlier_version > known.earlier_version;
    if (!is_newer) {
        return;
    }
    known.earlier_version = incoming.earlier_version;
    if (has_version_floor(known)) {
        queue_change(state, known, now);
    }
}

void refute(membership_state& state, timestamp now)
{
    auto& own = own_member(state);
    ++own.record.sequence;
    // Makes the record digests differ from those of members that missed the refutation.
    own.base_sequence = own.record.sequence;
    ++state.counters.refutations;
    advance_generation(state, false);
    queue_change(state, own, now);
}

} // namespace

member* find_key(membership_state& state, std::uint64_t key)
{
    const auto found = state.members.find(key);
    return found == state.members.end() ? nullptr : &found->second;
}

member* find_identity(membership_state& state, std::uint64_t identity)
{
    const auto found = state.keys.find(identity);
    return found == state.keys.end() ? nullptr : find_key(state, found->second);
}

member& own_member(membership_state& state)
{
    return state.members.at(state.self);
}

const member& own_member(const membership_state& state)
{
    return state.members.at(state.self);
}

bool is_dead_or_left(const member& known) noexcept
{
    return known.status == member_status::dead || known.record.state == member_state::left;
}

bool has_version_floor(const member& known) noexcept
{
    return known.earlier_version > known.record.version;
}

bool in_digest(const membership_state& state, const member& known, timestamp now) noexcept
{
    return !is_dead_or_left(known) || now - known.changed_at < state.settings.tombstone_digest_time;
}

bool is_urgent(const member_record& before, const member_record& after)
{
    if (after.state >= member_state::draining && before.state != after.state) {
        return true;
    }
    return std::any_of(before.targets.begin(), before.targets.end(), [&](const target_record& target) {
        if (target.state == target_state::draining) {
            return false;
        }
        const auto same = std::find_if(after.targets.begin(), after.targets.end(),
                                       [&](const target_record& other) { return other.id == target.id; });
        return same == after.targets.end() || same->state == target_state::draining;
    });
}

std::size_t find_or_add_data_centre(membership_state& state, const std::string& name, timestamp now)
{
    const auto found =
        std::find_if(state.data_centres.begin(), state.data_centres.end(),
                     [&](const data_centre_state& candidate) { return candidate.name == name; });
    if (found != state.data_centres.end()) {
        return static_cast<std::size_t>(std::distance(state.data_centres.begin(), found));
    }
    if (state.data_centres.size() == max_data_centres) {
        return max_data_centres;
    }
    data_centre_state added;
    added.name = name;
    added.last_heartbeat = now;
    state.data_centres.push_back(std::move(added));
    state.peers.stale = true;
    return state.data_centres.size() - 1;
}

bool accept_record(membership_state& state, decoded_record incoming, timestamp now)
{
    const auto key = key_of(incoming.record.node);
    if (key == state.self) {
        accept_own_record(state, incoming, now);
        return false;
    }
    auto* known = find_key(state, key);
    if (known == nullptr) {
        return insert_member(state, key, std::move(incoming), now);
    }
    const std::pair incoming_order{incoming.record.start_time, incoming.record.sequence};
    const std::pair known_order{known->record.start_time, known->record.sequence};
    if (incoming_order <= known_order) {
        state.counters.stale += incoming_order < known_order ? 1 : 0;
        merge_earlier_version(state, *known, incoming, now);
        // The sender may still hold the member as live. Digests no longer cover it here, so gossip corrects
        // that.
        if (!in_digest(state, *known, now) && state.changes.entries.count(key) == 0) {
            queue_change(state, *known, now);
        }
        return false;
    }
    const auto data_centre_index = find_or_add_data_centre(state, incoming.record.data_centre, now);
    if (data_centre_index == max_data_centres) {
        ++state.counters.invalid;
        return false;
    }
    replace_record(state, key, *known, std::move(incoming), data_centre_index, now);
    return true;
}

bool accept_version(membership_state& state, const version_change& change, timestamp now)
{
    auto* known = find_identity(state, change.identity);
    if (known == nullptr) {
        return false;
    }
    if (known->identity == own_member(state).identity) {
        state.counters.forged += change.sequence > known->record.sequence ? 1 : 0;
        return false;
    }
    const bool applies =
        change.sequence > known->record.sequence && change.base_sequence <= known->record.sequence;
    if (!applies) {
        return false;
    }
    decoded_record incoming{known->record, change.base_sequence, 0, false};
    incoming.record.sequence = change.sequence;
    incoming.record.version = change.version;
    replace_record(state, key_of(known->record.node), *known, std::move(incoming), known->data_centre_index,
                   now);
    return true;
}

bool accept_claim(membership_state& state, const status_claim& claim, timestamp now)
{
    auto* known = find_identity(state, claim.identity);
    if (known == nullptr) {
        return false;
    }
    if (known->identity == own_member(state).identity) {
        if (claim.sequence > known->record.sequence) {
            ++state.counters.forged;
            return false;
        }
        if (claim.sequence < known->record.sequence) {
            queue_change(state, *known, now);
            return true;
        }
        refute(state, now);
        return true;
    }
    if (claim.sequence != known->record.sequence || known->record.state == member_state::left) {
        return false;
    }
    // A member of this data centre is declared dead only when this node's own suspicion timeout expires, so
    // that a member that was partitioned or paused can refute the claim before requests are routed away from
    // it.
    const bool local = known->data_centre_index == own_data_centre;
    const auto status = local ? member_status::suspect : claim.status;
    if (status <= known->status) {
        return false;
    }
    set_status(state, *known, status, now);
    if (local && claim.status == member_status::dead) {
        // The claimant's suspicion timeout has expired already. Only the second half of the timeout is left
        // here, in which this node pings the suspect itself.
        known->changed_at = now - state.settings.suspicion_timeout / 2;
    }
    return true;
}

void set_status(membership_state& state, member& known, member_status status, timestamp now)
{
    known.status = status;
    known.changed_at = now;
    state.peers.stale = true;
    advance_generation(state, true);
    if (status == member_status::suspect && known.data_centre_index == own_data_centre) {
        state.detector.suspects.push_back(key_of(known.record.node));
    }
    queue_change(state, known, now);
}

void queue_change(membership_state& state, const member& known, timestamp now)
{
    enqueue(state.changes, key_of(known.record.node), other_data_centres(state, known), now);
}

void queue_version(membership_state& state, const member& known, timestamp now)
{
    enqueue(state.versions, key_of(known.record.node), other_data_centres(state, known), now);
}

void queue_push(membership_state& state, const member& known, timestamp now)
{
    const auto key = key_of(known.record.node);
    const auto same = [key](const urgent_push& push) { return push.key == key; };
    state.urgent.erase(std::remove_if(state.urgent.begin(), state.urgent.end(), same), state.urgent.end());
    state.urgent.push_back({key, state.settings.push_rounds, now});
}

void advance_generation(membership_state& state, bool endpoints) noexcept
{
    ++state.generation;
    state.endpoint_generation += endpoints ? 1 : 0;
}

void remove_expired(membership_state& state, timestamp now)
{
    for (auto position = state.members.begin(); position != state.members.end();) {
        const auto& known = position->second;
        const auto limit = known.record.state == member_state::left ? state.settings.left_retention
                                                                    : state.settings.dead_retention;
        if (position->first == state.self || !is_dead_or_left(known) || now - known.changed_at < limit) {
            ++position;
            continue;
        }
        state.keys.erase(known.identity);
        position = state.members.erase(position);
        state.peers.stale = true;
        advance_generation(state, true);
    }
    for (auto position = state.advisories.begin(); position != state.advisories.end();) {
        position =
            position->second.expires_at <= now ? state.advisories.erase(position) : std::next(position);
    }
}

} // namespace kumquatdrift::internal
