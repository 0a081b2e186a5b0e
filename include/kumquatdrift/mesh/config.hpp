#ifndef KUMQUATDRIFT_MESH_CONFIG_HPP
#define KUMQUATDRIFT_MESH_CONFIG_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/mesh/fwd.hpp>

namespace kumquatdrift {

/*! @brief Whether a request may run more than once. */
enum class request_kind : std::uint8_t {
    /*! @brief It may run any number of times. */
    repeatable,
    /*! @brief It may run once at most. */
    run_once,
    /*! @brief It may run once at most and has a large body. */
    upload,
};

/*! @brief Names of the kinds, as logged. */
template<>
struct enum_names<request_kind> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<request_kind, std::string_view>, 3> table{{
        {request_kind::repeatable, "repeatable"},
        {request_kind::run_once, "run_once"},
        {request_kind::upload, "upload"},
    }};
};

/*! @brief One of the services between which a route divides its requests. */
struct route_part {
    /*! @brief Name of the service. */
    std::string service{};
    /*! @brief Share of the requests, relative to the other parts. */
    double weight{1.0};
};

/*! @brief Requests of one host and path prefix. */
struct mesh_route {
    /*! @brief Name, for logs. */
    std::string name{};
    /*! @brief Host name in lower case, without port. */
    std::string host{};
    /*! @brief Path prefix, with a slash at both ends. */
    std::string prefix{};
    /*! @brief Services that serve the route; never empty. */
    std::vector<route_part> parts{};
    /*! @brief Whether requests may be repeated. */
    request_kind kind{request_kind::run_once};
    /*! @brief Longest time that a caller is kept waiting. */
    microseconds timeout{};
    /*! @brief Time within which an answer is in time for its caller. */
    microseconds objective{};
    /*! @brief Targets that one request may be sent to, at least 1. */
    std::uint32_t max_attempts{1};
    /*! @brief Rank, 0 is the most urgent. */
    std::uint32_t priority{};
};

/*! @brief Settings of a service. */
struct mesh_service {
    /*! @brief Name. */
    std::string name{};
    /*! @brief Path of the liveness check. */
    std::string health_path{};
    /*! @brief Connections that a target accepts from all callers. */
    std::uint32_t max_connections{};
};

/*! @brief Bounds on what callers may send. */
struct caller_limits {
    /*! @brief Largest head of a request in bytes. */
    std::size_t max_header_bytes{65'536};
    /*! @brief Largest body of a request in bytes. */
    std::size_t max_body_bytes{8'388'608};
    /*! @brief Time in which a head has to arrive. */
    microseconds header_timeout{10'000'000};
    /*! @brief Time after which an idle connection is closed. */
    microseconds idle_timeout{60'000'000};
};

/*! @brief A configuration, all of it valid: each route refers to services that are present. */
struct mesh_config {
    /*! @brief Version; a node never goes back to a lower one. */
    std::uint32_t version{};
    /*! @brief Routes. */
    std::vector<mesh_route> routes{};
    /*! @brief Services by name. */
    std::map<std::string, mesh_service, std::less<>> services{};
    /*! @brief Bounds on callers. */
    caller_limits limits{};
    /*! @brief Text from which it was decoded, handed on to nodes that cannot read the store. */
    std::string document{};
};

/*! @brief Shared reference to an immutable configuration. */
using mesh_config_ptr = std::shared_ptr<const mesh_config>;

/*! @brief Decodes a configuration, or says why it cannot be used. */
using config_decoder = std::function<result<mesh_config_ptr>(std::string_view)>;

} // namespace kumquatdrift

#endif
