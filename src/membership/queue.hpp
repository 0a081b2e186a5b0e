#ifndef KUMQUATDRIFT_SRC_MEMBERSHIP_QUEUE_HPP
#define KUMQUATDRIFT_SRC_MEMBERSHIP_QUEUE_HPP

#include <cstddef>
#include <cstdint>

#include <membership.pb.h>

#include <kumquatdrift/membership/state.hpp>

namespace kumquatdrift::internal {

/**
 * @brief Queues a change, or restarts its retransmissions if it is queued already.
 * @param queue Queue.
 * @param key Key of the change.
 * @param remote_data_centres Bit set, by index, of the other data centres to which this node must send it.
 * @param now Current time.
 */
void enqueue(gossip_queue& queue, std::uint64_t key, std::uint64_t remote_data_centres, timestamp now);

/**
 * @brief Adds a member's record to a message, with a status claim if the member is suspect or dead.
 * @param known The member.
 * @param message The message.
 * @return Number of bytes added.
 */
std::size_t add_member(const member& known, wire::changes& message);

/**
 * @brief Adds a member's change of version to a message.
 * @param known The member.
 * @param message The message.
 * @return Number of bytes added.
 */
std::size_t add_version(const member& known, wire::changes& message);

/**
 * @brief Adds a claim of a member's status to a message.
 * @param known The member.
 * @param message The message.
 * @return Number of bytes added.
 */
std::size_t add_claim(const member& known, wire::changes& message);

/**
 * @brief Fills a message with queued changes of versions.
 * @param state State.
 * @param data_centre_index Index of the receiver's data centre.
 * @param budget Largest number of bytes to add.
 * @param now Current time.
 * @param message The message.
 */
void add_queued_versions(membership_state& state, std::size_t data_centre_index, std::size_t budget,
                         timestamp now, wire::changes& message);

/**
 * @brief Fills a message with queued changes of state, targets and status, then with advisory entries.
 * @param state State.
 * @param data_centre_index Index of the receiver's data centre.
 * @param budget Largest number of bytes to add.
 * @param now Current time.
 * @param message The message.
 * @return Number of bytes added.
 */
std::size_t add_queued(membership_state& state, std::size_t data_centre_index, std::size_t budget,
                       timestamp now, wire::changes& message);

/**
 * @brief Merges the changes of a message. Invalid ones are counted and discarded.
 * @param state State.
 * @param message The message.
 * @param now Current time.
 * @return True if the message claims that this node is suspect or dead, so that the response must include its
 * record.
 */
bool apply_changes(membership_state& state, const wire::changes& message, timestamp now);

/**
 * @brief Returns how many times a change of state or targets is sent inside this node's data centre.
 * @param state State.
 * @return Number of transmissions.
 */
[[nodiscard]] std::size_t retransmissions(const membership_state& state) noexcept;

} // namespace kumquatdrift::internal

#endif
