#include "peers.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include <kumquatdrift/core/boot_clock.hpp>

#include "hop_codec.hpp"

namespace kumquatdrift {
namespace {

/*! @brief Time to connect to a node; many times the delay between data centres of a region. */
constexpr microseconds connect_timeout{400'000};
/*! @brief Time between attempts to reach a node; a node that starts again is found within it. */
constexpr microseconds dial_interval{300'000};
/*! @brief Longest time between attempts, for a node that has been away for long. */
constexpr microseconds longest_dial_interval{2'000'000};
/*! @brief Time between attempts to reach a node whose address another node has taken. */
constexpr microseconds taken_address_interval{10'000'000};
/*! @brief Time between pings on a link on which requests wait. */
constexpr microseconds ping_interval{300'000};
/*! @brief Time between pings on an idle link; loads of the targets there are as old as this. */
constexpr microseconds idle_ping_interval{900'000};
/*! @brief Unanswered time after which no new request is sent; above the delay of a node that is busy. */
constexpr microseconds suspect_after{700'000};
/*! @brief Unanswered time after which a link is closed. */
constexpr microseconds dead_after{1'500'000};
/*! @brief Time after which another node is asked for all known nodes, if the first has not answered. */
constexpr microseconds ask_interval{500'000};
/*! @brief Time for which known nodes are not asked for again; the store tells changes sooner. */
constexpr microseconds known_interval{5'000'000};
/*! @brief Time for which a node may lag behind before it is handed the configuration. The store tells most
 *         nodes within it. */
constexpr microseconds push_delay{200'000};
/*! @brief Delay of a frame that is logged; many times the delay between data centres. */
constexpr microseconds notable_delay{100'000};
/*! @brief Time between advisories about requests that crash targets. */
constexpr microseconds advisory_interval{200'000};

} // namespace

peers::peers(const parts& common, std::function<member_record()> own,
             std::function<void(std::uint32_t, const std::string&)> newer_config)
    : shared{common}, self{std::move(own)}, on_config{std::move(newer_config)},
      listener{common.loop, [this](const stream::pointer& one) { this->accept(one); }}
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

void peers::accept(const stream::pointer& connection)
{
    auto link = std::make_shared<peer_link>(this->shared.loop, connection);
    this->accepted.insert(link);
    this->on_link(link);
}

void peers::on_member(const member_record& record)
{
    if (record.node != this->self().node &&
        this->table.learn(record, member_table::origin::store, boot_now())) {
        auto& to = this->diallers[record.node];
        to.next_try = {};
        to.failures = 0;
    }
}

void peers::dial(const std::string& node, dialler& to)
{
    const auto* known = this->table.find(node);
    if (known == nullptr) {
        return;
    }
    to.connecting = stream::connect(
        this->shared.loop, {known->record.ip, known->record.port}, connect_timeout,
        [this, node](const std::string& cause) {
            auto& target = this->diallers.at(node);
            auto connection = std::exchange(target.connecting, nullptr);
            if (!cause.empty()) {
                ++target.failures;
                const auto wait = std::min(dial_interval * target.failures, longest_dial_interval);
                target.next_try = boot_now() + wait + full_jitter(this->shared.rng, wait / 4);
                this->set_reachable(node, false, "connect: " + cause);
                return;
            }
            target.failures = 0;
            target.pushed_version = 0;
            target.link = std::make_shared<peer_link>(this->shared.loop, std::move(connection));
            target.link->dialled = true;
            target.link->node = node;
            this->on_link(target.link);
        });
}

void peers::on_link(const peer_link::pointer& link)
{
    link->start(
        [this](const peer_link::pointer& from, hop::Frame& frame, microseconds held_up) {
            this->on_frame(from, frame, held_up);
        },
        [this](const peer_link::pointer& from, const std::string& cause) { this->on_lost(from, cause); });
    hop::Frame frame{};
    encode(this->self(), *frame.mutable_hello()->mutable_self());
    const auto now = boot_now();
    if (this->next_ask <= now) {
        this->next_ask = now + ask_interval;
        frame.mutable_hello()->set_asks_for_known(true);
    }
    link->send(frame);
}

void peers::on_hello(const peer_link::pointer& link, const hop::Hello& hello)
{
    this->on_record(link, hello.self());
    if (hello.known_size() > 0) {
        this->next_ask = boot_now() + known_interval;
    }
    for (const auto& message : hello.known()) {
        const auto record = decode(message);
        if (record && record->node != this->self().node &&
            this->table.learn(*record, member_table::origin::hearsay, boot_now())) {
            this->diallers[record->node].next_try = {};
        }
    }
    if (hello.asks_for_known() && link->is_open()) {
        hop::Frame frame{};
        encode(this->self(), *frame.mutable_hello()->mutable_self());
        for (const auto& [node, known] : this->table.all()) {
            encode(known.record, *frame.mutable_hello()->add_known());
        }
        link->send(frame);
    }
}

void peers::on_frame(const peer_link::pointer& link, hop::Frame& frame, microseconds held_up)
{
    switch (frame.kind_case()) {
    case hop::Frame::kHello:
        this->on_hello(link, frame.hello());
        break;
    case hop::Frame::kState:
        this->on_record(link, frame.state());
        break;
    case hop::Frame::kRun:
        this->on_run(link, *frame.mutable_run(), held_up);
        break;
    case hop::Frame::kCancel:
        if (const auto found = link->served.find(frame.cancel().id()); found != link->served.end()) {
            this->shared.host.cancel(found->second);
            link->served.erase(found);
        }
        break;
    case hop::Frame::kAnswer:
        this->on_answer(link, *frame.mutable_answer());
        break;
    case hop::Frame::kConfiguration:
        this->on_config(frame.configuration().version(), frame.configuration().document());
        break;
    case hop::Frame::kPing: {
        hop::Frame pong{};
        pong.mutable_pong()->set_number(frame.ping().number());
        encode(this->shared.host.load(), *pong.mutable_pong()->mutable_load());
        link->send(pong);
        break;
    }
    case hop::Frame::kPong:
        link->pinged_at = {};
        this->table.on_load(link->node, decode(frame.pong().load()), boot_now());
        break;
    case hop::Frame::kAdvisory:
        this->shared.quarantine.on_remote(decode(frame.advisory()), boot_now());
        break;
    case hop::Frame::KIND_NOT_SET:
        // A kind that a newer version sends.
        break;
    }
}

void peers::on_record(const peer_link::pointer& link, const hop::Member& message)
{
    const auto record = decode(message);
    if (!record || record->node == this->self().node) {
        this->drop(link, "record without node or address, or of this node");
        return;
    }
    if (link->dialled && link->node != record->node) {
        // The address now belongs to another node. The earlier one calls, or the store tells where it is.
        if (this->table.learn(*record, member_table::origin::hearsay, boot_now())) {
            this->diallers[record->node].next_try = {};
        }
        const auto earlier = link->node;
        this->drop(link, "the address belongs to " + record->node);
        this->diallers[earlier].next_try = boot_now() + taken_address_interval;
        return;
    }
    link->node = record->node;
    const auto* before = this->table.find(record->node);
    const auto state_before = before != nullptr ? before->record.state : report_state::unknown;
    const auto instance_before = before != nullptr ? before->record.instance : "";
    this->table.learn(*record, member_table::origin::link, boot_now());
    if (state_before != record->state || instance_before != record->instance) {
        this->shared.log.write(log_level::info, event_class::state, "peers", "target_of_node",
                               "node={} service={} instance={} state={} before={} revision={}", record->node,
                               log_value(record->service), log_value(record->instance),
                               to_name(record->state), to_name(state_before), record->revision);
    }
    auto& to = this->diallers[record->node];
    if (!link->dialled && !to.link && !to.connecting) {
        to.next_try = {};
    }
    if (link->dialled) {
        this->set_reachable(link->node, true, "hello");
    }
}

void peers::on_run(const peer_link::pointer& link, hop::Run& message, microseconds held_up)
{
    const auto id = message.id();
    const auto answer = [link = std::weak_ptr<peer_link>{link}, id](run_result result) {
        const auto live = link.lock();
        if (live && live->served.erase(id) != 0) {
            hop::Frame frame{};
            encode(result, *frame.mutable_answer());
            frame.mutable_answer()->set_id(id);
            live->send(frame);
        }
    };
    if (!this->serving) {
        link->served.emplace(id, 0);
        run_result result{};
        result.end = run_end::refused;
        result.cause = "node_stops";
        answer(std::move(result));
        return;
    }
    // The times left in the frame were right when it was sent.
    if (held_up > notable_delay) {
        this->shared.log.write(log_level::info, event_class::failed_request, "peers", "request_held_up",
                               "id={} node={} held_up_ms={} left_ms={}", log_value(message.attempt()),
                               link->node, std::chrono::duration_cast<milliseconds>(held_up).count(),
                               message.time_left_ms());
    }
    link->served.emplace(id, this->shared.host.run(decode(message, boot_now() - held_up), answer));
}

void peers::on_answer(const peer_link::pointer& link, hop::Answer& message)
{
    const auto found = link->awaited.find(message.id());
    if (found == link->awaited.end()) {
        return;
    }
    const auto done = std::move(found->second);
    link->awaited.erase(found);
    if (auto* known = this->table.find(link->node)) {
        known->in_flight -= std::min(known->in_flight, 1U);
    }
    auto result = decode(message);
    this->table.on_load(link->node, result.load, boot_now());
    done(std::move(result));
}

void peers::on_lost(const peer_link::pointer& link, const std::string& cause)
{
    for (const auto& [theirs, ours] : std::exchange(link->served, {})) {
        this->shared.host.cancel(ours);
    }
    this->accepted.erase(link);
    if (link->dialled) {
        if (const auto found = this->diallers.find(link->node);
            found != this->diallers.end() && found->second.link == link) {
            // The next attempt comes no sooner than a dial interval after this one began.
            found->second.link = nullptr;
        }
        this->set_reachable(link->node, false, cause);
        if (auto* known = this->table.find(link->node)) {
            known->in_flight -= std::min(known->in_flight, static_cast<std::uint32_t>(link->awaited.size()));
        }
    }
    for (auto& [id, done] : std::exchange(link->awaited, {})) {
        run_result result{};
        result.end = run_end::lost;
        result.cause = "link to " + link->node + ": " + cause;
        done(std::move(result));
    }
}

void peers::drop(const peer_link::pointer& link, const std::string& cause)
{
    link->close();
    this->on_lost(link, cause);
}

void peers::broadcast_state()
{
    hop::Frame frame{};
    encode(this->self(), *frame.mutable_state());
    for (const auto& [node, to] : this->diallers) {
        if (to.link) {
            to.link->send(frame);
        }
    }
}

void peers::set_config(mesh_config_ptr newest)
{
    this->config = std::move(newest);
}

std::uint64_t peers::run(std::string_view node, const run_order_ptr& order, attempt_callback done)
{
    const auto found = this->diallers.find(node);
    auto* known = this->table.find(node);
    if (found == this->diallers.end() || known == nullptr || !known->reachable || !found->second.link ||
        found->second.link->is_congested()) {
        return 0;
    }
    const auto& link = found->second.link;
    const auto id = ++this->last_id;
    hop::Frame frame{};
    encode(*order, boot_now(), *frame.mutable_run());
    frame.mutable_run()->set_id(id);
    link->send(frame);
    link->awaited.emplace(id, std::move(done));
    ++known->in_flight;
    ++known->sent_since_load;
    known->used = true;
    return id;
}

void peers::cancel(std::string_view node, std::uint64_t id)
{
    const auto found = this->diallers.find(node);
    if (found == this->diallers.end() || !found->second.link || found->second.link->awaited.erase(id) == 0) {
        return;
    }
    if (auto* known = this->table.find(node)) {
        known->in_flight -= std::min(known->in_flight, 1U);
    }
    hop::Frame frame{};
    frame.mutable_cancel()->set_id(id);
    found->second.link->send(frame);
}

void peers::set_reachable(const std::string& node, bool reachable, const std::string& cause)
{
    auto* known = this->table.find(node);
    if (known != nullptr && known->reachable != reachable) {
        known->reachable = reachable;
        this->shared.log.write(log_level::info, event_class::state, "peers",
                               reachable ? "node_reachable" : "node_unreachable",
                               "node={} cause={} in_flight={}", node, log_value(cause), known->in_flight);
    }
}

void peers::on_tick(timestamp now)
{
    for (auto& [node, to] : this->diallers) {
        if (to.link) {
            this->check_link(node, to, now);
        }
        else if (!to.connecting && to.next_try <= now) {
            to.next_try = now + dial_interval;
            this->dial(node, to);
        }
    }
    if (this->next_advisories <= now) {
        this->next_advisories = now + advisory_interval;
        this->send_advisories();
    }
}

void peers::check_link(const std::string& node, dialler& to, timestamp now)
{
    const auto link = to.link;
    if (link->pinged_at != timestamp{}) {
        const auto silent = now - std::max(link->pinged_at, link->heard_at);
        if (silent > dead_after) {
            this->drop(link, "no answer");
            return;
        }
        if (silent > suspect_after) {
            this->set_reachable(node, false, "slow to answer");
        }
    }
    else {
        this->set_reachable(node, true, "answers");
    }
    const auto interval = link->awaited.empty() ? idle_ping_interval : ping_interval;
    if (now - to.last_ping >= interval && link->pinged_at == timestamp{}) {
        to.last_ping = now;
        link->pinged_at = now;
        hop::Frame frame{};
        frame.mutable_ping()->set_number(static_cast<std::uint64_t>(now.time_since_epoch().count()));
        link->send(frame);
    }
    this->push_config(node, to, now);
}

void peers::push_config(const std::string& node, dialler& to, timestamp now)
{
    const auto* known = this->table.find(node);
    if (!this->config || known == nullptr || known->record.config_version >= this->config->version ||
        to.pushed_version >= this->config->version) {
        to.lags_since = {};
        return;
    }
    if (to.lags_since == timestamp{}) {
        // A node without any configuration cannot serve at all, so it does not wait.
        to.lags_since = known->record.config_version == 0 ? now - push_delay
                                                          : now + full_jitter(this->shared.rng, push_delay);
        return;
    }
    if (now - to.lags_since < push_delay) {
        return;
    }
    to.pushed_version = this->config->version;
    hop::Frame frame{};
    frame.mutable_configuration()->set_version(this->config->version);
    frame.mutable_configuration()->set_document(this->config->document);
    to.link->send(frame);
    this->shared.log.write(log_level::info, event_class::state, "peers", "config_handed_on",
                           "node={} version={} its_version={}", node, this->config->version,
                           known->record.config_version);
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
        for (const auto& [node, to] : this->diallers) {
            if (to.link) {
                to.link->send(frame);
            }
        }
    }
}

void peers::on_suspension()
{
    std::vector<peer_link::pointer> links{};
    for (const auto& [node, to] : this->diallers) {
        if (to.link) {
            links.push_back(to.link);
        }
    }
    for (const auto& link : links) {
        this->drop(link, "suspended");
    }
}

} // namespace kumquatdrift
