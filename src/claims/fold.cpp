#include "claims/fold.hpp"

#include <algorithm>

namespace kumquatdrift::internal {
namespace {

void discard_body(claim_partition& partition, claim_key_state& state)
{
    if (state.response && state.response->body) {
        partition.stored_body_bytes -= state.response->body->size();
        state.response->body.reset();
    }
}

void evict_bodies(claim_partition& partition)
{
    while (!partition.stored_bodies.empty()) {
        const auto found = partition.keys.find(partition.stored_bodies.front());
        const auto has_body =
            found != partition.keys.end() && found->second.response && found->second.response->body;
        if (has_body && partition.stored_body_bytes <= partition.limits.max_body_bytes) {
            return;
        }
        if (has_body) {
            discard_body(partition, found->second);
        }
        partition.stored_bodies.pop_front();
    }
}

claim_key_state& touch_key(claim_partition& partition, const std::string& name)
{
    auto& state = partition.keys[name];
    state.newest_offset = partition.next_offset;
    partition.key_expiry.emplace_back(partition.next_offset, name);
    return state;
}

void fold_claim(claim_partition& partition, const claim_record& record, const claim_entry& entry)
{
    // Ignores a copy of the claim that reaches the log after the release of its attempt. Otherwise a delayed
    // append would block the key until the record expires.
    if (partition.released_attempts.contains(entry.attempt)) {
        return;
    }
    auto& state = touch_key(partition, claim_key_name(entry.route, entry.key));
    const auto own =
        std::find_if(state.holders.begin(), state.holders.end(),
                     [&](const claim_holder& holder) { return holder.attempt == entry.attempt; });
    if (own != state.holders.end()) {
        own->offset = partition.next_offset;
        return;
    }
    // Records between `read_to` and this one may have expired unread, or may have a newer format. Any of them
    // may contain an earlier claim that another owner granted.
    const auto all_read =
        record.read_to >= partition.earliest_offset && partition.unsupported_end <= partition.earliest_offset;
    const auto is_first = state.holders.empty() && !state.response && all_read;
    state.holders.push_back({entry.attempt, partition.next_offset, is_first});
}

void fold_completed(claim_partition& partition, const claim_entry& entry)
{
    const auto name = claim_key_name(entry.route, entry.key);
    auto& state = touch_key(partition, name);
    state.holders.clear();
    if (state.response) {
        return;
    }
    state.response = entry.response;
    if (state.response->body) {
        partition.stored_body_bytes += state.response->body->size();
        partition.stored_bodies.push_back(name);
    }
    evict_bodies(partition);
}

void fold_released(claim_partition& partition, const claim_entry& entry)
{
    partition.released_attempts[entry.attempt] = partition.next_offset;
    partition.release_expiry.emplace_back(partition.next_offset, entry.attempt);
    const auto found = partition.keys.find(claim_key_name(entry.route, entry.key));
    if (found == partition.keys.end()) {
        return;
    }
    auto& holders = found->second.holders;
    std::erase_if(holders, [&](const claim_holder& holder) { return holder.attempt == entry.attempt; });
    if (holders.empty() && !found->second.response) {
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
    if (!state.holders.empty() || (state.response && state.newest_offset >= earliest)) {
        return;
    }
    discard_body(partition, state);
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
    ++partition.next_offset;
    if (decoded.error == claim_decode_error::unsupported) {
        partition.unsupported_end = partition.next_offset;
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
    ++partition.next_offset;
}

void expire_claim_records(claim_partition& partition, log_offset earliest)
{
    partition.earliest_offset = std::max(partition.earliest_offset, earliest);
    auto& keys = partition.key_expiry;
    while (!keys.empty() && keys.front().first < partition.earliest_offset) {
        expire_key(partition, keys.front().second, partition.earliest_offset);
        keys.pop_front();
    }
    auto& releases = partition.release_expiry;
    while (!releases.empty() && releases.front().first < partition.earliest_offset) {
        const auto found = partition.released_attempts.find(releases.front().second);
        if (found != partition.released_attempts.end() && found->second < partition.earliest_offset) {
            partition.released_attempts.erase(found);
        }
        releases.pop_front();
    }
    evict_bodies(partition);
}

} // namespace kumquatdrift::internal
