#include <membership/table.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

#include <membership/queue.hpp>

namespace kumquatdrift::internal {
namespace {

// A host whose clock was set back restarts with a start time below that of its previous process. It then
// continues above it, unless the record is too far ahead to be its own or two nodes share the name.
constexpr std::uint64_t max_clock_step_us = 86'400'000'000;
constexpr std::uint32_t max_start_time_raises = 8;

std::uint64_t other_sites(const membership_state& state, const member& known) noexcept
{
    if (!state.peers.relay || known.site != own_site) {
        return 0;
    }
    const auto count = state.sites.size();
    const auto all = count >= max_sites ? ~std::uint64_t{0} : (std::uint64_t{1} << count) - 1;
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
        note_change(state, true);
    }
    state.version_floor = std::max({state.version_floor, record.version, incoming.earlier_version});
    own.earlier_version = state.version_floor;
    queue_change(state, own, now);
}

bool insert_member(membership_state& state, std::uint64_t key, decoded_record incoming, timestamp now)
{
    // Otherwise members that are gone would pass for ever between nodes that remove them at different times.
    if (incoming.dead || incoming.record.state == member_state::left) {
        return false;
    }
    const auto slot = site_slot(state, incoming.record.data_centre, now);
    if (slot == max_sites || state.members.size() >= state.settings.max_members) {
        ++state.counters.invalid;
        return false;
    }
    member fresh;
    fresh.identity = identity_of(incoming.record.node, incoming.record.start_time);
    fresh.base_sequence = incoming.base_sequence;
    fresh.earlier_version = incoming.earlier_version;
    fresh.record = std::move(incoming.record);
    fresh.since = now;
    fresh.site = slot;
    state.keys[fresh.identity] = key;
    const auto& known = state.members.emplace(key, std::move(fresh)).first->second;
    state.peers.stale = true;
    note_change(state, true);
    queue_change(state, known, now);
    return true;
}

void replace_record(membership_state& state, std::uint64_t key, member& known, decoded_record incoming,
                    std::size_t slot, timestamp now)
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
        known.since = now;
        state.peers.stale = true;
    }
    known.status = member_status::alive;
    const auto held = restarted ? known.record.version : config_version{0};
    known.earlier_version = std::max({known.earlier_version, incoming.earlier_version, held});
    known.base_sequence = incoming.base_sequence;
    known.record = std::move(incoming.record);
    known.site = slot;
    note_change(state, !version_only);
    if (version_only) {
        queue_version(state, known, now);
        return;
    }
    queue_change(state, known, now);
    if (urgent) {
        queue_push(state, known, now);
    }
    if (restarted && has_version_floor(known) && slot != own_site && state.peers.relay) {
        state.changes.entries[key].remote_sites |= std::uint64_t{1} << slot;
    }
}

// Keeps what earlier processes of a node held, until the node itself has heard of it.
void merge_earlier_version(membership_state& state, member& known, const decoded_record& incoming,
                           timestamp now)
{
    const bool news = incoming.record.start_time == known.record.start_time &&
                      incoming.earlier_version > known.earlier_version;
    if (!news) {
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
    // The digests of records then differ from those of members that missed the refutation.
    own.base_sequence = own.record.sequence;
    ++state.counters.refutations;
    note_change(state, false);
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

bool is_gone(const member& known) noexcept
{
    return known.status == member_status::dead || known.record.state == member_state::left;
}

bool has_version_floor(const member& known) noexcept
{
    return known.earlier_version > known.record.version;
}

bool in_digest(const membership_state& state, const member& known, timestamp now) noexcept
{
    return !is_gone(known) || now - known.since < state.settings.tombstone_digest_time;
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

std::size_t site_slot(membership_state& state, const std::string& name, timestamp now)
{
    const auto found = std::find_if(state.sites.begin(), state.sites.end(),
                                    [&](const site& candidate) { return candidate.name == name; });
    if (found != state.sites.end()) {
        return static_cast<std::size_t>(std::distance(state.sites.begin(), found));
    }
    if (state.sites.size() == max_sites) {
        return max_sites;
    }
    site added;
    added.name = name;
    added.heard = now;
    state.sites.push_back(std::move(added));
    state.peers.stale = true;
    return state.sites.size() - 1;
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
        // Somebody still holds an earlier record of a member that digests no longer cover.
        if (!in_digest(state, *known, now) && state.changes.entries.count(key) == 0) {
            queue_change(state, *known, now);
        }
        return false;
    }
    const auto slot = site_slot(state, incoming.record.data_centre, now);
    if (slot == max_sites) {
        ++state.counters.invalid;
        return false;
    }
    replace_record(state, key, *known, std::move(incoming), slot, now);
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
    replace_record(state, key_of(known->record.node), *known, std::move(incoming), known->site, now);
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
    // Members of the own data centre are declared dead only by the own timer, so that a member that was
    // cut off or paused can refute before it loses its requests.
    const bool own = known->site == own_site;
    const auto status = own ? member_status::suspect : claim.status;
    if (status <= known->status) {
        return false;
    }
    set_status(state, *known, status, now);
    if (own && claim.status == member_status::dead) {
        // Others have waited; only the time to ask on the own account is left.
        known->since = now - state.settings.suspicion_timeout / 2;
    }
    return true;
}

void set_status(membership_state& state, member& known, member_status status, timestamp now)
{
    known.status = status;
    known.since = now;
    state.peers.stale = true;
    note_change(state, true);
    if (status == member_status::suspect && known.site == own_site) {
        state.detector.suspects.push_back(key_of(known.record.node));
    }
    queue_change(state, known, now);
}

void queue_change(membership_state& state, const member& known, timestamp now)
{
    enqueue(state.changes, key_of(known.record.node), other_sites(state, known), now);
}

void queue_version(membership_state& state, const member& known, timestamp now)
{
    enqueue(state.versions, key_of(known.record.node), other_sites(state, known), now);
}

void queue_push(membership_state& state, const member& known, timestamp now)
{
    const auto key = key_of(known.record.node);
    const auto same = [key](const urgent_push& push) { return push.key == key; };
    state.urgent.erase(std::remove_if(state.urgent.begin(), state.urgent.end(), same), state.urgent.end());
    state.urgent.push_back({key, state.settings.push_rounds, now});
}

void note_change(membership_state& state, bool endpoints) noexcept
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
        if (position->first == state.self || !is_gone(known) || now - known.since < limit) {
            ++position;
            continue;
        }
        state.keys.erase(known.identity);
        position = state.members.erase(position);
        state.peers.stale = true;
        note_change(state, true);
    }
    for (auto position = state.advisories.begin(); position != state.advisories.end();) {
        position =
            position->second.expires_at <= now ? state.advisories.erase(position) : std::next(position);
    }
}

} // namespace kumquatdrift::internal
