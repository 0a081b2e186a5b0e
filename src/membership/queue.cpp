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
constexpr std::size_t version_bytes = 18;     // identity, sequence, difference and version
constexpr std::size_t max_advisory_key = 64;  // a hexadecimal fingerprint with a prefix
constexpr std::size_t max_advisory_value = 256;
constexpr milliseconds advisory_extension{5'000};

bool is_spent(const queued_change& entry, std::size_t limit, std::chrono::microseconds age,
              milliseconds longest)
{
    return (entry.sends >= limit && entry.remote_sites == 0) || age > longest;
}

// Offers the queued keys to `add` until the bytes are used up. Keys sent inside the data centre move to
// the end, so that all changes are sent equally often.
template<typename Add>
std::size_t drain_queue(membership_state& state, gossip_queue& queue, std::size_t limit, std::size_t site,
                        std::size_t budget, timestamp now, Add add)
{
    const auto bit = std::uint64_t{1} << site;
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
        if (is_spent(entry, limit, now - entry.queued, state.settings.queue_limit)) {
            queue.entries.erase(found);
            queue.order.pop_front();
            continue;
        }
        const bool wanted = site == own_site ? entry.sends < limit : (entry.remote_sites & bit) != 0;
        if (!wanted) {
            kept.push_back(key);
            queue.order.pop_front();
            continue;
        }
        const auto bytes = add(key, budget - used);
        if (!bytes) {
            break;
        }
        used += *bytes;
        entry.sends += site == own_site ? 1 : 0;
        entry.remote_sites &= site == own_site ? entry.remote_sites : ~bit;
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

std::optional<std::size_t> offer_member(membership_state& state, std::uint64_t key, std::size_t room,
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

std::optional<std::size_t> offer_version(membership_state& state, std::uint64_t key, std::size_t room,
                                         wire::changes& message)
{
    const auto* known = find_key(state, key);
    if (known == nullptr || is_gone(*known)) {
        return 0;
    }
    if (version_bytes > room) {
        return std::nullopt;
    }
    return add_version(*known, message);
}

std::optional<std::size_t> offer_advisory(const membership_state& state, std::uint64_t key, std::size_t room,
                                          timestamp now, wire::changes& message)
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
    bool own{};
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
        own = own || (accepted && claim.identity == self);
    }
    return own;
}

} // namespace

void enqueue(gossip_queue& queue, std::uint64_t key, std::uint64_t remote_sites, timestamp now)
{
    const auto [position, added] = queue.entries.insert_or_assign(key, queued_change{0, remote_sites, now});
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

std::size_t add_queued(membership_state& state, std::size_t site, std::size_t budget, timestamp now,
                       wire::changes& message)
{
    const auto limit = retransmissions(state);
    auto used = drain_queue(state, state.changes, limit, site, budget, now,
                            [&](auto key, auto room) { return offer_member(state, key, room, message); });
    used += drain_queue(state, state.advisory_changes, limit, site, budget - std::min(used, budget), now,
                        [&](auto key, auto room) { return offer_advisory(state, key, room, now, message); });
    return used;
}

void add_queued_versions(membership_state& state, std::size_t site, std::size_t budget, timestamp now,
                         wire::changes& message)
{
    drain_queue(state, state.versions, state.settings.version_retransmissions, site, budget, now,
                [&](auto key, auto room) { return offer_version(state, key, room, message); });
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
    const bool own = apply_claims(state, message.claims(), now);
    for (const auto& item : message.advisories()) {
        const auto expires_at = now + milliseconds{item.remaining_ms()};
        add_advisory(state, {item.key(), item.value(), expires_at}, now);
    }
    return own;
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
    // Lifetimes travel as remaining time and grow by the delay of each hop; only a real extension counts.
    const bool known = found != state.advisories.end() &&
                       entry.expires_at <= found->second.expires_at + internal::advisory_extension;
    const bool full =
        found == state.advisories.end() && state.advisories.size() >= state.settings.max_advisories;
    if (known || full) {
        return false;
    }
    state.advisories.insert_or_assign(key, entry);
    const auto sites = state.peers.relay ? ~std::uint64_t{1} : std::uint64_t{0};
    internal::enqueue(state.advisory_changes, key, sites, now);
    return true;
}

} // namespace kumquatdrift
