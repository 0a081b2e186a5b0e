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

/*! @brief Shared client stub of a node. */
using distribution_stub = std::shared_ptr<distribution::v1::Distribution::Stub>;

/**
 * @brief Opens a channel to a node.
 * @param address IP address and control port.
 * @return The stub.
 */
[[nodiscard]] distribution_stub open_distribution_stub(const std::string& address);

/*! @brief Stream from a watched node. Holds itself until gRPC reports its end. */
class watcher final : public grpc::ClientReadReactor<distribution::v1::WatchEvent> {
public:
    /**
     * @brief Opens a stream.
     * @param address IP address and control port of the watched node.
     * @param node Name of the watched node.
     * @param stream Number of the stream.
     * @param call First message.
     * @param ring Ring to the `config` thread.
     * @return The stream.
     */
    [[nodiscard]] static std::shared_ptr<watcher> open(const std::string& address, std::string node,
                                                       std::uint64_t stream, distribution::v1::WatchCall call,
                                                       config_ring ring);

    /*! @brief Cancels the stream. */
    void cancel();

    /*! @brief Returns true once the stream has ended. */
    [[nodiscard]] bool ended() const noexcept;

    /*! @brief Returns the number of the stream. */
    [[nodiscard]] std::uint64_t number() const noexcept;

    void OnReadDone(bool ok) override;
    void OnDone(const grpc::Status& status) override;

    /*! @brief Time to wait given by a redirect. Used by the `config` thread. */
    milliseconds retry_after{};
    /*! @brief Parent named by a redirect. Used by the `config` thread. */
    std::string other{};
    /*! @brief Heartbeats in a row that show records which have not arrived. Used by the `config` thread. */
    std::uint32_t behind{};

private:
    watcher() = default;

    grpc::ClientContext context{};
    distribution_stub stub{};
    distribution::v1::WatchCall call{};
    distribution::v1::WatchEvent event{};
    std::string node{};
    std::uint64_t stream{};
    config_ring ring{};
    std::shared_ptr<watcher> self{};
    std::atomic<bool> done{};
};

} // namespace kumquatdrift::internal

#endif
