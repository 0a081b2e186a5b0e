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

/*! @brief An announcement as a target sends it. */
struct announcement {
    /*! @brief The target. */
    target_record target{};
    /*! @brief Time until which the announcement counts, from its receipt on. */
    milliseconds ttl{};
};

/**
 * @brief Parses the body of `POST /v1/announce`.
 * @param body JSON text.
 * @return The announcement, or which member is wrong and what is accepted.
 */
[[nodiscard]] result<announcement> parse_announcement(std::string_view body);

/*! @brief What `/readyz` and `/v1/status` report. */
struct node_status {
    /*! @brief Member view of this node. */
    member_view_ptr view{};
    /*! @brief Version of the routing snapshot that serves requests, 0 for none. */
    config_version in_force{};
    /*! @brief Wall clock in microseconds since the epoch at which that version came in force. */
    std::uint64_t in_force_since_us{};
    /*! @brief State of the distribution. */
    distribution_status distribution{};
    /*! @brief Wall clock in microseconds since the epoch. */
    std::uint64_t epoch_us{};
    /*! @brief True while the node shuts down. */
    bool draining{};
};

/*! @brief Whether a node can take requests, and what limits it. */
struct readiness {
    /*! @brief True if requests can be taken. */
    bool ready{};
    /*! @brief Reasons why not, or conditions under which it serves only in part. */
    std::vector<std::string> conditions{};
};

/**
 * @brief Judges readiness: a version in force at or above the floor, and no drain.
 * @param status Status of the node.
 * @return The judgement.
 */
[[nodiscard]] readiness judge_readiness(const node_status& status);

/**
 * @brief Formats the answer to `GET /readyz`.
 * @param judgement The judgement.
 * @return JSON text.
 */
[[nodiscard]] std::string to_json(const readiness& judgement);

/**
 * @brief Formats the answer to `GET /v1/status`.
 * @param status Status of the node.
 * @return JSON text.
 */
[[nodiscard]] std::string to_json(const node_status& status);

} // namespace kumquatdrift::internal

#endif
