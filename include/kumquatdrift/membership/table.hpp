#ifndef KUMQUATDRIFT_MEMBERSHIP_TABLE_HPP
#define KUMQUATDRIFT_MEMBERSHIP_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/membership/settings.hpp>
#include <kumquatdrift/membership/types.hpp>

namespace kumquatdrift::internal {

/*! @brief A member with this node's knowledge of it. */
struct member {
    /*! @brief Newest record known. */
    member_record record{};
    /*! @brief Digest of name and start time. */
    std::uint64_t identity{};
    /*! @brief Sequence of the last change other than of the version; later records differ only in version. */
    std::uint64_t base_sequence{};
    /*! @brief Highest version of earlier processes of the node; passed on until the node holds it again. */
    config_version earlier_version{};
    /*! @brief Belief about this sequence of the record; a record with a higher sequence resets it. */
    member_status status{member_status::alive};
    /*! @brief Time of the last change of status or state. */
    timestamp since{};
    /*! @brief Slot of the data centre. */
    std::size_t site{};
};

/*! @brief A data centre. */
struct site {
    /*! @brief Name. */
    std::string name{};
    /*! @brief Counter raised by the relays of the data centre about once per second. */
    std::uint64_t heartbeat{};
    /*! @brief Time at which the counter last grew here. */
    timestamp heard{};
    /*! @brief True while nothing is heard. */
    bool silent{};
};

/*! @brief A probe that awaits its ack. */
struct probe {
    /*! @brief Number that the ack repeats. */
    std::uint64_t number{};
    /*! @brief Key of the probed member. */
    std::uint64_t key{};
    /*! @brief Identity of the probed member. */
    std::uint64_t identity{};
    /*! @brief Time of the first ping. */
    timestamp begun{};
    /*! @brief True once the indirect probes were sent. */
    bool indirect{};
};

/*! @brief An indirect probe on behalf of another node. */
struct relayed_probe {
    /*! @brief Number of this node's ping. */
    std::uint64_t number{};
    /*! @brief Number that the requester expects in the ack. */
    std::uint64_t requested{};
    /*! @brief Address of the requester. */
    gossip_address requester{};
    /*! @brief Time of the ping. */
    timestamp begun{};
};

/*! @brief Failure detector. */
struct detector {
    /*! @brief Probe in progress. */
    std::optional<probe> current{};
    /*! @brief Indirect probes for others. */
    std::deque<relayed_probe> relayed{};
    /*! @brief Members to probe next, in random order. */
    std::vector<std::uint64_t> order{};
    /*! @brief Suspects of this data centre. */
    std::vector<std::uint64_t> suspects{};
    /*! @brief Number of the last probe. */
    std::uint64_t last_number{};
    /*! @brief Time of the next probe. */
    timestamp next_probe{};
    /*! @brief Time of the next round of gossip. */
    timestamp next_gossip{};
    /*! @brief Time of the next probe of a dead member. */
    timestamp next_dead_probe{};
    /*! @brief Time of the next look at retention times. */
    timestamp next_sweep{};
    /*! @brief Remote data centre probed last. */
    std::size_t last_site{};
};

/*! @brief A queued change. */
struct queued_change {
    /*! @brief Number of times it was sent inside the data centre. */
    std::size_t sends{};
    /*! @brief Slots of the data centres to which this relay has yet to send it. */
    std::uint64_t remote_sites{};
    /*! @brief Time at which it was queued. */
    timestamp queued{};
};

/*! @brief Changes to pass on, the newest first. */
struct gossip_queue {
    /*! @brief Order of sending. Keys without an entry are skipped. */
    std::deque<std::uint64_t> order{};
    /*! @brief Entries by key. */
    std::unordered_map<std::uint64_t, queued_change> entries{};
};

/*! @brief A change that is pushed in several rounds. */
struct urgent_push {
    /*! @brief Key of the member. */
    std::uint64_t key{};
    /*! @brief Rounds left. */
    std::size_t rounds{};
    /*! @brief Time of the next round. */
    timestamp next{};
};

/*! @brief Keys of live members by data centre. */
struct peer_cache {
    /*! @brief True if liveness changed since the cache was built. */
    bool stale{true};
    /*! @brief True if this node is a relay. */
    bool relay{};
    /*! @brief Live members of this data centre other than this node. */
    std::vector<std::uint64_t> local{};
    /*! @brief Dead members of this data centre. */
    std::vector<std::uint64_t> dead{};
    /*! @brief Live members by slot of the data centre. */
    std::vector<std::vector<std::uint64_t>> by_site{};
    /*! @brief Relays by slot of the data centre. */
    std::vector<std::vector<std::uint64_t>> relays{};
};

} // namespace kumquatdrift::internal

#endif
