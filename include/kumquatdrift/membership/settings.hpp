#ifndef KUMQUATDRIFT_MEMBERSHIP_SETTINGS_HPP
#define KUMQUATDRIFT_MEMBERSHIP_SETTINGS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/*! @brief Address of a gossip endpoint. */
struct gossip_address {
    /*! @brief IP address. */
    std::string ip{};
    /*! @brief UDP port. */
    std::uint16_t port{};

    /*! @brief Orders by IP address, then port. */
    auto operator<=>(const gossip_address&) const = default;
};

/*! @brief Largest datagram payload in bytes. Fits an Ethernet frame without IP fragmentation. */
inline constexpr std::size_t max_datagram_bytes = 1'400;

/*! @brief Bytes of the IPv4 and UDP headers, charged to the budget with each datagram. */
inline constexpr std::size_t datagram_header_bytes = 28;

/*! @brief Periods, timeouts, fan-out and byte budgets of the membership module. */
struct membership_settings {
    /*! @brief Time between calls of `on_tick`. */
    milliseconds tick_period{50};
    /*! @brief Time between two probes by one node; a probe without an ack in it makes the member suspect. */
    milliseconds probe_period{1'000};
    /*! @brief Wait for a direct ack before the indirect probes start. */
    milliseconds ack_timeout{300};
    /*! @brief Number of members asked to probe indirectly. */
    std::size_t indirect_probes{3};
    /*! @brief Time in which a suspect can refute before it is declared dead. */
    milliseconds suspicion_timeout{3'000};
    /*! @brief Time between probes of dead members, so that a healed cut is noticed. */
    milliseconds dead_probe_period{5'000};
    /*! @brief Time between first-contact pings while no other member is known. */
    milliseconds contact_period{1'000};
    /*! @brief Time between first-contact pings to seeds that are no live member. */
    milliseconds idle_contact_period{30'000};
    /*! @brief Silence after which the members of a data centre are `unreachable`. */
    milliseconds silence_limit{15'000};
    /*! @brief Gap between two calls above which this process counts as paused and extends its timers. */
    milliseconds pause_limit{1'000};
    /*! @brief Time after which a dead member is removed. */
    milliseconds dead_retention{1'800'000};
    /*! @brief Time after which a member that has left is removed. */
    milliseconds left_retention{600'000};
    /*! @brief Time for which dead and left members are covered by digests. */
    milliseconds tombstone_digest_time{120'000};
    /*! @brief Time between two digest exchanges. */
    milliseconds exchange_period{10'000};
    /*! @brief Every this many exchanges also compare versions. */
    std::size_t version_exchange_interval{4};
    /*! @brief Time between two rounds of gossip while changes of state, targets or status are queued. */
    milliseconds gossip_period{200};
    /*! @brief Members that a round of gossip is sent to. */
    std::size_t gossip_fan_out{2};
    /*! @brief Members to which a draining target is pushed in each round. */
    std::size_t push_fan_out{4};
    /*! @brief Number of rounds of a push. */
    std::size_t push_rounds{3};
    /*! @brief Time between two rounds of a push. */
    milliseconds push_interval{150};
    /*! @brief A change is sent this many times the decimal logarithm of the local members. */
    std::size_t retransmit_factor{4};
    /*! @brief Number of times a change of version is sent. */
    std::size_t version_retransmissions{4};
    /*! @brief Time after which a queued change is dropped; digest exchanges repair what was missed. */
    milliseconds queue_limit{60'000};
    /*! @brief Datagram bytes sent per second, headers included. */
    double datagram_bytes_per_second{4'000};
    /*! @brief Datagram bytes that can be sent at once after a quiet time. */
    double datagram_burst_bytes{16'000};
    /*! @brief Part of the burst that only probes and pushes of urgent changes may use. */
    double reserved_burst_bytes{8'000};
    /*! @brief Digest exchange bytes sent per second. */
    double exchange_bytes_per_second{2'000};
    /*! @brief Digest exchange bytes sent at once after a quiet time; a table of 2,400 members for one joiner.
     */
    double exchange_burst_bytes{300'000};
    /*! @brief Largest number of members; records of further members are dropped. */
    std::size_t max_members{8'000};
    /*! @brief Largest number of advisory entries. */
    std::size_t max_advisories{256};
    /*! @brief Longest lifetime of an advisory entry. */
    milliseconds max_advisory_time{600'000};
    /*! @brief Addresses for first contact. */
    std::vector<gossip_address> seeds{};
};

} // namespace kumquatdrift

#endif
