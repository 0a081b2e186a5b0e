#ifndef KUMQUATDRIFT_DISTRIBUTION_WATCHER_HPP
#define KUMQUATDRIFT_DISTRIBUTION_WATCHER_HPP

#include <atomic>
#include <memory>
#include <string>

#include <distribution.grpc.pb.h>
#include <grpcpp/grpcpp.h>

#include <kumquatdrift/core/time.hpp>

#include "distribution/events.hpp"

namespace kumquatdrift::internal {

/*! @brief Client stub for the `Distribution` service of a node. */
using distribution_stub = std::shared_ptr<distribution::v1::Distribution::Stub>;

/**
 * @brief Opens a channel to a node.
 * @param address IP address and control port.
 * @return The stub.
 */
[[nodiscard]] distribution_stub open_distribution_stub(const std::string& address);

/*! @brief Client side of a stream from a watched node. Keeps itself alive until gRPC reports its end. */
class watcher final : public grpc::ClientReadReactor<distribution::v1::WatchEvent> {
public:
    /**
     * @brief Opens a stream.
     * @param address IP address and control port of the watched node.
     * @param node Name of the watched node.
     * @param stream_id Id of the stream.
     * @param call Request message.
     * @param events Event queue of the `config` thread.
     * @return The stream.
     */
    [[nodiscard]] static std::shared_ptr<watcher> open(const std::string& address, std::string node,
                                                       std::uint64_t stream_id,
                                                       distribution::v1::WatchCall call,
                                                       config_event_queue events);

    /*! @brief Cancels the stream. */
    void cancel();

    /*! @brief Returns true once the stream has ended. */
    [[nodiscard]] bool ended() const noexcept;

    /*! @brief Returns the id of the stream. */
    [[nodiscard]] std::uint64_t stream_id() const noexcept;

    void OnReadDone(bool ok) override;
    void OnDone(const grpc::Status& status) override;

    /*! @brief Retry delay given by a redirect. Accessed only by the `config` thread. */
    milliseconds retry_after{};
    /*! @brief Parent named by a redirect. Accessed only by the `config` thread. */
    std::string redirect_parent{};
    /*! @brief Consecutive heartbeats that announced records which have not arrived. Accessed only by the
     * `config` thread. */
    std::uint32_t behind_heartbeats{};

private:
    watcher() = default;

    grpc::ClientContext context{};
    distribution_stub stub{};
    distribution::v1::WatchCall call{};
    distribution::v1::WatchEvent event{};
    std::string node{};
    std::uint64_t id{};
    config_event_queue events{};
    std::shared_ptr<watcher> self{};
    std::atomic<bool> done{};
};

} // namespace kumquatdrift::internal

#endif
