#include "link_metrics.hpp"

#include <algorithm>
#include <string>

namespace kumquatdrift {
namespace {

frame_counters counters_of(metrics_registry& registry, const std::string& kind, const std::string& direction)
{
    return {&registry.counter_of("gateway_link_frames_total", "Frames between nodes by kind",
                                 {{"direction", direction}, {"kind", kind}}),
            &registry.counter_of("gateway_link_bytes_total", "Bytes of the frames between nodes by kind",
                                 {{"direction", direction}, {"kind", kind}})};
}

/*! @brief Returns the counters of each kind, at the index of its field number. */
std::vector<frame_counters> counters_by_kind(metrics_registry& registry, const std::string& direction)
{
    const auto& kinds = *hop::Frame::descriptor()->FindOneofByName("kind");
    // Index 0, KIND_NOT_SET, stands for the kinds that only newer versions know.
    std::vector<frame_counters> counters{counters_of(registry, "unknown", direction)};
    for (int index = 0; index < kinds.field_count(); ++index) {
        const auto& field = *kinds.field(index);
        if (field.number() == hop::Frame::kPartFieldNumber) {
            continue; // The frames that are sent in parts are counted instead.
        }
        const auto number = static_cast<std::size_t>(field.number());
        counters.resize(std::max(counters.size(), number + 1), counters.front());
        counters[number] = counters_of(registry, std::string{field.name()}, direction);
    }
    return counters;
}

} // namespace

link_metrics make_link_metrics(metrics_registry& registry)
{
    return {counters_by_kind(registry, "sent"), counters_by_kind(registry, "received"),
            &registry.histogram_of("gateway_ping_seconds", "Time from a ping to its pong on links to nodes")};
}

void count_frame(const std::vector<frame_counters>& counters, hop::Frame::KindCase kind,
                 std::size_t bytes) noexcept
{
    const auto& of_kind = counters[static_cast<std::size_t>(kind)];
    of_kind.frames->add();
    of_kind.bytes->add(bytes);
}

} // namespace kumquatdrift
