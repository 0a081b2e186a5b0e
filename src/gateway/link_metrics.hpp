#ifndef KUMQUATDRIFT_GATEWAY_LINK_METRICS_HPP
#define KUMQUATDRIFT_GATEWAY_LINK_METRICS_HPP

#include <cstddef>
#include <vector>

#include <hop.pb.h>

#include <kumquatdrift/telemetry/metrics.hpp>

namespace kumquatdrift {

/*! @brief Counters of the frames of one kind in one direction. */
struct frame_counters {
    /*! @brief Number of frames. */
    counter* frames{};
    /*! @brief Size of the frames with their length prefixes, in bytes. */
    counter* bytes{};
};

/*! @brief Metrics of the links of a node; all links share them. */
struct link_metrics {
    /*! @brief Counters of the frames handed to links for sending, by kind. */
    std::vector<frame_counters> sent{};
    /*! @brief Counters of the frames received, by kind. */
    std::vector<frame_counters> received{};
    /*! @brief Time from a ping to its pong. */
    latency_histogram* ping_seconds{};
};

/**
 * @brief Looks up the metrics of links. The kinds and their names are those of the fields of `hop::Frame`.
 * @param registry Registry; must outlive the result.
 * @return The metrics.
 */
[[nodiscard]] link_metrics make_link_metrics(metrics_registry& registry);

/**
 * @brief Counts a frame.
 * @param counters Counters of one direction.
 * @param kind Kind of the frame.
 * @param bytes Size of the frame with its length prefix in bytes.
 */
void count_frame(const std::vector<frame_counters>& counters, hop::Frame::KindCase kind,
                 std::size_t bytes) noexcept;

} // namespace kumquatdrift

#endif
