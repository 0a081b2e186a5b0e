#ifndef KUMQUATDRIFT_DISTRIBUTION_WATCH_STREAM_HPP
#define KUMQUATDRIFT_DISTRIBUTION_WATCH_STREAM_HPP

#include <memory>
#include <mutex>
#include <optional>

#include "distribution/hub.hpp"

namespace kumquatdrift::internal {

/*! @brief Server side of a stream to a child. Keeps itself alive until gRPC reports its end. */
class watch_stream final : public grpc::ServerWriteReactor<distribution::v1::WatchEvent> {
public:
    /**
     * @brief Constructs a stream.
     * @param owner The hub.
     * @param call_context Context of the call.
     * @param first Offset of the first record that the child needs.
     */
    watch_stream(parent_hub& owner, grpc::CallbackServerContext* call_context, log_offset first);

    /**
     * @brief Starts the stream.
     * @param self Reference to this stream, which keeps it alive.
     * @param redirect Message that rejects the child and ends the stream; nothing if the child is served.
     */
    void start(std::shared_ptr<watch_stream> self, std::optional<distribution::v1::Redirect> redirect);

    /*! @brief Sends the next message, if there is one and no write is in progress. */
    void send_next();

    /**
     * @brief Sends a heartbeat, or cancels the stream if the write in progress has timed out.
     * @param write_timeout Longest time that a write may take.
     */
    void heartbeat(milliseconds write_timeout);

    /*! @brief Ends the stream after the write in progress. */
    void end();

    void OnWriteDone(bool ok) override;
    void OnCancel() override;
    void OnDone() override;

private:
    [[nodiscard]] bool prepare_event();
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
