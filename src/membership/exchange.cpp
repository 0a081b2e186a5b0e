#include <membership/exchange.hpp>

#include <algorithm>
#include <numeric>
#include <random>
#include <unordered_map>
#include <utility>

#include <membership/peers.hpp>
#include <membership/queue.hpp>
#include <membership/table.hpp>

namespace kumquatdrift::internal {
namespace {

constexpr std::size_t summary_bytes = 12;      // identity and sequence
constexpr std::size_t min_summary_bytes = 600; // smallest charge per bucket; fits one of a 2,400-member table
constexpr milliseconds retry_delay{1'000};
constexpr milliseconds truncated_delay{3'000};

void count(traffic_count& counter, std::size_t bytes) noexcept
{
    ++counter.messages;
    counter.bytes += bytes;
}

// Records a sent message and takes its bytes from the budget, or all that is left if it exceeds the budget.
template<typename Message>
void charge(membership_state& state, const Message& message, timestamp now)
{
    const auto bytes = message.ByteSizeLong();
    count(state.counters.exchanges_sent, bytes);
    const auto available = state.exchange_budget.available(now);
    static_cast<void>(state.exchange_budget.try_take(std::min(available, static_cast<double>(bytes)), now));
}

std::size_t available_bytes(membership_state& state, timestamp now)
{
    return static_cast<std::size_t>(state.exchange_budget.available(now));
}

// Records a received message and checks its size and format.
template<typename Message>
std::optional<failure> check_message(membership_state& state, const Message& message)
{
    const auto bytes = message.ByteSizeLong();
    count(state.counters.exchanges_received, bytes);
    if (bytes > max_exchange_bytes) {
        ++state.counters.oversized;
        return failure{"the message is too large"};
    }
    if (message.format() != wire_format) {
        ++state.counters.wrong_format;
        return failure{"the message has an unknown format version"};
    }
    return std::nullopt;
}

failure reject_invalid(membership_state& state)
{
    ++state.counters.invalid;
    return failure{"the message has repeated fields of different lengths"};
}

using bucket_members = std::array<std::vector<const member*>, digest_buckets>;

bucket_members members_by_bucket(const membership_state& state, timestamp now)
{
    bucket_members buckets;
    for (const auto& [key, known] : state.members) {
        if (in_digest(state, known, now)) {
            buckets[known.identity % digest_buckets].push_back(&known);
        }
    }
    return buckets;
}

// Returns the buckets whose digests differ, in random order; none if the peer sent no digests.
std::vector<std::uint32_t> differing_buckets(const google::protobuf::RepeatedField<std::uint64_t>& theirs,
                                             const std::array<std::uint64_t, digest_buckets>& ours,
                                             random_engine& rng)
{
    std::vector<std::uint32_t> buckets;
    for (std::size_t index = 0; index < digest_buckets && !theirs.empty(); ++index) {
        if (theirs.Get(static_cast<int>(index)) != ours[index]) {
            buckets.push_back(static_cast<std::uint32_t>(index));
        }
    }
    std::shuffle(buckets.begin(), buckets.end(), rng);
    return buckets;
}

void append_bucket(const std::vector<const member*>& members, std::uint32_t bucket, wire::sync_reply& reply)
{
    reply.add_buckets(bucket);
    for (const auto* known : members) {
        const std::uint64_t dead = known->status == member_status::dead ? 1 : 0;
        reply.add_identities(known->identity);
        reply.add_sequences((known->record.sequence << 1U) | dead);
    }
}

// Adds the changes of a member since the sequence that the peer knows; 0 means that the peer does not know
// the member. Returns false if there is no room for the largest change.
bool add_difference(const member& known, std::uint64_t peer_sequence, std::size_t& room,
                    wire::changes& changes)
{
    constexpr std::size_t max_change_bytes = max_record_bytes + 2 * summary_bytes;
    if (room < max_change_bytes) {
        return false;
    }
    std::size_t used{};
    const bool dead = known.status == member_status::dead;
    if (peer_sequence == 0 || known.base_sequence > peer_sequence) {
        used = add_member(known, changes);
    }
    else {
        used = known.record.sequence > peer_sequence ? add_version(known, changes) : 0;
        used += dead ? add_claim(known, changes) : 0;
    }
    room -= std::min(room, used);
    return true;
}

struct peer_member {
    std::uint64_t sequence{};
    bool dead{};
};

using peer_table = std::unordered_map<std::uint64_t, peer_member>;

// Requests the changes that the peer has and this node lacks. If the peer's digests still cover a member that
// this node's digests no longer cover, the request carries this node's record of that member.
void add_missing_members(membership_state& state, const peer_table& theirs, wire::fetch_request& request,
                         timestamp now)
{
    for (const auto& [identity, item] : theirs) {
        const auto* known = find_identity(state, identity);
        if (known == nullptr) {
            request.add_wanted(identity);
            request.add_known(0);
            continue;
        }
        // The peer still covers the member in its digests, although it has been dead or left for long here.
        if (!in_digest(state, *known, now) && item.sequence <= known->record.sequence) {
            add_member(*known, *request.mutable_changes());
            continue;
        }
        if (item.sequence > known->record.sequence && identity != own_member(state).identity) {
            request.add_wanted(identity);
            request.add_known(known->record.sequence);
        }
        else if (item.dead && item.sequence == known->record.sequence) {
            accept_claim(state, {identity, item.sequence, member_status::dead}, now);
        }
    }
}

// Adds the changes that this node has and the peer lacks. Returns false if they do not fit.
bool add_changes_for_peer(const bucket_members& buckets, const wire::sync_reply& reply,
                          const peer_table& theirs, std::size_t room, wire::changes& changes)
{
    for (const auto bucket : reply.buckets()) {
        for (const auto* known : buckets[bucket]) {
            const auto found = theirs.find(known->identity);
            const bool dead = known->status == member_status::dead;
            const auto sequence = found == theirs.end() ? 0 : found->second.sequence;
            const bool newer = known->record.sequence > sequence ||
                               (known->record.sequence == sequence && dead && !found->second.dead);
            if (newer && !add_difference(*known, sequence, room, changes)) {
                return false;
            }
        }
    }
    return true;
}

} // namespace

std::optional<member_record> next_exchange_peer(membership_state& state, timestamp now, random_engine& rng)
{
    if (now < state.next_exchange) {
        return std::nullopt;
    }
    refresh_peers(state);
    const auto period = state.settings.exchange_period;
    state.next_exchange = now + period / 2 + full_jitter(rng, period);
    const auto round = state.exchanges_started;
    const auto& peers = state.peers;
    const bool remote =
        state.data_centres.size() > 1 && (peers.local.empty() || (peers.is_relay && round % 2 == 1));
    if (remote) {
        const auto data_centre_index =
            std::uniform_int_distribution<std::size_t>{1, state.data_centres.size() - 1}(rng);
        if (const auto* known = pick_remote_member(state, data_centre_index, rng)) {
            return known->record;
        }
    }
    for (const auto key : sample(peers.local, 1, rng)) {
        return state.members.at(key).record;
    }
    ++state.synchronisations;
    return std::nullopt;
}

wire::sync_request begin_exchange(membership_state& state, timestamp now)
{
    const auto digests = digest_of(state, now);
    wire::sync_request request;
    request.set_format(wire_format);
    request.mutable_record_digests()->Add(digests.records.begin(), digests.records.end());
    if (state.exchanges_started % state.settings.version_exchange_interval == 0) {
        request.mutable_version_digests()->Add(digests.versions.begin(), digests.versions.end());
    }
    ++state.exchanges_started;
    request.set_max_bytes(static_cast<std::uint32_t>(max_exchange_bytes / 2));
    charge(state, request, now);
    return request;
}

result<wire::sync_reply> handle_sync(membership_state& state, const wire::sync_request& request,
                                     timestamp now, random_engine& rng)
{
    if (auto problem = check_message(state, request)) {
        return *problem;
    }
    constexpr auto expected_buckets = static_cast<int>(digest_buckets);
    const bool with_versions = request.version_digests_size() == expected_buckets;
    if (request.record_digests_size() != expected_buckets ||
        (!with_versions && request.version_digests_size() != 0)) {
        return reject_invalid(state);
    }
    const auto ours = digest_of(state, now);
    const auto members = members_by_bucket(state, now);
    auto order = differing_buckets(request.record_digests(), ours.records, rng);
    const auto differing_records = order.size();
    for (const auto bucket : differing_buckets(request.version_digests(), ours.versions, rng)) {
        if (std::find(order.begin(), order.end(), bucket) == order.end()) {
            order.push_back(bucket);
        }
    }
    auto room = std::min(available_bytes(state, now), static_cast<std::size_t>(request.max_bytes()));
    wire::sync_reply reply;
    reply.set_format(wire_format);
    for (std::size_t index = 0; index < order.size(); ++index) {
        const auto& bucket = members[order[index]];
        const auto needed = std::max(bucket.size() * summary_bytes, min_summary_bytes);
        if (needed > room) {
            reply.set_truncated(index < differing_records);
            ++state.counters.over_budget;
            break;
        }
        room -= needed;
        append_bucket(bucket, order[index], reply);
    }
    charge(state, reply, now);
    return reply;
}

result<exchange_step> continue_exchange(membership_state& state, const wire::sync_reply& reply, timestamp now)
{
    if (auto problem = check_message(state, reply)) {
        return *problem;
    }
    const bool valid = reply.identities_size() == reply.sequences_size() &&
                       std::all_of(reply.buckets().begin(), reply.buckets().end(),
                                   [](std::uint32_t bucket) { return bucket < digest_buckets; });
    if (!valid) {
        return reject_invalid(state);
    }
    peer_table theirs;
    for (int index = 0; index < reply.identities_size(); ++index) {
        const auto sequence = reply.sequences(index);
        theirs[reply.identities(index)] = {sequence >> 1U, (sequence & 1U) != 0};
    }
    exchange_step step;
    step.truncated = reply.truncated();
    wire::fetch_request request;
    request.set_format(wire_format);
    add_missing_members(state, theirs, request, now);
    const auto buckets = members_by_bucket(state, now);
    const auto room = std::min(available_bytes(state, now), max_exchange_bytes / 2);
    const bool complete = add_changes_for_peer(buckets, reply, theirs, room, *request.mutable_changes());
    state.counters.over_budget += complete ? 0 : 1;
    if (request.wanted_size() == 0 && request.changes().ByteSizeLong() == 0) {
        return step;
    }
    request.set_max_bytes(static_cast<std::uint32_t>(max_exchange_bytes));
    charge(state, request, now);
    step.request = std::move(request);
    return step;
}

result<wire::fetch_reply> handle_fetch(membership_state& state, const wire::fetch_request& request,
                                       timestamp now)
{
    if (auto problem = check_message(state, request)) {
        return *problem;
    }
    if (request.wanted_size() != request.known_size()) {
        return reject_invalid(state);
    }
    apply_changes(state, request.changes(), now);
    auto room = std::min(available_bytes(state, now), static_cast<std::size_t>(request.max_bytes()));
    wire::fetch_reply reply;
    reply.set_format(wire_format);
    for (int index = 0; index < request.wanted_size(); ++index) {
        const auto* known = find_identity(state, request.wanted(index));
        if (known != nullptr &&
            !add_difference(*known, request.known(index), room, *reply.mutable_changes())) {
            reply.set_truncated(true);
            ++state.counters.over_budget;
            break;
        }
    }
    charge(state, reply, now);
    return reply;
}

void finish_exchange(membership_state& state, const std::optional<wire::fetch_reply>& reply, bool truncated,
                     timestamp now)
{
    if (reply) {
        if (check_message(state, *reply)) {
            fail_exchange(state, now);
            return;
        }
        apply_changes(state, reply->changes(), now);
    }
    if (truncated || (reply && reply->truncated())) {
        state.next_exchange = std::min(state.next_exchange, now + truncated_delay);
        return;
    }
    ++state.synchronisations;
}

void fail_exchange(membership_state& state, timestamp now)
{
    ++state.counters.exchange_failures;
    state.next_exchange = std::min(state.next_exchange, now + retry_delay);
}

} // namespace kumquatdrift::internal
