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
    /*! @brief Id at its node. */
    std::string id{};
    /*! @brief Service. */
    std::string service{};
    /*! @brief State that it announced last. */
    std::string state{};
    /*! @brief Requests that it runs at the same time. */
    std::uint64_t slots{};
};

/*! @brief A member in the status of a node. */
struct status_member {
    /*! @brief Name of the member's node. */
    std::string node{};
    /*! @brief Data centre. */
    std::string data_centre{};
    /*! @brief What the asked node believes: `alive`, `suspect`, `dead` or `unreachable`. */
    std::string status{};
    /*! @brief What the member says: `joining`, `alive`, `draining` or `left`. */
    std::string state{};
    /*! @brief Version in force there. */
    config_version version{};
    /*! @brief Age of the member's record. */
    std::uint64_t age_ms{};
    /*! @brief Targets. */
    std::vector<status_target> targets{};
};

/*! @brief One of the last outcomes of the fold at a node. */
struct status_outcome {
    /*! @brief Offset. */
    std::uint64_t offset{};
    /*! @brief Name of the outcome kind. */
    std::string kind{};
    /*! @brief Reason. */
    std::string reason{};
};

/*! @brief Answer to `GET /v1/status`. */
struct node_status {
    /*! @brief Name of the asked node. */
    std::string node{};
    /*! @brief Its data centre. */
    std::string data_centre{};
    /*! @brief Its version in force. */
    config_version version{};
    /*! @brief True if it serves requests. */
    bool ready{};
    /*! @brief Where it gets records from. */
    std::string source{};
    /*! @brief Members that it knows, itself included. */
    std::vector<status_member> members{};
    /*! @brief Next offset that it folds. */
    std::uint64_t next_offset{};
    /*! @brief Where its replica gets records from. */
    std::string config_source{};
    /*! @brief Its last outcomes. */
    std::vector<status_outcome> last_outcomes{};
};

/**
 * @brief Decodes a status. Unknown members are ignored, because nodes may be newer than the client.
 * @param body Body of the answer.
 * @return The status, or why it cannot be decoded.
 */
[[nodiscard]] result<node_status> decode_status(const std::string& body);

/**
 * @brief Checks whether a member counts as live: it is alive or suspect and has not left.
 * @param member The member.
 * @return True if it is live.
 */
[[nodiscard]] bool is_live(const status_member& member);

} // namespace kumquatdrift::internal

#endif
