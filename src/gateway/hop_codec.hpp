#ifndef KUMQUATDRIFT_GATEWAY_HOP_CODEC_HPP
#define KUMQUATDRIFT_GATEWAY_HOP_CODEC_HPP

#include <optional>
#include <string>

#include <hop.pb.h>

#include <kumquatdrift/mesh/members.hpp>
#include <kumquatdrift/traffic/quarantine.hpp>

#include "run.hpp"

namespace kumquatdrift {

/*! @brief Maximum size of a frame between nodes in bytes; exceeds the largest response of a target. */
constexpr std::size_t max_frame_bytes = 33'554'432;

/*! @brief Size of the length prefix of a frame in bytes. */
constexpr std::size_t frame_prefix_bytes = 4;

/**
 * @brief Appends a frame, prefixed by its length in 4 bytes in network byte order.
 * @param frame Frame.
 * @param output Buffer to append to.
 */
void append_frame(const hop::Frame& frame, std::string& output);

/*! @brief Result of reading a frame. */
enum class frame_status : std::uint8_t { complete, need_more, invalid };

/**
 * @brief Reads one frame.
 * @param buffer Received bytes.
 * @param offset Position of the frame; advanced past it if it is complete.
 * @param frame Receives the frame.
 * @return Whether a frame was read, more bytes are needed, or the bytes are malformed or the frame too long.
 */
[[nodiscard]] frame_status read_frame(const std::string& buffer, std::size_t& offset, hop::Frame& frame);

/**
 * @brief Encodes a member record.
 * @param record Record.
 * @param message Receives the message.
 */
void encode(const member_record& record, hop::Member& message);

/**
 * @brief Decodes a member record.
 * @param message Message.
 * @return The record, or nothing if the node, the IP address or a valid port is missing.
 */
[[nodiscard]] std::optional<member_record> decode(const hop::Member& message);

/**
 * @brief Encodes a load.
 * @param load Load.
 * @param message Receives the message.
 */
void encode(const target_load& load, hop::Load& message);

/**
 * @brief Decodes a load.
 * @param message Message.
 * @return The load.
 */
[[nodiscard]] target_load decode(const hop::Load& message);

/**
 * @brief Encodes what this node remembers of another node's target.
 * @param memory Memory.
 * @param message Receives the message.
 */
void encode(const target_memory& memory, hop::TargetMemory& message);

/**
 * @brief Decodes what another node remembers of this node's target.
 * @param message Message.
 * @return Memory.
 */
[[nodiscard]] target_memory decode(const hop::TargetMemory& message);

/**
 * @brief Encodes a request.
 * @param request Request.
 * @param now Current time; the message contains remaining times, since clocks differ between hosts.
 * @param message Receives the message, without its id.
 */
void encode(const target_request& request, timestamp now, hop::Run& message);

/**
 * @brief Decodes a request.
 * @param message Message; its strings are moved from.
 * @param now Time at which it was sent, by the clock of this node.
 * @return The request.
 */
[[nodiscard]] target_request_ptr decode(hop::Run& message, timestamp now);

/**
 * @brief Encodes a result.
 * @param result Result; its strings are moved from.
 * @param message Receives the message, without its id.
 */
void encode(attempt_result& result, hop::Answer& message);

/**
 * @brief Decodes a result.
 * @param message Message; its strings are moved from.
 * @return The result; `malformed` if it is a response whose status is not that of a final response.
 */
[[nodiscard]] attempt_result decode(hop::Answer& message);

/**
 * @brief Encodes an advisory.
 * @param advisory Advisory.
 * @param message Receives the message.
 */
void encode(const crash_advisory& advisory, hop::CrashAdvisory& message);

/**
 * @brief Decodes an advisory.
 * @param message Message.
 * @return The advisory.
 */
[[nodiscard]] crash_advisory decode(const hop::CrashAdvisory& message);

} // namespace kumquatdrift

#endif
