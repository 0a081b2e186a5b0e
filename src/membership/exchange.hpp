#ifndef KUMQUATDRIFT_SRC_MEMBERSHIP_EXCHANGE_HPP
#define KUMQUATDRIFT_SRC_MEMBERSHIP_EXCHANGE_HPP

#include <optional>

#include <membership.pb.h>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/membership/state.hpp>

namespace kumquatdrift::internal {

/*! @brief Largest accepted size of an exchange message in bytes. */
inline constexpr std::size_t max_exchange_bytes = 400'000;

/*! @brief Result of the first step of an exchange. */
struct exchange_step {
    /*! @brief Request of the second step; empty if the exchange is complete. */
    std::optional<wire::fetch_request> request{};
    /*! @brief True if the peer omitted buckets; the exchange then does not count as a synchronisation. */
    bool truncated{};
};

/**
 * @brief Returns the peer of the next digest exchange if one is due.
 *
 * If no peer is known, a synchronisation is recorded without an exchange, so that a single node becomes
 * ready.
 *
 * @param state State.
 * @param now Current time.
 * @param rng Random engine.
 * @return Record of the peer, or nothing.
 */
[[nodiscard]] std::optional<member_record> next_exchange_peer(membership_state& state, timestamp now,
                                                              random_engine& rng);

/**
 * @brief Makes the request of the first step, which carries the digests of the table.
 * @param state State.
 * @param now Current time.
 * @return The request.
 */
[[nodiscard]] wire::sync_request begin_exchange(membership_state& state, timestamp now);

/**
 * @brief Handles the request of the first step. The response lists the members of the buckets that differ.
 * @param state State.
 * @param request The request.
 * @param now Current time.
 * @param rng Random engine; shuffles the buckets, so that a truncated response omits random ones.
 * @return The response, or the reason why the request was rejected.
 */
[[nodiscard]] result<wire::sync_reply> handle_sync(membership_state& state, const wire::sync_request& request,
                                                   timestamp now, random_engine& rng);

/**
 * @brief Compares the members that the peer listed with those known here.
 * @param state State.
 * @param reply Response of the first step.
 * @param now Current time.
 * @return The next step, or the reason why the response was rejected.
 */
[[nodiscard]] result<exchange_step> continue_exchange(membership_state& state, const wire::sync_reply& reply,
                                                      timestamp now);

/**
 * @brief Handles the request of the second step: merges the changes that it carries and returns those wanted.
 * @param state State.
 * @param request The request.
 * @param now Current time.
 * @return The response, or the reason why the request was rejected.
 */
[[nodiscard]] result<wire::fetch_reply> handle_fetch(membership_state& state,
                                                     const wire::fetch_request& request, timestamp now);

/**
 * @brief Completes an exchange. A truncated one is followed by another after a short delay.
 * @param state State.
 * @param reply Response of the second step; empty if the exchange had only one step.
 * @param truncated True if the response of the first step was truncated.
 * @param now Current time.
 */
void finish_exchange(membership_state& state, const std::optional<wire::fetch_reply>& reply, bool truncated,
                     timestamp now);

/**
 * @brief Records a failed exchange and schedules the next one after a short delay.
 * @param state State.
 * @param now Current time.
 */
void fail_exchange(membership_state& state, timestamp now);

} // namespace kumquatdrift::internal

#endif
