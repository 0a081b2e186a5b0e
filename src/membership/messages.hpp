#ifndef KUMQUATDRIFT_SRC_MEMBERSHIP_MESSAGES_HPP
#define KUMQUATDRIFT_SRC_MEMBERSHIP_MESSAGES_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <membership.pb.h>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/membership/state.hpp>

#include <membership/codec.hpp>

namespace kumquatdrift::internal {

/**
 * @brief Returns the address of a member's gossip endpoint.
 * @param known The member.
 * @return The address.
 */
[[nodiscard]] gossip_address address_of(const member& known);

/**
 * @brief Creates a datagram message of this node. All kinds but `push` carry the heartbeats of the data
 * centres.
 * @param state State.
 * @param kind Kind of the datagram.
 * @param number Probe number; 0 for none.
 * @return The message.
 */
[[nodiscard]] wire::gossip make_message(const membership_state& state, datagram_kind kind,
                                        std::uint64_t number);

/**
 * @brief Adds queued changes to a probe message, encodes it and charges it to the byte budget.
 *
 * The probe itself is always sent, because a missing ack would raise a false suspicion. Only the changes that
 * it carries are limited by the budget.
 *
 * @param state State.
 * @param to Address of the receiver.
 * @param data_centre_index Index of the receiver's data centre.
 * @param message The message.
 * @param now Current time.
 * @return The datagram.
 */
[[nodiscard]] outgoing finish_probe(membership_state& state, const gossip_address& to,
                                    std::size_t data_centre_index, wire::gossip message, timestamp now);

/**
 * @brief Runs the push rounds that are due.
 * @param state State.
 * @param now Current time.
 * @param rng Random engine.
 * @param out Receives the datagrams.
 */
void run_pushes(membership_state& state, timestamp now, random_engine& rng, std::vector<outgoing>& out);

/**
 * @brief Sends queued changes to a few members if a round of gossip is due. With probes alone, each hop would
 * take about a second.
 * @param state State.
 * @param now Current time.
 * @param rng Random engine.
 * @param out Receives the datagrams.
 */
void run_gossip(membership_state& state, timestamp now, random_engine& rng, std::vector<outgoing>& out);

/**
 * @brief Records the time of a call. After a pause of this process, extends the suspicion and silence
 * timeouts and cancels the probe in progress, so that the pause does not count against other members.
 * @param state State.
 * @param now Current time.
 */
void extend_timers_after_pause(membership_state& state, timestamp now);

/**
 * @brief Makes a ping. If the member is suspect or dead, the ping carries that claim, so that it can refute
 * it.
 * @param state State.
 * @param known The member.
 * @param number Probe number; 0 for none.
 * @param now Current time.
 * @return The datagram.
 */
[[nodiscard]] outgoing make_ping(membership_state& state, const member& known, std::uint64_t number,
                                 timestamp now);

} // namespace kumquatdrift::internal

#endif
