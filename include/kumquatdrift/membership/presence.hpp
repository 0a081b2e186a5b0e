#ifndef KUMQUATDRIFT_MEMBERSHIP_PRESENCE_HPP
#define KUMQUATDRIFT_MEMBERSHIP_PRESENCE_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/log/port.hpp>
#include <kumquatdrift/membership/settings.hpp>
#include <kumquatdrift/membership/types.hpp>

namespace kumquatdrift {

/*! @brief Number of records to read from the tail of the `presence` stream for first contact. */
inline constexpr std::size_t presence_tail_records = 200;

/*! @brief A record of the `presence` stream: where a node can be contacted. */
struct presence_record {
    /*! @brief Name of the node. */
    std::string node{};
    /*! @brief Data centre of the node. */
    std::string data_centre{};
    /*! @brief Start of the process in microseconds since the epoch. */
    std::uint64_t start_time{};
    /*! @brief Address of the gossip endpoint. */
    gossip_address address{};

    /*! @brief Compares all members. */
    bool operator==(const presence_record&) const = default;
};

/*! @brief Times of appends to the `presence` stream. */
struct presence_schedule {
    /*! @brief Upper bound of the delay of the first append; 2,400 nodes then append 80 records a second. */
    microseconds first{30'000'000};
    /*! @brief Mean time between appends; 2,400 nodes then append less than one record a second. */
    microseconds period{3'600'000'000};
};

/**
 * @brief Encodes a presence record.
 * @param record The record.
 * @return JSON text.
 */
[[nodiscard]] std::string encode_presence(const presence_record& record);

/**
 * @brief Decodes a presence record.
 * @param text JSON text.
 * @return The record, or the reason why it cannot be used.
 */
[[nodiscard]] result<presence_record> decode_presence(std::string_view text);

/**
 * @brief Makes the presence record of a member.
 * @param member The member.
 * @return The record.
 */
[[nodiscard]] presence_record presence_of(const member_record& member);

/**
 * @brief Picks contacts from the tail of the `presence` stream.
 *
 * The newest record of each other node counts. Nodes of the same data centre come first; the rest of the
 * order is random, so that a mass restart does not contact the same few nodes.
 *
 * @param records Tail of the stream. Records that cannot be decoded are skipped.
 * @param self Name of this node.
 * @param data_centre Data centre of this node.
 * @param count Largest number of contacts.
 * @param rng Random engine.
 * @return Addresses of gossip endpoints.
 */
[[nodiscard]] std::vector<gossip_address> pick_contacts(const std::vector<log_record>& records,
                                                        std::string_view self, std::string_view data_centre,
                                                        std::size_t count, random_engine& rng);

/**
 * @brief Draws the delay before the next append of this node's presence record, with full jitter.
 * @param schedule Schedule.
 * @param appended Number of records that this process has appended.
 * @param rng Random engine.
 * @return The delay.
 */
[[nodiscard]] microseconds presence_delay(const presence_schedule& schedule, std::uint64_t appended,
                                          random_engine& rng);

} // namespace kumquatdrift

#endif
