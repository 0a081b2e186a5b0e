#include "distribution/engine.hpp"

#include <algorithm>

#include <log4cxx/logger.h>

#include "distribution/candidates.hpp"

namespace kumquatdrift::internal {
namespace {

constexpr std::size_t ring_capacity = 1'024;
constexpr microseconds tick_interval{100'000};
constexpr milliseconds candidates_interval{1'000};
constexpr milliseconds gap_retry_interval{5'000};
constexpr milliseconds stopped_retry_interval{10'000};
constexpr std::size_t peers_per_start = 8;
// One heartbeat may overtake the records in the ring of the parent, two in a row may not.
constexpr std::uint32_t max_behind = 2;

log4cxx::LoggerPtr logger()
{
    return log4cxx::Logger::getLogger("relay");
}

/*! @brief A question to a peer. */
struct peer_call {
    grpc::ClientContext context{};
    distribution::v1::FetchCall request{};
    distribution::v1::Snapshot reply{};
    distribution_stub stub{};
};

} // namespace

engine::engine(distribution_service::environment needs, const distribution_settings& chosen,
               parent_hub& target)
    : environment{std::move(needs)}, settings{chosen}, hub{target},
      ring{std::make_shared<bounded_ring<config_event>>(ring_capacity)},
      sources{make_source_state(chosen.sources, steady_now(), this->rng)}, worker{this->environment.log,
                                                                                  this->ring}
{
    this->copy.settings.data_centre = this->environment.data_centre;
    this->copy.settings.log_retention = this->settings.log_retention;
    this->copy.settings.checkpoint_delay = this->settings.checkpoint_delay;
    this->thread = std::thread{[this] { this->run(); }};
}

engine::~engine()
{
    this->stopping = true;
    this->ring->close();
    this->thread.join();
}

distribution_status engine::status() const
{
    const std::lock_guard lock{this->mutex};
    return this->published;
}

void engine::run()
{
    while (!this->stopping) {
        auto event = this->ring->pop(tick_interval);
        this->now = steady_now();
        if (event) {
            std::visit([this](auto& content) { this->handle(content); }, *event);
        }
        this->tick();
    }
    for (const auto& [name, source] : this->watchers) {
        source->cancel();
    }
}

void engine::tick()
{
    const auto view = this->environment.view();
    raise_version_floor(this->copy, this->environment.version_floor ? this->environment.version_floor() : 0);
    this->refresh_candidates(*view);
    const auto plan = plan_sources(this->sources, this->candidates, this->now, this->rng);
    this->update_watchers(plan, *view);
    this->write_checkpoint();
    this->read_log(plan);
    if (plan.ask_peers) {
        this->ask_peers(*view);
    }
    if (plan.started && !this->copy.may_install) {
        this->apply(allow_install(this->copy));
    }
    this->recover_gap(*view);
    this->send_heartbeat();
    this->publish_status(plan);
}

void engine::handle(log_read_done& event)
{
    this->log_busy = false;
    const auto& batch = event.batch;
    if (!batch) {
        this->source_reason = batch.last_reason();
        on_log_read(this->sources, false, false, this->now, this->rng);
        return;
    }
    this->source_reason.clear();
    for (const auto& record : batch->records) {
        this->log_bytes += record.payload.size();
    }
    this->apply(event.retained ? offer_retained(this->copy, *batch, this->now)
                               : offer_log_batch(this->copy, *batch, this->now));
    const auto at_end =
        !this->copy.gap && !this->copy.stopped && next_offset(this->copy) >= batch->bounds.end;
    on_log_read(this->sources, true, at_end, this->now, this->rng);
    // The log answers at once as long as it has a record that cannot be folded.
    if (this->copy.stopped) {
        this->sources.log_at = this->now + stopped_retry_interval;
    }
    if (this->copy.gap) {
        this->sources.log_at = this->now + gap_retry_interval;
    }
}

void engine::handle(checkpoint_done& event)
{
    if (event.outcome.effect == verdict::ran) {
        ++this->checkpoints;
        LOG4CXX_INFO(logger(), "relay: wrote a checkpoint at offset " << event.outcome.offset);
        return;
    }
    this->source_reason = event.outcome.reason;
}

void engine::handle(watch_message& event)
{
    this->received_bytes += event.event.ByteSizeLong();
    const auto found = this->watchers.find(event.node);
    if (found == this->watchers.end() || found->second->number() != event.stream) {
        return;
    }
    auto& source = *found->second;
    replica_change change;
    if (event.event.has_redirect()) {
        source.retry_after = milliseconds{event.event.redirect().retry_after_ms()};
        source.other = event.event.redirect().other();
        return;
    }
    if (event.event.has_heartbeat()) {
        this->on_heartbeat(source, event);
        return;
    }
    on_watch_event(this->sources, event.node, std::nullopt, this->now);
    if (event.event.has_snapshot()) {
        const auto& snapshot = event.event.snapshot();
        change = offer_snapshot(this->copy, snapshot.state(), snapshot.digest(), this->now);
    }
    else {
        std::vector<offered_record> records;
        for (const auto& record : event.event.records().records()) {
            records.push_back({{record.offset(), record.payload()}, record.digest()});
        }
        change = offer_records(this->copy, records, this->now);
    }
    this->apply(change);
    if (change.rejected > 0) {
        LOG4CXX_WARN(logger(),
                     "relay: records from " << event.node << " rejected: " << this->copy.last_reason);
        source.cancel();
    }
}

void engine::on_heartbeat(watcher& source, const watch_message& message)
{
    const auto& heartbeat = message.event.heartbeat();
    const auto complete = next_offset(this->copy) >= heartbeat.end();
    const auto age = complete ? std::optional{milliseconds{heartbeat.age_ms()}} : std::nullopt;
    on_watch_event(this->sources, message.node, age, this->now);
    source.behind = complete ? 0 : source.behind + 1;
    if (source.behind >= max_behind) {
        source.cancel();
    }
}

void engine::handle(snapshot_fetched& event)
{
    this->received_bytes += event.snapshot.ByteSizeLong();
    if (!event.snapshot.state().empty()) {
        this->apply(offer_snapshot(this->copy, event.snapshot.state(), event.snapshot.digest(), this->now));
    }
}

void engine::handle(watch_ended& /*event*/) {}

void engine::apply(const replica_change& change)
{
    if (change.installed) {
        LOG4CXX_INFO(logger(), "relay: version " << change.installed->version << " is in force");
        this->environment.install(*change.installed);
    }
    if (change.folded > 0 || change.replaced) {
        this->hub.publish(this->copy);
    }
}

void engine::refresh_candidates(const member_view& view)
{
    // The table of a large mesh changes many times a second, and ranking it takes about a millisecond.
    const auto due = this->now - this->candidates_at >= candidates_interval;
    if (this->generation == view.generation && this->candidates_at != timestamp{}) {
        return;
    }
    if (!due && !this->candidates.parents.empty()) {
        return;
    }
    this->generation = view.generation;
    this->candidates_at = this->now;
    this->candidates = find_candidates(view, this->environment.node, this->environment.data_centre);
    this->hub.set_others(this->candidates.parents);
}

void engine::update_watchers(const source_plan& plan, const member_view& view)
{
    for (auto entry = this->watchers.begin(); entry != this->watchers.end();) {
        const auto& [name, source] = *entry;
        const auto wanted = std::find(plan.watch.begin(), plan.watch.end(), name) != plan.watch.end();
        if (wanted && !source->ended()) {
            ++entry;
            continue;
        }
        if (wanted) {
            on_watch_end(this->sources, name, source->retry_after, source->other, this->now, this->rng);
        }
        source->cancel();
        entry = this->watchers.erase(entry);
    }
    for (const auto& name : plan.watch) {
        const auto found = this->sources.watches.find(name);
        const auto address = control_address(view, name);
        if (this->watchers.contains(name) || found == this->sources.watches.end() || !found->second.open ||
            address.empty()) {
            continue;
        }
        distribution::v1::WatchCall call;
        call.set_node(this->environment.node);
        call.set_data_centre(this->environment.data_centre);
        call.set_next_offset(next_offset(this->copy));
        this->watchers[name] = watcher::open(address, name, ++this->streams, std::move(call), this->ring);
    }
}

void engine::read_log(const source_plan& plan)
{
    if (!plan.read_log || this->log_busy) {
        return;
    }
    auto wait = plan.wait;
    if (this->copy.checkpoint_due) {
        const auto until_due = std::chrono::ceil<milliseconds>(*this->copy.checkpoint_due - this->now);
        wait = std::clamp(until_due, milliseconds{0}, wait);
    }
    this->log_busy = this->worker.read(next_offset(this->copy), wait);
}

void engine::recover_gap(const member_view& view)
{
    if (!this->copy.gap || this->log_busy || this->now < this->gap_retry) {
        return;
    }
    this->gap_retry = this->now + gap_retry_interval;
    this->log_busy = this->worker.read_all();
    // Without a checkpoint in the log, another node may still hold the state.
    this->ask_peers(view);
}

void engine::write_checkpoint()
{
    // Decided only between two reads: an append queued behind a long poll would be written although the poll
    // returns the checkpoint of another node.
    if (this->log_busy) {
        return;
    }
    const auto& answered = this->sources.log_answered;
    const auto current = answered && this->now - *answered <= this->settings.sources.silence_limit;
    auto payload = plan_checkpoint(this->copy, current, this->now, this->rng);
    if (payload && !this->worker.append(std::move(*payload))) {
        this->source_reason = "too many operations wait for the log";
    }
}

void engine::ask_peers(const member_view& view)
{
    for (const auto& name : peers_to_ask(view, this->environment.node, peers_per_start, this->rng)) {
        const auto call = std::make_shared<peer_call>();
        call->stub = open_distribution_stub(control_address(view, name));
        call->context.set_deadline(std::chrono::system_clock::now() +
                                   this->settings.sources.start_peer_limit);
        call->request.set_node(this->environment.node);
        call->request.set_next_offset(next_offset(this->copy));
        auto done = [call, target = this->ring](const grpc::Status& status) {
            if (status.ok()) {
                (void)target->try_push(snapshot_fetched{std::move(call->reply)});
            }
        };
        call->stub->async()->Fetch(&call->context, &call->request, &call->reply, std::move(done));
    }
}

void engine::send_heartbeat()
{
    if (this->now >= this->next_heartbeat) {
        this->next_heartbeat = this->now + this->settings.sources.heartbeat_interval;
        this->hub.heartbeat({this->copy.bounds.earliest, this->age(), this->now});
    }
}

milliseconds engine::age() const
{
    const auto last = last_current(this->sources);
    if (!last) {
        return unknown_age;
    }
    return std::clamp(std::chrono::duration_cast<milliseconds>(this->now - *last), milliseconds{0},
                      unknown_age);
}

void engine::publish_status(const source_plan& plan)
{
    distribution_status made;
    made.next_offset = next_offset(this->copy);
    made.version = this->copy.gate.in_force();
    made.version_floor = this->copy.gate.floor();
    const auto known = made.version > 0 || last_current(this->sources).has_value();
    made.ready = plan.started && known && made.version >= made.version_floor;
    made.upgrade_needed = this->copy.stopped;
    made.source = plan.source;
    made.parents = plan.watch;
    made.age = this->age();
    made.recent.reserve(this->copy.outcomes.size());
    for (const auto& outcome : this->copy.outcomes) {
        made.recent.push_back(
            {outcome.offset, std::string{to_name(outcome.kind)}, outcome.reason, outcome.edit_id});
    }
    made.log_bytes = this->log_bytes;
    made.received_bytes = this->received_bytes;
    made.checkpoints = this->checkpoints;
    made.last_reason = this->source_reason.empty() ? this->copy.last_reason : this->source_reason;
    const std::lock_guard lock{this->mutex};
    this->published = std::move(made);
}

} // namespace kumquatdrift::internal
