#ifndef KUMQUATDRIFT_SRC_MEMBERSHIP_CODEC_HPP
#define KUMQUATDRIFT_SRC_MEMBERSHIP_CODEC_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include <membership.pb.h>

#include <kumquatdrift/membership/table.hpp>

namespace kumquatdrift::internal {

/*! @brief Version of the wire format. Messages of another version are discarded. */
inline constexpr std::uint32_t wire_format = 1;

/*! @brief Largest encoded record in bytes; leaves room in a datagram for headers and a few other changes. */
inline constexpr std::size_t max_record_bytes = 1'000;

/*! @brief Largest length in bytes of the name of a node, data centre, service or target. */
inline constexpr std::size_t max_name_bytes = 64;

/*! @brief Largest accepted sequence, start time or heartbeat; further increments cannot overflow. */
inline constexpr std::uint64_t max_sequence = std::uint64_t{1} << 62U;

/*! @brief Kind of a datagram. */
enum class datagram_kind : std::uint8_t {
    /*! @brief Requests an ack. */
    ping = 1,
    /*! @brief Acknowledges a ping. */
    ack = 2,
    /*! @brief Requests an indirect probe of another member. */
    ping_request = 3,
    /*! @brief Carries changes only and is not acknowledged. */
    push = 4,
};

/*! @brief A record received from another node. */
struct decoded_record {
    /*! @brief The record. Addresses of targets are empty, since they are not sent. */
    member_record record{};
    /*! @brief Sequence of its last change other than of the version. */
    std::uint64_t base_sequence{};
    /*! @brief Highest version of earlier processes of the node; 0 if unknown or not above the record's
     * version. */
    config_version earlier_version{};
    /*! @brief True if the sender considers the member dead; the message then also carries the claim. */
    bool dead{};
};

/**
 * @brief Computes the key of a node in the table.
 * @param node Name of the node.
 * @return The key.
 */
[[nodiscard]] std::uint64_t key_of(std::string_view node) noexcept;

/**
 * @brief Computes the identity of a process: its node and start time.
 * @param node Name of the node.
 * @param start_time Start time.
 * @return The identity.
 */
[[nodiscard]] std::uint64_t identity_of(std::string_view node, std::uint64_t start_time) noexcept;

/**
 * @brief Computes the digest that represents a data centre in messages.
 * @param name Name of the data centre.
 * @return The digest.
 */
[[nodiscard]] std::uint32_t data_centre_digest(std::string_view name) noexcept;

/**
 * @brief Encodes the record of a member.
 * @param known The member.
 * @return The message.
 */
[[nodiscard]] wire::record to_wire(const member& known);

/**
 * @brief Decodes and checks a record.
 * @param message The message.
 * @return The record, or an empty value if a field is invalid or the record is too large.
 */
[[nodiscard]] std::optional<decoded_record> from_wire(const wire::record& message);

} // namespace kumquatdrift::internal

#endif
