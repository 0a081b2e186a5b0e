#ifndef KUMQUATDRIFT_GATEWAY_ROLLOUT_CODEC_HPP
#define KUMQUATDRIFT_GATEWAY_ROLLOUT_CODEC_HPP

#include <optional>

#include <kumquatdrift/mesh/rollouts.hpp>
#include <kumquatdrift/traffic/version_comparison.hpp>

#include <hop.pb.h>

namespace kumquatdrift {

/**
 * @brief Encodes the state of a roll-out.
 * @param state State.
 * @param now Current time.
 * @param message Message; filled.
 */
void encode(const rollout& state, timestamp now, hop::Rollout& message);

/**
 * @brief Decodes the state of a roll-out.
 * @param message Message.
 * @param now Current time.
 * @return The state, or nothing if it names no service or version, or a phase that this version doesn't know.
 */
[[nodiscard]] std::optional<rollout> decode(const hop::Rollout& message, timestamp now);

/**
 * @brief Encodes counters of outcomes.
 * @param outcomes Counters.
 * @param message Message; the routes are added.
 */
void encode(const version_outcomes& outcomes, hop::RolloutEvidence& message);

/**
 * @brief Decodes counters of outcomes.
 * @param message Message.
 * @return Counters by route.
 */
[[nodiscard]] version_outcomes decode(const hop::RolloutEvidence& message);

} // namespace kumquatdrift

#endif
