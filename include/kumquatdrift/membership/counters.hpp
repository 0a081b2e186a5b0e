#ifndef KUMQUATDRIFT_MEMBERSHIP_COUNTERS_HPP
#define KUMQUATDRIFT_MEMBERSHIP_COUNTERS_HPP

#include <cstdint>

namespace kumquatdrift {

/*! @brief Number of messages and bytes of one kind of traffic. */
struct traffic_count {
    /*! @brief Number of messages. */
    std::uint64_t messages{};
    /*! @brief Number of bytes, including the IP and UDP headers of datagrams, but no headers of exchanges. */
    std::uint64_t bytes{};
};

/*! @brief Counters of the membership module since the start of the process. */
struct membership_counters {
    /*! @brief Pings, acks and indirect probes sent, including the changes that they carry. */
    traffic_count probes_sent{};
    /*! @brief Pushes of urgent changes sent. */
    traffic_count pushes_sent{};
    /*! @brief Datagrams sent by rounds of gossip. */
    traffic_count gossip_sent{};
    /*! @brief Datagrams received. */
    traffic_count datagrams_received{};
    /*! @brief Digest exchange messages sent, both requests and responses. */
    traffic_count exchanges_sent{};
    /*! @brief Digest exchange messages received, both requests and responses. */
    traffic_count exchanges_received{};
    /*! @brief Messages discarded because they exceed the size limit. */
    std::uint64_t oversized{};
    /*! @brief Messages discarded because they cannot be decoded. */
    std::uint64_t undecodable{};
    /*! @brief Messages discarded because of another format version. */
    std::uint64_t wrong_format{};
    /*! @brief Messages, records or other entries discarded because of invalid values or a full table. */
    std::uint64_t invalid{};
    /*! @brief Discarded records and claims about this node that it cannot have published. */
    std::uint64_t forged{};
    /*! @brief Records discarded because a newer one is known. */
    std::uint64_t stale{};
    /*! @brief Pushes delayed, or messages shortened, because the byte budget was exhausted. */
    std::uint64_t over_budget{};
    /*! @brief Suspicions of this node that it refuted. */
    std::uint64_t refutations{};
    /*! @brief Suspicions raised by probes of this node. */
    std::uint64_t suspicions{};
    /*! @brief Detected pauses of this process. */
    std::uint64_t pauses{};
    /*! @brief Digest exchanges that failed. */
    std::uint64_t exchange_failures{};
};

} // namespace kumquatdrift

#endif
