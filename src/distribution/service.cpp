#include <kumquatdrift/distribution/service.hpp>

#include "distribution/engine.hpp"
#include "distribution/hub.hpp"

namespace kumquatdrift {
namespace {

constexpr milliseconds min_interval{10};
constexpr milliseconds write_timeout{30'000};

result<bool> validate(const distribution_service::environment& environment,
                      const distribution_settings& settings)
{
    if (!environment.log.read || !environment.log.append || !environment.view || !environment.install) {
        return failure{"the distribution service needs a log port, a member view and an install function"};
    }
    if (environment.node.empty() || environment.data_centre.empty()) {
        return failure{"the distribution service needs the names of the node and its data centre"};
    }
    const auto& sources = settings.sources;
    if (sources.heartbeat_interval < min_interval || sources.poll_interval < min_interval) {
        return failure{"heartbeat_interval and poll_interval must be at least 10 ms"};
    }
    if (sources.silence_timeout <= sources.heartbeat_interval) {
        return failure{"silence_timeout must be above heartbeat_interval"};
    }
    if (settings.log_retention < milliseconds{1'000}) {
        return failure{"log_retention must be at least 1000 ms"};
    }
    return true;
}

} // namespace

struct distribution_service::implementation {
    implementation(environment environment, const distribution_settings& settings)
        : hub{settings.parent, write_timeout}, endpoint{this->hub}, config_engine{std::move(environment),
                                                                                  settings, this->hub}
    {
    }

    internal::parent_hub hub;
    internal::distribution_endpoint endpoint;
    internal::engine config_engine;
};

result<std::unique_ptr<distribution_service>>
distribution_service::create(environment environment, const distribution_settings& settings)
{
    const auto valid = validate(environment, settings);
    if (!valid) {
        return failure{valid.last_reason()};
    }
    auto state = std::make_unique<implementation>(std::move(environment), settings);
    return std::unique_ptr<distribution_service>{new distribution_service{std::move(state)}};
}

distribution_service::distribution_service(std::unique_ptr<implementation> state) noexcept
    : impl{std::move(state)}
{
}

distribution_service::~distribution_service()
{
    this->end_streams();
}

grpc::Service& distribution_service::grpc_service() noexcept
{
    return this->impl->endpoint;
}

void distribution_service::end_streams()
{
    this->impl->hub.end_streams();
}

distribution_status distribution_service::status() const
{
    auto status = this->impl->config_engine.status();
    this->impl->hub.add_counters(status);
    return status;
}

} // namespace kumquatdrift
