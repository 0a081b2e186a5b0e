#ifndef KUMQUATDRIFT_ROUTING_MATCH_HPP
#define KUMQUATDRIFT_ROUTING_MATCH_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/routing/fwd.hpp>
#include <kumquatdrift/routing/snapshot.hpp>

namespace kumquatdrift {

/*! @brief Outcome of matching a request against the routes. */
enum class match_kind : std::uint8_t {
    /*! @brief A route matches. */
    matched,
    /*! @brief Routes match host and path, but none of them allows the method. The response is 405. */
    method_not_allowed,
    /*! @brief No route matches host and path. The response is 404. */
    no_route,
    /*! @brief The path has no leading slash or contains dot segments. The response is 400. */
    malformed_path,
};

/*! @brief Names of the outcomes. */
template<>
struct enum_names<match_kind> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<match_kind, std::string_view>, 4> table{{
        {match_kind::matched, "matched"},
        {match_kind::method_not_allowed, "method_not_allowed"},
        {match_kind::no_route, "no_route"},
        {match_kind::malformed_path, "malformed_path"},
    }};
};

/*! @brief Result of matching a request against the routes. */
struct route_match {
    /*! @brief Outcome. */
    match_kind kind{match_kind::no_route};
    /*! @brief Index into `routing_snapshot::routes`. Present only if the outcome is `matched`. */
    std::optional<std::size_t> route{};
};

/**
 * @brief Finds the route of a request.
 *
 * Routes with an exact host take precedence over routes for any host; among routes of equal host, the longest
 * path prefix that ends on a segment boundary wins. A route that does not allow the method is skipped. Paths
 * with dot segments are rejected, because a target that resolves them would serve a path that another route
 * covers.
 *
 * @param snapshot Routing snapshot.
 * @param host Host header in any case, with or without port.
 * @param path Path, with or without query.
 * @param method Method, in upper case.
 * @return The route, or the reason why none was found.
 */
[[nodiscard]] route_match match_route(const routing_snapshot& snapshot, std::string_view host,
                                      std::string_view path, std::string_view method);

/**
 * @brief Lists the methods for the `Allow` header of a 405 response.
 * @param snapshot Routing snapshot.
 * @param host Host header in any case, with or without port.
 * @param path Path, with or without query.
 * @return Methods of all routes that match host and path, sorted, without duplicates.
 */
[[nodiscard]] std::vector<std::string> allowed_methods(const routing_snapshot& snapshot,
                                                       std::string_view host, std::string_view path);

} // namespace kumquatdrift

#endif
