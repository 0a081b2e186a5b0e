#ifndef KUMQUATDRIFT_TESTS_SUPPORT_MESH_BUILDERS_HPP
#define KUMQUATDRIFT_TESTS_SUPPORT_MESH_BUILDERS_HPP

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <kumquatdrift/config/types.hpp>
#include <kumquatdrift/membership/types.hpp>

namespace kumquatdrift {

/**
 * @brief Makes a configuration with one service per name and a route `/<name>` to each service.
 * @param version Version of the configuration.
 * @param services Names of the services.
 * @return The configuration, for data centre `alfama`.
 */
[[nodiscard]] inline effective_config make_config(config_version version,
                                                  const std::vector<std::string>& services)
{
    effective_config config{.version = version, .data_centre = "alfama", .services = {}, .routes = {}};
    for (const auto& name : services) {
        config.services[name].name = name;
        config.routes[name].name = name;
        config.routes[name].path_prefix = '/' + name;
        config.routes[name].service = name;
    }
    return config;
}

/**
 * @brief Adds a node in state `alive` with one ready target `t` of a service to a view.
 * @param view View to change.
 * @param node Name of the node.
 * @param data_centre Data centre of the node.
 * @param service Service of the target.
 * @param slots Number of slots of the target.
 * @return The new entry.
 */
inline member_entry& add_node(member_view& view, const std::string& node, const std::string& data_centre,
                              const std::string& service, std::uint32_t slots = 10)
{
    auto& entry = view.members[node];
    entry.record.node = node;
    entry.record.data_centre = data_centre;
    entry.record.state = member_state::alive;
    entry.record.targets.push_back(
        {.id = "t", .service = service, .address = {}, .slots = slots, .state = target_state::ready});
    return entry;
}

} // namespace kumquatdrift

#endif
