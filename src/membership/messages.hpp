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
 * @brief Starts a datagram of this node with the heartbeats of the data centres.
 * @param state State.
 * @param kind Kind.
 * @param number Probe number; 0 for none.
 * @return The message.
 */
[[nodiscard]] wire::gossip make_message(const membership_state& state, datagram_kind kind,
                                        std::uint64_t number);

/**
 * @brief Fills a probe message with queued changes and charges it to the byte budget.
 *
 * The probe itself is always sent, because a missing ack would be a false suspicion; only the changes that
 * it carries depend on the budget.
 *
 * @param state State.
 * @param to Receiver.
 * @param site Slot of the receiver's data centre.
 * @param message The message.
 * @param now Current time.
 * @return The datagram.
 */
[[nodiscard]] outgoing finish_probe(membership_state& state, const gossip_address& to, std::size_t site,
                                    wire::gossip message, timestamp now);

/**
 * @brief Runs the rounds of pushes that are due.
 * @param state State.
 * @param now Current time.
 * @param rng Random engine.
 * @param out Receives the datagrams.
 */
void run_pushes(membership_state& state, timestamp now, random_engine& rng, std::vector<outgoing>& out);

/**
 * @brief Sends queued changes to a few members if a round of gossip is due. Probes alone would take about a
 * second for each step of the spread.
 * @param state State.
 * @param now Current time.
 * @param rng Random engine.
 * @param out Receives the datagrams.
 */
void run_gossip(membership_state& state, timestamp now, random_engine& rng, std::vector<outgoing>& out);

/**
 * @brief Notes the time and extends all timers after a pause of this process.
 * @param state State.
 * @param now Current time.
 */
void note_time(membership_state& state, timestamp now);

/**
 * @brief Makes the ping of a member, with the claim about it if it is suspect or dead, so that it can refute.
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
