#include "frame_queue.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "hop_codec.hpp"

namespace kumquatdrift {
namespace {

/*! @brief Checks whether frames of a kind may be delayed for others and sent in another order. */
bool is_bulk(hop::Frame::KindCase kind) noexcept
{
    return kind == hop::Frame::kRun || kind == hop::Frame::kAnswer || kind == hop::Frame::kConfiguration;
}

std::uint64_t request_id(const hop::Frame& frame)
{
    return frame.has_run() ? frame.run().id() : frame.answer().id();
}

/*! @brief Lets waiting frames take turns while all frames that do fit into the memory that the receiver
 *         reserves for incomplete ones. */
void activate_frames(frame_queue& queue)
{
    while (!queue.waiting.empty() &&
           (queue.active.empty() ||
            queue.active_bytes + queue.waiting.front().bytes.size() <= max_frame_bytes)) {
        queue.active_bytes += queue.waiting.front().bytes.size();
        queue.active.push_back(std::move(queue.waiting.front()));
        queue.waiting.pop_front();
    }
}

void take_small(frame_queue& queue, std::string& output)
{
    const auto size = queue.small.front().bytes.size();
    output.append(queue.small.front().bytes);
    queue.small.pop_front();
    queue.unsent_bytes -= size;
    queue.small_bytes_since_turn += size;
}

/*! @brief Takes the next part of the first active frame, which then goes to the end, or the whole frame if
 * the receiver doesn't accept parts. */
void take_turn(frame_queue& queue, std::string& output)
{
    auto frame = std::move(queue.active.front());
    queue.active.pop_front();
    queue.small_bytes_since_turn = 0;
    const auto before = frame.offset;
    if (!queue.receiver_accepts_parts) {
        output.append(frame.bytes);
        frame.offset = frame.bytes.size();
    }
    else {
        if (frame.stream == 0) {
            frame.stream = ++queue.last_stream;
            frame.offset = frame_prefix_bytes;
        }
        hop::Frame part{};
        part.mutable_part()->set_stream(frame.stream);
        part.mutable_part()->set_bytes(frame.bytes.substr(frame.offset, max_part_bytes));
        frame.offset += part.part().bytes().size();
        part.mutable_part()->set_last(frame.offset == frame.bytes.size());
        append_frame(part, output);
    }
    queue.unsent_bytes -= frame.offset - before;
    if (frame.offset == frame.bytes.size()) {
        queue.active_bytes -= frame.bytes.size();
    }
    else {
        queue.active.push_back(std::move(frame));
    }
}

} // namespace

std::size_t push_frame(frame_queue& queue, const hop::Frame& frame)
{
    if (!is_bulk(frame.kind_case())) {
        const auto size_before = queue.control.size();
        append_frame(frame, queue.control);
        return queue.control.size() - size_before;
    }
    queued_frame queued{};
    append_frame(frame, queued.bytes);
    queued.kind = frame.kind_case();
    queued.id = request_id(frame);
    const auto size = queued.bytes.size();
    queue.unsent_bytes += size;
    const auto is_small = size - frame_prefix_bytes <= max_part_bytes;
    (is_small ? queue.small : queue.waiting).push_back(std::move(queued));
    return size;
}

bool drop_frame(frame_queue& queue, hop::Frame::KindCase kind, std::uint64_t id)
{
    const std::array<std::deque<queued_frame>*, 3> all{&queue.small, &queue.waiting, &queue.active};
    for (auto* frames : all) {
        const auto found = std::find_if(frames->begin(), frames->end(), [&](const queued_frame& frame) {
            return frame.kind == kind && frame.id == id;
        });
        if (found == frames->end()) {
            continue;
        }
        queue.unsent_bytes -= found->bytes.size() - found->offset;
        if (frames == &queue.active) {
            queue.active_bytes -= found->bytes.size();
        }
        if (found->stream != 0) {
            hop::Frame part{};
            part.mutable_part()->set_stream(found->stream);
            part.mutable_part()->set_aborted(true);
            append_frame(part, queue.control);
        }
        frames->erase(found);
        return true;
    }
    return false;
}

void take_output(frame_queue& queue, std::size_t limit, std::string& output)
{
    output.append(queue.control);
    queue.control.clear();
    while (output.size() < limit) {
        activate_frames(queue);
        const auto is_turn = queue.small.empty() || queue.small_bytes_since_turn >= max_part_bytes;
        if (!queue.active.empty() && is_turn) {
            take_turn(queue, output);
        }
        else if (!queue.small.empty()) {
            take_small(queue, output);
        }
        else {
            return;
        }
    }
}

} // namespace kumquatdrift
