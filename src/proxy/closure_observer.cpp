#include <array>
#include <memory>
#include <string>

#include <kumquatdrift/telemetry/log.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>

#include "proxy/listener.hpp"
#include "proxy/observe.hpp"

namespace kumquatdrift::internal {

closure_observer make_closure_observer(metrics_registry& metrics, const std::string& name)
{
    std::array<counter*, enum_names<client_closure>::table.size()> counters{};
    for (const auto& [cause, cause_name] : enum_names<client_closure>::table) {
        counters.at(static_cast<std::size_t>(cause)) =
            &metrics.counter_of("kumquatdrift_proxy_clients_closed_total",
                                "Connections that a listener closed because their clients don't behave.",
                                {{"listener", name}, {"cause", std::string{cause_name}}});
    }
    return [counters, name, logger = part_logger{log_part::proxy},
            limiter = std::make_shared<log_rate_limiter>()](client_closure cause, std::size_t count) {
        counters.at(static_cast<std::size_t>(cause))->add(count);
        if (limiter->allow()) {
            logger.write(log_level::info, "clients closed: listener=" + name +
                                              " cause=" + std::string{to_name(cause)} +
                                              " count=" + std::to_string(count));
        }
    };
}

} // namespace kumquatdrift::internal
