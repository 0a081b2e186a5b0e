#ifndef KUMQUATDRIFT_MEMBERSHIP_TYPES_HPP
#define KUMQUATDRIFT_MEMBERSHIP_TYPES_HPP

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <kumquatdrift/config/types.hpp>
#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/membership/fwd.hpp>

namespace kumquatdrift {

/*! @brief State that a target announces to its node. */
enum class target_state : std::uint8_t {
    /*! @brief Started but not warmed up; receives a growing share of the load. */
    cold,
    /*! @brief Receives its full share of the load. */
    ready,
    /*! @brief Completes its requests and accepts no new ones. */
    draining,
};

/*! @brief Names of the target states. */
template<>
struct enum_names<target_state> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<target_state, std::string_view>, 3> table{{
        {target_state::cold, "cold"},
        {target_state::ready, "ready"},
        {target_state::draining, "draining"},
    }};
};

/*! @brief State that a node publishes about itself. */
enum class member_state : std::uint8_t {
    /*! @brief Started, not yet ready to forward requests. */
    joining,
    /*! @brief Forwards requests. */
    alive,
    /*! @brief Completes its requests and accepts no new ones. */
    draining,
    /*! @brief Has shut down. */
    left,
};

/*! @brief Names of the member states. */
template<>
struct enum_names<member_state> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<member_state, std::string_view>, 4> table{{
        {member_state::joining, "joining"},
        {member_state::alive, "alive"},
        {member_state::draining, "draining"},
        {member_state::left, "left"},
    }};
};

/*! @brief Status of a member as observed by this node. */
enum class member_status : std::uint8_t {
    /*! @brief Acknowledges the probes of this node or of other members. */
    alive,
    /*! @brief Failed to acknowledge a probe; declared dead unless it refutes the suspicion in time. */
    suspect,
    /*! @brief Declared dead; its targets are not used. */
    dead,
    /*! @brief In a data centre whose heartbeats no longer arrive; kept in the table, but not used. */
    unreachable,
};

/*! @brief Names of the member statuses. */
template<>
struct enum_names<member_status> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<member_status, std::string_view>, 4> table{{
        {member_status::alive, "alive"},
        {member_status::suspect, "suspect"},
        {member_status::dead, "dead"},
        {member_status::unreachable, "unreachable"},
    }};
};

/*! @brief A target as published by its node. */
struct target_record {
    /*! @brief Name, unique among the targets of its node. */
    std::string id{};
    /*! @brief Service that it belongs to. */
    std::string service{};
    /*! @brief IP address and port of the target, used only by its own node. */
    std::string address{};
    /*! @brief Number of requests that it processes concurrently. */
    std::uint32_t slots{1};
    /*! @brief State that it last announced. */
    target_state state{target_state::ready};

    /*! @brief Compares all members. */
    bool operator==(const target_record&) const = default;
};

/*! @brief The record that a node publishes about itself. Only that node changes it. */
struct member_record {
    /*! @brief Name of the node, unique in the mesh. */
    std::string node{};
    /*! @brief Data centre of the node. */
    std::string data_centre{};
    /*! @brief Start of the process in microseconds since the epoch; orders the records of two processes. */
    std::uint64_t start_time{};
    /*! @brief Incremented with each change; orders the records of one process. */
    std::uint64_t sequence{};
    /*! @brief IP address on which the node listens. */
    std::string ip{};
    /*! @brief TCP port for requests from other nodes. */
    std::uint16_t peer_port{};
    /*! @brief TCP port of the gRPC services. */
    std::uint16_t control_port{};
    /*! @brief UDP port of the gossip endpoint. */
    std::uint16_t gossip_port{};
    /*! @brief TCP port for callers. */
    std::uint16_t caller_port{};
    /*! @brief State of the node. */
    member_state state{member_state::joining};
    /*! @brief Configuration version in force. */
    config_version version{};
    /*! @brief Targets on the host. */
    std::vector<target_record> targets{};

    /*! @brief Compares all members. */
    bool operator==(const member_record&) const = default;
};

/*! @brief A member record with the status that this node observes. */
struct member_entry {
    /*! @brief Newest record known. */
    member_record record{};
    /*! @brief Observed status of the member. */
    member_status status{member_status::alive};
};

/*! @brief Immutable copy of the member table, shared between threads. */
struct member_view {
    /*! @brief Name of the node that holds the view. */
    std::string self{};
    /*! @brief Incremented with each change of the table. */
    std::uint64_t generation{};
    /*! @brief Incremented with each change other than of versions; equal values mean the same endpoints. */
    std::uint64_t endpoint_generation{};
    /*! @brief Number of completed digest exchanges with other nodes. */
    std::uint64_t synchronisations{};
    /*! @brief Members by node name, this node included. */
    std::map<std::string, member_entry> members{};
};

/*! @brief Shared reference to an immutable view. */
using member_view_ptr = std::shared_ptr<const member_view>;

} // namespace kumquatdrift

#endif
