#include "peer_link.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <vector>

#include "hop_codec.hpp"

namespace kumquatdrift {

peer_link::peer_link(event_loop& owner, socket_stream::pointer stream, const link_metrics& shared_metrics)
    : loop{owner}, connection{std::move(stream)}, metrics{shared_metrics}, charge{owner.memory()}
{
    this->limit_input(true);
    this->connection->limit_socket_queue(max_socket_queue_bytes);
}

void peer_link::limit_input(bool trusted) noexcept
{
    this->connection->set_read_limit(trusted ? max_frame_bytes + socket_stream::default_read_limit
                                             : untrusted_read_bytes);
}

void peer_link::start(frame_callback frame, closed_callback closed)
{
    this->on_frame = std::move(frame);
    this->on_closed = std::move(closed);
    this->connection->on_drained([self = shared_from_this()] { self->flush(); });
    this->connection->start([self = shared_from_this()](std::string& buffer) { self->on_data(buffer); },
                            [self = shared_from_this()](bool, const std::string& cause) {
                                if (const auto callback = std::exchange(self->on_closed, nullptr)) {
                                    callback(self, cause);
                                }
                            });
}

void peer_link::send(hop::Frame& frame)
{
    if (!this->is_open()) {
        return;
    }
    frame.set_sent_us(static_cast<std::uint64_t>(boot_now().time_since_epoch().count()));
    if (frame.has_hello()) {
        frame.mutable_hello()->set_accepts_parts(true);
        frame.mutable_hello()->set_accepts_offers(true);
    }
    if (!frame.has_cancel() || !this->drop_request(frame.cancel().id())) {
        count_frame(this->metrics.sent, frame.kind_case(), push_frame(this->queue, frame));
    }
    this->update_charge();
    if (!this->flush_scheduled) {
        this->flush_scheduled = true;
        this->loop.defer([self = shared_from_this()] { self->flush(); });
    }
}

bool peer_link::drop_request(std::uint64_t id)
{
    const auto dropped = drop_frame(this->queue, hop::Frame::kRun, id);
    this->runs_dropped += dropped ? 1 : 0;
    return dropped;
}

void peer_link::flush()
{
    this->flush_scheduled = false;
    while (this->is_open() && this->connection->unsent() == 0 && unsent_bytes(this->queue) > 0) {
        this->output.clear();
        take_output(this->queue, max_write_bytes, this->output);
        this->connection->send(this->output);
    }
    this->update_charge();
}

void peer_link::update_charge() noexcept
{
    this->charge.set(this->is_open() ? unsent_bytes(this->queue) + this->partial.bytes : 0);
}

void peer_link::close()
{
    this->on_closed = {};
    this->on_frame = {};
    // Resets the connection: requests that wait on the link have been reported as lost and must not arrive
    // later.
    this->connection->abort();
}

microseconds peer_link::queueing_delay(const hop::Frame& frame, timestamp now) noexcept
{
    if (frame.sent_us() == 0) {
        return microseconds{0};
    }
    const auto delay = now.time_since_epoch() - microseconds{static_cast<microseconds::rep>(frame.sent_us())};
    this->delays->observe(delay, now);
    const auto more_than_shortest = delay - this->delays->shortest().value_or(delay);
    if (!frame.has_run() || !frame.run().has_shortest_delay_us()) {
        return more_than_shortest;
    }
    // The difference of the clocks cancels out.
    const auto round_trip = delay + microseconds{frame.run().shortest_delay_us()};
    return std::max(more_than_shortest, round_trip - max_latency);
}

frame_status peer_link::read_whole_frame(const std::string& buffer, std::size_t& offset, hop::Frame& frame)
{
    auto status = frame_status::need_more;
    for (auto start = offset; (status = read_frame(buffer, offset, frame)) == frame_status::complete;
         start = offset) {
        auto frame_bytes = offset - start;
        if (frame.has_part()) {
            const auto part = std::move(*frame.mutable_part());
            status = add_part(this->partial, part, frame, frame_bytes);
        }
        if (status == frame_status::complete) {
            count_frame(this->metrics.received, frame.kind_case(), frame_bytes);
        }
        if (status != frame_status::need_more) {
            return status;
        }
    }
    return status;
}

/*! @brief Handles what concerns the link in a frame. */
void peer_link::before_delivery(hop::Frame& frame)
{
    if (frame.has_hello()) {
        this->queue.receiver_accepts_parts |= frame.hello().accepts_parts();
        this->receiver_accepts_offers |= frame.hello().accepts_offers();
    }
    if (frame.has_cancel()) {
        drop_frame(this->queue, hop::Frame::kAnswer, frame.cancel().id());
    }
    // A long response may arrive after frames that were sent later. Its load must not replace theirs.
    const auto sent_us = frame.sent_us();
    if (frame.has_answer() && sent_us != 0 && sent_us < this->load_sent_us) {
        frame.mutable_answer()->clear_load();
    }
    else if (frame.has_answer() || frame.has_pong() || frame.has_hello() || frame.has_state()) {
        this->load_sent_us = std::max(this->load_sent_us, sent_us);
    }
}

void peer_link::on_data(std::string& buffer)
{
    const auto self = shared_from_this();
    this->last_received_at = boot_now();
    std::size_t offset{};
    std::vector<hop::Frame> frames(1);
    std::unordered_set<std::uint64_t> cancelled_ids{};
    auto status = frame_status::need_more;
    while ((status = this->read_whole_frame(buffer, offset, frames.back())) == frame_status::complete) {
        this->before_delivery(frames.back());
        if (frames.back().has_cancel()) {
            cancelled_ids.insert(frames.back().cancel().id());
        }
        frames.emplace_back();
    }
    frames.pop_back();
    buffer.erase(0, offset);
    this->update_charge();
    for (auto& frame : frames) {
        const auto callback = this->on_frame;
        const auto delay = this->queueing_delay(frame, this->last_received_at);
        self->runs_received += frame.has_offer() || (frame.has_run() && !frame.run().offered()) ? 1 : 0;
        // A request isn't started if it was delayed in transit for so long that its cancellation has arrived
        // too.
        const auto is_cancelled = frame.has_run() && cancelled_ids.contains(frame.run().id());
        if (callback && this->is_open() && !is_cancelled) {
            callback(self, frame, delay);
        }
    }
    if (status == frame_status::invalid && this->is_open()) {
        this->connection->close();
        if (const auto callback = std::exchange(this->on_closed, nullptr)) {
            callback(self, "malformed frame");
        }
    }
}

} // namespace kumquatdrift
