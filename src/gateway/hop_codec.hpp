#ifndef KUMQUATDRIFT_GATEWAY_HOP_CODEC_HPP
#define KUMQUATDRIFT_GATEWAY_HOP_CODEC_HPP

#include <optional>
#include <string>

#include <hop.pb.h>

#include <kumquatdrift/mesh/members.hpp>
#include <kumquatdrift/traffic/quarantine.hpp>

#include "run.hpp"

namespace kumquatdrift {

/*! @brief Largest frame between nodes in bytes; above the largest answer of a target. */
constexpr std::size_t max_frame_bytes = 33'554'432;

/**
 * @brief Writes a frame with its length before it.
 * @param frame Frame.
 * @param output Receives the bytes.
 */
void append_frame(const hop::Frame& frame, std::string& output);

/*! @brief Outcome of reading a frame. */
enum class frame_status : std::uint8_t { complete, need_more, invalid };

/**
 * @brief Reads a frame.
 * @param buffer Received bytes from `offset` on.
 * @param offset Moved behind the frame.
 * @param frame Receives the frame.
 * @return Outcome.
 */
[[nodiscard]] frame_status read_frame(const std::string& buffer, std::size_t& offset, hop::Frame& frame);

/**
 * @brief Encodes a member record.
 * @param record Record.
 * @param into Receives the message.
 */
void encode(const member_record& record, hop::Member& into);

/**
 * @brief Decodes a member record.
 * @param from Message.
 * @return The record, nothing if it names no node or no address.
 */
[[nodiscard]] std::optional<member_record> decode(const hop::Member& from);

/**
 * @brief Encodes a load.
 * @param load Load.
 * @param into Receives the message.
 */
void encode(const target_load& load, hop::Load& into);

/**
 * @brief Decodes a load.
 * @param from Message.
 * @return The load.
 */
[[nodiscard]] target_load decode(const hop::Load& from);

/**
 * @brief Encodes an order.
 * @param order Order.
 * @param now Current time; the frame carries times left, since clocks differ between hosts.
 * @param into Receives the message, without its id.
 */
void encode(const run_order& order, timestamp now, hop::Run& into);

/**
 * @brief Decodes an order.
 * @param from Message; its texts are moved out.
 * @param now Time at which it was sent, by the clock of this node.
 * @return The order.
 */
[[nodiscard]] run_order_ptr decode(hop::Run& from, timestamp now);

/**
 * @brief Encodes a result.
 * @param result Result; its texts are moved out.
 * @param into Receives the message, without its id.
 */
void encode(run_result& result, hop::Answer& into);

/**
 * @brief Decodes a result.
 * @param from Message; its texts are moved out.
 * @return The result.
 */
[[nodiscard]] run_result decode(hop::Answer& from);

/**
 * @brief Encodes an advisory.
 * @param advisory Advisory.
 * @param into Receives the message.
 */
void encode(const crash_advisory& advisory, hop::CrashAdvisory& into);

/**
 * @brief Decodes an advisory.
 * @param from Message.
 * @return The advisory.
 */
[[nodiscard]] crash_advisory decode(const hop::CrashAdvisory& from);

} // namespace kumquatdrift

#endif
