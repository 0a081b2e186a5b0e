#ifndef KUMQUATDRIFT_MEMBERSHIP_COUNTERS_HPP
#define KUMQUATDRIFT_MEMBERSHIP_COUNTERS_HPP

#include <cstdint>

namespace kumquatdrift {

/*! @brief Bytes and messages of one kind of traffic. */
struct traffic_count {
    /*! @brief Number of messages. */
    std::uint64_t messages{};
    /*! @brief Number of bytes; datagrams include the IP and UDP headers, exchanges only the messages. */
    std::uint64_t bytes{};
};

/*! @brief Counters of the membership module since the start of the process. */
struct membership_counters {
    /*! @brief Pings, acks and indirect probes sent, with the changes they carry. */
    traffic_count probes_sent{};
    /*! @brief Pushes of urgent changes sent. */
    traffic_count pushes_sent{};
    /*! @brief Rounds of gossip sent. */
    traffic_count gossip_sent{};
    /*! @brief Datagrams received. */
    traffic_count datagrams_received{};
    /*! @brief Digest exchange messages sent, requests and replies. */
    traffic_count exchanges_sent{};
    /*! @brief Digest exchange messages received, requests and replies. */
    traffic_count exchanges_received{};
    /*! @brief Messages dropped because of their size. */
    std::uint64_t oversized{};
    /*! @brief Messages dropped because they could not be decoded. */
    std::uint64_t undecodable{};
    /*! @brief Messages dropped because of another format version. */
    std::uint64_t wrong_format{};
    /*! @brief Messages or records dropped because of values outside their ranges. */
    std::uint64_t invalid{};
    /*! @brief Records or claims about this node that it never made, dropped. */
    std::uint64_t forged{};
    /*! @brief Records dropped because a newer one was known. */
    std::uint64_t stale{};
    /*! @brief Pushes delayed, or messages shortened, because the byte budget was used up. */
    std::uint64_t over_budget{};
    /*! @brief Suspicions of this node that it refuted. */
    std::uint64_t refutations{};
    /*! @brief Members that this node suspected first. */
    std::uint64_t suspicions{};
    /*! @brief Pauses of this process that were noticed. */
    std::uint64_t pauses{};
    /*! @brief Digest exchanges that failed. */
    std::uint64_t exchange_failures{};
};

} // namespace kumquatdrift

#endif
