#include <kumquatdrift/membership/state.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

#include <kumquatdrift/core/digest.hpp>
#include <kumquatdrift/membership/announcements.hpp>

#include <membership/table.hpp>

namespace kumquatdrift {
namespace {

constexpr std::size_t max_contacts = 32;

// Applies the checks of received records to this node's own record, because all other nodes would reject an
// invalid one.
result<bool> check_publishable(const internal::member& own)
{
    if (own.record.targets.size() > max_targets) {
        return failure{"too many targets on this host; at most 16 can be published"};
    }
    if (!internal::from_wire(internal::to_wire(own))) {
        return failure{
            "the member record has a name that is not 1 to 64 printable characters, a target with 0 "
            "or too many slots, or exceeds 1000 bytes; use shorter names or fewer targets"};
    }
    return true;
}

bool has_valid_periods(const membership_settings& settings) noexcept
{
    return settings.tick_period > milliseconds{0} && settings.ack_timeout > milliseconds{0} &&
           settings.probe_period > settings.ack_timeout && settings.exchange_period > milliseconds{0} &&
           settings.datagram_bytes_per_second > 0 && settings.exchange_bytes_per_second > 0;
}

std::uint64_t seeded_digest(std::uint64_t value, std::uint64_t seed) noexcept
{
    return digest({reinterpret_cast<const char*>(&value), sizeof value}, seed);
}

} // namespace

result<membership_state> make_membership_state(membership_settings settings, member_record self,
                                               timestamp now)
{
    if (!has_valid_periods(settings)) {
        return failure{"membership periods and byte rates must be positive, and the probe period must exceed "
                       "the ack timeout"};
    }
    membership_state state;
    state.settings = std::move(settings);
    state.datagram_budget =
        token_bucket{state.settings.datagram_bytes_per_second, state.settings.datagram_burst_bytes};
    state.exchange_budget =
        token_bucket{state.settings.exchange_bytes_per_second, state.settings.exchange_burst_bytes};
    state.self = internal::key_of(self.node);
    internal::member own;
    own.record = std::move(self);
    own.record.sequence = 1;
    own.base_sequence = 1;
    own.identity = internal::identity_of(own.record.node, own.record.start_time);
    own.changed_at = now;
    if (const auto checked = check_publishable(own); !checked) {
        return failure{checked.last_reason()};
    }
    own.data_centre_index = internal::find_or_add_data_centre(state, own.record.data_centre, now);
    state.keys[own.identity] = state.self;
    state.members.emplace(state.self, std::move(own));
    add_contacts(state, state.settings.seeds);
    return state;
}

result<bool> update_self(membership_state& state, const member_record& content, timestamp now)
{
    auto& own = internal::own_member(state);
    auto next = own;
    next.record = content;
    next.record.node = own.record.node;
    next.record.data_centre = own.record.data_centre;
    next.record.start_time = own.record.start_time;
    next.record.sequence = own.record.sequence;
    if (next.record == own.record) {
        return false;
    }
    next.record.sequence = own.record.sequence + 1;
    auto same_version = next.record;
    same_version.version = own.record.version;
    same_version.sequence = own.record.sequence;
    const bool version_only = same_version == own.record;
    next.base_sequence = version_only ? own.base_sequence : next.record.sequence;
    if (auto checked = check_publishable(next); !checked) {
        return checked;
    }
    const bool urgent = internal::is_urgent(own.record, next.record);
    state.peers.stale = state.peers.stale || next.record.state != own.record.state;
    own = std::move(next);
    internal::advance_generation(state, !version_only);
    if (version_only) {
        internal::queue_version(state, own, now);
        return true;
    }
    internal::queue_change(state, own, now);
    if (urgent) {
        internal::queue_push(state, own, now);
    }
    return true;
}

table_digest digest_of(const membership_state& state, timestamp now)
{
    table_digest digests;
    for (const auto& [key, known] : state.members) {
        if (!internal::in_digest(state, known, now)) {
            continue;
        }
        const auto bucket = known.identity % digest_buckets;
        const std::uint64_t dead = known.status == member_status::dead ? 1 : 0;
        // Sums do not depend on the order of the members.
        digests.records[bucket] += seeded_digest((known.base_sequence << 1U) | dead, known.identity);
        digests.versions[bucket] += seeded_digest(known.record.sequence, known.identity);
    }
    return digests;
}

std::size_t merge_records(membership_state& state, const std::vector<member_record>& records, timestamp now)
{
    const auto accepted = std::count_if(records.begin(), records.end(), [&](const member_record& record) {
        return internal::accept_record(state, {record, record.sequence, 0, false}, now);
    });
    return static_cast<std::size_t>(accepted);
}

member_view_ptr view_of(const membership_state& state)
{
    auto view = std::make_shared<member_view>();
    view->self = internal::own_member(state).record.node;
    view->generation = state.generation;
    view->endpoint_generation = state.endpoint_generation;
    view->synchronisations = state.synchronisations;
    for (const auto& [key, known] : state.members) {
        const bool silent = state.data_centres[known.data_centre_index].silent;
        const bool unreachable = silent && known.status != member_status::dead;
        view->members.emplace(
            known.record.node,
            member_entry{known.record, unreachable ? member_status::unreachable : known.status});
    }
    return view;
}

void add_contacts(membership_state& state, const std::vector<gossip_address>& contacts)
{
    for (const auto& contact : contacts) {
        const bool usable = !contact.ip.empty() && contact.port != 0;
        if (usable &&
            std::find(state.contacts.begin(), state.contacts.end(), contact) == state.contacts.end()) {
            state.contacts.push_back(contact);
        }
    }
    if (state.contacts.size() > max_contacts) {
        const auto surplus = state.contacts.size() - max_contacts;
        state.contacts.erase(state.contacts.begin(),
                             state.contacts.begin() + static_cast<std::ptrdiff_t>(surplus));
    }
}

} // namespace kumquatdrift
