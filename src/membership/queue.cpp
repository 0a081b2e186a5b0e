#include <membership/queue.hpp>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include <kumquatdrift/core/digest.hpp>

#include <membership/table.hpp>

namespace kumquatdrift::internal {
namespace {

constexpr std::size_t field_header_bytes = 3; // tag and two-byte length of a nested message
constexpr std::size_t claim_bytes = 14;       // identity, sequence and status
constexpr std::size_t version_bytes = 18;     // identity, sequence, offset to the base sequence, and version
constexpr std::size_t max_advisory_key = 64;  // a hexadecimal fingerprint with a prefix
constexpr std::size_t max_advisory_value = 256;
constexpr milliseconds min_advisory_extension{5'000};

bool is_finished(const queued_change& entry, std::size_t limit, std::chrono::microseconds age,
                 milliseconds max_age)
{
    return (entry.transmissions >= limit && entry.remote_data_centres == 0) || age > max_age;
}

// Passes queued keys to `add` until the budget is used up. `add` returns the number of bytes added, or
// nothing if the change does not fit. Sent keys move to the end, so that all changes are sent equally often.
template<typename Add>
std::size_t fill_from_queue(membership_state& state, gossip_queue& queue, std::size_t limit,
                            std::size_t data_centre_index, std::size_t budget, timestamp now, Add add)
{
    const auto bit = std::uint64_t{1} << data_centre_index;
    std::size_t used{};
    std::deque<std::uint64_t> sent;
    std::deque<std::uint64_t> kept;
    while (!queue.order.empty() && used < budget) {
        const auto key = queue.order.front();
        const auto found = queue.entries.find(key);
        if (found == queue.entries.end()) {
            queue.order.pop_front();
            continue;
        }
        auto& entry = found->second;
        if (is_finished(entry, limit, now - entry.queued_at, state.settings.queue_timeout)) {
            queue.entries.erase(found);
            queue.order.pop_front();
            continue;
        }
        const bool pending = data_centre_index == own_data_centre ? entry.transmissions < limit
                                                                  : (entry.remote_data_centres & bit) != 0;
        if (!pending) {
            kept.push_back(key);
            queue.order.pop_front();
            continue;
        }
        const auto bytes = add(key, budget - used);
        if (!bytes) {
            break;
        }
        used += *bytes;
        entry.transmissions += data_centre_index == own_data_centre ? 1 : 0;
        entry.remote_data_centres &= data_centre_index == own_data_centre ? entry.remote_data_centres : ~bit;
        sent.push_back(key);
        queue.order.pop_front();
    }
    queue.order.insert(queue.order.begin(), kept.begin(), kept.end());
    queue.order.insert(queue.order.end(), sent.begin(), sent.end());
    return used;
}

std::size_t record_bytes(const member& known)
{
    return to_wire(known).ByteSizeLong() + field_header_bytes;
}

std::optional<std::size_t> try_add_member(membership_state& state, std::uint64_t key, std::size_t room,
                                          wire::changes& message)
{
    const auto* known = find_key(state, key);
    if (known == nullptr) {
        return 0;
    }
    if (record_bytes(*known) + claim_bytes > room) {
        return std::nullopt;
    }
    return add_member(*known, message);
}

std::optional<std::size_t> try_add_version(membership_state& state, std::uint64_t key, std::size_t room,
                                           wire::changes& message)
{
    const auto* known = find_key(state, key);
    if (known == nullptr || is_dead_or_left(*known)) {
        return 0;
    }
    if (version_bytes > room) {
        return std::nullopt;
    }
    return add_version(*known, message);
}

std::optional<std::size_t> try_add_advisory(const membership_state& state, std::uint64_t key,
                                            std::size_t room, timestamp now, wire::changes& message)
{
    const auto found = state.advisories.find(key);
    if (found == state.advisories.end() || found->second.expires_at <= now) {
        return 0;
    }
    const auto& entry = found->second;
    const auto needed = entry.key.size() + entry.value.size() + 4 * field_header_bytes;
    if (needed > room) {
        return std::nullopt;
    }
    auto* item = message.add_advisories();
    item->set_key(entry.key);
    item->set_value(entry.value);
    const auto remaining = std::chrono::duration_cast<milliseconds>(entry.expires_at - now);
    item->set_remaining_ms(static_cast<std::uint32_t>(remaining.count()));
    return needed;
}

void apply_versions(membership_state& state, const wire::version_changes& message, timestamp now)
{
    const auto count = message.identities_size();
    if (message.sequences_size() != count || message.changes_size() != count ||
        message.versions_size() != count) {
        ++state.counters.invalid;
        return;
    }
    for (int index = 0; index < count; ++index) {
        const auto sequence = message.sequences(index);
        const auto changes = message.changes(index);
        if (sequence <= changes || sequence > max_sequence) {
            ++state.counters.invalid;
            continue;
        }
        accept_version(
            state, {message.identities(index), sequence, sequence - changes, message.versions(index)}, now);
    }
}

bool apply_claims(membership_state& state, const wire::status_claims& message, timestamp now)
{
    const auto count = message.identities_size();
    if (message.sequences_size() != count || message.statuses_size() != count) {
        ++state.counters.invalid;
        return false;
    }
    bool own_status_claimed{};
    const auto self = own_member(state).identity;
    for (int index = 0; index < count; ++index) {
        const auto status = message.statuses(index);
        const bool valid = status == static_cast<std::uint32_t>(member_status::suspect) ||
                           status == static_cast<std::uint32_t>(member_status::dead);
        if (!valid) {
            ++state.counters.invalid;
            continue;
        }
        const status_claim claim{message.identities(index), message.sequences(index),
                                 static_cast<member_status>(status)};
        const bool accepted = accept_claim(state, claim, now);
        own_status_claimed = own_status_claimed || (accepted && claim.identity == self);
    }
    return own_status_claimed;
}

} // namespace

void enqueue(gossip_queue& queue, std::uint64_t key, std::uint64_t remote_data_centres, timestamp now)
{
    const auto [position, added] =
        queue.entries.insert_or_assign(key, queued_change{0, remote_data_centres, now});
    static_cast<void>(position);
    if (added) {
        queue.order.push_front(key);
    }
}

std::size_t add_member(const member& known, wire::changes& message)
{
    *message.add_records() = to_wire(known);
    const auto bytes = message.records(message.records_size() - 1).ByteSizeLong() + field_header_bytes;
    return known.status == member_status::alive ? bytes : bytes + add_claim(known, message);
}

std::size_t add_version(const member& known, wire::changes& message)
{
    auto& versions = *message.mutable_versions();
    versions.add_identities(known.identity);
    versions.add_sequences(known.record.sequence);
    versions.add_changes(static_cast<std::uint32_t>(known.record.sequence - known.base_sequence));
    versions.add_versions(known.record.version);
    return version_bytes;
}

std::size_t add_claim(const member& known, wire::changes& message)
{
    auto& claims = *message.mutable_claims();
    claims.add_identities(known.identity);
    claims.add_sequences(known.record.sequence);
    claims.add_statuses(static_cast<std::uint32_t>(known.status));
    return claim_bytes;
}

std::size_t add_queued(membership_state& state, std::size_t data_centre_index, std::size_t budget,
                       timestamp now, wire::changes& message)
{
    const auto limit = retransmissions(state);
    auto used =
        fill_from_queue(state, state.changes, limit, data_centre_index, budget, now,
                        [&](auto key, auto room) { return try_add_member(state, key, room, message); });
    used += fill_from_queue(
        state, state.advisory_changes, limit, data_centre_index, budget - std::min(used, budget), now,
        [&](auto key, auto room) { return try_add_advisory(state, key, room, now, message); });
    return used;
}

void add_queued_versions(membership_state& state, std::size_t data_centre_index, std::size_t budget,
                         timestamp now, wire::changes& message)
{
    fill_from_queue(state, state.versions, state.settings.version_retransmissions, data_centre_index, budget,
                    now, [&](auto key, auto room) { return try_add_version(state, key, room, message); });
}

bool apply_changes(membership_state& state, const wire::changes& message, timestamp now)
{
    for (const auto& item : message.records()) {
        auto decoded = from_wire(item);
        if (!decoded) {
            ++state.counters.invalid;
            continue;
        }
        accept_record(state, std::move(*decoded), now);
    }
    apply_versions(state, message.versions(), now);
    const bool own_status_claimed = apply_claims(state, message.claims(), now);
    for (const auto& item : message.advisories()) {
        const auto expires_at = now + milliseconds{item.remaining_ms()};
        add_advisory(state, {item.key(), item.value(), expires_at}, now);
    }
    return own_status_claimed;
}

std::size_t retransmissions(const membership_state& state) noexcept
{
    const auto members = static_cast<double>(state.peers.local.size() + 2);
    return state.settings.retransmit_factor * static_cast<std::size_t>(std::ceil(std::log10(members)));
}

} // namespace kumquatdrift::internal

namespace kumquatdrift {

bool add_advisory(membership_state& state, const advisory_entry& entry, timestamp now)
{
    const bool valid = !entry.key.empty() && entry.key.size() <= internal::max_advisory_key &&
                       entry.value.size() <= internal::max_advisory_value && entry.expires_at > now &&
                       entry.expires_at - now <= state.settings.max_advisory_time;
    if (!valid) {
        ++state.counters.invalid;
        return false;
    }
    const auto key = digest(entry.key);
    const auto found = state.advisories.find(key);
    // Messages carry the remaining lifetime, which the delay of each hop extends. Only an extension beyond
    // these delays is propagated.
    const bool known = found != state.advisories.end() &&
                       entry.expires_at <= found->second.expires_at + internal::min_advisory_extension;
    const bool full =
        found == state.advisories.end() && state.advisories.size() >= state.settings.max_advisories;
    if (known || full) {
        return false;
    }
    state.advisories.insert_or_assign(key, entry);
    const auto remote_data_centres = state.peers.is_relay ? ~std::uint64_t{1} : std::uint64_t{0};
    internal::enqueue(state.advisory_changes, key, remote_data_centres, now);
    return true;
}

} // namespace kumquatdrift
