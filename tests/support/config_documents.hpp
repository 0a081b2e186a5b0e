#ifndef KUMQUATDRIFT_TESTS_SUPPORT_CONFIG_DOCUMENTS_HPP
#define KUMQUATDRIFT_TESTS_SUPPORT_CONFIG_DOCUMENTS_HPP

#include <cstddef>
#include <cstdint>
#include <string>

#include <fmt/format.h>

namespace kumquatdrift {

/**
 * @brief Returns a configuration in the platform's format.
 * @param version Version.
 * @param route_count Number of routes, spread over three hosts.
 * @param changed_route Index of the route whose objective differs from that of the others; none if it is no
 *        index.
 * @return JSON of about 170 bytes a route.
 */
inline std::string config_document(std::uint32_t version, std::size_t route_count,
                                   std::size_t changed_route = SIZE_MAX)
{
    constexpr std::size_t host_count = 3;
    auto document = fmt::format(
        R"({{"version":"{:08x}","services":[{{"name":"desk","health_path":"/health","max_connections":580}}],)"
        R"("limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,)"
        R"("idle_timeout_s":15}},"virtual_hosts":[)",
        version);
    for (std::size_t host = 0; host < host_count; ++host) {
        document += fmt::format(R"({}{{"host":"host{}.example","paths":[)", host == 0 ? "" : ",", host);
        for (auto route = host; route < route_count; route += host_count) {
            document += fmt::format(
                R"({}{{"name":"r-{}","path_prefix":"/path{}/sub{}/","kind":"non_idempotent","timeout_s":1.2,)"
                R"("target_latency_s":{},"priority":1,"service":"desk","max_attempts":2}})",
                route == host ? "" : ",", route * 7'919 % 100'003, route, route % 7,
                route == changed_route ? 0.7 : 0.6);
        }
        document += "]}";
    }
    return document + "]}";
}

} // namespace kumquatdrift

#endif
