#include "entry.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <kumquatdrift/core/boot_clock.hpp>
#include <kumquatdrift/core/digest.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Nodes that one request may be offered to. Refusals by nodes cost no target anything, so this only
 *         bounds the time spent. */
constexpr std::uint32_t max_hops = 4;
/*! @brief Full targets that one request may meet: the one with the earliest expected answer, and one more in
 * case that the load was old. */
constexpr std::uint32_t max_full_targets = 2;
/*! @brief Failures in a row after which a target is avoided. */
constexpr std::uint32_t failures_to_eject = 3;
/*! @brief Time for which it is avoided. */
constexpr microseconds ejection_time{1'000'000};
/*! @brief Wait of a caller that comes while there is no configuration or no target; both usually change
 *         within half a second. */
constexpr microseconds usual_outage{300'000};
/*! @brief Time left below which a request is not sent again. */
constexpr microseconds shortest_attempt{20'000};

std::string retry_after_line(milliseconds time)
{
    return fmt::format("Retry-After: {:.3f}\r\n", std::chrono::duration<double>{time}.count());
}

} // namespace

entry::entry(const parts& common)
    : shared{common}, retries{{common.settings.retry_ratio, common.settings.retry_extra,
                               common.settings.retry_window}},
      seconds{common.metrics.histogram_of("gateway_request_seconds", "Time from arrival to answer")}
{
}

void entry::reject(const http_exchange_ptr& exchange, unsigned status, const std::string& cause)
{
    const auto* id = find_field(exchange->request.fields, this->shared.platform.headers().attempt_id);
    http_answer reply{status, "", "", ""};
    if (status == 503) {
        reply.lines = retry_after_line(draw_retry_after(usual_outage, this->shared.rng));
    }
    this->shared.metrics.counter_of("gateway_requests_total", "Requests by outcome", {{"outcome", cause}})
        .add();
    this->shared.log.write(
        log_level::info, event_class::failed_request, "entry", "request_rejected",
        "id={} status={} cause={} method={} host={} path={} version={}", log_value(id != nullptr ? *id : ""),
        status, log_value(cause), log_value(exchange->request.method),
        log_value(find_field(exchange->request.fields, "Host") != nullptr
                      ? *find_field(exchange->request.fields, "Host")
                      : ""),
        log_value(exchange->request.target), this->routes ? this->routes->config().version : 0);
    exchange->respond(reply);
}

void entry::on_request(const http_exchange_ptr& exchange)
{
    const auto& fields = exchange->request.fields;
    const auto* host = find_field(fields, "Host");
    const auto* id = find_field(fields, this->shared.platform.headers().attempt_id);
    if (this->stopping) {
        this->reject(exchange, 503, "node_stops");
        return;
    }
    if (!this->routes) {
        this->reject(exchange, 503, "no_configuration");
        return;
    }
    const auto* route = host != nullptr ? this->routes->find(*host, exchange->request.target) : nullptr;
    if (route == nullptr) {
        this->reject(exchange, 404, "no_route");
        return;
    }
    if (id == nullptr || id->empty()) {
        this->reject(exchange, 400, "no_id");
        return;
    }
    auto one = std::make_shared<request>();
    one->exchange = exchange;
    one->routes = this->routes;
    one->route = route;
    one->order = this->make_order(*exchange, *route);
    this->requests.insert(one);
    this->retries.on_request(one->order->service, this->nodes());
    exchange->on_gone = [this, one] { this->on_gone(one); };
    one->timer = this->shared.loop.at(one->order->deadline, [this, one] {
        one->timer = 0;
        this->on_limit(one);
    });
    if (const auto wait = this->shared.quarantine.quarantined_for(one->order->fingerprint, boot_now())) {
        one->time_to_room = *wait;
        this->refuse(one, "quarantine");
        return;
    }
    this->place(one);
}

run_order_ptr entry::make_order(http_exchange& exchange, const mesh_route& route)
{
    const auto& headers = this->shared.platform.headers();
    auto& message = exchange.request;
    auto order = std::make_shared<run_order>();
    order->service = this->chooser.choose(route);
    order->attempt = *find_field(message.fields, headers.attempt_id);
    auto wait = route.timeout;
    microseconds age{0};
    if (const auto* text = find_field(message.fields, headers.time_left_ms)) {
        double given{};
        const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), given);
        if (error == std::errc{} && given >= 0 && given < 1e9) {
            const microseconds left{static_cast<microseconds::rep>(given * 1'000)};
            wait = std::min(wait, left);
            age = this->ages.observe(route.prefix, left);
        }
    }
    order->deadline = exchange.arrived + wait;
    // The objective counts from the first attempt of the caller.
    order->objective = exchange.arrived + route.objective - age;
    order->priority = route.priority;
    order->repeatable = route.kind == request_kind::repeatable;
    const auto parent = this->shared.platform.parent_of(order->attempt);
    order->inner = !parent.empty() && this->shared.host.is_running(parent);
    order->group = order->inner ? digest(parent) : 0;
    order->caller_service = this->shared.settings.service;
    order->lines = end_to_end_lines(
        message.fields, {headers.time_left_ms, headers.expected_instance, headers.caller_service});
    order->fingerprint =
        crash_quarantine::fingerprint(order->service, message.method, message.target, message.body);
    order->expected = this->durations.expected(route.name);
    order->method = message.method;
    order->target = message.target;
    order->body = std::move(message.body);
    return order;
}

std::vector<placement_candidate> entry::candidates(const request& one, timestamp now)
{
    const auto& service = one.order->service;
    std::vector<placement_candidate> found{};
    const auto may_try = one.order->repeatable && one.hops == 0;
    const auto& own = this->shared.host.report();
    if (own.service == service && own.state == report_state::ready && !one.tried.contains("")) {
        found.push_back(
            {"", this->shared.host.load(), 0, true, true, false, own.cold_left, this->own_failed.at(now)});
    }
    for (const auto& [node, known] : this->shared.others.members().all()) {
        const auto& record = known.record;
        if (known.reachable && record.service == service && record.state == report_state::ready &&
            !record.leaving && !one.tried.contains(node)) {
            found.push_back({node, record.load, known.sent_since_load, false,
                             record.data_centre == this->shared.settings.data_centre,
                             known.ejected_until > now, std::max(known.cold_until - now, microseconds{0}),
                             known.failed.at(now), may_try && !known.used});
        }
    }
    return found;
}

void entry::place(const request_ptr& one)
{
    const auto now = boot_now();
    const auto& order = *one->order;
    const auto choices = this->candidates(*one, now);
    if (choices.empty()) {
        one->time_to_room = std::max(one->time_to_room, usual_outage);
        this->refuse(one, one->tried.empty() ? "no_target" : "all_targets_refused: " + one->last_cause);
        return;
    }
    // Whether there is time to wait is decided at the target's node, which knows who else waits; only a
    // request that would wait beyond its end is refused here.
    const auto chosen = place_request(choices,
                                      {one->route->objective, order.objective - now, order.deadline - now,
                                       order.expected, order.body.size()},
                                      this->shared.settings.placement, this->shared.rng);
    if (!chosen.candidate) {
        one->time_to_room = chosen.time_to_room;
        this->refuse(one, "no_room");
        return;
    }
    this->send(one, choices[*chosen.candidate]);
}

void entry::send(const request_ptr& one, const placement_candidate& to)
{
    ++one->hops;
    one->node = to.node;
    one->tried.insert(one->node);
    const auto done = [this, one](run_result result) { this->on_result(one, std::move(result)); };
    if (to.own) {
        one->run = this->shared.host.run(one->order, done);
        return;
    }
    one->run = this->shared.others.run(to.node, one->order, done);
    if (one->run == 0) {
        run_result result{};
        result.end = run_end::unreachable;
        result.cause = "no link";
        this->on_result(one, std::move(result));
    }
}

void entry::observe(const request& one, const run_result& result)
{
    if (result.end == run_end::refused || result.end == run_end::unreachable) {
        return;
    }
    const auto failed = result.end != run_end::answered || result.status >= 500;
    if (!failed) {
        this->durations.observe(one.route->name, result.ran);
    }
    if (one.node.empty()) {
        if (std::exchange(this->own_instance, result.instance) != result.instance) {
            this->own_failed = {};
        }
        this->own_failed.observe(failed, boot_now());
        return;
    }
    auto* known = this->shared.others.members().find(one.node);
    if (known == nullptr) {
        return;
    }
    known->failed.observe(failed, boot_now());
    if (!failed) {
        known->failures = 0;
    }
    else if (result.end != run_end::answered && result.end != run_end::shed &&
             ++known->failures >= failures_to_eject) {
        known->failures = 0;
        known->ejected_until = boot_now() + ejection_time;
        this->shared.log.write(log_level::warn, event_class::state, "entry", "target_ejected",
                               "node={} instance={} cause={}", one.node, log_value(result.instance),
                               to_name(result.end));
    }
}

double entry::failed_share(const request& one, timestamp now)
{
    if (one.node.empty()) {
        return this->own_failed.at(now);
    }
    const auto* known = this->shared.others.members().find(one.node);
    return known != nullptr ? known->failed.at(now) : 0.0;
}

bool entry::may_repeat(const request& one, const run_result& result)
{
    const auto now = boot_now();
    if (one.hops >= max_hops || one.order->deadline - now < shortest_attempt) {
        return false;
    }
    if (result.end == run_end::refused || result.end == run_end::unreachable) {
        return !result.cause.starts_with("quarantine") && one.full_targets < max_full_targets;
    }
    if (result.end == run_end::answered &&
        !is_worse_than_usual(this->failed_share(one, now), this->candidates(one, now))) {
        return false;
    }
    const auto safe = verdict_of(result.end) == verdict::not_run || one.order->repeatable;
    return safe && one.sent_to_targets < one.route->max_attempts &&
           this->retries.try_take(one.order->service, this->nodes(), now);
}

void entry::on_result(const request_ptr& one, run_result result)
{
    if (!this->requests.contains(one)) {
        return;
    }
    one->run = 0;
    one->last_cause = result.cause;
    one->time_to_room = result.time_to_room;
    this->observe(*one, result);
    if (result.end == run_end::refused && result.cause == queue_full) {
        ++one->full_targets;
    }
    const auto reached_target = result.end != run_end::refused && result.end != run_end::unreachable;
    if (reached_target) {
        ++one->sent_to_targets;
    }
    one->may_have_run = one->may_have_run || verdict_of(result.end) == verdict::may_have_run ||
                        (result.end == run_end::answered && result.status >= 500);
    const auto failed = result.end != run_end::answered || result.status >= 500;
    if (!failed) {
        this->answer(one, result);
        return;
    }
    if (this->may_repeat(*one, result)) {
        this->shared.log.write(log_level::info, event_class::failed_request, "entry", "request_sent_again",
                               "id={} node={} end={} status={} cause={} hops={} targets={}",
                               log_value(one->order->attempt), log_value(one->node), to_name(result.end),
                               result.status, log_value(result.cause), one->hops, one->sent_to_targets);
        if (result.end == run_end::answered) {
            one->target_failure = std::move(result);
        }
        this->place(one);
        return;
    }
    if (result.end == run_end::answered) {
        this->answer(one, result);
        return;
    }
    if (verdict_of(result.end) == verdict::not_run) {
        this->refuse(one, result.cause);
        return;
    }
    this->fail(one, result.end == run_end::timed_out ? 504 : 502, result.cause);
}

void entry::answer(const request_ptr& one, run_result& result)
{
    this->finish(one,
                 {result.status, std::move(result.reason), std::move(result.lines), std::move(result.body)},
                 "answered", "");
}

void entry::refuse(const request_ptr& one, const std::string& cause)
{
    if (one->target_failure) {
        this->answer(one, *one->target_failure);
        return;
    }
    if (one->may_have_run) {
        // An earlier attempt may have run, so that the promise of a refusal would be false.
        this->fail(one, 502, cause);
        return;
    }
    http_answer reply{503, "", "", ""};
    reply.lines = retry_after_line(draw_retry_after(one->time_to_room, this->shared.rng));
    this->finish(one, reply, "refused", cause);
}

void entry::fail(const request_ptr& one, unsigned status, const std::string& cause)
{
    this->finish(one, {status, "", "", ""}, "failed", cause);
}

void entry::on_limit(const request_ptr& one)
{
    const auto sent = one->run != 0;
    this->cancel_run(*one);
    one->may_have_run = one->may_have_run || sent;
    this->fail(one, 504, "time_over");
}

void entry::on_gone(const request_ptr& one)
{
    this->cancel_run(*one);
    this->finish(one, {499, "", "", ""}, "caller_left", "");
}

void entry::cancel_run(request& one)
{
    const auto run = std::exchange(one.run, 0);
    if (run == 0) {
        return;
    }
    if (one.node.empty()) {
        this->shared.host.cancel(run);
    }
    else {
        this->shared.others.cancel(one.node, run);
    }
}

void entry::give_up_all()
{
    for (const auto& one : std::vector<request_ptr>(this->requests.begin(), this->requests.end())) {
        const auto sent = one->run != 0;
        this->cancel_run(*one);
        one->may_have_run = one->may_have_run || sent;
        this->refuse(one, "node_stops");
    }
}

void entry::finish(const request_ptr& one, const http_answer& reply, const std::string& outcome,
                   const std::string& cause)
{
    if (this->requests.erase(one) == 0) {
        return;
    }
    this->shared.loop.cancel(std::exchange(one->timer, 0));
    const auto took = boot_now() - one->exchange->arrived;
    this->seconds.observe(std::chrono::duration<double>{took}.count());
    this->shared.metrics.counter_of("gateway_requests_total", "Requests by outcome", {{"outcome", outcome}})
        .add();
    const auto good = outcome == "answered" && reply.status < 500;
    this->shared.log.write(
        log_level::info, good ? event_class::request : event_class::failed_request, "entry", "request_done",
        "id={} outcome={} status={} cause={} route={} service={} caller={} inner={} node={} hops={} "
        "targets={} "
        "may_have_run={} ms={} limit_ms={} version={}",
        log_value(one->order->attempt), outcome, reply.status, log_value(cause), log_value(one->route->name),
        log_value(one->order->service), one->exchange->caller_ip, one->order->inner, log_value(one->node),
        one->hops, one->sent_to_targets, one->may_have_run, took.count() / 1'000,
        std::chrono::duration_cast<milliseconds>(one->order->deadline - one->exchange->arrived).count(),
        one->routes->config().version);
    one->exchange->respond(reply);
    one->exchange.reset();
}

} // namespace kumquatdrift
