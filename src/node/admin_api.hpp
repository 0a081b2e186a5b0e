#ifndef KUMQUATDRIFT_NODE_ADMIN_API_HPP
#define KUMQUATDRIFT_NODE_ADMIN_API_HPP

#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/distribution/service.hpp>
#include <kumquatdrift/membership/types.hpp>

namespace kumquatdrift::internal {

/*! @brief Registration that a target sends to the node on its host. */
struct announcement {
    /*! @brief Identity, address, capacity and state of the target. */
    target_record target{};
    /*! @brief Time to live of the announcement, counted from its receipt. */
    milliseconds ttl{};
};

/**
 * @brief Parses the body of `POST /v1/announce`.
 * @param body JSON text.
 * @return The announcement, or why the body is invalid.
 */
[[nodiscard]] result<announcement> parse_announcement(std::string_view body);

/*! @brief State of the node that `/readyz` and `/v1/status` report. */
struct node_status {
    /*! @brief Member view of this node. */
    member_view_ptr view{};
    /*! @brief Configuration version of the routing snapshot in force, 0 for none. */
    config_version in_force{};
    /*! @brief Time at which that version came into force, in microseconds since the epoch. */
    std::uint64_t in_force_since_us{};
    /*! @brief State of the configuration distribution. */
    distribution_status distribution{};
    /*! @brief Time of this status, in microseconds since the epoch. */
    std::uint64_t epoch_us{};
    /*! @brief True from the start of a graceful shutdown. */
    bool draining{};
};

/*! @brief Readiness of a node, with the conditions that affect it. */
struct readiness {
    /*! @brief True if the node accepts requests. */
    bool ready{};
    /*! @brief Reasons why the node is not ready, and conditions under which it serves with restrictions. */
    std::vector<std::string> conditions{};
};

/**
 * @brief Evaluates readiness. A node is ready if a version at or above its version floor is in force and it
 * is not draining.
 * @param status Status of the node.
 * @return The readiness and its conditions.
 */
[[nodiscard]] readiness evaluate_readiness(const node_status& status);

/**
 * @brief Formats the response to `GET /readyz`.
 * @param current Readiness of the node.
 * @return JSON text.
 */
[[nodiscard]] std::string to_json(const readiness& current);

/**
 * @brief Formats the response to `GET /v1/status`.
 * @param status Status of the node.
 * @return JSON text.
 */
[[nodiscard]] std::string to_json(const node_status& status);

} // namespace kumquatdrift::internal

#endif
