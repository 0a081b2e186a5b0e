#ifndef KUMQUATDRIFT_ROUTING_SNAPSHOT_HPP
#define KUMQUATDRIFT_ROUTING_SNAPSHOT_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <kumquatdrift/config/types.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/membership/types.hpp>
#include <kumquatdrift/routing/fwd.hpp>

namespace kumquatdrift {

/*! @brief A target as an entry node routes requests to it. */
struct endpoint {
    /*! @brief Name of the target's node, a slash, and the id of the target. Unique in the mesh. */
    std::string key{};
    /*! @brief Name of the target's node. */
    std::string node{};
    /*! @brief Data centre of the target's node. */
    std::string data_centre{};
    /*! @brief Id of the target at its node. */
    std::string target{};
    /*! @brief IP address of the target's node. */
    std::string ip{};
    /*! @brief Port of the target's node for requests from other nodes. */
    std::uint16_t peer_port{};
    /*! @brief Concurrency limit of the target. */
    std::uint32_t slots{1};
    /*! @brief State of the target: `cold` or `ready`; draining targets are excluded. */
    target_state state{target_state::ready};
    /*! @brief True if the target's node is this node. */
    bool own{};
    /*! @brief True if the target is in this node's data centre. */
    bool local{};
};

/*! @brief A service with its endpoints. */
struct routed_service {
    /*! @brief Settings of the service. */
    service_config config{};
    /*! @brief Endpoints, local ones first. May be empty. */
    std::vector<endpoint> endpoints{};
};

/*! @brief A route that refers to a service of the same snapshot. */
struct compiled_route {
    /*! @brief Settings of the route. */
    route_config config{};
    /*! @brief Index into `routing_snapshot::services`. */
    std::size_t service{};
};

/*! @brief Immutable routing table, built from one configuration version and one member view. */
struct routing_snapshot {
    /*! @brief Configuration version. */
    config_version version{};
    /*! @brief Endpoint generation of the member view. */
    std::uint64_t generation{};
    /*! @brief Data centre of this node. */
    std::string data_centre{};
    /*! @brief Services by index. */
    std::vector<routed_service> services{};
    /*! @brief Routes in order of precedence: exact host before any host, then longest path prefix first. */
    std::vector<compiled_route> routes{};
};

/*! @brief Shared reference to an immutable snapshot. */
using routing_snapshot_ptr = std::shared_ptr<const routing_snapshot>;

/**
 * @brief Builds a snapshot and checks that every route refers to a service that is present.
 * @param config Merged configuration of this node's data centre.
 * @param view Member view. Targets become endpoints unless they are draining or their node is not live, still
 *        joining, or draining.
 * @return The snapshot, or the reason why the configuration cannot be used.
 */
[[nodiscard]] result<routing_snapshot_ptr> build_snapshot(const effective_config& config,
                                                          const member_view& view);

} // namespace kumquatdrift

#endif
