#include "proxy/caller_handler.hpp"

#include <random>
#include <utility>

#include <boost/beast/http/field.hpp>

#include <kumquatdrift/core/digest.hpp>
#include <kumquatdrift/proxy/headers.hpp>
#include <kumquatdrift/routing/match.hpp>

#include "proxy/caller_request.hpp"
#include "proxy/fields.hpp"

namespace kumquatdrift::internal {

namespace {

constexpr milliseconds retry_after_drain{1'000};
constexpr milliseconds retry_after_without_configuration{1'000};

std::string join_names(const std::vector<std::string>& names)
{
    std::string text;
    for (const auto& name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

} // namespace

caller_handler::caller_handler(const proxy_settings& settings, const proxy_dependencies& node_dependencies,
                               target_host& targets, const std::atomic<bool>& is_draining)
    : dependencies{node_dependencies}, host{targets}, draining{is_draining},
      node_connections{connection_pool::create(
          {settings.pool.connections_per_node, settings.pool.connect_timeout, settings.pool.idle_timeout},
          response_buffer_bytes)},
      metrics{*node_dependencies.metrics, "caller"}, failures{*node_dependencies.metrics},
      // The random part keeps a restarted node from reusing attempt ids of its earlier process.
      attempt_prefix{settings.node + '-' + to_hex(std::random_device{}()) + '-'}
{
}

void caller_handler::handle(exchange& client)
{
    const auto started = steady_now();
    const auto& head = client.request().head();
    hop_span span{this->dependencies.tracer, "caller", parse_traceparent(field_of(head, trace_header))};
    route_metrics* counters = nullptr;
    this->route_request(client, span, counters);
    if (counters == nullptr) {
        counters = &this->metrics.of("none");
    }
    constexpr unsigned statuses_per_class = 100;
    const auto status_class = client.status() / statuses_per_class;
    if (status_class > 0 && status_class < counters->responses.size()) {
        counters->responses.at(status_class)->add();
    }
    const std::chrono::duration<double> elapsed = steady_now() - started;
    counters->latency->observe(elapsed.count());
    span.tag("status", client.status());
}

void caller_handler::route_request(exchange& client, hop_span& span, route_metrics*& counters)
{
    if (this->draining) {
        client.close_after_response();
        client.send_error({503, verdict::not_run, retry_after_drain, "The node drains.", {}});
        return;
    }
    const auto snapshot = this->dependencies.snapshot();
    if (!snapshot) {
        client.send_error(
            {503, verdict::not_run, retry_after_without_configuration, "No configuration yet.", {}});
        return;
    }
    const auto& head = client.request().head();
    const auto host_name = field_of(head, "host");
    const std::string path{head.target()};
    const std::string method{head.method_string()};
    const auto match = match_route(*snapshot, host_name, path, method);
    if (!match.route) {
        this->reject_unmatched(client, *snapshot, host_name);
        return;
    }
    const auto& route = snapshot->routes[*match.route];
    counters = &this->metrics.of(route.config.name);
    const in_flight_guard guard{counters->in_flight};
    const auto max_in_flight = route.config.limits.max_in_flight;
    if (max_in_flight > 0 && guard.count() > max_in_flight) {
        const auto retry_after = retry_after_for(0, max_in_flight, route.config.deadline, thread_random());
        client.send_error(
            {503, verdict::not_run, retry_after, "Too many requests in flight on this route.", {}});
        return;
    }
    request_body body{client, std::min(client.limits().max_body_bytes, route.config.limits.max_body_bytes)};
    if (body.is_too_large()) {
        client.send_error(make_body_error(read_status::body_too_large, verdict::not_run));
        return;
    }
    this->balancer.refresh(*snapshot);
    this->host.refresh(snapshot);
    client_request request{client, body, method, path, {}, {}, {}, span.context()};
    append_end_to_end_fields(request.fields, head);
    request.deadline = steady_now() + route.config.deadline;
    caller_request{*this, *snapshot, route, request, *counters}.run();
}

void caller_handler::reject_unmatched(exchange& client, const routing_snapshot& snapshot,
                                      std::string_view host_name)
{
    const auto& head = client.request().head();
    const std::string path{head.target()};
    const auto kind = match_route(snapshot, host_name, path, std::string{head.method_string()}).kind;
    if (kind == match_kind::method_not_allowed) {
        error_response rejection{405, verdict::not_run, {}, "The route does not allow this method.", {}};
        append_field(rejection.fields, "Allow", join_names(allowed_methods(snapshot, host_name, path)));
        client.send_error(rejection);
    }
    else if (kind == match_kind::malformed_path) {
        client.send_error({400, verdict::not_run, {}, "The path is malformed or has dot segments.", {}});
    }
    else {
        client.send_error({404, verdict::not_run, {}, "No route matches host and path.", {}});
    }
}

std::string caller_handler::next_attempt_id()
{
    return this->attempt_prefix + std::to_string(this->attempt_sequence.fetch_add(1));
}

} // namespace kumquatdrift::internal
