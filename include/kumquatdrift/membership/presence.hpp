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

/*! @brief Number of most recent records of the `presence` stream that are read for first contact. */
inline constexpr std::size_t presence_tail_records = 200;

/*! @brief A record of the `presence` stream: the address at which a node can be contacted. */
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
    /*! @brief Upper bound of the delay of the first append; 2,400 nodes then append 80 records per second. */
    microseconds first{30'000'000};
    /*! @brief Mean time between appends; 2,400 nodes then append less than one record per second. */
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
 * @return The record, or the reason why the text is invalid.
 */
[[nodiscard]] result<presence_record> decode_presence(std::string_view text);

/**
 * @brief Makes the presence record of a member.
 * @param member The member.
 * @return The record.
 */
[[nodiscard]] presence_record presence_of(const member_record& member);

/**
 * @brief Selects contacts from the tail of the `presence` stream.
 *
 * Of each other node, the newest record is used. Nodes of the same data centre come first; otherwise the
 * order is random, so that many nodes that restart at the same time do not all contact the same few nodes.
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
 * @brief Returns a random delay before the next append of this node's presence record.
 *
 * The first delay has full jitter. Later ones are between half and one and a half periods.
 *
 * @param schedule Schedule.
 * @param appended Number of records that this process has appended so far.
 * @param rng Random engine.
 * @return The delay.
 */
[[nodiscard]] microseconds presence_delay(const presence_schedule& schedule, std::uint64_t appended,
                                          random_engine& rng);

} // namespace kumquatdrift

#endif
