#include <kumquatdrift/membership/state.hpp>

#include <algorithm>
#include <utility>

#include <membership/messages.hpp>
#include <membership/peers.hpp>
#include <membership/queue.hpp>
#include <membership/table.hpp>

namespace kumquatdrift {
namespace internal {
namespace {

constexpr milliseconds first_exchange_delay{1'000};
constexpr std::size_t max_requested_probes = 64;
constexpr int max_heartbeats = static_cast<int>(max_data_centres);

// Accepts the heartbeat of any data centre from members of this data centre. From members of another data
// centre, accepts only two: the heartbeat of their own data centre, but of no third one, because a partition
// between two data centres must be detected even if a third one reaches both; and the heartbeat of this data
// centre, so that it resumes its counter after all of its nodes have restarted.
void apply_heartbeats(membership_state& state, const wire::gossip& message, std::size_t sender_index,
                      timestamp now)
{
    if (message.heartbeats_size() != message.data_centres_size() ||
        message.heartbeats_size() > max_heartbeats) {
        ++state.counters.invalid;
        return;
    }
    for (int index = 0; index < message.heartbeats_size(); ++index) {
        for (std::size_t data_centre_index = 0; data_centre_index < state.data_centres.size();
             ++data_centre_index) {
            auto& data_centre = state.data_centres[data_centre_index];
            const auto heartbeat = message.heartbeats(index);
            const bool accepted = data_centre_digest(data_centre.name) == message.data_centres(index) &&
                                  heartbeat > data_centre.heartbeat && heartbeat <= max_sequence &&
                                  (sender_index == own_data_centre || data_centre_index == own_data_centre ||
                                   data_centre_index == sender_index);
            if (!accepted) {
                continue;
            }
            data_centre.heartbeat = heartbeat;
            data_centre.last_heartbeat = now;
            if (data_centre.silent) {
                data_centre.silent = false;
                advance_generation(state, true);
            }
        }
    }
}

// Makes the response to a datagram. An unknown sender is asked for its record. A known one receives the
// record of itself if an earlier process held a higher version, or else the claim if it is suspect or dead.
outgoing make_response(membership_state& state, datagram_kind kind, std::uint64_t number,
                       const gossip_address& to, const member* sender, bool include_own_record, timestamp now)
{
    auto message = make_message(state, kind, number);
    message.set_want_record(sender == nullptr);
    if (include_own_record) {
        add_member(own_member(state), *message.mutable_changes());
    }
    if (sender != nullptr && has_version_floor(*sender)) {
        add_member(*sender, *message.mutable_changes());
    }
    else if (sender != nullptr && sender->status != member_status::alive) {
        add_claim(*sender, *message.mutable_changes());
    }
    const auto data_centre_index = sender == nullptr ? own_data_centre : sender->data_centre_index;
    return finish_probe(state, to, data_centre_index, std::move(message), now);
}

void on_ping_request(membership_state& state, const incoming_datagram& received, const wire::gossip& message,
                     timestamp now, std::vector<outgoing>& out)
{
    const auto* subject = find_identity(state, message.subject());
    if (subject == nullptr || state.detector.requested.size() >= max_requested_probes) {
        return;
    }
    const auto number = ++state.detector.last_number;
    state.detector.requested.push_back({number, message.number(), received.from, now});
    out.push_back(make_ping(state, *subject, number, now));
}

void on_ack(membership_state& state, const incoming_datagram& received, const wire::gossip& message,
            const member* sender, bool own_status_claimed, timestamp now, std::vector<outgoing>& out)
{
    if (message.want_record() || own_status_claimed) {
        out.push_back(make_response(state, datagram_kind::push, 0, received.from, sender, true, now));
    }
    auto& detector = state.detector;
    if (message.number() == 0) {
        return;
    }
    if (detector.current && detector.current->number == message.number()) {
        detector.current.reset();
        return;
    }
    const auto requested =
        std::find_if(detector.requested.begin(), detector.requested.end(),
                     [&](const requested_probe& probe) { return probe.number == message.number(); });
    if (requested == detector.requested.end()) {
        return;
    }
    auto forward = make_message(state, datagram_kind::ack, requested->requester_number);
    out.push_back(finish_probe(state, requested->requester, own_data_centre, std::move(forward), now));
    detector.requested.erase(requested);
}

std::optional<wire::gossip> decode(membership_state& state, std::string_view bytes)
{
    if (bytes.size() > max_datagram_bytes) {
        ++state.counters.oversized;
        return std::nullopt;
    }
    wire::gossip message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        ++state.counters.undecodable;
        return std::nullopt;
    }
    if (message.format() != wire_format) {
        ++state.counters.wrong_format;
        return std::nullopt;
    }
    const bool valid = message.kind() >= static_cast<std::uint32_t>(datagram_kind::ping) &&
                       message.kind() <= static_cast<std::uint32_t>(datagram_kind::push) &&
                       message.sender() != own_member(state).identity;
    if (!valid) {
        ++state.counters.invalid;
        return std::nullopt;
    }
    return message;
}

} // namespace
} // namespace internal

std::vector<outgoing> on_datagram(membership_state& state, const incoming_datagram& message, timestamp now,
                                  random_engine& rng)
{
    using internal::datagram_kind;
    internal::extend_timers_after_pause(state, now);
    ++state.counters.datagrams_received.messages;
    state.counters.datagrams_received.bytes += message.bytes.size() + datagram_header_bytes;
    const auto decoded = internal::decode(state, message.bytes);
    std::vector<outgoing> out;
    if (!decoded) {
        return out;
    }
    const bool was_isolated = state.members.size() == 1;
    const bool own_status_claimed = internal::apply_changes(state, decoded->changes(), now);
    if (was_isolated && state.members.size() > 1) {
        // Nodes that start at the same time know only their seed at first. The random delay lets them
        // discover other members, so that the seed does not have to serve the first digest exchange of all of
        // them.
        state.next_exchange = now + full_jitter(rng, internal::first_exchange_delay);
    }
    const auto* sender = internal::find_identity(state, decoded->sender());
    if (sender != nullptr) {
        internal::apply_heartbeats(state, *decoded, sender->data_centre_index, now);
    }
    internal::refresh_peers(state);
    switch (static_cast<datagram_kind>(decoded->kind())) {
    case datagram_kind::ping: {
        const bool include_own_record = sender == nullptr || decoded->want_record() || own_status_claimed;
        out.push_back(internal::make_response(state, datagram_kind::ack, decoded->number(), message.from,
                                              sender, include_own_record, now));
        break;
    }
    case datagram_kind::ack:
        internal::on_ack(state, message, *decoded, sender, own_status_claimed, now, out);
        break;
    case datagram_kind::ping_request:
        internal::on_ping_request(state, message, *decoded, now, out);
        break;
    case datagram_kind::push:
        break;
    }
    internal::run_pushes(state, now, rng, out);
    return out;
}

} // namespace kumquatdrift
