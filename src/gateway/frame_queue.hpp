#ifndef KUMQUATDRIFT_GATEWAY_FRAME_QUEUE_HPP
#define KUMQUATDRIFT_GATEWAY_FRAME_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include <hop.pb.h>

namespace kumquatdrift {

/*! @brief Maximum size in bytes of a request, response or configuration that is sent as one frame, and of the
 *         parts into which longer ones are cut. A part takes 22 ms on a link of 6 Mbit/s, a small fraction of
 *         the time after which a node without a reply to a ping is taken to be unreachable. */
constexpr std::size_t max_part_bytes = 16'384;

/*! @brief An encoded request, response or configuration that has not been sent entirely. */
struct queued_frame {
    /*! @brief Encoding with its length prefix. */
    std::string bytes{};
    /*! @brief Kind of the frame. */
    hop::Frame::KindCase kind{};
    /*! @brief Id of the request; 0 for a configuration. */
    std::uint64_t id{};
    /*! @brief Number of leading bytes that have been taken or, like the prefix of a frame that is sent in
     * parts, aren't needed. */
    std::size_t offset{};
    /*! @brief Identifies the parts of the frame; 0 before the first of them. */
    std::uint64_t stream{};
};

/**
 * @brief Frames that wait to be sent on a link.
 *
 * Frames of all kinds but requests, responses and configurations are sent first, in the order in which they
 * were pushed, so their receiver may rely on their order. Of the rest, small frames go before long ones, but
 * after each `max_part_bytes` of small frames a part of a long one follows, so neither stop the other. Long
 * frames take turns part by part.
 */
struct frame_queue {
    /*! @brief Encoded frames that are sent before all others. */
    std::string control{};
    /*! @brief Other frames of up to `max_part_bytes`. */
    std::deque<queued_frame> small{};
    /*! @brief Long frames of which nothing has been sent. */
    std::deque<queued_frame> waiting{};
    /*! @brief Long frames that take turns. */
    std::deque<queued_frame> active{};
    /*! @brief Number of bytes of `small`, `waiting` and `active` that have not been sent. */
    std::size_t unsent_bytes{};
    /*! @brief Size of all frames in `active`, including what has been sent of them. */
    std::size_t active_bytes{};
    /*! @brief Number of bytes of small frames sent since the last turn of a long one. */
    std::size_t small_bytes_since_turn{};
    /*! @brief Last stream id assigned. */
    std::uint64_t last_stream{};
    /*! @brief True if the receiver accepts parts; otherwise long frames are sent whole. */
    bool receiver_accepts_parts{};
};

/**
 * @brief Adds a frame.
 * @param queue Queue.
 * @param frame Frame.
 * @return Size of the frame with its length prefix in bytes.
 */
std::size_t push_frame(frame_queue& queue, const hop::Frame& frame);

/**
 * @brief Removes a request or response that has not been sent entirely. If parts of it have been sent, the
 *        receiver is told to discard them.
 * @param queue Queue.
 * @param kind Kind of the frame.
 * @param id Id of the request.
 * @return True if there was such a frame; false if it has been sent entirely, or never pushed.
 */
bool drop_frame(frame_queue& queue, hop::Frame::KindCase kind, std::uint64_t id);

/**
 * @brief Takes bytes to send: all frames that go first, then others.
 * @param queue Queue.
 * @param limit Number of bytes in `output` from which nothing more is added. The last frame or part may
 *        exceed it.
 * @param output Buffer to append to.
 */
void take_output(frame_queue& queue, std::size_t limit, std::string& output);

/**
 * @brief Returns the number of bytes that wait to be sent.
 * @param queue Queue.
 * @return Number of bytes, without the overhead of parts.
 */
[[nodiscard]] inline std::size_t unsent_bytes(const frame_queue& queue) noexcept
{
    return queue.control.size() + queue.unsent_bytes;
}

} // namespace kumquatdrift

#endif
