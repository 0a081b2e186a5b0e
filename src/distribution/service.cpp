#include <kumquatdrift/distribution/service.hpp>

#include "distribution/engine.hpp"
#include "distribution/hub.hpp"

namespace kumquatdrift {
namespace {

constexpr milliseconds least_interval{10};
constexpr milliseconds longest_write{30'000};

result<bool> check(const distribution_service::environment& environment,
                   const distribution_settings& settings)
{
    if (!environment.log.read || !environment.log.append || !environment.view || !environment.install) {
        return failure{"the distribution service needs a log port, a member view and a receiver"};
    }
    if (environment.node.empty() || environment.data_centre.empty()) {
        return failure{"the distribution service needs the names of the node and its data centre"};
    }
    const auto& sources = settings.sources;
    if (sources.heartbeat_interval < least_interval || sources.poll_interval < least_interval) {
        return failure{"heartbeat_interval and poll_interval must be at least 10 ms"};
    }
    if (sources.silence_limit <= sources.heartbeat_interval) {
        return failure{"silence_limit must be above heartbeat_interval"};
    }
    if (settings.log_retention < milliseconds{1'000}) {
        return failure{"log_retention must be at least 1000 ms"};
    }
    return true;
}

} // namespace

struct distribution_service::implementation {
    implementation(environment needs, const distribution_settings& settings)
        : hub{settings.parent, longest_write}, endpoint{this->hub}, config{std::move(needs), settings,
                                                                           this->hub}
    {
    }

    internal::parent_hub hub;
    internal::distribution_endpoint endpoint;
    internal::engine config;
};

result<std::unique_ptr<distribution_service>>
distribution_service::create(environment environment, const distribution_settings& settings)
{
    const auto usable = check(environment, settings);
    if (!usable) {
        return failure{usable.last_reason()};
    }
    auto made = std::make_unique<implementation>(std::move(environment), settings);
    return std::unique_ptr<distribution_service>{new distribution_service{std::move(made)}};
}

distribution_service::distribution_service(std::unique_ptr<implementation> made) noexcept
    : parts{std::move(made)}
{
}

distribution_service::~distribution_service()
{
    this->end_streams();
}

grpc::Service& distribution_service::grpc_service() noexcept
{
    return this->parts->endpoint;
}

void distribution_service::end_streams()
{
    this->parts->hub.end_streams();
}

distribution_status distribution_service::status() const
{
    auto status = this->parts->config.status();
    this->parts->hub.add_to(status);
    return status;
}

} // namespace kumquatdrift
