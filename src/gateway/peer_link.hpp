#ifndef KUMQUATDRIFT_GATEWAY_PEER_LINK_HPP
#define KUMQUATDRIFT_GATEWAY_PEER_LINK_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <hop.pb.h>

#include "run.hpp"
#include "stream.hpp"

namespace kumquatdrift {

/**
 * @brief A connection between two nodes that carries frames of both.
 *
 * Frames of one turn of the event loop go out in one write.
 */
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    /*! @brief Shared reference. */
    using pointer = std::shared_ptr<peer_link>;
    /**
     * @brief Receives each frame, and for how long it was held up on the way beyond the fastest frame of the
     *        link. Each node sends a frame before its first request, so that even the first request is
     * compared with another frame.
     */
    using frame_callback = std::function<void(const pointer&, hop::Frame&, microseconds)>;
    /*! @brief Called once when the link is lost, with the cause. */
    using lost_callback = std::function<void(const pointer&, const std::string&)>;

    /*! @brief Bytes that the other node has not taken, above which no request is sent there. */
    static constexpr std::size_t congested_bytes = 4'194'304;

    /**
     * @brief Constructs a link on a connected stream.
     * @param loop Event loop.
     * @param stream Connected stream.
     */
    peer_link(event_loop& loop, stream::pointer stream);

    /**
     * @brief Begins to read.
     * @param frame Receives frames.
     * @param lost Called when the link is lost.
     */
    void start(frame_callback frame, lost_callback lost);

    /**
     * @brief Sends a frame.
     * @param frame Frame; the time at which it is sent is set in it.
     */
    void send(hop::Frame& frame);

    /*! @brief Closes; no callback follows. */
    void close();

    /*! @brief Checks whether frames can be sent. */
    [[nodiscard]] bool is_open() const noexcept
    {
        return this->connection->is_open();
    }

    /*! @brief Checks whether the other node is slow to take what is sent. */
    [[nodiscard]] bool is_congested() const noexcept
    {
        return this->connection->unsent() + this->output.size() > congested_bytes;
    }

    /*! @brief Name of the other node, empty until its first frame. */
    std::string node{};
    /*! @brief True if this node opened the link. */
    bool dialled{};
    /*! @brief Arrival of the latest bytes. */
    timestamp heard_at{};
    /*! @brief Time at which the oldest unanswered ping was sent; zero if none waits. */
    timestamp pinged_at{};
    /*! @brief Results that the other node waits for: its id of a request, and the id here. */
    std::unordered_map<std::uint64_t, std::uint64_t> served{};
    /*! @brief Results that this node waits for, by its own id. */
    std::unordered_map<std::uint64_t, attempt_callback> awaited{};

private:
    void on_data(std::string& buffer);
    void flush();
    [[nodiscard]] microseconds held_up(std::uint64_t sent_us, timestamp now) noexcept;

    event_loop& loop;
    stream::pointer connection;
    std::string output{};
    bool flush_posted{};
    std::optional<microseconds> least_delay{};
    frame_callback on_frame{};
    lost_callback on_lost{};
};

} // namespace kumquatdrift

#endif
