#include "distribution/engine.hpp"

#include <algorithm>

#include <log4cxx/logger.h>

#include "distribution/candidates.hpp"

namespace kumquatdrift::internal {
namespace {

constexpr std::size_t event_queue_capacity = 1'024;
constexpr microseconds tick_interval{100'000};
constexpr milliseconds candidates_interval{1'000};
constexpr milliseconds gap_retry_interval{5'000};
constexpr milliseconds stopped_retry_interval{10'000};
constexpr std::size_t max_snapshot_peers = 8;
// A single heartbeat may overtake records that the parent has yet to send; two in a row show that they are
// missing.
constexpr std::uint32_t max_behind_heartbeats = 2;

log4cxx::LoggerPtr logger()
{
    return log4cxx::Logger::getLogger("relay");
}

/*! @brief A `Fetch` call to a peer. */
struct peer_call {
    grpc::ClientContext context{};
    distribution::v1::FetchCall request{};
    distribution::v1::Snapshot response{};
    distribution_stub stub{};
};

} // namespace

engine::engine(distribution_service::environment node_environment, const distribution_settings& node_settings,
               parent_hub& served_hub)
    : environment{std::move(node_environment)}, settings{node_settings}, hub{served_hub},
      events{std::make_shared<bounded_ring<config_event>>(event_queue_capacity)},
      sources{make_source_state(node_settings.sources, steady_now(), this->rng)}, worker{
                                                                                      this->environment.log,
                                                                                      this->events}
{
    this->local_replica.settings.data_centre = this->environment.data_centre;
    this->local_replica.settings.log_retention = this->settings.log_retention;
    this->local_replica.settings.checkpoint_delay = this->settings.checkpoint_delay;
    this->thread = std::thread{[this] { this->run(); }};
}

engine::~engine()
{
    this->stopping = true;
    this->events->close();
    this->thread.join();
}

distribution_status engine::status() const
{
    const std::lock_guard lock{this->mutex};
    return this->current_status;
}

void engine::run()
{
    while (!this->stopping) {
        auto event = this->events->pop(tick_interval);
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
    raise_version_floor(this->local_replica,
                        this->environment.version_floor ? this->environment.version_floor() : 0);
    this->refresh_candidates(*view);
    const auto plan = plan_sources(this->sources, this->candidates, this->now, this->rng);
    this->update_watchers(plan, *view);
    this->write_checkpoint();
    this->read_log(plan);
    if (plan.fetch_snapshots) {
        this->fetch_snapshots(*view);
    }
    if (plan.startup_done && !this->local_replica.may_install) {
        this->apply(allow_install(this->local_replica));
    }
    this->recover_gap(*view);
    this->send_heartbeat();
    this->update_status(plan);
}

void engine::handle(log_read_done& event)
{
    this->log_read_pending = false;
    const auto& batch = event.batch;
    if (!batch) {
        this->source_error = batch.last_reason();
        on_log_read(this->sources, false, false, this->now, this->rng);
        return;
    }
    this->source_error.clear();
    for (const auto& record : batch->records) {
        this->log_bytes += record.payload.size();
    }
    this->apply(event.retained ? offer_retained(this->local_replica, *batch, this->now)
                               : offer_log_batch(this->local_replica, *batch, this->now));
    const auto at_end = !this->local_replica.has_gap && !this->local_replica.fold_stopped &&
                        next_offset(this->local_replica) >= batch->bounds.end;
    on_log_read(this->sources, true, at_end, this->now, this->rng);
    // A long poll returns at once while the log contains a record that cannot be folded, so the next read is
    // delayed.
    if (this->local_replica.fold_stopped) {
        this->sources.next_log_read_at = this->now + stopped_retry_interval;
    }
    if (this->local_replica.has_gap) {
        this->sources.next_log_read_at = this->now + gap_retry_interval;
    }
}

void engine::handle(checkpoint_done& event)
{
    if (event.outcome.effect == verdict::ran) {
        ++this->checkpoints;
        LOG4CXX_INFO(logger(), "relay: wrote a checkpoint at offset " << event.outcome.offset);
        return;
    }
    this->source_error = event.outcome.reason;
}

void engine::handle(watch_message& message)
{
    this->received_bytes += message.content.ByteSizeLong();
    const auto found = this->watchers.find(message.node);
    if (found == this->watchers.end() || found->second->stream_id() != message.stream_id) {
        return;
    }
    auto& source = *found->second;
    replica_change change;
    if (message.content.has_redirect()) {
        source.retry_after = milliseconds{message.content.redirect().retry_after_ms()};
        source.redirect_parent = message.content.redirect().other();
        return;
    }
    if (message.content.has_heartbeat()) {
        this->on_heartbeat(source, message);
        return;
    }
    on_watch_event(this->sources, message.node, std::nullopt, this->now);
    if (message.content.has_snapshot()) {
        const auto& snapshot = message.content.snapshot();
        change = offer_snapshot(this->local_replica, snapshot.state(), snapshot.digest(), this->now);
    }
    else {
        std::vector<offered_record> records;
        for (const auto& record : message.content.records().records()) {
            records.push_back({{record.offset(), record.payload()}, record.digest()});
        }
        change = offer_records(this->local_replica, records, this->now);
    }
    this->apply(change);
    if (change.rejected > 0) {
        LOG4CXX_WARN(logger(), "relay: rejected data from " << message.node << ", closing the stream: "
                                                            << this->local_replica.last_reason);
        source.cancel();
    }
}

void engine::on_heartbeat(watcher& source, const watch_message& message)
{
    const auto& heartbeat = message.content.heartbeat();
    const auto complete = next_offset(this->local_replica) >= heartbeat.end();
    const auto age = complete ? std::optional{milliseconds{heartbeat.age_ms()}} : std::nullopt;
    on_watch_event(this->sources, message.node, age, this->now);
    source.behind_heartbeats = complete ? 0 : source.behind_heartbeats + 1;
    if (source.behind_heartbeats >= max_behind_heartbeats) {
        source.cancel();
    }
}

void engine::handle(snapshot_fetched& event)
{
    this->received_bytes += event.snapshot.ByteSizeLong();
    if (!event.snapshot.state().empty()) {
        this->apply(
            offer_snapshot(this->local_replica, event.snapshot.state(), event.snapshot.digest(), this->now));
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
        this->hub.publish(this->local_replica);
    }
}

void engine::refresh_candidates(const member_view& view)
{
    // The member table of a large mesh changes many times per second, and ranking it takes about a
    // millisecond, so known candidates are updated at most once per interval.
    const auto due = this->now - this->candidates_updated_at >= candidates_interval;
    if (this->view_generation == view.generation && this->candidates_updated_at != timestamp{}) {
        return;
    }
    if (!due && !this->candidates.parents.empty()) {
        return;
    }
    this->view_generation = view.generation;
    this->candidates_updated_at = this->now;
    this->candidates = find_candidates(view, this->environment.node, this->environment.data_centre);
    this->hub.set_other_parents(this->candidates.parents);
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
            on_watch_end(this->sources, name, source->retry_after, source->redirect_parent, this->now,
                         this->rng);
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
        call.set_next_offset(next_offset(this->local_replica));
        this->watchers[name] =
            watcher::open(address, name, ++this->last_stream_id, std::move(call), this->events);
    }
}

void engine::read_log(const source_plan& plan)
{
    if (!plan.read_log || this->log_read_pending) {
        return;
    }
    auto wait = plan.wait;
    if (this->local_replica.checkpoint_due_at) {
        const auto until_due =
            std::chrono::ceil<milliseconds>(*this->local_replica.checkpoint_due_at - this->now);
        wait = std::clamp(until_due, milliseconds{0}, wait);
    }
    this->log_read_pending = this->worker.read(next_offset(this->local_replica), wait);
}

void engine::recover_gap(const member_view& view)
{
    if (!this->local_replica.has_gap || this->log_read_pending || this->now < this->gap_retry_at) {
        return;
    }
    this->gap_retry_at = this->now + gap_retry_interval;
    this->log_read_pending = this->worker.read_all();
    // If the log contains no usable checkpoint, a peer may still have the state.
    this->fetch_snapshots(view);
}

void engine::write_checkpoint()
{
    // Decides only between two reads. An append queued behind a long poll would be written even if that poll
    // returned another node's checkpoint.
    if (this->log_read_pending) {
        return;
    }
    const auto& current_at = this->sources.log_current_at;
    const auto current = current_at && this->now - *current_at <= this->settings.sources.silence_timeout;
    auto payload = plan_checkpoint(this->local_replica, current, this->now, this->rng);
    if (payload && !this->worker.append(std::move(*payload))) {
        this->source_error = "too many operations wait for the log";
    }
}

void engine::fetch_snapshots(const member_view& view)
{
    for (const auto& name :
         select_snapshot_peers(view, this->environment.node, max_snapshot_peers, this->rng)) {
        const auto call = std::make_shared<peer_call>();
        call->stub = open_distribution_stub(control_address(view, name));
        call->context.set_deadline(std::chrono::system_clock::now() +
                                   this->settings.sources.start_peer_timeout);
        call->request.set_node(this->environment.node);
        call->request.set_next_offset(next_offset(this->local_replica));
        auto done = [call, queue = this->events](const grpc::Status& status) {
            if (status.ok()) {
                (void)queue->try_push(snapshot_fetched{std::move(call->response)});
            }
        };
        call->stub->async()->Fetch(&call->context, &call->request, &call->response, std::move(done));
    }
}

void engine::send_heartbeat()
{
    if (this->now >= this->next_heartbeat_at) {
        this->next_heartbeat_at = this->now + this->settings.sources.heartbeat_interval;
        this->hub.heartbeat({this->local_replica.bounds.earliest, this->age(), this->now});
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

void engine::update_status(const source_plan& plan)
{
    distribution_status status;
    status.next_offset = next_offset(this->local_replica);
    status.version = this->local_replica.gate.in_force();
    status.version_floor = this->local_replica.gate.floor();
    const auto known = status.version > 0 || last_current(this->sources).has_value();
    status.ready = plan.startup_done && known && status.version >= status.version_floor;
    status.upgrade_needed = this->local_replica.fold_stopped;
    status.source = plan.source;
    status.parents = plan.watch;
    status.age = this->age();
    status.recent.reserve(this->local_replica.outcomes.size());
    for (const auto& outcome : this->local_replica.outcomes) {
        status.recent.push_back(
            {outcome.offset, std::string{to_name(outcome.kind)}, outcome.reason, outcome.edit_id});
    }
    status.log_bytes = this->log_bytes;
    status.received_bytes = this->received_bytes;
    status.checkpoints = this->checkpoints;
    status.last_reason = this->source_error.empty() ? this->local_replica.last_reason : this->source_error;
    const std::lock_guard lock{this->mutex};
    this->current_status = std::move(status);
}

} // namespace kumquatdrift::internal
