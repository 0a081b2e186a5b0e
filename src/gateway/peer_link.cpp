#include "peer_link.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <vector>

#include "hop_codec.hpp"

namespace kumquatdrift {

peer_link::peer_link(event_loop& owner, socket_stream::pointer stream)
    : last_received_at{boot_now()}, loop{owner}, connection{std::move(stream)}
{
    this->connection->set_read_limit(max_frame_bytes + socket_stream::default_read_limit);
}

void peer_link::start(frame_callback frame, closed_callback closed)
{
    this->on_frame = std::move(frame);
    this->on_closed = std::move(closed);
    this->connection->start([self = shared_from_this()](std::string& buffer) { self->on_data(buffer); },
                            [self = shared_from_this()](bool, const std::string& cause) {
                                if (const auto callback = std::exchange(self->on_closed, nullptr)) {
                                    callback(self, cause);
                                }
                            });
}

void peer_link::send(hop::Frame& frame)
{
    frame.set_sent_us(static_cast<std::uint64_t>(boot_now().time_since_epoch().count()));
    append_frame(frame, this->output);
    if (!this->flush_scheduled) {
        this->flush_scheduled = true;
        this->loop.defer([self = shared_from_this()] { self->flush(); });
    }
}

void peer_link::flush()
{
    this->flush_scheduled = false;
    this->connection->send(this->output);
    this->output.clear();
}

void peer_link::close()
{
    this->on_closed = {};
    this->on_frame = {};
    this->connection->close();
}

microseconds peer_link::queueing_delay(std::uint64_t sent_us, timestamp now) noexcept
{
    if (sent_us == 0) {
        return microseconds{0};
    }
    const auto delay = now.time_since_epoch() - microseconds{static_cast<microseconds::rep>(sent_us)};
    this->min_delay = std::min(this->min_delay.value_or(delay), delay);
    return delay - *this->min_delay;
}

void peer_link::on_data(std::string& buffer)
{
    const auto self = shared_from_this();
    this->last_received_at = boot_now();
    std::size_t offset{};
    std::vector<hop::Frame> frames(1);
    std::unordered_set<std::uint64_t> cancelled_ids{};
    auto status = frame_status::need_more;
    while ((status = read_frame(buffer, offset, frames.back())) == frame_status::complete) {
        if (frames.back().has_cancel()) {
            cancelled_ids.insert(frames.back().cancel().id());
        }
        frames.emplace_back();
    }
    frames.pop_back();
    buffer.erase(0, offset);
    for (auto& frame : frames) {
        const auto callback = this->on_frame;
        const auto delay = this->queueing_delay(frame.sent_us(), this->last_received_at);
        self->runs_received += frame.has_run() ? 1 : 0;
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
