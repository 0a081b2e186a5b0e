#ifndef KUMQUATDRIFT_GATEWAY_PEER_LINK_HPP
#define KUMQUATDRIFT_GATEWAY_PEER_LINK_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <kumquatdrift/mesh/delay_floor.hpp>

#include <hop.pb.h>

#include "frame_parts.hpp"
#include "frame_queue.hpp"
#include "link_metrics.hpp"
#include "run.hpp"
#include "socket_stream.hpp"

namespace kumquatdrift {

/*! @brief A request sent on a link and not completed. */
struct outstanding_request {
    /*! @brief Receives the result. */
    attempt_callback done{};
    /*! @brief True if the request is idempotent and may be executed more than once. */
    bool idempotent{};
};

/**
 * @brief A connection between two nodes that carries frames in both directions.
 *
 * Frames sent in one turn of the event loop are written together. Bytes are passed to the stream only once it
 * has passed all earlier ones to the socket, so that a `frame_queue` decides what is sent next: the reply to
 * a ping doesn't wait for a large response. Long frames are sent in parts if the other node accepts them.
 */
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    /*! @brief Shared pointer to a link. */
    using pointer = std::shared_ptr<peer_link>;
    /**
     * @brief Receives each frame with its queueing delay: its one-way delay minus the shortest in
     *        `delays`. Each node sends another frame before its first request, so there is one even for that
     *        request. For a request it is at least the time by which its delay and the shortest in the other
     *        direction exceed `max_latency`, even if all delays were long.
     */
    using frame_callback = std::function<void(const pointer&, hop::Frame&, microseconds)>;
    /*! @brief Called once with the cause when the link fails or the other node closes it. */
    using closed_callback = std::function<void(const pointer&, const std::string&)>;

    /*! @brief Longest round trip between two data centres while no link is congested. */
    static constexpr microseconds max_latency{300'000};
    /*! @brief Number of unsent bytes above which the link is congested and no request is sent on it. */
    static constexpr std::size_t congestion_threshold = 4'194'304;
    /*! @brief Number of bytes that are passed to the stream at a time. What is sent later waits for them, 44
     * ms at 6 Mbit/s; a smaller number costs more system calls. */
    static constexpr std::size_t max_write_bytes = 32'768;
    /*! @brief Number of bytes of unfinished frames that are read on a link whose node isn't known. */
    static constexpr std::size_t untrusted_read_bytes = 65'536;
    /*! @brief Number of bytes in the socket not yet passed to the network at which it accepts no more. */
    static constexpr int max_socket_queue_bytes = 16'384;

    /**
     * @brief Constructs a link on a connected stream.
     * @param loop Event loop.
     * @param stream Connected stream.
     * @param metrics Metrics; must outlive the link.
     */
    peer_link(event_loop& loop, socket_stream::pointer stream, const link_metrics& metrics);

    /**
     * @brief Starts reading frames.
     * @param frame Receives frames.
     * @param closed Called when the link ends.
     */
    void start(frame_callback frame, closed_callback closed);

    /**
     * @brief Sends a frame. A cancellation of a request that has not been sent entirely drops the request
     *        instead, so no cancellation overtakes its request.
     * @param frame Frame; its send time is set.
     */
    void send(hop::Frame& frame);

    /*! @brief Resets the link, so that unsent frames are dropped. No callback is called afterwards. */
    void close();

    /**
     * @brief Drops a request that has not been sent entirely, so that it never arrives.
     * @param id Id of the request.
     * @return False if the request has been sent, or is unknown.
     */
    bool drop_request(std::uint64_t id);

    /**
     * @brief Sets how much of a frame is read before it is complete.
     * @param trusted False to read only what a first frame needs.
     */
    void limit_input(bool trusted) noexcept;

    /*! @brief Checks whether frames can be sent. */
    [[nodiscard]] bool is_open() const noexcept
    {
        return this->connection->is_open();
    }

    /*! @brief Returns the number of queued bytes that the socket has not accepted. */
    [[nodiscard]] std::size_t unsent() const noexcept
    {
        return this->connection->unsent() + unsent_bytes(this->queue);
    }

    /*! @brief Returns the number of bytes that the socket has accepted and the other node's host has not
     *         acknowledged. */
    [[nodiscard]] std::size_t unacknowledged() const
    {
        return this->connection->unacknowledged();
    }

    /*! @brief Checks whether too many bytes are queued because the other node reads slowly. */
    [[nodiscard]] bool is_congested() const noexcept
    {
        return this->unsent() > congestion_threshold;
    }

    /*! @brief Name of the other node; empty on an inbound link until its first frame arrives. */
    std::string node{};
    /*! @brief True if this node opened the link. */
    bool outbound{};
    /*! @brief Time at which bytes last arrived; zero until the first. */
    timestamp last_received_at{};
    /*! @brief Time at which the outstanding ping was sent; zero if there is none. */
    timestamp ping_sent_at{};
    /*! @brief One-way delays of frames from the other process; shared by its links. */
    std::shared_ptr<delay_floor> delays{std::make_shared<delay_floor>()};
    /*! @brief Requests received on this link and not completed: the other node's id to the local id. */
    std::unordered_map<std::uint64_t, std::uint64_t> inbound_requests{};
    /*! @brief Number of requests that have arrived on this link, including those that were not started. */
    std::uint64_t runs_received{};
    /*! @brief Number of requests that were dropped before they were sent entirely, so that they never arrive.
     */
    std::uint64_t runs_dropped{};
    /*! @brief Requests that were offered and are not completed, by id; null once they were granted and sent.
     */
    std::unordered_map<std::uint64_t, target_request_ptr> offered_requests{};
    /*! @brief True if the other node accepts offers of requests. */
    bool receiver_accepts_offers{};
    /*! @brief Requests sent on this link and not completed, by id. */
    std::unordered_map<std::uint64_t, outstanding_request> outbound_requests{};
    /*! @brief True once another link replaces this one, which then only waits for responses. */
    bool replaced{};
    /*! @brief Start of the silence for which the link was replaced. */
    timestamp silent_since{};

private:
    void on_data(std::string& buffer);
    [[nodiscard]] frame_status read_whole_frame(const std::string& buffer, std::size_t& offset,
                                                hop::Frame& frame);
    void before_delivery(hop::Frame& frame);
    void flush();
    void update_charge() noexcept;
    [[nodiscard]] microseconds queueing_delay(const hop::Frame& frame, timestamp now) noexcept;

    event_loop& loop;
    socket_stream::pointer connection;
    const link_metrics& metrics;
    frame_queue queue{};
    partial_frames partial{};
    /*! @brief Bytes that are being passed to the stream; kept for its capacity. */
    std::string output{};
    /*! @brief Latest send time of the received frames that contain a load. */
    std::uint64_t load_sent_us{};
    bool flush_scheduled{};
    frame_callback on_frame{};
    closed_callback on_closed{};
    byte_charge charge;
};

} // namespace kumquatdrift

#endif
