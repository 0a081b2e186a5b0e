#include <membership/messages.hpp>

#include <algorithm>
#include <utility>

#include <membership/peers.hpp>
#include <membership/queue.hpp>
#include <membership/table.hpp>

namespace kumquatdrift::internal {
namespace {

// Room for the tags and lengths of the nested messages and packed arrays.
constexpr std::size_t framing_bytes = 40;

void charge(membership_state& state, std::size_t bytes, timestamp now)
{
    const auto available = state.datagram_budget.available(now);
    static_cast<void>(state.datagram_budget.try_take(std::min(available, static_cast<double>(bytes)), now));
}

// Without a reserve, the gossip of a mass start used up the budget and delayed a drain to over a second.
std::size_t unreserved(membership_state& state, timestamp now)
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

// Receivers of one round. The node that changed also tells the relays of its data centre, and relays tell
// one member of each other data centre.
std::vector<const member*> push_receivers(const membership_state& state, const urgent_push& push,
                                          std::size_t site, random_engine& rng)
{
    auto keys = sample(state.peers.local, state.settings.push_fan_out, rng);
    if (push.key == state.self) {
        for (const auto key : state.peers.relays[own_site]) {
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
    if (!state.peers.relay || site != own_site) {
        return receivers;
    }
    for (std::size_t slot = 1; slot < state.sites.size(); ++slot) {
        const auto* remote = draw_remote(state, slot, rng);
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
    for (const auto& site : state.sites) {
        message.add_data_centres(site_digest(site.name));
        message.add_heartbeats(site.heartbeat);
    }
    return message;
}

outgoing finish_probe(membership_state& state, const gossip_address& to, std::size_t site,
                      wire::gossip message, timestamp now)
{
    const auto base = message.ByteSizeLong() + framing_bytes;
    const auto room = base < max_datagram_bytes ? max_datagram_bytes - base : 0;
    const auto available = state.datagram_budget.available(now) - static_cast<double>(base);
    const auto allowed = static_cast<std::size_t>(std::max(available, 0.0));
    state.counters.over_budget += allowed < room ? 1 : 0;
    const auto budget = std::min(room, allowed);
    const auto used = add_queued(state, site, budget, now, *message.mutable_changes());
    const auto rest = std::min(budget - std::min(used, budget), unreserved(state, now));
    add_queued_versions(state, site, rest, now, *message.mutable_changes());
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
    return finish_probe(state, address_of(known), known.site, std::move(message), now);
}

void run_pushes(membership_state& state, timestamp now, random_engine& rng, std::vector<outgoing>& out)
{
    for (auto& push : state.urgent) {
        const auto* known = find_key(state, push.key);
        if (known == nullptr) {
            push.rounds = 0;
        }
        if (push.rounds == 0 || push.next > now) {
            continue;
        }
        auto message = make_message(state, datagram_kind::push, 0);
        add_member(*known, *message.mutable_changes());
        const auto bytes = encode(message);
        const auto cost = bytes.size() + datagram_header_bytes;
        const auto receivers = push_receivers(state, push, known->site, rng);
        const auto total = static_cast<double>(cost * receivers.size());
        if (!state.datagram_budget.try_take(total, now)) {
            ++state.counters.over_budget;
            break;
        }
        for (const auto* receiver : receivers) {
            count(state.counters.pushes_sent, cost);
            out.push_back({address_of(*receiver), bytes});
        }
        --push.rounds;
        push.next = now + state.settings.push_interval;
    }
    const auto done = [](const urgent_push& push) { return push.rounds == 0; };
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
        const auto room =
            std::min(max_datagram_bytes - message.ByteSizeLong() - framing_bytes, unreserved(state, now));
        if (receiver == nullptr || add_queued(state, own_site, room, now, *message.mutable_changes()) == 0) {
            return;
        }
        auto bytes = encode(message);
        charge(state, bytes.size() + datagram_header_bytes, now);
        count(state.counters.gossip_sent, bytes.size() + datagram_header_bytes);
        out.push_back({address_of(*receiver), std::move(bytes)});
    }
}

void note_time(membership_state& state, timestamp now)
{
    const auto last = state.last_seen.value_or(now);
    state.last_seen = now;
    if (now - last < state.settings.pause_limit) {
        return;
    }
    ++state.counters.pauses;
    const auto gap = now - last;
    state.detector.current.reset();
    for (const auto key : state.detector.suspects) {
        if (auto* known = find_key(state, key)) {
            known->since += gap;
        }
    }
    for (auto& site : state.sites) {
        site.heard += gap;
    }
}

} // namespace kumquatdrift::internal
