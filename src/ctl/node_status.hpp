#ifndef KUMQUATDRIFT_SRC_CTL_NODE_STATUS_HPP
#define KUMQUATDRIFT_SRC_CTL_NODE_STATUS_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/config/types.hpp>
#include <kumquatdrift/core/result.hpp>

namespace kumquatdrift::internal {

/*! @brief A target in the status of a node. */
struct status_target {
    /*! @brief Id, unique at its node. */
    std::string id{};
    /*! @brief Service that the target provides. */
    std::string service{};
    /*! @brief State that the target announced last. */
    std::string state{};
    /*! @brief Number of requests that the target processes concurrently. */
    std::uint64_t slots{};
};

/*! @brief A member in the status of a node. */
struct status_member {
    /*! @brief Name of the member's node. */
    std::string node{};
    /*! @brief Data centre of the node. */
    std::string data_centre{};
    /*! @brief Failure detector status at the queried node: `alive`, `suspect`, `dead` or `unreachable`. */
    std::string status{};
    /*! @brief Lifecycle state that the member announced: `joining`, `alive`, `draining` or `left`. */
    std::string state{};
    /*! @brief Configuration version in force at the member. */
    config_version version{};
    /*! @brief Time since the start of the member's process in milliseconds, by the clock of the queried node.
     */
    std::uint64_t age_ms{};
    /*! @brief Targets of the member. */
    std::vector<status_target> targets{};
};

/*! @brief Outcome of a record that the node folded into its configuration recently. */
struct status_outcome {
    /*! @brief Offset of the record. */
    std::uint64_t offset{};
    /*! @brief Name of the outcome kind. */
    std::string kind{};
    /*! @brief Reason for the outcome, empty if there is none. */
    std::string reason{};
};

/*! @brief Response to `GET /v1/status`. */
struct node_status {
    /*! @brief Name of the queried node. */
    std::string node{};
    /*! @brief Data centre of the queried node. */
    std::string data_centre{};
    /*! @brief Configuration version in force at the queried node. */
    config_version version{};
    /*! @brief True if the node is ready to serve requests. */
    bool ready{};
    /*! @brief Source of the configuration records, as the top-level member names it. */
    std::string source{};
    /*! @brief Members that the node knows, including itself. */
    std::vector<status_member> members{};
    /*! @brief Offset of the next record that the node will fold. */
    std::uint64_t next_offset{};
    /*! @brief Source of the configuration records, as the `config` object names it. */
    std::string config_source{};
    /*! @brief Outcomes of the last records that the node folded, oldest first. */
    std::vector<status_outcome> last_outcomes{};
};

/**
 * @brief Decodes a status. Unknown JSON members are ignored, because nodes may be newer than the client.
 * @param body Body of the response.
 * @return The status, or the reason why it cannot be decoded.
 */
[[nodiscard]] result<node_status> decode_status(const std::string& body);

/**
 * @brief Checks whether a member is live: its status is alive or suspect, and it has not left the mesh.
 * @param member The member.
 * @return True if it is live.
 */
[[nodiscard]] bool is_live(const status_member& member);

} // namespace kumquatdrift::internal

#endif
