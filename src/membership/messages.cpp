#include <membership/messages.hpp>

#include <algorithm>
#include <utility>

#include <membership/peers.hpp>
#include <membership/queue.hpp>
#include <membership/table.hpp>

namespace kumquatdrift::internal {
namespace {

// Bytes reserved for the tags and lengths of the nested messages and packed arrays.
constexpr std::size_t framing_bytes = 40;

// Takes the bytes of a sent datagram from the budget, or all that is left if the datagram exceeds it.
void charge(membership_state& state, std::size_t bytes, timestamp now)
{
    const auto available = state.datagram_budget.available(now);
    static_cast<void>(state.datagram_budget.try_take(std::min(available, static_cast<double>(bytes)), now));
}

// Returns the budget that gossip and version changes may use. Without the reserve, gossip after many nodes
// had started at the same time used up the budget, and a drain took over a second to propagate.
std::size_t unreserved_bytes(membership_state& state, timestamp now)
{
    const auto available = state.datagram_budget.available(now) - state.settings.reserved_burst_bytes;
    return static_cast<std::size_t>(std::max(available, 0.0));
}

std::string encode(const wire::gossip& message)
{
    std::string bytes;
    message.SerializeToString(&bytes);
    return bytes;
}

void count(traffic_count& counter, std::size_t bytes) noexcept
{
    ++counter.messages;
    counter.bytes += bytes;
}

// Selects the receivers of one push round. The node whose record changed also sends to the relays of its data
// centre, and relays send a change that originates in their own data centre to one member of each other one.
std::vector<const member*> push_receivers(const membership_state& state, const urgent_push& push,
                                          std::size_t origin, random_engine& rng)
{
    auto keys = sample(state.peers.local, state.settings.push_fan_out, rng);
    if (push.key == state.self) {
        for (const auto key : state.peers.relays[own_data_centre]) {
            if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
                keys.push_back(key);
            }
        }
    }
    std::vector<const member*> receivers;
    for (const auto key : keys) {
        const auto found = state.members.find(key);
        if (found != state.members.end() && key != push.key) {
            receivers.push_back(&found->second);
        }
    }
    if (!state.peers.is_relay || origin != own_data_centre) {
        return receivers;
    }
    for (std::size_t index = 1; index < state.data_centres.size(); ++index) {
        const auto* remote = pick_remote_member(state, index, rng);
        if (remote != nullptr) {
            receivers.push_back(remote);
        }
    }
    return receivers;
}

} // namespace

gossip_address address_of(const member& known)
{
    return {known.record.ip, known.record.gossip_port};
}

wire::gossip make_message(const membership_state& state, datagram_kind kind, std::uint64_t number)
{
    wire::gossip message;
    message.set_format(wire_format);
    message.set_kind(static_cast<std::uint32_t>(kind));
    message.set_number(number);
    message.set_sender(own_member(state).identity);
    if (kind == datagram_kind::push) {
        return message;
    }
    for (const auto& data_centre : state.data_centres) {
        message.add_data_centres(data_centre_digest(data_centre.name));
        message.add_heartbeats(data_centre.heartbeat);
    }
    return message;
}

outgoing finish_probe(membership_state& state, const gossip_address& to, std::size_t data_centre_index,
                      wire::gossip message, timestamp now)
{
    const auto base = message.ByteSizeLong() + framing_bytes;
    const auto room = base < max_datagram_bytes ? max_datagram_bytes - base : 0;
    const auto available = state.datagram_budget.available(now) - static_cast<double>(base);
    const auto allowed = static_cast<std::size_t>(std::max(available, 0.0));
    state.counters.over_budget += allowed < room ? 1 : 0;
    const auto budget = std::min(room, allowed);
    const auto used = add_queued(state, data_centre_index, budget, now, *message.mutable_changes());
    const auto rest = std::min(budget - std::min(used, budget), unreserved_bytes(state, now));
    add_queued_versions(state, data_centre_index, rest, now, *message.mutable_changes());
    auto bytes = encode(message);
    charge(state, bytes.size() + datagram_header_bytes, now);
    count(state.counters.probes_sent, bytes.size() + datagram_header_bytes);
    return {to, std::move(bytes)};
}

outgoing make_ping(membership_state& state, const member& known, std::uint64_t number, timestamp now)
{
    auto message = make_message(state, datagram_kind::ping, number);
    if (known.status != member_status::alive) {
        add_claim(known, *message.mutable_changes());
        add_member(own_member(state), *message.mutable_changes());
    }
    return finish_probe(state, address_of(known), known.data_centre_index, std::move(message), now);
}

void run_pushes(membership_state& state, timestamp now, random_engine& rng, std::vector<outgoing>& out)
{
    for (auto& push : state.urgent) {
        const auto* known = find_key(state, push.key);
        if (known == nullptr) {
            push.rounds_left = 0;
        }
        if (push.rounds_left == 0 || push.next_round > now) {
            continue;
        }
        auto message = make_message(state, datagram_kind::push, 0);
        add_member(*known, *message.mutable_changes());
        const auto bytes = encode(message);
        const auto cost = bytes.size() + datagram_header_bytes;
        const auto receivers = push_receivers(state, push, known->data_centre_index, rng);
        const auto total = static_cast<double>(cost * receivers.size());
        if (!state.datagram_budget.try_take(total, now)) {
            ++state.counters.over_budget;
            break;
        }
        for (const auto* receiver : receivers) {
            count(state.counters.pushes_sent, cost);
            out.push_back({address_of(*receiver), bytes});
        }
        --push.rounds_left;
        push.next_round = now + state.settings.push_interval;
    }
    const auto done = [](const urgent_push& push) { return push.rounds_left == 0; };
    state.urgent.erase(std::remove_if(state.urgent.begin(), state.urgent.end(), done), state.urgent.end());
}

void run_gossip(membership_state& state, timestamp now, random_engine& rng, std::vector<outgoing>& out)
{
    if (now < state.detector.next_gossip || state.changes.entries.empty()) {
        return;
    }
    state.detector.next_gossip = now + state.settings.gossip_period;
    for (const auto key : sample(state.peers.local, state.settings.gossip_fan_out, rng)) {
        const auto* receiver = find_key(state, key);
        auto message = make_message(state, datagram_kind::push, 0);
        const auto room = std::min(max_datagram_bytes - message.ByteSizeLong() - framing_bytes,
                                   unreserved_bytes(state, now));
        if (receiver == nullptr ||
            add_queued(state, own_data_centre, room, now, *message.mutable_changes()) == 0) {
            return;
        }
        auto bytes = encode(message);
        charge(state, bytes.size() + datagram_header_bytes, now);
        count(state.counters.gossip_sent, bytes.size() + datagram_header_bytes);
        out.push_back({address_of(*receiver), std::move(bytes)});
    }
}

void extend_timers_after_pause(membership_state& state, timestamp now)
{
    const auto last = state.last_call.value_or(now);
    state.last_call = now;
    if (now - last < state.settings.pause_threshold) {
        return;
    }
    ++state.counters.pauses;
    const auto gap = now - last;
    state.detector.current.reset();
    for (const auto key : state.detector.suspects) {
        if (auto* known = find_key(state, key)) {
            known->changed_at += gap;
        }
    }
    for (auto& data_centre : state.data_centres) {
        data_centre.last_heartbeat += gap;
    }
}

} // namespace kumquatdrift::internal
