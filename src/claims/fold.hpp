#ifndef KUMQUATDRIFT_CLAIMS_FOLD_HPP
#define KUMQUATDRIFT_CLAIMS_FOLD_HPP

#include <string>
#include <string_view>

#include <kumquatdrift/claims/state.hpp>

namespace kumquatdrift::internal {

/**
 * @brief Returns the name that identifies a key across routes in `claim_partition::keys`.
 * @param route Name of the route.
 * @param key Idempotency key.
 * @return The name, unique for each pair of route and key.
 */
[[nodiscard]] std::string claim_key_name(std::string_view route, std::string_view key);

/**
 * @brief Decodes and folds the record at `next_offset`, and advances `next_offset`.
 * @param partition The partition.
 * @param payload Text of the record.
 */
void fold_claim_payload(claim_partition& partition, std::string_view payload);

/**
 * @brief Folds the decoded record at `next_offset`, and advances `next_offset`.
 * @param partition The partition.
 * @param record The record.
 */
void fold_claim_record(claim_partition& partition, const claim_record& record);

/**
 * @brief Removes the state that comes only from expired records.
 * @param partition The partition.
 * @param earliest Oldest retained offset.
 */
void expire_claim_records(claim_partition& partition, log_offset earliest);

} // namespace kumquatdrift::internal

#endif
