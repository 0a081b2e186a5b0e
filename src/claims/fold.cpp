#include "claims/fold.hpp"

#include <algorithm>

namespace kumquatdrift::internal {
namespace {

void drop_body(claim_partition& partition, claim_key_state& state)
{
    if (state.answer && state.answer->body) {
        partition.body_bytes -= state.answer->body->size();
        state.answer->body.reset();
    }
}

void limit_bodies(claim_partition& partition)
{
    while (!partition.bodies.empty()) {
        const auto found = partition.keys.find(partition.bodies.front());
        const auto stored =
            found != partition.keys.end() && found->second.answer && found->second.answer->body;
        if (stored && partition.body_bytes <= partition.limits.max_body_bytes) {
            return;
        }
        if (stored) {
            drop_body(partition, found->second);
        }
        partition.bodies.pop_front();
    }
}

claim_key_state& touch_key(claim_partition& partition, const std::string& name)
{
    auto& state = partition.keys[name];
    state.newest = partition.next;
    partition.key_expiry.emplace_back(partition.next, name);
    return state;
}

void fold_claim(claim_partition& partition, const claim_record& record, const claim_entry& entry)
{
    // A copy of the claim that reaches the log after the release of its attempt has no effect. Otherwise a
    // delayed append would block the key until it expires.
    if (partition.released.contains(entry.attempt)) {
        return;
    }
    auto& state = touch_key(partition, claim_key_name(entry.route, entry.key));
    const auto same =
        std::find_if(state.holders.begin(), state.holders.end(),
                     [&](const claim_holder& holder) { return holder.attempt == entry.attempt; });
    if (same != state.holders.end()) {
        same->offset = partition.next;
        return;
    }
    // Records between `read_to` and this one may have expired unread, or be of a newer format. One of them
    // may hold an earlier claim that another owner granted.
    const auto all_read =
        record.read_to >= partition.earliest && partition.unsupported_below <= partition.earliest;
    const auto first = state.holders.empty() && !state.answer && all_read;
    state.holders.push_back({entry.attempt, partition.next, first});
}

void fold_completed(claim_partition& partition, const claim_entry& entry)
{
    const auto name = claim_key_name(entry.route, entry.key);
    auto& state = touch_key(partition, name);
    state.holders.clear();
    if (state.answer) {
        return;
    }
    state.answer = entry.answer;
    if (state.answer->body) {
        partition.body_bytes += state.answer->body->size();
        partition.bodies.push_back(name);
    }
    limit_bodies(partition);
}

void fold_released(claim_partition& partition, const claim_entry& entry)
{
    partition.released[entry.attempt] = partition.next;
    partition.release_expiry.emplace_back(partition.next, entry.attempt);
    const auto found = partition.keys.find(claim_key_name(entry.route, entry.key));
    if (found == partition.keys.end()) {
        return;
    }
    auto& holders = found->second.holders;
    std::erase_if(holders, [&](const claim_holder& holder) { return holder.attempt == entry.attempt; });
    if (holders.empty() && !found->second.answer) {
        partition.keys.erase(found);
    }
}

void expire_key(claim_partition& partition, const std::string& name, log_offset earliest)
{
    const auto found = partition.keys.find(name);
    if (found == partition.keys.end()) {
        return;
    }
    auto& state = found->second;
    std::erase_if(state.holders, [&](const claim_holder& holder) { return holder.offset < earliest; });
    if (!state.holders.empty() || (state.answer && state.newest >= earliest)) {
        return;
    }
    drop_body(partition, state);
    partition.keys.erase(found);
}

} // namespace

std::string claim_key_name(std::string_view route, std::string_view key)
{
    std::string name = std::to_string(route.size());
    name += ':';
    name += route;
    name += key;
    return name;
}

void fold_claim_payload(claim_partition& partition, std::string_view payload)
{
    const auto decoded = decode_claim_record(payload);
    if (decoded.record) {
        fold_claim_record(partition, *decoded.record);
        return;
    }
    ++partition.counters.invalid_records;
    ++partition.next;
    if (decoded.error == claim_decode_error::unsupported) {
        partition.unsupported_below = partition.next;
    }
}

void fold_claim_record(claim_partition& partition, const claim_record& record)
{
    for (const auto& entry : record.entries) {
        switch (entry.kind) {
        case claim_entry_kind::claim:
            fold_claim(partition, record, entry);
            break;
        case claim_entry_kind::completed:
            fold_completed(partition, entry);
            break;
        case claim_entry_kind::released:
            fold_released(partition, entry);
            break;
        }
    }
    ++partition.next;
}

void expire_claim_records(claim_partition& partition, log_offset earliest)
{
    partition.earliest = std::max(partition.earliest, earliest);
    auto& keys = partition.key_expiry;
    while (!keys.empty() && keys.front().first < partition.earliest) {
        expire_key(partition, keys.front().second, partition.earliest);
        keys.pop_front();
    }
    auto& releases = partition.release_expiry;
    while (!releases.empty() && releases.front().first < partition.earliest) {
        const auto found = partition.released.find(releases.front().second);
        if (found != partition.released.end() && found->second < partition.earliest) {
            partition.released.erase(found);
        }
        releases.pop_front();
    }
    limit_bodies(partition);
}

} // namespace kumquatdrift::internal
