#include "proxy/target_host.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include <kumquatdrift/proxy/headers.hpp>
#include <kumquatdrift/telemetry/log.hpp>

#include "proxy/fields.hpp"

namespace kumquatdrift::internal {

namespace {

constexpr milliseconds retry_after_failure{1'000};
constexpr milliseconds expiry_interval{1'000};
constexpr std::uint16_t too_many_requests = 429;
constexpr std::uint16_t service_unavailable = 503;

run_outcome run_outcome_of(const hop_observation& observation)
{
    if (observation.end != hop_end::answered) {
        return run_outcome::failed;
    }
    const auto is_shed = observation.status == too_many_requests || observation.status == service_unavailable;
    return is_shed ? run_outcome::shed : run_outcome::answered;
}

hop_end hop_end_of(connect_status status)
{
    switch (status) {
    case connect_status::refused:
        return hop_end::connect_refused;
    case connect_status::timed_out:
        return hop_end::connect_timed_out;
    default:
        return hop_end::not_sent;
    }
}

admission_settings admission_settings_of(const target_record& target, const routing_snapshot_ptr& snapshot)
{
    admission_settings settings;
    settings.slots = std::max(target.slots, 1U);
    settings.state = target.state;
    if (!snapshot) {
        return settings;
    }
    for (const auto& service : snapshot->services) {
        if (service.config.name == target.service) {
            settings.queue_limit = service.config.queue_limit;
            settings.slow_start = service.config.slow_start;
        }
    }
    return settings;
}

unsigned status_of(hop_end end)
{
    constexpr unsigned bad_gateway = 502;
    constexpr unsigned gateway_timeout = 504;
    switch (end) {
    case hop_end::timed_out:
        return gateway_timeout;
    case hop_end::connect_refused:
    case hop_end::connect_timed_out:
    case hop_end::connection_lost:
    case hop_end::malformed_answer:
        return bad_gateway;
    default:
        return service_unavailable;
    }
}

error_response make_slot_error(const slot_result& result)
{
    const auto reason = result.reason == rejection_reason::none ? std::string{"cancelled"}
                                                                : std::string{to_name(result.reason)};
    return {service_unavailable, verdict::not_run, result.retry_after, "Not admitted: " + reason + '.', {}};
}

} // namespace

random_engine& thread_random()
{
    thread_local random_engine rng{std::random_device{}()};
    return rng;
}

error_response make_body_error(read_status status, verdict effect)
{
    switch (status) {
    case read_status::body_too_large:
        return {413, effect, {}, "The request body is larger than the limit.", {}};
    case read_status::timed_out:
        return {408, effect, retry_after_failure, "The request body did not arrive in time.", {}};
    default:
        return {400, effect, {}, "The request body is incomplete or malformed.", {}};
    }
}

error_response make_attempt_error(const hop_observation& observation,
                                  const std::optional<read_status>& body_error)
{
    const auto effect = verdict_of(observation);
    if (body_error) {
        return make_body_error(*body_error, effect);
    }
    const auto* const peer_prefix = observation.peer == hop_peer::target ? "target: " : "node: ";
    return {status_of(observation.end),
            effect,
            retry_after_failure,
            peer_prefix + std::string{to_name(observation.end)} + '.',
            {}};
}

target_slot::target_slot(target_host& owner, std::shared_ptr<admission_queue> target, request_id request,
                         std::uint64_t request_fingerprint) noexcept
    : host{&owner}, queue{std::move(target)}, id{request}, fingerprint{request_fingerprint}
{
}

target_slot::~target_slot()
{
    if (this->queue) {
        this->release({hop_peer::target, hop_end::cancelled, 0, {}, {}});
    }
}

void target_slot::release(const hop_observation& observation)
{
    const auto held = std::exchange(this->queue, nullptr);
    if (!held) {
        return;
    }
    this->host->record_outcome(*held, this->fingerprint, observation);
    held->release_slot(this->id, run_outcome_of(observation));
}

target_host::target_host(std::string name, const connection_limits& limits,
                         std::function<void(const crash_advisory&)> advisory_callback,
                         const quarantine_settings& crash_settings)
    : node{std::move(name)}, pool{connection_pool::create(limits, response_buffer_bytes)},
      on_advisory{std::move(advisory_callback)}, quarantine{crash_settings}
{
}

void target_host::update(const std::vector<target_record>& targets, const routing_snapshot_ptr& snapshot)
{
    const std::unique_lock lock{this->targets_mutex};
    auto previous = std::exchange(this->targets_by_id, {});
    for (const auto& target : targets) {
        const auto settings = admission_settings_of(target, snapshot);
        auto& entry = this->targets_by_id[target.id];
        entry.announced = target;
        if (auto known = previous.extract(target.id)) {
            auto& queue = known.mapped().queue;
            // A target that is announced with another address, or again after a drain, is a new process.
            const auto is_same = queue->target().address == target.address &&
                                 (target.state == target_state::draining || !queue->is_draining());
            if (is_same) {
                queue->update_settings(settings);
                entry.queue = queue;
                continue;
            }
            queue->drain();
        }
        entry.queue = std::make_shared<admission_queue>(target, settings);
    }
    for (const auto& [id, entry] : previous) {
        entry.queue->drain();
    }
}

void target_host::refresh(const routing_snapshot_ptr& snapshot)
{
    if (!snapshot || this->applied_version.exchange(snapshot->version) == snapshot->version) {
        return;
    }
    const std::shared_lock lock{this->targets_mutex};
    for (const auto& [id, entry] : this->targets_by_id) {
        entry.queue->update_settings(admission_settings_of(entry.announced, snapshot));
    }
}

void target_host::drain()
{
    const std::shared_lock lock{this->targets_mutex};
    for (const auto& [id, entry] : this->targets_by_id) {
        entry.queue->drain();
    }
}

std::shared_ptr<admission_queue> target_host::find_queue(const std::string& target) const
{
    const std::shared_lock lock{this->targets_mutex};
    const auto found = this->targets_by_id.find(target);
    return found == this->targets_by_id.end() ? nullptr : found->second.queue;
}

std::string target_host::endpoint_key(const admission_queue& queue) const
{
    return this->node + '/' + queue.target().id;
}

bool target_host::passes_quarantine(const client_request& request, const admission_queue& queue,
                                    attempt& result)
{
    const std::lock_guard lock{this->quarantine_mutex};
    const auto now = steady_now();
    if (now - this->last_expiry >= expiry_interval) {
        this->quarantine.expire(now);
        this->last_expiry = now;
    }
    const auto decision = this->quarantine.check(request.fingerprint, this->endpoint_key(queue), now);
    if (decision.action == quarantine_action::run || decision.action == quarantine_action::run_alone) {
        return true;
    }
    const auto is_quarantined = decision.action == quarantine_action::reject;
    result.error = error_response{is_quarantined ? quarantined_status : service_unavailable,
                                  verdict::not_run,
                                  decision.retry_after,
                                  "Requests like this one crashed targets; it was not run.",
                                  {}};
    return false;
}

bool target_host::acquire_slot(const std::shared_ptr<admission_queue>& queue, const client_request& request,
                               attempt& result)
{
    const auto id = this->next_id.fetch_add(1);
    const auto slot = queue->acquire_slot({id, request.deadline, request.fingerprint}, request.client.io());
    if (slot.outcome == slot_outcome::admitted) {
        result.slot.emplace(*this, queue, id, request.fingerprint);
        return true;
    }
    if (slot.outcome == slot_outcome::discarded) {
        result.observation.end = hop_end::queue_timed_out;
    }
    else if (slot.outcome == slot_outcome::cancelled) {
        result.observation.end = hop_end::cancelled;
    }
    result.error = make_slot_error(slot);
    append_field(result.error->fields, load_header, format_load(queue->load()));
    this->end_tracking(*queue, request.fingerprint);
    return false;
}

void target_host::start(const std::string& target, const client_request& request, attempt& result)
{
    result.observation = {hop_peer::target, hop_end::not_sent, 0, {}, {}};
    const auto queue = this->find_queue(target);
    if (!queue) {
        result.error = error_response{service_unavailable,
                                      verdict::not_run,
                                      retry_after_failure,
                                      "The target is not on this host.",
                                      {}};
        return;
    }
    if (!this->passes_quarantine(request, *queue, result) || !this->acquire_slot(queue, request, result)) {
        return;
    }
    auto acquired = this->pool->acquire(queue->target().address, request.deadline);
    if (acquired.status != connect_status::connected) {
        result.observation.end = hop_end_of(acquired.status);
        result.error = make_attempt_error(result.observation, std::nullopt);
        return;
    }
    std::string fields;
    append_field(fields, deadline_header, deadline_text(request.deadline));
    result.sent.emplace(std::move(acquired.connection), hop_peer::target, request,
                        std::to_string(this->next_id.fetch_add(1)));
    const auto has_response = result.sent->send_and_receive_head(fields, false);
    result.observation = result.sent->observed();
    if (!has_response) {
        result.error = make_attempt_error(result.observation, result.sent->body_error());
    }
}

void target_host::record_outcome(const admission_queue& queue, std::uint64_t fingerprint,
                                 const hop_observation& observation)
{
    if (suggests_crash(observation)) {
        const auto in_flight = queue.fingerprints();
        this->pool->discard_idle(queue.target().address);
        {
            const std::lock_guard lock{this->quarantine_mutex};
            this->quarantine.on_target_crashed(in_flight, this->endpoint_key(queue), steady_now());
        }
        if (this->crash_log_limit.allow()) {
            part_logger{log_part::proxy}.write(log_level::warn,
                                               "target " + queue.target().id +
                                                   ": connection lost while a request was in flight");
        }
        this->publish_advisories(in_flight);
        return;
    }
    // If the target shed the request, the response does not show whether the request would crash it.
    if (observation.end != hop_end::answered || verdict_of(observation) == verdict::not_run) {
        this->end_tracking(queue, fingerprint);
        return;
    }
    const std::lock_guard lock{this->quarantine_mutex};
    this->quarantine.on_success(fingerprint, this->endpoint_key(queue), steady_now());
}

void target_host::end_tracking(const admission_queue& queue, std::uint64_t fingerprint)
{
    const std::lock_guard lock{this->quarantine_mutex};
    this->quarantine.on_inconclusive_end(fingerprint, this->endpoint_key(queue));
}

void target_host::publish_advisories(const std::vector<std::uint64_t>& fingerprints)
{
    if (!this->on_advisory) {
        return;
    }
    for (const auto& advisory : this->advisories()) {
        if (std::find(fingerprints.begin(), fingerprints.end(), advisory.fingerprint) != fingerprints.end()) {
            this->on_advisory(advisory);
        }
    }
}

void target_host::offer_advisory(const crash_advisory& advisory)
{
    const std::lock_guard lock{this->quarantine_mutex};
    this->quarantine.on_advisory(advisory, steady_now());
}

void target_host::on_remote_attempt(std::uint64_t fingerprint, std::string_view target,
                                    const hop_observation& observation)
{
    const std::lock_guard lock{this->quarantine_mutex};
    if (suggests_crash(observation)) {
        this->quarantine.on_crash_reported(fingerprint, target, steady_now());
    }
    else if (observation.end == hop_end::answered && !observation.verdict_text) {
        this->quarantine.on_success(fingerprint, target, steady_now());
    }
}

std::optional<milliseconds> target_host::quarantined_for(std::uint64_t fingerprint) const
{
    const std::lock_guard lock{this->quarantine_mutex};
    return this->quarantine.quarantined_for(fingerprint, steady_now());
}

std::vector<crash_advisory> target_host::advisories() const
{
    const std::lock_guard lock{this->quarantine_mutex};
    return this->quarantine.advisories(steady_now());
}

} // namespace kumquatdrift::internal
