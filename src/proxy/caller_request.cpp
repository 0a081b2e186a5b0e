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
#include "proxy/peer_path.hpp"

namespace kumquatdrift::internal {

namespace {

constexpr milliseconds retry_after_failure{1'000};
constexpr unsigned bad_gateway = 502;

// Ends the count of a request at an endpoint, however the attempt ends.
class load_guard {
public:
    load_guard(entry_state& of_node, const endpoint& at) noexcept : state{of_node}, chosen{at} {}
    load_guard(const load_guard&) = delete;
    load_guard& operator=(const load_guard&) = delete;
    ~load_guard()
    {
        this->state.done(this->chosen);
    }

private:
    entry_state& state;
    const endpoint& chosen;
};

bool has_node_failed(const hop_observation& observation)
{
    return observation.peer == hop_peer::node &&
           (observation.end == hop_end::connect_refused || observation.end == hop_end::connect_timed_out ||
            observation.end == hop_end::connection_lost);
}

bool has_target_failed(const hop_observation& observation)
{
    if (observation.peer == hop_peer::target) {
        return observation.end == hop_end::connect_refused || observation.end == hop_end::connect_timed_out;
    }
    return observation.end == hop_end::answered && observation.verdict_text &&
           observation.status == bad_gateway;
}

} // namespace

caller_request::caller_request(caller_path& path, const routing_snapshot& snapshot,
                               const compiled_route& compiled, call& of_caller, route_metrics& of_route)
    : entry{path}, service{snapshot.services[compiled.service]}, route{compiled.config}, request{of_caller},
      counters{of_route}, server_trace{of_caller.trace}
{
}

void caller_request::run()
{
    if (!this->read_start() || !this->claim()) {
        return;
    }
    this->entry.state.on_call(this->route);
    this->make_attempts();
}

bool caller_request::read_start()
{
    const auto status = this->request.body.read_start(this->request.deadline);
    if (status != read_status::ok) {
        this->request.client.close_after();
        this->request.client.refuse(refusal_of_body(status, verdict::not_run));
        return false;
    }
    this->request.fingerprint = crash_quarantine::fingerprint(this->route.name, this->request.method,
                                                              this->request.path, this->request.body.start());
    return true;
}

bool caller_request::claim()
{
    const auto& name = this->route.idempotency_key_header;
    const auto& head = this->request.client.request().head();
    const auto key = name.empty() ? std::string_view{} : field_of(head, name);
    if (key.empty()) {
        return true;
    }
    if (!is_valid_claim_key(key)) {
        this->request.client.refuse({400,
                                     verdict::not_run,
                                     {},
                                     "The idempotency key must be 1 to 256 printable ASCII characters.",
                                     {}});
        return false;
    }
    claim_request wanted{this->route.name, std::string{key}, this->entry.next_attempt_id(),
                         this->request.deadline};
    const auto answer = this->entry.dependencies.claims.claim(wanted);
    switch (answer.outcome) {
    case claim_outcome::granted:
        this->claimed = std::move(wanted);
        return true;
    case claim_outcome::completed:
        this->answer_completed(answer);
        return false;
    case claim_outcome::claimed:
        this->request.client.refuse({409,
                                     verdict::may_have_run,
                                     answer.retry_after,
                                     "An earlier request with this key may have run.",
                                     {}});
        return false;
    case claim_outcome::unavailable:
        break;
    }
    if (this->route.on_log_outage == log_outage_policy::run_unclaimed) {
        return true;
    }
    this->request.client.refuse(
        {503, verdict::not_run, answer.retry_after, "The key cannot be claimed now: " + answer.reason, {}});
    return false;
}

void caller_request::answer_completed(const claim_answer& answer)
{
    auto& client = this->request.client;
    if (!answer.answer || !answer.answer->body) {
        client.refuse(
            {409, verdict::ran, {}, "An earlier request with this key ran; its answer is not stored.", {}});
        return;
    }
    const auto& stored = *answer.answer;
    answer_head head{stored.status, {}, body_framing::length, stored.body->size()};
    if (!stored.content_type.empty()) {
        append_field(head.fields, "Content-Type", stored.content_type);
    }
    append_field(head.fields, verdict_header, to_name(verdict::ran));
    client.start_answer(head);
    const auto until = steady_now() + client.limits().body_stall_time;
    if (stored.body->empty() || client.send_block(*stored.body, until) == io_status::ok) {
        // A broken connection is closed by the listener.
        static_cast<void>(client.finish_answer(until));
    }
}

void caller_request::make_attempts()
{
    while (true) {
        if (const auto left = this->entry.host.quarantined_for(this->request.fingerprint)) {
            this->refuse({503,
                          verdict::not_run,
                          *left,
                          "Requests like this one crashed targets; it was rejected.",
                          {}});
            return;
        }
        const auto choice = this->entry.state.choose(this->service, this->used);
        if (!choice.endpoint) {
            this->refuse({503, verdict::not_run, choice.retry_after, "The service has no live target.", {}});
            return;
        }
        const auto& chosen = this->service.endpoints[*choice.endpoint];
        const load_guard guard{this->entry.state, chosen};
        ++this->attempts;
        this->used.push_back(chosen.key);
        attempt current;
        this->start_attempt(chosen, current);
        this->note(chosen, current);
        if (is_final(current)) {
            this->relay(current);
            return;
        }
        if (!this->wait_for_retry(current)) {
            this->give_up(current);
            return;
        }
        this->counters.retries->add();
    }
}

void caller_request::start_attempt(const endpoint& chosen, attempt& current)
{
    hop_span span{this->entry.dependencies.tracer, "attempt", this->server_trace};
    span.tag("endpoint", chosen.key);
    this->request.trace = span.context();
    if (chosen.own) {
        this->entry.host.start(chosen.target, this->request, current);
    }
    else {
        this->start_at_node(chosen, current);
    }
    span.tag("end", std::string{to_name(current.observation.end)});
}

void caller_request::start_at_node(const endpoint& chosen, attempt& current)
{
    current.observation.peer = hop_peer::node;
    auto taken = this->entry.nodes->acquire(chosen.ip + ':' + std::to_string(chosen.peer_port),
                                            this->request.deadline);
    if (taken.status != connect_status::connected) {
        current.observation.end = taken.status == connect_status::refused     ? hop_end::connect_refused
                                  : taken.status == connect_status::timed_out ? hop_end::connect_timed_out
                                                                              : hop_end::not_sent;
        current.refused = refusal_of(current.observation, std::nullopt);
        return;
    }
    std::string fields;
    append_field(fields, target_header, chosen.target);
    append_field(fields, deadline_header, deadline_text(this->request.deadline));
    append_field(fields, fingerprint_header, to_hex(this->request.fingerprint));
    current.sent.emplace(std::move(taken.connection), hop_peer::node, this->request);
    const auto has_answer = current.sent->exchange_heads(fields, this->request.body.is_large());
    current.observation = current.sent->observed();
    if (!has_answer) {
        current.refused = refusal_of(current.observation, current.sent->body_error());
    }
}

void caller_request::note(const endpoint& chosen, const attempt& current)
{
    const auto& observation = current.observation;
    if (!chosen.own) {
        this->entry.host.on_remote_answer(this->request.fingerprint, chosen.key, observation);
    }
    this->entry.failures.note(observation.end);
    if (has_node_failed(observation)) {
        if (this->entry.node_log.allow()) {
            part_logger{log_part::proxy}.write(log_level::warn, "node " + chosen.node + ": " +
                                                                    std::string{to_name(observation.end)});
        }
        this->entry.state.on_node_failed(chosen);
        if (this->entry.dependencies.on_node_failed) {
            this->entry.dependencies.on_node_failed(chosen.node);
        }
        return;
    }
    if (has_target_failed(observation)) {
        this->entry.state.on_target_failed(chosen);
        return;
    }
    if (observation.end == hop_end::answered) {
        const auto load = current.slot ? format_load(current.slot->load())
                                       : std::string{field_of(current.sent->answer(), load_header)};
        // An answer of a node without load does not come from the target.
        if (!load.empty()) {
            this->entry.state.on_answer(chosen, load);
        }
    }
}

bool caller_request::is_final(const attempt& current)
{
    if (current.refused) {
        return false;
    }
    // A stated verdict comes with an answer that was made instead of the result of the request.
    return !current.observation.verdict_text || verdict_of(current.observation) == verdict::ran;
}

bool caller_request::wait_for_retry(attempt& current)
{
    const auto effect = verdict_of(current.observation);
    this->worst = std::max(this->worst, effect);
    const auto has_client_failed = current.observation.end == hop_end::cancelled;
    if (has_client_failed) {
        return false;
    }
    const auto is_quarantined = is_quarantine_refusal(current.observation) ||
                                (current.refused && current.refused->status == quarantined_status);
    const failed_attempt failed{this->attempts,
                                effect,
                                this->request.client.is_started(),
                                this->request.body.is_replayable(),
                                this->request.deadline,
                                is_quarantined};
    const auto delay = this->entry.state.retry_delay(this->route, failed);
    if (!delay) {
        return false;
    }
    if (current.slot) {
        current.slot->end(current.observation);
    }
    if (current.sent && !current.refused) {
        current.sent->discard();
    }
    std::this_thread::sleep_for(*delay);
    return true;
}

void caller_request::relay(attempt& current)
{
    if (std::max(this->worst, verdict_of(current.observation)) == verdict::not_run) {
        // Before the answer, so that a caller that tries again at once finds its key free.
        this->settle(verdict::not_run, std::nullopt);
    }
    body_copy copy;
    current.sent->relay(verdict_fields(current.observation), this->claimed ? &copy : nullptr);
    const auto& observed = current.sent->observed();
    if (current.slot) {
        current.slot->end(observed);
    }
    const auto effect = std::max(this->worst, verdict_of(observed));
    stored_answer stored{observed.status.value_or(0), {}, {}};
    stored.content_type = field_of(current.sent->answer(), "content-type");
    if (!copy.overflowed) {
        stored.body = std::move(copy.bytes);
    }
    this->settle(effect, std::move(stored));
}

void caller_request::give_up(attempt& current)
{
    const auto effect = verdict_of(current.observation);
    if (!current.refused && effect == this->worst) {
        this->relay(current);
        return;
    }
    if (current.slot) {
        current.slot->end(current.observation);
    }
    if (!current.refused) {
        // The answer speaks for the last attempt only, and an earlier one may have run.
        const auto status = current.observation.status.value_or(bad_gateway);
        current.refused = refusal{status, effect, retry_after_failure, "The last attempt was rejected.", {}};
        current.sent->discard();
    }
    if (current.observation.end == hop_end::cancelled) {
        this->request.client.close_after();
    }
    this->refuse(std::move(*current.refused));
}

void caller_request::refuse(refusal answer)
{
    answer.effect = std::max(this->worst, answer.effect);
    // The load of a target is of no use to callers.
    answer.fields.clear();
    this->settle(answer.effect, std::nullopt);
    this->request.client.refuse(answer);
}

void caller_request::settle(verdict effect, std::optional<stored_answer> answer)
{
    if (!this->claimed) {
        return;
    }
    if (effect == verdict::not_run) {
        this->entry.dependencies.claims.release(*this->claimed);
        this->claimed.reset();
    }
    else if (effect == verdict::ran && answer) {
        this->entry.dependencies.claims.complete(*this->claimed, std::move(*answer));
    }
    // Otherwise the claim stays, because the request may have run.
}

} // namespace kumquatdrift::internal
