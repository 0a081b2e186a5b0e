#ifndef KUMQUATDRIFT_MESH_ROUTE_INDEX_HPP
#define KUMQUATDRIFT_MESH_ROUTE_INDEX_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <kumquatdrift/mesh/config.hpp>

namespace kumquatdrift {

/*! @brief Index of routes by host and path prefix. Shares ownership of its configuration. */
class route_index {
public:
    /**
     * @brief Indexes the routes of a configuration.
     * @param config Configuration.
     */
    explicit route_index(mesh_config_ptr config);

    /**
     * @brief Finds the route with the longest matching path prefix.
     * @param host Value of the Host header, in any case, with or without port.
     * @param target Path, with or without query.
     * @return The route, or null if none matches.
     */
    [[nodiscard]] const mesh_route* find(std::string_view host, std::string_view target) const;

    /**
     * @brief Returns the indexed configuration.
     * @return The configuration.
     */
    [[nodiscard]] const mesh_config& config() const noexcept
    {
        return *this->indexed_config;
    }

private:
    /*! @brief Host and path prefix of a route. */
    using route_key = std::pair<std::string_view, std::string_view>;

    struct key_hash {
        [[nodiscard]] std::size_t operator()(const route_key& key) const noexcept;
    };

    mesh_config_ptr indexed_config;
    /*! @brief Routes by keys that refer to the configuration. */
    std::unordered_map<route_key, const mesh_route*, key_hash> routes{};
};

/**
 * @brief Selects services by smooth weighted round robin, separately for each route.
 *
 * The selections of a route follow its weights over any short sequence of requests. A change of the weights
 * restarts the sequence.
 */
class weighted_service_selector {
public:
    /**
     * @brief Selects the service for a request: the one that is furthest below its share.
     * @param route Route.
     * @return Name of the service; a reference into the route.
     */
    [[nodiscard]] const std::string& select(const mesh_route& route);

private:
    struct round_robin_state {
        std::vector<double> weights{};
        std::vector<double> current_weights{};
    };

    std::unordered_map<std::string, round_robin_state> states{};
};

} // namespace kumquatdrift

#endif
