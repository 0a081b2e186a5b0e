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

/*! @brief Size of the IPv4 and UDP headers, charged to the byte budget with each datagram. */
inline constexpr std::size_t datagram_header_bytes = 28;

/*! @brief Periods, timeouts, fan-out and byte budgets of the membership module. */
struct membership_settings {
    /*! @brief Time between calls of `on_tick`. */
    milliseconds tick_period{50};
    /*! @brief Time between two probes by one node; a member that sends no ack within it becomes suspect. */
    milliseconds probe_period{1'000};
    /*! @brief Time to wait for a direct ack before indirect probes are requested. */
    milliseconds ack_timeout{300};
    /*! @brief Number of members that are requested to probe indirectly. */
    std::size_t indirect_probes{3};
    /*! @brief Time within which a suspect must refute the suspicion before it is declared dead. */
    milliseconds suspicion_timeout{3'000};
    /*! @brief Mean time between probes of dead members, which detect the end of a network partition. */
    milliseconds dead_probe_period{5'000};
    /*! @brief Mean time between first-contact pings while no live member of this data centre is known. */
    milliseconds contact_period{1'000};
    /*! @brief Mean time between first-contact pings otherwise, sent to contacts that are not live members. */
    milliseconds idle_contact_period{30'000};
    /*! @brief Time without a new heartbeat after which the members of a data centre are `unreachable`. */
    milliseconds silence_timeout{15'000};
    /*! @brief Smallest gap between two calls of `on_tick` or `on_datagram` that counts as a pause of this
     * process; the timers are then extended by the gap. */
    milliseconds pause_threshold{1'000};
    /*! @brief Time after which a dead member is removed. */
    milliseconds dead_retention{1'800'000};
    /*! @brief Time after which a member that has left is removed. */
    milliseconds left_retention{600'000};
    /*! @brief Time for which digests still cover a dead or left member. */
    milliseconds tombstone_digest_time{120'000};
    /*! @brief Mean time between two digest exchanges. */
    milliseconds exchange_period{10'000};
    /*! @brief One of this many digest exchanges also compares versions. */
    std::size_t version_exchange_interval{4};
    /*! @brief Time between two rounds of gossip while changes of state, targets or status are queued. */
    milliseconds gossip_period{200};
    /*! @brief Number of members that receive a round of gossip. */
    std::size_t gossip_fan_out{2};
    /*! @brief Number of random local members that receive each round of an urgent push. */
    std::size_t push_fan_out{4};
    /*! @brief Number of rounds of a push. */
    std::size_t push_rounds{3};
    /*! @brief Time between two rounds of a push. */
    milliseconds push_interval{150};
    /*! @brief Multiplied by `ceil(log10(n + 1))`, the number of transmissions of a change inside a data
     * centre of `n` live members. */
    std::size_t retransmit_factor{4};
    /*! @brief Number of transmissions of a change of version. */
    std::size_t version_retransmissions{4};
    /*! @brief Time after which a queued change is discarded; digest exchanges then propagate it. */
    milliseconds queue_timeout{60'000};
    /*! @brief Datagram bytes sent per second, headers included. */
    double datagram_bytes_per_second{4'000};
    /*! @brief Datagram bytes that can be sent in one burst after an idle time. */
    double datagram_burst_bytes{16'000};
    /*! @brief Part of the burst that is reserved for probes and pushes of urgent changes. */
    double reserved_burst_bytes{8'000};
    /*! @brief Digest exchange bytes sent per second. */
    double exchange_bytes_per_second{2'000};
    /*! @brief Digest exchange bytes that can be sent in one burst after an idle time; enough to send a table
     * of 2,400 members to one joining node. */
    double exchange_burst_bytes{300'000};
    /*! @brief Largest number of members; records of further members are rejected. */
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
