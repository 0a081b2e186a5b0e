#ifndef KUMQUATDRIFT_MESH_ROUTE_INDEX_HPP
#define KUMQUATDRIFT_MESH_ROUTE_INDEX_HPP

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <kumquatdrift/mesh/config.hpp>

namespace kumquatdrift {

/*! @brief Finds routes by host and path. Keeps its configuration alive. */
class route_index {
public:
    /**
     * @brief Indexes the routes of a configuration.
     * @param config Configuration.
     */
    explicit route_index(mesh_config_ptr config);

    /**
     * @brief Finds the route with the longest prefix that begins the path.
     * @param host Host header in any case, with or without port.
     * @param target Path, with or without query.
     * @return The route, null if none matches.
     */
    [[nodiscard]] const mesh_route* find(std::string_view host, std::string_view target) const;

    /**
     * @brief Returns the configuration.
     * @return The configuration.
     */
    [[nodiscard]] const mesh_config& config() const noexcept
    {
        return *this->source;
    }

private:
    mesh_config_ptr source;
    std::unordered_map<std::string, std::map<std::string, const mesh_route*, std::less<>>> hosts{};
};

/*! @brief Divides the requests of routes by weight, each route evenly over any short span. */
class part_chooser {
public:
    /**
     * @brief Chooses a service for a request. Takes the part that lags its share most.
     * @param route Route.
     * @return Service; a reference into the route.
     */
    [[nodiscard]] const std::string& choose(const mesh_route& route);

private:
    struct tally {
        std::vector<double> weights{};
        std::vector<double> credit{};
    };

    std::unordered_map<std::string, tally> tallies{};
};

} // namespace kumquatdrift

#endif
