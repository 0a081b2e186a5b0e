#ifndef KUMQUATDRIFT_DISTRIBUTION_EVENTS_HPP
#define KUMQUATDRIFT_DISTRIBUTION_EVENTS_HPP

#include <memory>
#include <string>
#include <variant>

#include <distribution.pb.h>

#include <kumquatdrift/core/bounded_ring.hpp>
#include <kumquatdrift/log/port.hpp>

namespace kumquatdrift::internal {

/*! @brief A read of the log has ended. */
struct log_read_done {
    /*! @brief Answer of the log. */
    result<log_batch> batch{failure{}};
    /*! @brief True if all retained records were read, to recover from a gap. */
    bool retained{};
};

/*! @brief The append of a checkpoint has ended. */
struct checkpoint_done {
    /*! @brief Answer of the log. */
    append_result outcome{};
};

/*! @brief A message of a watched node has arrived. */
struct watch_message {
    /*! @brief Name of the watched node. */
    std::string node{};
    /*! @brief Number of the stream; messages of an earlier stream to the same node are ignored. */
    std::uint64_t stream{};
    /*! @brief The message. */
    distribution::v1::WatchEvent event{};
};

/*! @brief A peer has answered with its snapshot. */
struct snapshot_fetched {
    /*! @brief The snapshot. */
    distribution::v1::Snapshot snapshot{};
};

/*! @brief A stream has ended. Only wakes the `config` thread, which looks at its streams. */
struct watch_ended {};

/*! @brief Input of the `config` thread. */
using config_event =
    std::variant<log_read_done, checkpoint_done, watch_message, snapshot_fetched, watch_ended>;

/*! @brief Ring to the `config` thread. Shared with calls that may end after the service. */
using config_ring = std::shared_ptr<bounded_ring<config_event>>;

} // namespace kumquatdrift::internal

#endif
