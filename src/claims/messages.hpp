#ifndef KUMQUATDRIFT_CLAIMS_MESSAGES_HPP
#define KUMQUATDRIFT_CLAIMS_MESSAGES_HPP

#include <claims.pb.h>

#include "claims/owner_pool.hpp"

namespace kumquatdrift::internal {

/**
 * @brief Fills a claimant message from a request or an entry.
 * @param claimant Message to fill.
 * @param source Object with route, key and attempt.
 */
template<typename Source>
void fill_claimant(claims::v1::Claimant& claimant, const Source& source)
{
    claimant.set_route(source.route);
    claimant.set_key(source.key);
    claimant.set_attempt(source.attempt);
}

/**
 * @brief Converts a stored response to its message.
 * @param response The response.
 * @return The message.
 */
[[nodiscard]] claims::v1::StoredAnswer to_message(const stored_response& response);

/**
 * @brief Converts a message to a stored response.
 * @param message The message.
 * @return The response.
 */
[[nodiscard]] stored_response from_message(const claims::v1::StoredAnswer& message);

/**
 * @brief Converts the response of an owner to its message.
 * @param response The response.
 * @return The message.
 */
[[nodiscard]] claims::v1::ClaimReply to_message(const owner_response& response);

/**
 * @brief Converts a message to the response of an owner. An unknown outcome becomes `unavailable`.
 * @param message The message.
 * @return The response.
 */
[[nodiscard]] owner_response from_message(const claims::v1::ClaimReply& message);

/**
 * @brief Creates the entry of a completion or a release from its message.
 * @param kind Kind of the entry.
 * @param claimant The claimant.
 * @return The entry.
 */
[[nodiscard]] claim_entry to_entry(claim_entry_kind kind, const claims::v1::Claimant& claimant);

} // namespace kumquatdrift::internal

#endif
