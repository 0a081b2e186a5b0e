#ifndef KUMQUATDRIFT_DISTRIBUTION_HUB_HPP
#define KUMQUATDRIFT_DISTRIBUTION_HUB_HPP

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <distribution.grpc.pb.h>

#include <kumquatdrift/distribution/replica.hpp>
#include <kumquatdrift/distribution/sources.hpp>

namespace kumquatdrift::internal {

class watch_stream;

/*! @brief Age sent by a node that has never been current. */
inline constexpr milliseconds unknown_age{24 * 3'600 * 1'000};

/*! @brief What a heartbeat says. */
struct heartbeat_info {
    /*! @brief Oldest offset that the log retains. */
    log_offset earliest{};
    /*! @brief Time since this node was known to be current, at the time `at`. */
    milliseconds age{};
    /*! @brief Time to which the age refers. */
    timestamp at{};
};

/*! @brief The parent side: holds what the `config` thread publishes and serves it to any number of streams.
 */
class parent_hub {
public:
    /**
     * @brief Constructs a hub that has nothing to serve.
     * @param limits Limits of this node as a parent.
     * @param longest_write Time after which a stream whose child does not read is cancelled.
     */
    parent_hub(const parent_limits& limits, milliseconds longest_write);

    /**
     * @brief Publishes the state of the replica and wakes the streams. Called on the `config` thread.
     * @param replica The replica.
     */
    void publish(const replica& replica);

    /**
     * @brief Sends a heartbeat on all streams.
     * @param info Content.
     */
    void heartbeat(const heartbeat_info& info);

    /**
     * @brief Sets the parents that a redirect may name.
     * @param names Relays of this data centre without this node.
     */
    void set_others(std::vector<std::string> names);

    /**
     * @brief Opens a stream. It lives until gRPC is done with it.
     * @param context Context of the call.
     * @param call First message of the child.
     * @return Reactor of the stream.
     */
    [[nodiscard]] grpc::ServerWriteReactor<distribution::v1::WatchEvent>*
    open(grpc::CallbackServerContext* context, const distribution::v1::WatchCall& call);

    /**
     * @brief Answers a peer that starts without the log.
     * @param call Message of the peer.
     * @param reply Receives the snapshot, if this node has more than the peer.
     * @return False if the limit of snapshot bytes is reached.
     */
    [[nodiscard]] bool fetch(const distribution::v1::FetchCall& call, distribution::v1::Snapshot& reply);

    /*! @brief Ends all streams and refuses new ones. */
    void end_streams();

    /**
     * @brief Makes the next message of a stream.
     * @param position Offset that the child expects; moved on by what the message contains.
     * @param event Receives the message.
     * @return False if there is nothing new.
     */
    [[nodiscard]] bool next_event(log_offset& position, distribution::v1::WatchEvent& event);

    /**
     * @brief Fills a heartbeat.
     * @param event Receives the message.
     */
    void fill_heartbeat(distribution::v1::WatchEvent& event);

    /**
     * @brief Forgets a stream.
     * @param stream The stream.
     */
    void remove(const std::shared_ptr<watch_stream>& stream);

    /**
     * @brief Adds the counters of the hub to a status.
     * @param status The status.
     */
    void add_to(distribution_status& status);

    /*! @brief Bytes of messages sent. */
    std::atomic<std::uint64_t> sent_bytes{};

private:
    struct encoded_snapshot {
        log_offset next{};
        std::string text{};
        std::uint64_t digest{};
    };

    [[nodiscard]] log_offset first_buffered() const noexcept;
    [[nodiscard]] const encoded_snapshot& snapshot();
    [[nodiscard]] std::vector<std::shared_ptr<watch_stream>> all_streams();
    [[nodiscard]] std::optional<distribution::v1::Redirect> refuse(log_offset position);

    milliseconds longest_write;
    std::mutex mutex{};
    parent_state limiter;
    random_engine rng{std::random_device{}()};
    std::deque<log_record> records{};
    config_state state{};
    std::optional<encoded_snapshot> encoded{};
    heartbeat_info info{};
    std::vector<std::string> others{};
    std::set<std::shared_ptr<watch_stream>> streams{};
    std::uint64_t redirected{};
    bool ended{};
};

/*! @brief gRPC service of the hub. */
class distribution_endpoint final : public distribution::v1::Distribution::CallbackService {
public:
    /**
     * @brief Constructs the service.
     * @param target The hub.
     */
    explicit distribution_endpoint(parent_hub& target);

    /*! @brief Opens a stream. */
    grpc::ServerWriteReactor<distribution::v1::WatchEvent>*
    Watch(grpc::CallbackServerContext* context, const distribution::v1::WatchCall* call) override;

    /*! @brief Answers with a snapshot. */
    grpc::ServerUnaryReactor* Fetch(grpc::CallbackServerContext* context,
                                    const distribution::v1::FetchCall* call,
                                    distribution::v1::Snapshot* reply) override;

private:
    parent_hub& hub;
};

} // namespace kumquatdrift::internal

#endif
