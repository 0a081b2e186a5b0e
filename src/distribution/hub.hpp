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

/*! @brief Largest age that a node reports, also if it has never been current. */
inline constexpr milliseconds unknown_age{24 * 3'600 * 1'000};

/*! @brief Content of a heartbeat. */
struct heartbeat_info {
    /*! @brief Oldest offset that the log retains. */
    log_offset earliest{};
    /*! @brief Time between `measured_at` and the last time at which this node was known to be current. */
    milliseconds age{};
    /*! @brief Time at which `age` was computed. */
    timestamp measured_at{};
};

/*! @brief Parent side of the distribution: serves what the `config` thread publishes to the streams of
 * children. */
class parent_hub {
public:
    /**
     * @brief Constructs a hub without any records.
     * @param limits Limits on what this node serves to its children.
     * @param write_timeout Time after which a stream whose child does not read is cancelled.
     */
    parent_hub(const parent_limits& limits, milliseconds write_timeout);

    /**
     * @brief Publishes the state of the replica and sends the new records on all streams. Called on the
     * `config` thread.
     * @param replica The replica.
     */
    void publish(const replica& replica);

    /**
     * @brief Sends a heartbeat on all streams.
     * @param content Content of the heartbeat.
     */
    void heartbeat(const heartbeat_info& content);

    /**
     * @brief Sets the parents that a redirect may name.
     * @param names Relays of this data centre without this node.
     */
    void set_other_parents(std::vector<std::string> names);

    /**
     * @brief Opens a stream, or rejects it with a redirect. gRPC reports the end of the stream by `OnDone`.
     * @param context Context of the call.
     * @param call Request message of the child.
     * @return Reactor of the stream.
     */
    [[nodiscard]] grpc::ServerWriteReactor<distribution::v1::WatchEvent>*
    open(grpc::CallbackServerContext* context, const distribution::v1::WatchCall& call);

    /**
     * @brief Responds to a peer that starts without access to the log.
     * @param call Request message of the peer.
     * @param response Receives the snapshot if this node has newer records than the peer.
     * @return False if the rate limit of snapshot bytes is exceeded.
     */
    [[nodiscard]] bool fetch(const distribution::v1::FetchCall& call, distribution::v1::Snapshot& response);

    /*! @brief Ends all streams and rejects new ones. */
    void end_streams();

    /**
     * @brief Creates the next message of a stream.
     * @param position Offset of the next record that the child needs; advanced past the content of the
     * message.
     * @param event Receives the message.
     * @return False if there is nothing new.
     */
    [[nodiscard]] bool next_event(log_offset& position, distribution::v1::WatchEvent& event);

    /**
     * @brief Creates a heartbeat message.
     * @param event Receives the message.
     */
    void fill_heartbeat(distribution::v1::WatchEvent& event);

    /**
     * @brief Removes a stream that has ended.
     * @param stream The stream.
     */
    void remove(const std::shared_ptr<watch_stream>& stream);

    /**
     * @brief Adds the counters of the hub to a status.
     * @param status The status.
     */
    void add_counters(distribution_status& status);

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
    [[nodiscard]] std::optional<distribution::v1::Redirect> check_admission(log_offset position);

    milliseconds write_timeout;
    std::mutex mutex{};
    parent_limiter limiter;
    random_engine rng{std::random_device{}()};
    std::deque<log_record> records{};
    config_state state{};
    std::optional<encoded_snapshot> cached_snapshot{};
    heartbeat_info last_heartbeat{};
    std::vector<std::string> other_parents{};
    std::set<std::shared_ptr<watch_stream>> streams{};
    std::uint64_t redirected{};
    bool ended{};
};

/*! @brief gRPC service of the hub. */
class distribution_endpoint final : public distribution::v1::Distribution::CallbackService {
public:
    /**
     * @brief Constructs the service.
     * @param served_hub The hub.
     */
    explicit distribution_endpoint(parent_hub& served_hub);

    /*! @brief Opens a stream. */
    grpc::ServerWriteReactor<distribution::v1::WatchEvent>*
    Watch(grpc::CallbackServerContext* context, const distribution::v1::WatchCall* call) override;

    /*! @brief Responds with a snapshot. */
    grpc::ServerUnaryReactor* Fetch(grpc::CallbackServerContext* context,
                                    const distribution::v1::FetchCall* call,
                                    distribution::v1::Snapshot* response) override;

private:
    parent_hub& hub;
};

} // namespace kumquatdrift::internal

#endif
