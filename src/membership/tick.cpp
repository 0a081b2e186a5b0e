#include <kumquatdrift/membership/state.hpp>

#include <algorithm>
#include <random>
#include <utility>

#include <membership/messages.hpp>
#include <membership/peers.hpp>
#include <membership/queue.hpp>
#include <membership/table.hpp>

namespace kumquatdrift {
namespace internal {
namespace {

constexpr milliseconds sweep_period{1'000};
constexpr milliseconds relayed_probe_time{2'000};
constexpr double early_suspect_pings = 3.0;
constexpr double late_suspect_pings = 2.0;

void suspect_unanswered(membership_state& state, timestamp now, std::vector<outgoing>& out)
{
    const auto current = std::exchange(state.detector.current, std::nullopt);
    auto* known = current ? find_identity(state, current->identity) : nullptr;
    if (known == nullptr || known->status != member_status::alive || is_gone(*known)) {
        return;
    }
    ++state.counters.suspicions;
    set_status(state, *known, member_status::suspect, now);
    out.push_back(make_ping(state, *known, 0, now));
}

const member* next_target(membership_state& state, random_engine& rng)
{
    auto& order = state.detector.order;
    if (order.empty()) {
        order = state.peers.local;
        std::shuffle(order.begin(), order.end(), rng);
    }
    while (!order.empty()) {
        const auto* known = find_key(state, order.back());
        order.pop_back();
        if (known != nullptr && !is_gone(*known)) {
            return known;
        }
    }
    return nullptr;
}

void probe_remote(membership_state& state, timestamp now, random_engine& rng, std::vector<outgoing>& out)
{
    if (!state.peers.relay) {
        return;
    }
    ++state.sites[own_site].heartbeat;
    if (state.sites.size() < 2) {
        return;
    }
    auto& last = state.detector.last_site;
    last = last + 1 < state.sites.size() ? last + 1 : 1;
    if (const auto* remote = draw_remote(state, last, rng)) {
        out.push_back(make_ping(state, *remote, 0, now));
    }
}

void probe_next(membership_state& state, timestamp now, random_engine& rng, std::vector<outgoing>& out)
{
    auto& detector = state.detector;
    if (detector.next_probe == timestamp{}) {
        detector.next_probe = now + full_jitter(rng, state.settings.probe_period);
    }
    if (now < detector.next_probe) {
        return;
    }
    detector.next_probe = now + state.settings.probe_period;
    suspect_unanswered(state, now, out);
    refresh_peers(state);
    probe_remote(state, now, rng, out);
    const auto* target = next_target(state, rng);
    if (target == nullptr) {
        return;
    }
    const auto number = ++detector.last_number;
    detector.current = probe{number, key_of(target->record.node), target->identity, now, false};
    out.push_back(make_ping(state, *target, number, now));
}

void probe_indirectly(membership_state& state, timestamp now, random_engine& rng, std::vector<outgoing>& out)
{
    auto& current = state.detector.current;
    if (!current || current->indirect || now - current->begun < state.settings.ack_timeout) {
        return;
    }
    current->indirect = true;
    for (const auto key : sample(state.peers.local, state.settings.indirect_probes + 1, rng)) {
        const auto* helper = find_key(state, key);
        if (helper == nullptr || key == current->key) {
            continue;
        }
        auto message = make_message(state, datagram_kind::ping_request, current->number);
        message.set_subject(current->identity);
        out.push_back(finish_probe(state, address_of(*helper), own_site, std::move(message), now));
    }
}

// A suspect must hear of the claim well before its time runs out, and gossip alone takes about as long as
// the timeout. In the first half random members send it a few pings in each probe period. In the second half
// every member that has not heard of a refutation asks on its own: with 20 % loss and gossip only, one node
// in 30 declared a live member dead about once in 20 runs of two minutes.
bool draw_suspect_ping(const membership_state& state, const member& suspect, timestamp now,
                       random_engine& rng)
{
    const auto& settings = state.settings;
    const auto half = settings.suspicion_timeout / 2;
    const bool late = now - suspect.since >= half;
    const auto period = late ? half : settings.probe_period;
    const auto ticks = std::max(1.0, static_cast<double>(period / settings.tick_period));
    const auto members = static_cast<double>(state.peers.local.size() + 1);
    const auto pings = late ? late_suspect_pings : early_suspect_pings / members;
    return std::bernoulli_distribution{std::min(1.0, pings / ticks)}(rng);
}

void expire_suspicions(membership_state& state, timestamp now, random_engine& rng, std::vector<outgoing>& out)
{
    auto suspects = std::exchange(state.detector.suspects, {});
    for (const auto key : suspects) {
        auto* known = find_key(state, key);
        if (known == nullptr || known->status != member_status::suspect) {
            continue;
        }
        if (now - known->since < state.settings.suspicion_timeout) {
            state.detector.suspects.push_back(key);
            if (draw_suspect_ping(state, *known, now, rng)) {
                out.push_back(make_ping(state, *known, 0, now));
            }
            continue;
        }
        set_status(state, *known, member_status::dead, now);
    }
}

void probe_dead(membership_state& state, timestamp now, random_engine& rng, std::vector<outgoing>& out)
{
    if (now < state.detector.next_dead_probe) {
        return;
    }
    const auto period = state.settings.dead_probe_period;
    state.detector.next_dead_probe = now + period / 2 + full_jitter(rng, period);
    for (const auto key : sample(state.peers.dead, 1, rng)) {
        if (const auto* known = find_key(state, key)) {
            out.push_back(make_ping(state, *known, 0, now));
        }
    }
}

// Contacts that are not the address of a live member. The own address counts as live.
std::vector<gossip_address> unknown_contacts(const membership_state& state)
{
    auto unknown = state.contacts;
    for (const auto& [key, known] : state.members) {
        if (!is_gone(known)) {
            unknown.erase(std::remove(unknown.begin(), unknown.end(), address_of(known)), unknown.end());
        }
    }
    return unknown;
}

void contact(membership_state& state, timestamp now, random_engine& rng, std::vector<outgoing>& out)
{
    if (now < state.next_contact || state.contacts.empty()) {
        return;
    }
    const bool alone = state.peers.local.empty();
    const auto period = alone ? state.settings.contact_period : state.settings.idle_contact_period;
    state.next_contact = now + period / 2 + full_jitter(rng, period);
    const auto unknown = unknown_contacts(state);
    if (unknown.empty()) {
        return;
    }
    const auto index = std::uniform_int_distribution<std::size_t>{0, unknown.size() - 1}(rng);
    const auto& address = unknown[index];
    auto message = make_message(state, datagram_kind::ping, 0);
    message.set_want_record(true);
    add_member(own_member(state), *message.mutable_changes());
    out.push_back(finish_probe(state, address, own_site, std::move(message), now));
}

void note_silence(membership_state& state, timestamp now)
{
    for (std::size_t slot = 1; slot < state.sites.size(); ++slot) {
        auto& site = state.sites[slot];
        if (!site.silent && now - site.heard >= state.settings.silence_limit) {
            site.silent = true;
            note_change(state, true);
        }
    }
}

void sweep_tables(membership_state& state, timestamp now)
{
    if (now < state.detector.next_sweep) {
        return;
    }
    state.detector.next_sweep = now + sweep_period;
    remove_expired(state, now);
    auto& relayed = state.detector.relayed;
    while (!relayed.empty() && now - relayed.front().begun > relayed_probe_time) {
        relayed.pop_front();
    }
}

} // namespace
} // namespace internal

std::vector<outgoing> on_tick(membership_state& state, timestamp now, random_engine& rng)
{
    std::vector<outgoing> out;
    internal::note_time(state, now);
    internal::sweep_tables(state, now);
    internal::expire_suspicions(state, now, rng, out);
    internal::note_silence(state, now);
    internal::refresh_peers(state);
    internal::run_pushes(state, now, rng, out);
    internal::probe_next(state, now, rng, out);
    internal::probe_indirectly(state, now, rng, out);
    internal::run_gossip(state, now, rng, out);
    internal::probe_dead(state, now, rng, out);
    internal::contact(state, now, rng, out);
    return out;
}

} // namespace kumquatdrift
