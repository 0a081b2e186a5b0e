#ifndef KUMQUATDRIFT_MESH_CONFIG_HPP
#define KUMQUATDRIFT_MESH_CONFIG_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/mesh/fwd.hpp>

namespace kumquatdrift {

/*! @brief Whether a request may be executed more than once. */
enum class request_kind : std::uint8_t {
    /*! @brief May be executed any number of times. */
    idempotent,
    /*! @brief May be executed at most once. */
    non_idempotent,
    /*! @brief Non-idempotent, with a large body. */
    upload,
    /*! @brief Idempotent, with a large response. */
    download,
};

/**
 * @brief Checks whether requests of a kind may be executed more than once.
 * @param kind Kind.
 * @return True if they are idempotent.
 */
[[nodiscard]] constexpr bool is_idempotent(request_kind kind) noexcept
{
    return kind == request_kind::idempotent || kind == request_kind::download;
}

/*! @brief Names of the request kinds, as logged. */
template<>
struct enum_names<request_kind> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<request_kind, std::string_view>, 4> table{{
        {request_kind::idempotent, "repeatable"},
        {request_kind::non_idempotent, "run_once"},
        {request_kind::upload, "upload"},
        {request_kind::download, "download"},
    }};
};

/*! @brief One of the services between which a route splits its requests. */
struct weighted_service {
    /*! @brief Name of the service. */
    std::string service{};
    /*! @brief Share of the requests, relative to the weights of the other services of the route. */
    double weight{1.0};
};

/*! @brief Route for the requests to one host and path prefix. */
struct mesh_route {
    /*! @brief Name, used in logs. */
    std::string name{};
    /*! @brief Host name in lower case, without port. */
    std::string host{};
    /*! @brief Path prefix that begins and ends with a slash. */
    std::string prefix{};
    /*! @brief Weighted services of the route; never empty. */
    std::vector<weighted_service> services{};
    /*! @brief Whether requests may be executed more than once. */
    request_kind kind{request_kind::non_idempotent};
    /*! @brief Time limit for the response to a caller. */
    microseconds timeout{};
    /*! @brief Latency objective: time within which a response is in time for its caller. */
    microseconds objective{};
    /*! @brief Maximum number of targets that one request is sent to, at least 1. */
    std::uint32_t max_attempts{1};
    /*! @brief Priority level; 0 is the most urgent. */
    std::uint32_t priority{};
    /*! @brief True if requests need no key of a client account. */
    bool anonymous{};
};

/*! @brief Shared reference to an immutable route. Configurations share the routes that don't change. */
using mesh_route_ptr = std::shared_ptr<const mesh_route>;

/*! @brief Position of a part of a document in bytes. */
struct text_range {
    /*! @brief Offset of its first byte. */
    std::uint32_t offset{};
    /*! @brief Number of bytes. */
    std::uint32_t size{};
};

/*! @brief Settings of a service. */
struct mesh_service {
    /*! @brief Name. */
    std::string name{};
    /*! @brief Path of the liveness check on a target. */
    std::string health_path{};
    /*! @brief Maximum number of connections that a target accepts from all callers together. */
    std::uint32_t max_connections{};
};

/*! @brief A client account, whose callers present one of its keys. */
struct client_account {
    /*! @brief Name; unique. */
    std::string name{};
    /*! @brief Keys; no other account has one of them. */
    std::vector<std::string> keys{};
    /*! @brief Requests per second that all nodes together admit; 0 for no cap. */
    double rate_per_s{};
    /*! @brief Requests beyond the rate that may be admitted at once. */
    double burst{};
    /*! @brief Priority of its requests, which takes precedence over that of the route. */
    std::optional<std::uint32_t> priority{};

    [[nodiscard]] friend bool operator==(const client_account& left, const client_account& right) = default;
};

/*! @brief Limits on the connections and requests of callers. */
struct caller_limits {
    /*! @brief Maximum size of a request head (request line and header fields) in bytes. */
    std::size_t max_header_bytes{65'536};
    /*! @brief Maximum size of a request body in bytes. */
    std::size_t max_body_bytes{8'388'608};
    /*! @brief Time limit for receiving a complete request head. */
    microseconds header_timeout{10'000'000};
    /*! @brief Time after which an idle connection is closed. */
    microseconds idle_timeout{60'000'000};
};

/*! @brief Validated configuration: each route refers only to services that are present. */
struct mesh_config {
    /*! @brief Version; a node never replaces it by a lower one. */
    std::uint32_t version{};
    /*! @brief Routes. */
    std::vector<mesh_route_ptr> routes{};
    /*! @brief Services by name. */
    std::map<std::string, mesh_service, std::less<>> services{};
    /*! @brief Limits on callers. */
    caller_limits limits{};
    /*! @brief Client accounts. While there are none, no request needs a key. */
    std::vector<client_account> accounts{};
    /*! @brief Encoded document, forwarded to nodes that cannot read the store. */
    std::string document{};
    /*! @brief Positions of the texts of the first routes in the document; empty if they are not known. */
    std::vector<text_range> route_texts{};
};

/*! @brief Shared reference to an immutable configuration. */
using mesh_config_ptr = std::shared_ptr<const mesh_config>;

/*! @brief Decodes a configuration document, or returns the reason why it is invalid. */
using config_decoder = std::function<result<mesh_config_ptr>(std::string_view)>;

} // namespace kumquatdrift

#endif
