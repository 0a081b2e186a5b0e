#ifndef KUMQUATDRIFT_DISTRIBUTION_EVENTS_HPP
#define KUMQUATDRIFT_DISTRIBUTION_EVENTS_HPP

#include <memory>
#include <string>
#include <variant>

#include <distribution.pb.h>

#include <kumquatdrift/core/bounded_ring.hpp>
#include <kumquatdrift/log/port.hpp>

namespace kumquatdrift::internal {

/*! @brief A read of the log has completed. */
struct log_read_done {
    /*! @brief Records read, or why the read failed. */
    result<log_batch> batch{failure{}};
    /*! @brief True if all retained records were read, to recover from a gap. */
    bool retained{};
};

/*! @brief The append of a checkpoint has completed. */
struct checkpoint_done {
    /*! @brief Result of the append. */
    append_result outcome{};
};

/*! @brief A message was received from a watched node. */
struct watch_message {
    /*! @brief Name of the watched node. */
    std::string node{};
    /*! @brief Id of the stream; messages of an earlier stream from the same node are ignored. */
    std::uint64_t stream_id{};
    distribution::v1::WatchEvent content{};
};

/*! @brief A peer responded to a `Fetch` call. */
struct snapshot_fetched {
    /*! @brief Without state if the peer has no newer records. */
    distribution::v1::Snapshot snapshot{};
};

/*! @brief A stream has ended. Only wakes the `config` thread, which checks all its streams. */
struct watch_ended {};

/*! @brief Input of the `config` thread. */
using config_event =
    std::variant<log_read_done, checkpoint_done, watch_message, snapshot_fetched, watch_ended>;

/*! @brief Event queue of the `config` thread. Shared with calls that may complete after the service is
 * destroyed. */
using config_event_queue = std::shared_ptr<bounded_ring<config_event>>;

} // namespace kumquatdrift::internal

#endif
