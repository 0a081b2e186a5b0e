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

/*! @brief A member as this node knows it. */
struct member {
    /*! @brief Newest record known. */
    member_record record{};
    /*! @brief Identity of the process: digest of node name and start time. */
    std::uint64_t identity{};
    /*! @brief Sequence of the last change other than of the version; later ones change only the version. */
    std::uint64_t base_sequence{};
    /*! @brief Highest version of earlier processes of the node; propagated until the node reaches it. */
    config_version earlier_version{};
    /*! @brief Observed status for this sequence; a record with a higher sequence resets it to alive. */
    member_status status{member_status::alive};
    /*! @brief Time of the last change of status or state. */
    timestamp changed_at{};
    /*! @brief Index of the data centre in `membership_state::data_centres`. */
    std::size_t data_centre_index{};
};

/*! @brief Reachability of a data centre. */
struct data_centre_state {
    /*! @brief Name of the data centre. */
    std::string name{};
    /*! @brief Heartbeat counter, incremented by the relays of the data centre about once per second. */
    std::uint64_t heartbeat{};
    /*! @brief Time at which this node last received a higher counter. */
    timestamp last_heartbeat{};
    /*! @brief True if no higher counter was received within `silence_timeout`. */
    bool silent{};
};

/*! @brief A probe whose ack is pending. */
struct probe {
    /*! @brief Probe number, echoed by the ack. */
    std::uint64_t number{};
    /*! @brief Key of the probed member. */
    std::uint64_t key{};
    /*! @brief Identity of the probed member. */
    std::uint64_t identity{};
    /*! @brief Time of the first ping. */
    timestamp started_at{};
    /*! @brief True if the indirect probes have been sent. */
    bool indirect{};
};

/*! @brief An indirect probe that this node performs at the request of another node. */
struct requested_probe {
    /*! @brief Probe number of this node's ping. */
    std::uint64_t number{};
    /*! @brief Probe number that the requester expects in the ack. */
    std::uint64_t requester_number{};
    /*! @brief Address of the requester. */
    gossip_address requester{};
    /*! @brief Time of the ping. */
    timestamp started_at{};
};

/*! @brief State of the failure detector. */
struct detector {
    /*! @brief Probe in progress. */
    std::optional<probe> current{};
    /*! @brief Indirect probes in progress for other nodes, the oldest first. */
    std::deque<requested_probe> requested{};
    /*! @brief Keys of the members still to be probed in this cycle, in random order; the last is next. */
    std::vector<std::uint64_t> order{};
    /*! @brief Keys of the suspected members of this data centre. */
    std::vector<std::uint64_t> suspects{};
    /*! @brief Last probe number used. */
    std::uint64_t last_number{};
    /*! @brief Time of the next probe. */
    timestamp next_probe{};
    /*! @brief Time of the next round of gossip. */
    timestamp next_gossip{};
    /*! @brief Time of the next probe of a dead member. */
    timestamp next_dead_probe{};
    /*! @brief Time of the next removal of expired entries. */
    timestamp next_sweep{};
    /*! @brief Index of the remote data centre probed last. */
    std::size_t last_probed_data_centre{};
};

/*! @brief Transmission state of a queued change. */
struct queued_change {
    /*! @brief Number of transmissions inside this node's data centre. */
    std::size_t transmissions{};
    /*! @brief Bit set, by index, of the other data centres to which this relay must still send it. */
    std::uint64_t remote_data_centres{};
    /*! @brief Time at which it was queued. */
    timestamp queued_at{};
};

/*! @brief Queue of changes to propagate, the newest first. */
struct gossip_queue {
    /*! @brief Keys in transmission order. Keys without an entry are skipped. */
    std::deque<std::uint64_t> order{};
    /*! @brief Entries by key. */
    std::unordered_map<std::uint64_t, queued_change> entries{};
};

/*! @brief An urgent change, pushed in several rounds. */
struct urgent_push {
    /*! @brief Key of the changed member. */
    std::uint64_t key{};
    /*! @brief Number of rounds left. */
    std::size_t rounds_left{};
    /*! @brief Time of the next round. */
    timestamp next_round{};
};

/*! @brief Cached keys of members by data centre. Suspects are included among the live members. */
struct peer_cache {
    /*! @brief True if the liveness of a member has changed since the cache was built. */
    bool stale{true};
    /*! @brief True if this node is a relay of its data centre. */
    bool is_relay{};
    /*! @brief Live members of this data centre other than this node. */
    std::vector<std::uint64_t> local{};
    /*! @brief Dead members of this data centre. */
    std::vector<std::uint64_t> dead{};
    /*! @brief Live members other than this node by index of the data centre. */
    std::vector<std::vector<std::uint64_t>> by_data_centre{};
    /*! @brief Relays other than this node by index of the data centre. */
    std::vector<std::vector<std::uint64_t>> relays{};
};

} // namespace kumquatdrift::internal

#endif
