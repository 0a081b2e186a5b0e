#include <kumquatdrift/proxy/service.hpp>

#include <algorithm>
#include <atomic>
#include <cassert>
#include <utility>

#include "proxy/caller_handler.hpp"
#include "proxy/listener.hpp"
#include "proxy/peer_handler.hpp"
#include "proxy/target_host.hpp"

namespace kumquatdrift {

struct proxy_service::implementation {
    implementation(const proxy_settings& node_settings, proxy_dependencies node_dependencies)
        : settings{node_settings}, dependencies{std::move(node_dependencies)},
          host{settings.node,
               {settings.pool.connections_per_target, settings.pool.connect_timeout,
                settings.pool.idle_timeout},
               dependencies.on_advisory,
               settings.quarantine},
          callers{settings, dependencies, host, draining}, peers{dependencies, host, draining}
    {
    }

    // Returns an observer that counts the requests that a listener rejects before they reach a handler.
    internal::rejection_observer rejection_counter(const std::string& name)
    {
        auto& rejected =
            this->dependencies.metrics->counter_of("kumquatdrift_proxy_refused_total",
                                                   "Requests that a listener refused as malformed or "
                                                   "over a limit.",
                                                   {{"listener", name}});
        return [&rejected](unsigned /*status*/) { rejected.add(); };
    }

    proxy_settings settings;
    proxy_dependencies dependencies;
    std::atomic<bool> draining{};
    std::atomic<std::uint32_t> in_flight{};
    internal::target_host host;
    internal::caller_handler callers;
    internal::peer_handler peers;
    std::unique_ptr<internal::listener> caller_listener{};
    std::unique_ptr<internal::listener> peer_listener{};
};

result<std::unique_ptr<proxy_service>> proxy_service::create(const proxy_settings& settings,
                                                             proxy_dependencies dependencies)
{
    assert(dependencies.snapshot && dependencies.claims.claim && dependencies.metrics != nullptr);
    auto created = std::make_unique<implementation>(settings, std::move(dependencies));
    auto* const proxy = created.get();
    auto callers = internal::listener::create(
        settings.caller,
        [proxy](internal::exchange& client) {
            const internal::in_flight_guard guard{proxy->in_flight};
            proxy->callers.handle(client);
        },
        created->rejection_counter("caller"),
        internal::make_closure_observer(*proxy->dependencies.metrics, "caller"));
    if (!callers) {
        return failure{callers.last_reason()};
    }
    created->caller_listener = std::move(*callers);
    auto peers = internal::listener::create(
        settings.peer,
        [proxy](internal::exchange& client) {
            const internal::in_flight_guard guard{proxy->in_flight};
            proxy->peers.handle(client);
        },
        created->rejection_counter("peer"),
        internal::make_closure_observer(*proxy->dependencies.metrics, "peer"));
    if (!peers) {
        return failure{peers.last_reason()};
    }
    created->peer_listener = std::move(*peers);
    return std::unique_ptr<proxy_service>{new proxy_service{std::move(created)}};
}

proxy_service::proxy_service(std::unique_ptr<implementation> created) noexcept : impl{std::move(created)} {}

proxy_service::~proxy_service() = default;

proxy_ports proxy_service::ports() const noexcept
{
    return {this->impl->caller_listener->port(), this->impl->peer_listener->port()};
}

void proxy_service::update_targets(const std::vector<target_record>& targets)
{
    this->impl->host.update(targets, this->impl->dependencies.snapshot());
}

void proxy_service::offer_advisory(const crash_advisory& advisory)
{
    this->impl->host.offer_advisory(advisory);
}

std::vector<crash_advisory> proxy_service::advisories() const
{
    return this->impl->host.advisories();
}

void proxy_service::drain()
{
    this->impl->draining = true;
    this->impl->host.drain();
}

std::size_t proxy_service::in_flight() const noexcept
{
    return this->impl->in_flight;
}

bool proxy_service::stop(milliseconds grace)
{
    const auto until = steady_now() + grace;
    const auto callers_done = this->impl->caller_listener->stop(grace);
    const auto left = std::chrono::duration_cast<milliseconds>(until - steady_now());
    const auto peers_done = this->impl->peer_listener->stop(std::max(left, milliseconds{0}));
    return callers_done && peers_done;
}

} // namespace kumquatdrift
