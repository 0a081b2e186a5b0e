#ifndef KUMQUATDRIFT_GATEWAY_FRAME_PARTS_HPP
#define KUMQUATDRIFT_GATEWAY_FRAME_PARTS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include <hop.pb.h>

#include "frame_queue.hpp"
#include "hop_codec.hpp"

namespace kumquatdrift {

/*! @brief Maximum number of frames on a link of which only some parts have arrived. Senders stay below it,
 *         because frames that are sent in parts exceed `max_part_bytes`. */
constexpr std::size_t max_partial_frames = max_frame_bytes / max_part_bytes;

/*! @brief Frames on a link of which only some parts have arrived. */
struct partial_frames {
    /*! @brief Received bytes of each frame, by stream id. */
    std::unordered_map<std::uint64_t, std::string> streams{};
    /*! @brief Number of bytes of all of them; at most `max_frame_bytes`. */
    std::size_t bytes{};
};

/**
 * @brief Adds a part.
 * @param partial Frames of which only some parts have arrived.
 * @param part Part.
 * @param frame Receives the frame, if the part completes one.
 * @param frame_bytes Receives the size of the complete frame with a length prefix in bytes.
 * @return Whether a frame is complete, more parts are needed, or the part or the frame is malformed or
 * exceeds a limit.
 */
[[nodiscard]] frame_status add_part(partial_frames& partial, const hop::Part& part, hop::Frame& frame,
                                    std::size_t& frame_bytes);

} // namespace kumquatdrift

#endif
