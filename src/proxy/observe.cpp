#include "proxy/observe.hpp"

#include <mutex>
#include <utility>

#include "proxy/target_host.hpp"

namespace kumquatdrift::internal {

bool log_rate_limiter::allow() noexcept
{
    constexpr std::int64_t interval_us = 1'000'000;
    const auto now = steady_now().time_since_epoch().count();
    auto next = this->next_us.load();
    return now >= next && this->next_us.compare_exchange_strong(next, now + interval_us);
}

failure_metrics::failure_metrics(metrics_registry& registry)
{
    for (const auto& [end, name] : enum_names<hop_end>::table) {
        this->counter_by_end.at(static_cast<std::size_t>(end)) = &registry.counter_of(
            "kumquatdrift_proxy_failed_attempts_total",
            "Attempts without an answer, by the way in which they ended.", {{"end", std::string{name}}});
    }
}

void failure_metrics::record(hop_end end) noexcept
{
    if (end != hop_end::answered) {
        this->counter_by_end[static_cast<std::size_t>(end)]->add();
    }
}

metrics_by_route::metrics_by_route(metrics_registry& registry, std::string listener)
    : metrics{registry}, listener_label{std::move(listener)}
{
}

route_metrics& metrics_by_route::of(std::string_view route)
{
    {
        const std::shared_lock lock{this->mutex};
        if (const auto found = this->routes.find(route); found != this->routes.end()) {
            return *found->second;
        }
    }
    const std::unique_lock lock{this->mutex};
    auto& entry = this->routes[std::string{route}];
    if (!entry) {
        entry = std::make_unique<route_metrics>();
        const metrics_registry::labels route_labels{{"listener", this->listener_label},
                                                    {"route", std::string{route}}};
        for (std::size_t index = 1; index < entry->responses.size(); ++index) {
            auto class_labels = route_labels;
            class_labels.push_back({"status", std::to_string(index) + "xx"});
            entry->responses.at(index) = &this->metrics.counter_of(
                "kumquatdrift_proxy_requests_total", "Answers by listener, route and status class.",
                std::move(class_labels));
        }
        entry->retries =
            &this->metrics.counter_of("kumquatdrift_proxy_retries_total", "Retries by route.", route_labels);
        entry->latency = &this->metrics.histogram_of(
            "kumquatdrift_proxy_request_seconds", "Time from request head to end of answer.", route_labels);
    }
    return *entry;
}

hop_span::hop_span(const std::shared_ptr<ring_tracer>& tracer, std::string_view operation,
                   const std::optional<trace_context>& parent)
{
    if (!tracer || (parent && !parent->sampled)) {
        // No span is recorded, so that only the ids to propagate are derived.
        auto& rng = thread_random();
        this->ids = parent ? child_of(*parent, rng) : start_trace(false, rng);
        return;
    }
    const opentracing::string_view name{operation.data(), operation.size()};
    if (parent) {
        const span_context parent_context{*parent};
        this->span = tracer->StartSpan(name, {opentracing::ChildOf(&parent_context)});
    }
    else {
        this->span = tracer->StartSpan(name);
    }
    this->ids = dynamic_cast<const span_context&>(this->span->context()).ids();
}

void hop_span::tag(std::string_view name, const opentracing::Value& value)
{
    if (this->span && this->ids.sampled) {
        this->span->SetTag({name.data(), name.size()}, value);
    }
}

} // namespace kumquatdrift::internal
