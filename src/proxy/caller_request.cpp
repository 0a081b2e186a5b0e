#include "proxy/caller_request.hpp"

#include <algorithm>
#include <thread>
#include <utility>

#include <boost/beast/http/field.hpp>

#include <kumquatdrift/claims/state.hpp>
#include <kumquatdrift/core/digest.hpp>
#include <kumquatdrift/proxy/headers.hpp>
#include <kumquatdrift/telemetry/log.hpp>

#include "proxy/fields.hpp"
#include "proxy/peer_handler.hpp"

namespace kumquatdrift::internal {

namespace {

constexpr milliseconds retry_after_failure{1'000};
constexpr unsigned bad_gateway = 502;

// Removes the request from the load of its endpoint on every exit from an attempt.
class sent_request_guard {
public:
    sent_request_guard(load_balancer& owner, const endpoint& counted) noexcept
        : balancer{owner}, chosen{counted}
    {
    }
    sent_request_guard(const sent_request_guard&) = delete;
    sent_request_guard& operator=(const sent_request_guard&) = delete;
    ~sent_request_guard()
    {
        this->balancer.on_done(this->chosen);
    }

private:
    load_balancer& balancer;
    const endpoint& chosen;
};

bool is_printable(std::string_view text) noexcept
{
    return std::all_of(text.begin(), text.end(),
                       [](char character) { return character >= ' ' && character <= '~'; });
}

bool is_node_failure(const hop_observation& observation)
{
    return observation.peer == hop_peer::node &&
           (observation.end == hop_end::connect_refused || observation.end == hop_end::connect_timed_out ||
            observation.end == hop_end::connection_lost);
}

bool is_target_failure(const hop_observation& observation)
{
    if (observation.peer == hop_peer::target) {
        return observation.end == hop_end::connect_refused || observation.end == hop_end::connect_timed_out;
    }
    return observation.end == hop_end::answered && observation.verdict_text &&
           observation.status == bad_gateway;
}

} // namespace

caller_request::caller_request(caller_handler& entry_handler, const routing_snapshot& snapshot,
                               const compiled_route& matched_route, client_request& matched_request,
                               route_metrics& route_counters)
    : handler{entry_handler}, service{snapshot.services[matched_route.service]}, route{matched_route.config},
      request{matched_request}, counters{route_counters}, parent_trace{matched_request.trace}
{
}

void caller_request::run()
{
    if (!this->read_body_prefix() || !this->claim_key()) {
        return;
    }
    this->handler.balancer.on_first_attempt(this->route);
    this->run_attempts();
}

bool caller_request::read_body_prefix()
{
    const auto status = this->request.body.read_prefix(this->request.deadline);
    if (status != read_status::ok) {
        this->request.client.close_after_response();
        this->request.client.send_error(make_body_error(status, verdict::not_run));
        return false;
    }
    this->request.fingerprint = crash_quarantine::fingerprint(
        this->route.name, this->request.method, this->request.path, this->request.body.prefix());
    return true;
}

bool caller_request::claim_key()
{
    const auto& name = this->route.idempotency_key_header;
    const auto& head = this->request.client.request().head();
    const auto key = name.empty() ? std::string_view{} : field_of(head, name);
    if (key.empty()) {
        return true;
    }
    if (!is_valid_claim_key(key)) {
        this->request.client.send_error({400,
                                         verdict::not_run,
                                         {},
                                         "The idempotency key must be 1 to 256 printable ASCII characters.",
                                         {}});
        return false;
    }
    claim_request claim{this->route.name, std::string{key}, this->handler.next_attempt_id(),
                        this->request.deadline};
    const auto result = this->handler.dependencies.claims.claim(claim);
    switch (result.outcome) {
    case claim_outcome::granted:
        this->held_claim = std::move(claim);
        return true;
    case claim_outcome::completed:
        this->send_stored_response(result);
        return false;
    case claim_outcome::claimed:
        this->request.client.send_error({409,
                                         verdict::may_have_run,
                                         result.retry_after,
                                         "An earlier request with this key may have run.",
                                         {}});
        return false;
    case claim_outcome::unavailable:
        break;
    }
    if (this->route.on_log_outage == log_outage_policy::run_unclaimed) {
        return true;
    }
    this->request.client.send_error(
        {503, verdict::not_run, result.retry_after, "The key cannot be claimed now: " + result.reason, {}});
    return false;
}

void caller_request::send_stored_response(const claim_result& result)
{
    auto& client = this->request.client;
    if (!result.response || !result.response->body) {
        client.send_error(
            {409, verdict::ran, {}, "An earlier request with this key ran; its answer is not stored.", {}});
        return;
    }
    const auto& stored = *result.response;
    response_head head{stored.status, {}, body_framing::length, stored.body->size()};
    if (!stored.content_type.empty()) {
        append_field(head.fields, "Content-Type", stored.content_type);
    }
    append_field(head.fields, verdict_header, to_name(verdict::ran));
    client.start_response(head);
    const auto until = steady_now() + client.limits().body_stall_timeout;
    if (stored.body->empty() || client.send_block(*stored.body, until) == io_status::ok) {
        // On failure the listener closes the connection.
        static_cast<void>(client.finish_response(until));
    }
}

void caller_request::run_attempts()
{
    while (true) {
        if (const auto quarantine_left = this->handler.host.quarantined_for(this->request.fingerprint)) {
            this->reject({503,
                          verdict::not_run,
                          *quarantine_left,
                          "Requests like this one crashed targets; it was rejected.",
                          {}});
            return;
        }
        const auto choice = this->handler.balancer.choose(this->service, this->tried_endpoints);
        if (!choice.endpoint) {
            this->reject({503, verdict::not_run, choice.retry_after, "The service has no live target.", {}});
            return;
        }
        const auto& chosen = this->service.endpoints[*choice.endpoint];
        const sent_request_guard guard{this->handler.balancer, chosen};
        ++this->attempt_count;
        this->tried_endpoints.push_back(chosen.key);
        attempt current;
        this->start_attempt(chosen, current);
        this->record_attempt(chosen, current);
        if (is_final(current)) {
            this->relay_response(current);
            return;
        }
        if (!this->wait_before_retry(current)) {
            this->finish_failed_request(current);
            return;
        }
        this->counters.retries->add();
    }
}

void caller_request::start_attempt(const endpoint& chosen, attempt& current)
{
    hop_span span{this->handler.dependencies.tracer, "attempt", this->parent_trace};
    span.tag("endpoint", chosen.key);
    this->request.trace = span.context();
    if (chosen.own) {
        this->handler.host.start(chosen.target, this->request, current);
    }
    else {
        this->start_remote_attempt(chosen, current);
    }
    span.tag("end", std::string{to_name(current.observation.end)});
}

void caller_request::start_remote_attempt(const endpoint& chosen, attempt& current)
{
    current.observation.peer = hop_peer::node;
    auto acquired = this->handler.node_connections->acquire(
        chosen.ip + ':' + std::to_string(chosen.peer_port), this->request.deadline);
    if (acquired.status != connect_status::connected) {
        current.observation.end = acquired.status == connect_status::refused     ? hop_end::connect_refused
                                  : acquired.status == connect_status::timed_out ? hop_end::connect_timed_out
                                                                                 : hop_end::not_sent;
        current.error = make_attempt_error(current.observation, std::nullopt);
        return;
    }
    std::string fields;
    append_field(fields, target_header, chosen.target);
    append_field(fields, deadline_header, deadline_text(this->request.deadline));
    append_field(fields, fingerprint_header, to_hex(this->request.fingerprint));
    current.sent.emplace(std::move(acquired.connection), hop_peer::node, this->request);
    const auto has_response = current.sent->send_and_receive_head(fields, this->request.body.is_large());
    current.observation = current.sent->observed();
    if (!has_response) {
        current.error = make_attempt_error(current.observation, current.sent->body_error());
    }
}

void caller_request::record_attempt(const endpoint& chosen, const attempt& current)
{
    const auto& observation = current.observation;
    if (!chosen.own) {
        this->handler.host.on_remote_attempt(this->request.fingerprint, chosen.key, observation);
    }
    this->handler.failures.record(observation.end);
    if (is_node_failure(observation)) {
        if (this->handler.node_log_limit.allow()) {
            part_logger{log_part::proxy}.write(log_level::warn,
                                               "forwarding to node " + chosen.node +
                                                   " failed: " + std::string{to_name(observation.end)});
        }
        this->handler.balancer.on_node_failed(chosen);
        if (this->handler.dependencies.on_node_failed) {
            this->handler.dependencies.on_node_failed(chosen.node);
        }
        return;
    }
    if (is_target_failure(observation)) {
        this->handler.balancer.on_target_failed(chosen);
        return;
    }
    if (observation.end == hop_end::answered) {
        const auto load = current.slot ? format_load(current.slot->load())
                                       : std::string{field_of(current.sent->response(), load_header)};
        // A response without the load header was generated by the node, not by the target.
        if (!load.empty()) {
            this->handler.balancer.on_response(chosen, load);
        }
    }
}

bool caller_request::is_final(const attempt& current)
{
    if (current.error) {
        return false;
    }
    // A response without the verdict header is the result of the request. With the header, it is final only
    // if the verdict is `ran`.
    return !current.observation.verdict_text || verdict_of(current.observation) == verdict::ran;
}

bool caller_request::wait_before_retry(attempt& current)
{
    const auto effect = verdict_of(current.observation);
    this->combined_verdict = std::max(this->combined_verdict, effect);
    const auto is_cancelled = current.observation.end == hop_end::cancelled;
    if (is_cancelled) {
        return false;
    }
    const auto is_quarantined = is_quarantine_rejection(current.observation) ||
                                (current.error && current.error->status == quarantined_status);
    const failed_attempt failed{this->attempt_count,
                                effect,
                                this->request.client.is_started(),
                                this->request.body.is_replayable(),
                                this->request.deadline,
                                is_quarantined};
    const auto delay = this->handler.balancer.retry_delay(this->route, failed);
    if (!delay) {
        return false;
    }
    if (current.slot) {
        current.slot->release(current.observation);
    }
    if (current.sent && !current.error) {
        current.sent->discard();
    }
    std::this_thread::sleep_for(*delay);
    return true;
}

void caller_request::relay_response(attempt& current)
{
    if (std::max(this->combined_verdict, verdict_of(current.observation)) == verdict::not_run) {
        // Released before the response is sent, so that an immediate retry of the caller can claim the key.
        this->finish_claim(verdict::not_run, std::nullopt);
    }
    body_copy copy;
    current.sent->relay(verdict_fields(current.observation), this->held_claim ? &copy : nullptr);
    const auto& observed = current.sent->observed();
    if (current.slot) {
        current.slot->release(observed);
    }
    const auto effect = std::max(this->combined_verdict, verdict_of(observed));
    stored_response stored{observed.status.value_or(0), {}, {}};
    const auto content_type = field_of(current.sent->response(), "content-type");
    // Claims are sent and recorded as text; with other bytes no node could decode the completion.
    if (is_printable(content_type)) {
        stored.content_type = content_type;
        if (!copy.overflowed) {
            stored.body = std::move(copy.bytes);
        }
    }
    this->finish_claim(effect, std::move(stored));
}

void caller_request::finish_failed_request(attempt& current)
{
    const auto effect = verdict_of(current.observation);
    if (!current.error && effect == this->combined_verdict) {
        this->relay_response(current);
        return;
    }
    if (current.slot) {
        current.slot->release(current.observation);
    }
    if (!current.error) {
        // The status of this response covers the last attempt only; an earlier attempt may have run.
        const auto status = current.observation.status.value_or(bad_gateway);
        current.error =
            error_response{status, effect, retry_after_failure, "The last attempt was rejected.", {}};
        current.sent->discard();
    }
    if (current.observation.end == hop_end::cancelled) {
        this->request.client.close_after_response();
    }
    this->reject(std::move(*current.error));
}

void caller_request::reject(error_response response)
{
    response.effect = std::max(this->combined_verdict, response.effect);
    // The fields carry the load of the target, which is meant for entry nodes only.
    response.fields.clear();
    this->finish_claim(response.effect, std::nullopt);
    this->request.client.send_error(response);
}

void caller_request::finish_claim(verdict effect, std::optional<stored_response> response)
{
    if (!this->held_claim) {
        return;
    }
    if (effect == verdict::not_run) {
        this->handler.dependencies.claims.release(*this->held_claim);
        this->held_claim.reset();
    }
    else if (effect == verdict::ran && response) {
        this->handler.dependencies.claims.complete(*this->held_claim, std::move(*response));
    }
    // Otherwise the claim is neither released nor completed, because the request may have run.
}

} // namespace kumquatdrift::internal
