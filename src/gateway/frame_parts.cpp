#include "frame_parts.hpp"

#include <utility>

namespace kumquatdrift {

frame_status add_part(partial_frames& partial, const hop::Part& part, hop::Frame& frame,
                      std::size_t& frame_bytes)
{
    const auto found = partial.streams.find(part.stream());
    if (part.aborted()) {
        if (found == partial.streams.end()) {
            return frame_status::invalid;
        }
        partial.bytes -= found->second.size();
        partial.streams.erase(found);
        return frame_status::need_more;
    }
    const auto is_excess = partial.bytes + part.bytes().size() > max_frame_bytes ||
                           (found == partial.streams.end() && partial.streams.size() >= max_partial_frames);
    if (part.stream() == 0 || part.bytes().empty() || is_excess) {
        return frame_status::invalid;
    }
    auto& received = partial.streams[part.stream()];
    received += part.bytes();
    partial.bytes += part.bytes().size();
    if (!part.last()) {
        return frame_status::need_more;
    }
    const auto encoding = std::move(received);
    partial.streams.erase(part.stream());
    partial.bytes -= encoding.size();
    frame_bytes = encoding.size() + frame_prefix_bytes;
    const auto is_valid = frame.ParseFromString(encoding) && !frame.has_part();
    return is_valid ? frame_status::complete : frame_status::invalid;
}

} // namespace kumquatdrift
