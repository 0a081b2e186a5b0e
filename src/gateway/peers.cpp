#include "peers.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include <kumquatdrift/core/boot_clock.hpp>

#include "hop_codec.hpp"

namespace kumquatdrift {
namespace {

/*! @brief Timeout for connecting to a node; many times the latency between data centres of a region. */
constexpr microseconds connect_timeout{400'000};
/*! @brief Interval after the first failed attempt to connect, so that a quick restart is found soon. Each
 *         further failure adds as much. */
constexpr microseconds dial_interval{300'000};
/*! @brief Maximum interval between attempts to connect, for a node that has been unreachable for long. */
constexpr microseconds max_dial_interval{2'000'000};
/*! @brief Interval between attempts to connect to a node whose address now belongs to another node. */
constexpr microseconds reassigned_address_interval{10'000'000};
/*! @brief Time after which another node is asked for all known nodes if the first one hasn't replied. */
constexpr microseconds members_query_timeout{500'000};
/*! @brief Time after a reply for which no node is asked for all known nodes again; changes arrive sooner from
 *         the store. */
constexpr microseconds members_query_interval{5'000'000};
/*! @brief Time in which a connection has to say to which node it belongs. */
constexpr microseconds hello_timeout{5'000'000};
/*! @brief Interval at which advisories about requests that crash targets are sent. */
constexpr microseconds advisory_interval{200'000};
/*! @brief Maximum number of advisories that a node gets which asks for all known nodes; the latest ones. */
constexpr std::size_t max_known_advisories = 64;

/*! @brief Passes a frame about a roll-out to the handlers, if there are any. */
void pass_on(const peers::rollout_handlers& handlers, const std::string& node, const hop::Frame& frame)
{
    if (frame.has_rollout() && handlers.on_state) {
        handlers.on_state(node, frame.rollout());
    }
    if (frame.has_rollout_evidence() && handlers.on_evidence) {
        handlers.on_evidence(node, frame.rollout_evidence());
    }
}

} // namespace

peers::peers(const dependencies& common, std::function<member_record()> own,
             std::function<void(std::uint32_t, const std::string&)> newer_config)
    : shared{common}, self{std::move(own)}, listener{common.loop,
                                                     [this](const socket_stream::pointer& connection) {
                                                         this->accept(connection);
                                                     }},
      metrics{make_link_metrics(common.metrics)},
      configs{{common.log, common.rng, this->table,
               [this](const std::string& node, hop::Frame& frame) { return this->send_to(node, frame); },
               std::move(newer_config)},
              boot_now()},
      caps{{common.log, common.metrics, this->table,
            [this](const std::string& node, hop::Frame& frame) { return this->send_to(node, frame); }}}
{
    this->shared.loop.on_tick([this](timestamp now) { this->on_tick(now); });
    this->listener.on_error([this](const std::string& cause) {
        this->shared.log.write(log_level::warn, event_class::state, "peers", "accept_failed", "cause={}",
                               log_value(cause));
    });
}

result<socket_address> peers::listen(const socket_address& address)
{
    return this->listener.listen(address);
}

void peers::accept(const socket_stream::pointer& connection)
{
    auto link = std::make_shared<peer_link>(this->shared.loop, connection, this->metrics);
    link->limit_input(false);
    this->inbound_links.insert(link);
    this->unidentified_links.emplace_back(boot_now(), link);
    this->start_link(link);
    if (this->unidentified_links.size() > this->max_unidentified) {
        this->reject_oldest_unidentified("too_many_without_hello");
    }
}

void peers::reject_oldest_unidentified(const std::string& cause)
{
    const auto rejected = std::move(this->unidentified_links.front().second);
    this->unidentified_links.pop_front();
    this->shared.metrics
        .counter_of("gateway_clients_closed_total", "Connections closed for clients that don't behave",
                    {{"cause", cause}})
        .add();
    this->shared.log.write(log_level::info, event_class::failed_request, "peers", "link_rejected",
                           "cause={} unidentified={}", cause, this->unidentified_links.size());
    this->close_link(rejected, cause);
}

void peers::close_unidentified(timestamp now)
{
    while (!this->unidentified_links.empty() &&
           now - this->unidentified_links.front().first > hello_timeout) {
        this->reject_oldest_unidentified("no_hello");
    }
}

void peers::on_member(const member_record& record)
{
    if (record.node != this->self().node &&
        this->table.merge(record, member_table::origin::store, boot_now())) {
        auto& peer = this->outbound_links[record.node];
        peer.next_dial = {};
        peer.failures = 0;
    }
}

void peers::dial(const std::string& node, outbound_link& peer)
{
    const auto* known = this->table.find(node);
    if (known == nullptr) {
        return;
    }
    peer.connecting = socket_stream::connect(
        this->shared.loop, {known->record.ip, known->record.port}, connect_timeout,
        [this, node](const std::string& cause) {
            auto& dialled = this->outbound_links.at(node);
            auto connection = std::exchange(dialled.connecting, nullptr);
            if (!cause.empty()) {
                ++dialled.failures;
                const auto wait = std::min(dial_interval * dialled.failures, max_dial_interval);
                dialled.next_dial = boot_now() + wait + full_jitter(this->shared.rng, wait / 4);
                this->set_reachable(node, false, "connect: " + cause);
                return;
            }
            dialled.failures = 0;
            dialled.link =
                std::make_shared<peer_link>(this->shared.loop, std::move(connection), this->metrics);
            dialled.link->outbound = true;
            dialled.link->node = node;
            this->start_link(dialled.link);
        });
}

void peers::start_link(const peer_link::pointer& link)
{
    link->start(
        [this](const peer_link::pointer& from, hop::Frame& frame, microseconds queueing_delay) {
            this->on_frame(from, frame, queueing_delay);
        },
        [this](const peer_link::pointer& from, const std::string& cause) { this->on_closed(from, cause); });
    hop::Frame frame{};
    encode(this->self(), *frame.mutable_hello()->mutable_self());
    if (const auto* known = this->table.find(link->node);
        known != nullptr && (known->memory.left || known->memory.limit > 0.0)) {
        encode(known->memory, *frame.mutable_hello()->mutable_remembered());
    }
    if (this->rollouts.add_known) {
        this->rollouts.add_known(*frame.mutable_hello());
    }
    const auto now = boot_now();
    if (this->next_members_query <= now) {
        this->next_members_query = now + members_query_timeout;
        frame.mutable_hello()->set_asks_for_known(true);
    }
    link->send(frame);
}

void peers::on_hello(const peer_link::pointer& link, const hop::Hello& hello)
{
    this->on_member_record(link, hello.self());
    if (hello.has_remembered()) {
        const auto own = this->self();
        this->shared.host.restore(decode(hello.remembered()), own.started_ms, own.process_nonce);
    }
    if (hello.known_size() > 0) {
        this->next_members_query = boot_now() + members_query_interval;
    }
    for (const auto& message : hello.known()) {
        const auto record = decode(message);
        if (record && record->node != this->self().node &&
            this->table.merge(*record, member_table::origin::third_party, boot_now())) {
            this->outbound_links[record->node].next_dial = {};
        }
    }
    for (const auto& message : hello.rollouts()) {
        if (this->rollouts.on_state) {
            this->rollouts.on_state(link->node, message);
        }
    }
    if (hello.asks_for_known() && link->is_open()) {
        hop::Frame frame{};
        encode(this->self(), *frame.mutable_hello()->mutable_self());
        for (const auto& [node, known] : this->table.all()) {
            encode(known.record, *frame.mutable_hello()->add_known());
        }
        link->send(frame);
        this->send_known_advisories(*link);
    }
}

void peers::on_frame(const peer_link::pointer& link, hop::Frame& frame, microseconds queueing_delay)
{
    if (frame.has_ping() || frame.has_pong() || frame.has_offer() ||
        (frame.has_run() && !frame.run().offered())) {
        observe_line_delay(this->grants, queueing_delay, boot_now());
    }
    if (link->replaced && !frame.has_answer() && !frame.has_configuration()) {
        return;
    }
    switch (frame.kind_case()) {
    case hop::Frame::kHello:
        this->on_hello(link, frame.hello());
        break;
    case hop::Frame::kState:
        this->on_member_record(link, frame.state());
        break;
    case hop::Frame::kRun:
        this->on_run(link, *frame.mutable_run(), queueing_delay);
        break;
    case hop::Frame::kOffer:
        this->on_offer(link, frame.offer());
        break;
    case hop::Frame::kGrant:
        this->on_grant(link, frame.grant().id());
        break;
    case hop::Frame::kCancel:
        this->on_cancel(link, frame.cancel().id());
        break;
    case hop::Frame::kAnswer:
        this->on_response(link, *frame.mutable_answer());
        break;
    case hop::Frame::kConfiguration:
        this->configs.on_response(link->node, frame.configuration(), boot_now());
        break;
    case hop::Frame::kConfigurationRequest: {
        hop::Frame response{};
        *response.mutable_configuration() =
            this->configs.on_request(link->node, frame.configuration_request(), boot_now());
        link->send(response);
        break;
    }
    case hop::Frame::kPing:
        this->on_ping(link, frame.ping(), queueing_delay);
        break;
    case hop::Frame::kPong:
        this->on_pong(*link, frame.pong(), queueing_delay);
        break;
    case hop::Frame::kCapRequest:
    case hop::Frame::kCapResponse:
        this->on_cap_frame(link, frame);
        break;
    case hop::Frame::kAdvisory:
        this->shared.quarantine.on_advisory(decode(frame.advisory()), boot_now());
        break;
    case hop::Frame::kRollout:
    case hop::Frame::kRolloutEvidence:
        pass_on(this->rollouts, link->node, frame);
        break;
    case hop::Frame::kPart:
        // Links deliver complete frames only.
    case hop::Frame::KIND_NOT_SET:
        // A kind of frame that only newer versions know.
        break;
    }
}

void peers::on_cap_frame(const peer_link::pointer& link, const hop::Frame& frame)
{
    if (frame.has_cap_response()) {
        this->caps.on_response(frame.cap_response(), boot_now());
        return;
    }
    hop::Frame response{};
    *response.mutable_cap_response() = this->caps.on_request(frame.cap_request(), boot_now());
    link->send(response);
}

void peers::on_member_record(const peer_link::pointer& link, const hop::Member& message)
{
    const auto record = decode(message);
    if (!record || record->node == this->self().node) {
        this->close_link(link, "member record without node or address, or of this node itself");
        return;
    }
    if (link->outbound && link->node != record->node) {
        // The address now belongs to another node. The expected node connects to this one, or its new address
        // arrives from the store.
        if (this->table.merge(*record, member_table::origin::third_party, boot_now())) {
            this->outbound_links[record->node].next_dial = {};
        }
        const auto expected = link->node;
        this->close_link(link, "the address belongs to " + record->node);
        this->outbound_links[expected].next_dial = boot_now() + reassigned_address_interval;
        return;
    }
    if (link->node.empty()) {
        link->limit_input(true);
        this->unidentified_links.remove_if([&link](const auto& entry) { return entry.second == link; });
    }
    link->node = record->node;
    const auto* before = this->table.find(record->node);
    const auto state_before = before != nullptr ? before->record.state : report_state::unknown;
    const auto instance_before = before != nullptr ? before->record.instance : "";
    this->table.merge(*record, member_table::origin::link, boot_now());
    this->share_delays(*link, record->started_ms);
    this->configs.observe_version(record->config_version, boot_now());
    if (state_before != record->state || instance_before != record->instance) {
        this->shared.log.write(log_level::info, event_class::state, "peers", "target_of_node",
                               "node={} service={} instance={} state={} before={} revision={}", record->node,
                               log_value(record->service), log_value(record->instance),
                               to_name(record->state), to_name(state_before), record->revision);
    }
    auto& peer = this->outbound_links[record->node];
    if (!link->outbound && !peer.link && !peer.connecting) {
        peer.next_dial = {};
    }
    if (link->outbound) {
        this->set_reachable(link->node, true, "hello");
    }
}

void peers::share_delays(peer_link& link, std::uint64_t started_ms)
{
    auto* known = this->table.find(link.node);
    if (known == nullptr || known->delays == link.delays) {
        return;
    }
    // A new link may be congested from its start. Another process of the node may run on another clock.
    if (!known->delays || known->delays_of_ms < started_ms) {
        known->delays = link.delays;
        known->delays_of_ms = started_ms;
    }
    else if (known->delays_of_ms == started_ms) {
        if (const auto shortest = link.delays->shortest()) {
            known->delays->observe(*shortest, boot_now());
        }
        link.delays = known->delays;
    }
}

void peers::broadcast_state()
{
    hop::Frame frame{};
    encode(this->self(), *frame.mutable_state());
    this->broadcast(frame);
}

void peers::broadcast(hop::Frame& frame)
{
    for (const auto& [node, peer] : this->outbound_links) {
        if (peer.link) {
            peer.link->send(frame);
        }
    }
}

void peers::set_config(mesh_config_ptr newest)
{
    this->caps.set_accounts(newest->accounts, boot_now());
    this->configs.set_config(std::move(newest));
}

bool peers::follows_store(timestamp now)
{
    return this->configs.follows_store(this->self(), now);
}

std::size_t peers::reachable_count() const
{
    const auto& members = this->table.all();
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
                                                  [](const auto& entry) { return entry.second.reachable; }));
}

bool peers::has_unsent_responses() const
{
    return std::any_of(this->inbound_links.begin(), this->inbound_links.end(), [](const auto& link) {
        return link->is_open() && (link->unsent() > 0 || link->unacknowledged() > 0);
    });
}

bool peers::send_to(const std::string& node, hop::Frame& frame)
{
    const auto found = this->outbound_links.find(node);
    if (found == this->outbound_links.end() || !found->second.link) {
        return false;
    }
    found->second.link->send(frame);
    return true;
}

void peers::set_reachable(const std::string& node, bool reachable, const std::string& cause)
{
    auto* known = this->table.find(node);
    if (known != nullptr && known->reachable != reachable) {
        known->reachable = reachable;
        const auto found = this->outbound_links.find(node);
        const auto link = found != this->outbound_links.end() ? found->second.link : nullptr;
        const auto ping_age =
            link && link->ping_sent_at != timestamp{} ? boot_now() - link->ping_sent_at : microseconds{0};
        this->shared.log.write(
            log_level::info, event_class::state, "peers", reachable ? "node_reachable" : "node_unreachable",
            "node={} cause={} in_flight={} unsent={} unacknowledged={} ping_age_ms={}", node,
            log_value(cause), known->in_flight, link ? link->unsent() : 0, link ? link->unacknowledged() : 0,
            std::chrono::duration_cast<milliseconds>(ping_age).count());
    }
}

void peers::on_tick(timestamp now)
{
    for (auto& [node, peer] : this->outbound_links) {
        if (peer.link) {
            this->check_link(node, peer, now);
        }
        else if (!peer.connecting && peer.next_dial <= now) {
            peer.next_dial = now + dial_interval;
            this->dial(node, peer);
        }
    }
    this->check_replaced_links(now);
    this->close_unidentified(now);
    this->decide_on_offers();
    this->caps.on_tick(!this->serving, now);
    if (is_behind(this->configs.state())) {
        this->configs.on_tick(this->self().data_centre, now);
    }
    if (this->next_advisories <= now) {
        this->next_advisories = now + advisory_interval;
        this->send_advisories();
    }
}

void peers::send_advisories()
{
    const auto advisories = this->shared.quarantine.advisories(boot_now());
    for (const auto& advisory : advisories) {
        if (advisory.age > advisory_interval * 3 / 2) {
            continue;
        }
        hop::Frame frame{};
        encode(advisory, *frame.mutable_advisory());
        this->broadcast(frame);
    }
}

void peers::send_known_advisories(peer_link& link)
{
    auto advisories = this->shared.quarantine.advisories(boot_now());
    advisories.resize(std::min(advisories.size(), max_known_advisories));
    for (const auto& advisory : advisories) {
        hop::Frame frame{};
        encode(advisory, *frame.mutable_advisory());
        link.send(frame);
    }
}

void peers::on_suspension()
{
    std::vector<peer_link::pointer> links{};
    for (const auto& [node, peer] : this->outbound_links) {
        if (peer.link) {
            links.push_back(peer.link);
        }
    }
    for (const auto& link : links) {
        this->replace_link(link, boot_now(), "suspended");
    }
}

} // namespace kumquatdrift
