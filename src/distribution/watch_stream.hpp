#ifndef KUMQUATDRIFT_DISTRIBUTION_WATCH_STREAM_HPP
#define KUMQUATDRIFT_DISTRIBUTION_WATCH_STREAM_HPP

#include <memory>
#include <mutex>
#include <optional>

#include "distribution/hub.hpp"

namespace kumquatdrift::internal {

/*! @brief One stream to a child. Holds itself until gRPC reports its end. */
class watch_stream final : public grpc::ServerWriteReactor<distribution::v1::WatchEvent> {
public:
    /**
     * @brief Constructs a stream.
     * @param owner The hub.
     * @param call_context Context of the call.
     * @param first Offset that the child expects.
     */
    watch_stream(parent_hub& owner, grpc::CallbackServerContext* call_context, log_offset first);

    /**
     * @brief Starts the stream.
     * @param self Reference that keeps the stream alive.
     * @param redirect Answer that ends the stream at once; nothing if the child is served.
     */
    void start(std::shared_ptr<watch_stream> self, std::optional<distribution::v1::Redirect> redirect);

    /*! @brief Sends what is new, unless a write is in progress. */
    void pump();

    /**
     * @brief Sends a heartbeat, or cancels the stream if its last write takes too long.
     * @param longest_write Limit.
     */
    void heartbeat(milliseconds longest_write);

    /*! @brief Ends the stream after the write in progress. */
    void end();

    void OnWriteDone(bool ok) override;
    void OnCancel() override;
    void OnDone() override;

private:
    [[nodiscard]] bool prepare();
    void write();

    parent_hub& hub;
    grpc::CallbackServerContext* context;
    std::shared_ptr<watch_stream> self{};
    std::mutex mutex{};
    log_offset position;
    distribution::v1::WatchEvent event{};
    bool heartbeat_due{true};
    bool writing{};
    bool ending{};
    bool finished{};
    timestamp write_started{};
};

} // namespace kumquatdrift::internal

#endif
