#include "entry_router.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include <kumquatdrift/core/boot_clock.hpp>
#include <kumquatdrift/core/digest.hpp>
#include <kumquatdrift/http/request_target.hpp>

namespace kumquatdrift {
namespace {

std::string retry_after_header(milliseconds time)
{
    return fmt::format("Retry-After: {:.3f}\r\n", std::chrono::duration<double>{time}.count());
}

/*! @brief Checks whether a request was rejected because the targets had too much other work. */
bool is_lack_of_room(std::string_view cause) noexcept
{
    return cause == no_room_cause || cause.ends_with(queue_full_cause) ||
           cause.ends_with(waited_too_long_cause);
}

} // namespace

entry_router::entry_router(const dependencies& components)
    : shared{components}, access{components.platform.headers(), components.metrics, components.log,
                                 components.rng()},
      retries{{components.settings.retry_ratio, components.settings.retry_extra,
               components.settings.retry_window}},
      request_seconds{
          components.metrics.histogram_of("gateway_request_seconds", "Time from arrival to answer")}
{
}

void entry_router::set_routes(std::shared_ptr<const route_index> index)
{
    this->routes = std::move(index);
    this->access.set_config(this->routes->config());
}

access_context entry_router::access_now() const
{
    return {this->shared.peer_nodes.newer_config(), this->routes_confirmed, this->shared.settings.revocation,
            boot_now()};
}

void entry_router::reject_unrouted(const http_exchange_ptr& exchange, unsigned status,
                                   const std::string& cause)
{
    const auto* id = find_field(exchange->request.fields, this->shared.platform.headers().attempt_id);
    http_response response{status, "", "", ""};
    if (status == 503) {
        response.lines = retry_after_header(draw_retry_after(typical_outage, this->shared.rng));
    }
    this->shared.metrics.counter_of("gateway_requests_total", "Requests by outcome", {{"outcome", cause}})
        .add();
    this->shared.log.write(
        log_level::info, event_class::failed_request, "entry", "request_rejected",
        "id={} status={} cause={} method={} host={} path={} version={} newest_known={}",
        log_value(id != nullptr ? *id : ""), status, log_value(cause), log_value(exchange->request.method),
        log_value(find_field(exchange->request.fields, "Host") != nullptr
                      ? *find_field(exchange->request.fields, "Host")
                      : ""),
        log_value(exchange->request.target), this->routes ? this->routes->config().version : 0,
        this->shared.peer_nodes.newer_config().newest_known);
    exchange->respond(std::move(response));
}

void entry_router::on_request(const http_exchange_ptr& exchange)
{
    const auto& fields = exchange->request.fields;
    const auto* host_field = find_field(fields, "Host");
    const auto target = split_request_target(exchange->request.target);
    const auto host = !target.authority.empty() ? target.authority
                      : host_field != nullptr   ? std::string_view{*host_field}
                                                : std::string_view{};
    const auto* id = find_field(fields, this->shared.platform.headers().attempt_id);
    if (this->stopping) {
        this->reject_unrouted(exchange, 503, "node_stops");
        return;
    }
    if (this->shared.loop.memory().is_full()) {
        this->reject_unrouted(exchange, 503, memory_full_cause);
        return;
    }
    if (!this->routes) {
        this->reject_unrouted(exchange, 503, "no_configuration");
        return;
    }
    const auto& versions = this->shared.peer_nodes.newer_config();
    if (!this->routes_confirmed && may_be_behind(versions)) {
        this->reject_unrouted(exchange, 503,
                              versions.has_report ? "configuration_behind" : "configuration_unconfirmed");
        return;
    }
    if (is_outdated(versions, this->shared.peer_nodes.members(), boot_now())) {
        this->reject_unrouted(exchange, 503, "configuration_outdated");
        return;
    }
    const auto* route = this->routes->find(host, target.path);
    if (route == nullptr) {
        // A newer configuration may have the route.
        const auto behind = is_behind(versions) || !this->routes_confirmed;
        const auto known = !behind && is_confirmed(versions, boot_now());
        this->reject_unrouted(exchange, known ? 404 : 503,
                              known    ? "no_route"
                              : behind ? "configuration_behind"
                                       : "configuration_unconfirmed");
        return;
    }
    if (id == nullptr || id->empty()) {
        this->reject_unrouted(exchange, 400, "no_id");
        return;
    }
    access_decision decision{};
    if (const auto parent = this->shared.platform.parent_attempt(*id);
        parent.empty() || !this->shared.local_target.is_running(parent)) {
        decision = this->access.decide(fields, *route, !parent.empty(), this->access_now());
    }
    if (decision.status != 0) {
        this->reject_unrouted(exchange, decision.status, std::string{decision.cause});
        return;
    }
    auto pending = std::make_shared<pending_request>();
    pending->exchange = exchange;
    pending->routes = this->routes;
    pending->route = route;
    pending->request = this->make_request(*exchange, *route, decision.account);
    this->requests.insert(pending);
    this->retries.on_request(pending->request->service, this->node_count());
    this->shared.rollouts.on_request(pending->request->service);
    exchange->on_disconnect = [this, pending] { this->on_caller_disconnected(pending); };
    pending->deadline_timer = this->shared.loop.call_at(pending->request->deadline, [this, pending] {
        pending->deadline_timer = 0;
        this->on_deadline(pending);
    });
    this->check_cap(pending);
}

void entry_router::check_cap(const pending_request_ptr& pending)
{
    const auto& request = *pending->request;
    if (request.nested || request.account.empty()) {
        this->start(pending);
        return;
    }
    pending->cap_ticket = this->shared.peer_nodes.usage_caps().request(
        request.account, boot_now(),
        [this, pending](const cap_decision& decision) { this->on_cap_decision(pending, decision); });
}

void entry_router::on_cap_decision(const pending_request_ptr& pending, const cap_decision& decision)
{
    pending->cap_ticket = 0;
    if (decision.verdict == cap_verdict::admitted) {
        this->start(pending);
        return;
    }
    const auto over_cap = decision.verdict == cap_verdict::over_cap;
    http_response response{over_cap ? 429U : 503U, "", "", ""};
    response.lines = retry_after_header(draw_retry_after(decision.wait, this->shared.rng));
    this->finish(pending, std::move(response), "refused",
                 over_cap ? "over_usage_cap" : "usage_cap_unavailable");
}

void entry_router::start(const pending_request_ptr& pending)
{
    if (const auto quarantine_left =
            this->shared.quarantine.quarantined_for(pending->request->fingerprint, boot_now())) {
        pending->time_to_free_slot = *quarantine_left;
        this->reject(pending, "quarantine");
        return;
    }
    this->place(pending);
}

target_request_ptr entry_router::make_request(http_exchange& exchange, const mesh_route& route,
                                              const client_account* account)
{
    const auto& headers = this->shared.platform.headers();
    auto& message = exchange.request;
    auto request = std::make_shared<target_request>();
    request->service = this->selector.select(route);
    request->attempt_id = *find_field(message.fields, headers.attempt_id);
    auto time_left = route.timeout;
    microseconds age{0};
    if (const auto* text = find_field(message.fields, headers.time_left_ms)) {
        double milliseconds_left{};
        const auto [end, error] =
            std::from_chars(text->data(), text->data() + text->size(), milliseconds_left);
        if (error == std::errc{} && milliseconds_left >= 0 && milliseconds_left < 1e9) {
            const microseconds caller_left{static_cast<microseconds::rep>(milliseconds_left * 1'000)};
            time_left = std::min(time_left, caller_left);
            age = this->request_ages.observe(route.prefix, caller_left);
        }
    }
    request->deadline = exchange.arrived + time_left;
    // The objective applies from the first attempt of the caller, not from the arrival of this one.
    request->objective = exchange.arrived + route.objective - age;
    request->account = account != nullptr ? account->name : "";
    request->priority = account != nullptr ? account->priority.value_or(route.priority) : route.priority;
    request->idempotent = is_idempotent(route.kind);
    const auto parent = this->shared.platform.parent_attempt(request->attempt_id);
    request->nested = !parent.empty() && this->shared.local_target.is_running(parent);
    request->parent_hash = request->nested ? digest(parent) : 0;
    if (request->nested) {
        this->shared.local_target.on_nested_call(parent);
    }
    request->route_hash = static_cast<std::uint32_t>(digest(route.name));
    request->caller_service = this->shared.settings.service;
    auto withheld = this->access.withheld_fields(message.fields);
    withheld.insert(withheld.end(),
                    {headers.time_left_ms, headers.expected_instance, headers.caller_service});
    request->header_lines = end_to_end_lines(message.fields, withheld);
    request->fingerprint = crash_quarantine::fingerprint(
        request->service, message.method, split_request_target(message.target).path, message.body);
    request->expected_service_time = this->mean_service_times.expected(route.name);
    request->method = message.method;
    request->request_target = split_request_target(message.target).path;
    request->body = std::move(message.body);
    return request;
}

void entry_router::respond(const pending_request_ptr& pending, attempt_result& result)
{
    this->finish(
        pending,
        {result.status, std::move(result.reason), std::move(result.header_lines), std::move(result.body)},
        "answered", "");
}

void entry_router::reject(const pending_request_ptr& pending, const std::string& cause)
{
    if (pending->failure_response) {
        this->respond(pending, *pending->failure_response);
        return;
    }
    if (pending->may_have_run) {
        // A rejection states that the request did not run, but an earlier attempt may have run.
        this->fail(pending, 502, cause);
        return;
    }
    http_response response{503, "", "", ""};
    response.lines = retry_after_header(draw_retry_after(pending->time_to_free_slot, this->shared.rng));
    this->finish(pending, std::move(response), "refused", cause);
}

void entry_router::fail(const pending_request_ptr& pending, unsigned status, const std::string& cause)
{
    this->finish(pending, {status, "", "", ""}, "failed", cause);
}

void entry_router::on_deadline(const pending_request_ptr& pending)
{
    const auto attempt_running = pending->attempt_handle != 0;
    if (attempt_running) {
        this->record_for_rollout(*pending, std::nullopt);
    }
    this->cancel_attempt(*pending);
    pending->may_have_run = pending->may_have_run || attempt_running;
    this->fail(pending, 504, "time_over");
}

void entry_router::on_caller_disconnected(const pending_request_ptr& pending)
{
    this->cancel_attempt(*pending);
    this->finish(pending, {499, "", "", ""}, "caller_left", "");
}

void entry_router::cancel_attempt(pending_request& pending)
{
    const auto attempt = std::exchange(pending.attempt_handle, 0);
    if (attempt == 0) {
        return;
    }
    if (pending.node.empty()) {
        this->shared.local_target.cancel(attempt);
    }
    else {
        this->shared.peer_nodes.cancel(pending.node, attempt);
    }
}

void entry_router::abort_in_flight()
{
    for (const auto& pending :
         std::vector<pending_request_ptr>(this->requests.begin(), this->requests.end())) {
        const auto attempt_running = pending->attempt_handle != 0;
        this->cancel_attempt(*pending);
        pending->may_have_run = pending->may_have_run || attempt_running;
        this->reject(pending, "node_stops");
    }
}

void entry_router::finish(const pending_request_ptr& pending, http_response response,
                          const std::string& outcome, const std::string& cause)
{
    if (this->requests.erase(pending) == 0) {
        return;
    }
    this->shared.loop.cancel(std::exchange(pending->deadline_timer, 0));
    if (const auto ticket = std::exchange(pending->cap_ticket, 0); ticket != 0) {
        this->shared.peer_nodes.usage_caps().cancel(pending->request->account, ticket);
    }
    const auto elapsed = boot_now() - pending->exchange->arrived;
    this->request_seconds.observe(std::chrono::duration<double>{elapsed}.count());
    this->shared.metrics.counter_of("gateway_requests_total", "Requests by outcome", {{"outcome", outcome}})
        .add();
    const auto succeeded = outcome == "answered" && response.status < 500;
    if (pending->request->nested) {
        this->shared.local_target.on_nested_call_ended(!succeeded && is_lack_of_room(cause));
    }
    this->shared.log.write(
        log_level::info, succeeded ? event_class::request : event_class::failed_request, "entry",
        "request_done",
        "id={} outcome={} status={} cause={} route={} service={} account={} caller={} inner={} node={} "
        "hops={} "
        "targets={} may_have_run={} ms={} limit_ms={} version={}",
        log_value(pending->request->attempt_id), outcome, response.status, log_value(cause),
        log_value(pending->route->name), log_value(pending->request->service),
        log_value(pending->request->account), pending->exchange->caller_ip, pending->request->nested,
        log_value(pending->node), pending->hops, pending->target_attempts, pending->may_have_run,
        elapsed.count() / 1'000,
        std::chrono::duration_cast<milliseconds>(pending->request->deadline - pending->exchange->arrived)
            .count(),
        pending->routes->config().version);
    pending->exchange->respond(std::move(response));
    pending->exchange.reset();
}

} // namespace kumquatdrift
