#ifndef KUMQUATDRIFT_CONFIG_TYPES_HPP
#define KUMQUATDRIFT_CONFIG_TYPES_HPP

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <kumquatdrift/config/fwd.hpp>
#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/*! @brief Version of the configuration: offset of the last accepted edit plus one, 0 for none. */
using config_version = std::uint64_t;

/*! @brief How a request with an idempotency key is handled while the log cannot be written. */
enum class log_outage_policy : std::uint8_t {
    /*! @brief Reject it and report that it was not run. */
    refuse,
    /*! @brief Run it without a claim. Requests with the same key may then run more than once. */
    run_unclaimed,
};

/*! @brief Names of the policies in the configuration of a route. */
template<>
struct enum_names<log_outage_policy> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<log_outage_policy, std::string_view>, 2> table{{
        {log_outage_policy::refuse, "refuse"},
        {log_outage_policy::run_unclaimed, "run_unclaimed"},
    }};
};

/*! @brief Retry settings of a route. */
struct retry_settings {
    /*! @brief Largest number of attempts per request, the first one included, 1 to 10. */
    std::uint32_t max_attempts{3};
    /*! @brief Largest number of retries as a percentage of requests, 0 to 100. */
    std::uint32_t budget_percent{10};
};

/*! @brief Limits of a route. */
struct route_limits {
    /*! @brief Largest request body in bytes. */
    std::uint64_t max_body_bytes{64ULL * 1024 * 1024};
    /*! @brief Largest number of requests in flight at one node, 0 for no limit. */
    std::uint32_t max_in_flight{0};
};

/*! @brief A route: matches requests and forwards them to a service. */
struct route_config {
    /*! @brief Name, unique in the configuration. */
    std::string name{};
    /*! @brief Host header to match, without port and in lower case; empty matches any. */
    std::string host{};
    /*! @brief Path prefix, matched at segment boundaries; starts with a slash. */
    std::string path_prefix{"/"};
    /*! @brief Methods to match; empty matches any. */
    std::vector<std::string> methods{};
    /*! @brief Name of the service. */
    std::string service{};
    /*! @brief Time limit of a request, all attempts included. */
    milliseconds deadline{2'000};
    /*! @brief True if the requests are idempotent, so that running one more than once is harmless. */
    bool idempotent{};
    /*! @brief Name of the header that carries the idempotency key; empty for none. */
    std::string idempotency_key_header{};
    /*! @brief Policy for requests with an idempotency key while the log cannot be written. */
    log_outage_policy on_log_outage{log_outage_policy::refuse};
    /*! @brief Retry settings. */
    retry_settings retry{};
    /*! @brief Limits. */
    route_limits limits{};
};

/*! @brief A service: a named group of targets. */
struct service_config {
    /*! @brief Name, unique in the configuration. */
    std::string name{};
    /*! @brief Largest number of requests queued at each target's node, 0 for no queue. */
    std::uint32_t queue_limit{32};
    /*! @brief Time over which a new target's share of the load ramps up to its full value. */
    milliseconds slow_start{0};
    /*! @brief True if requests may go to other data centres when the local one is full or has no target. */
    bool spill_over{true};
};

/*! @brief Validated configuration of one data centre, merged from the base and its overlay. */
struct effective_config {
    /*! @brief Version of the configuration that it was merged from. */
    config_version version{};
    /*! @brief Data centre that it applies to. */
    std::string data_centre{};
    /*! @brief Services by name. */
    std::map<std::string, service_config> services{};
    /*! @brief Routes by name. The service of each is in `services`. */
    std::map<std::string, route_config> routes{};
};

} // namespace kumquatdrift

#endif
