#ifndef KUMQUATDRIFT_DISTRIBUTION_ENGINE_HPP
#define KUMQUATDRIFT_DISTRIBUTION_ENGINE_HPP

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include <kumquatdrift/distribution/replica.hpp>
#include <kumquatdrift/distribution/service.hpp>

#include "distribution/events.hpp"
#include "distribution/hub.hpp"
#include "distribution/log_worker.hpp"
#include "distribution/watcher.hpp"

namespace kumquatdrift::internal {

/*! @brief Runs the `config` thread, which owns the replica and keeps it current from its sources. */
class engine {
public:
    /**
     * @brief Starts the thread.
     * @param node_environment What the node supplies to the service.
     * @param node_settings Settings.
     * @param served_hub Hub that serves the state of the replica to children.
     */
    engine(distribution_service::environment node_environment, const distribution_settings& node_settings,
           parent_hub& served_hub);

    /*! @brief Cancels all streams and stops the threads. */
    ~engine();

    engine(const engine&) = delete;
    engine(engine&&) = delete;
    engine& operator=(const engine&) = delete;
    engine& operator=(engine&&) = delete;

    /**
     * @brief Returns the status as of the last tick; may be called from any thread.
     * @return The status.
     */
    [[nodiscard]] distribution_status status() const;

private:
    void run();
    void tick();
    void handle(log_read_done& event);
    void handle(checkpoint_done& event);
    void handle(watch_message& message);
    void handle(snapshot_fetched& event);
    void handle(watch_ended& event);
    void apply(const replica_change& change);
    void on_heartbeat(watcher& source, const watch_message& message);
    void refresh_candidates(const member_view& view);
    void update_watchers(const source_plan& plan, const member_view& view);
    void read_log(const source_plan& plan);
    void recover_gap(const member_view& view);
    void write_checkpoint();
    void fetch_snapshots(const member_view& view);
    void send_heartbeat();
    void update_status(const source_plan& plan);
    [[nodiscard]] milliseconds age() const;

    distribution_service::environment environment;
    distribution_settings settings;
    parent_hub& hub;
    config_event_queue events;
    random_engine rng{std::random_device{}()};
    replica local_replica{};
    source_state sources;
    source_candidates candidates{};
    std::uint64_t view_generation{};
    timestamp candidates_updated_at{};
    std::map<std::string, std::shared_ptr<watcher>> watchers{};
    std::uint64_t last_stream_id{};
    bool log_read_pending{};
    timestamp gap_retry_at{};
    timestamp next_heartbeat_at{};
    timestamp now{};
    std::uint64_t log_bytes{};
    std::uint64_t received_bytes{};
    std::uint64_t checkpoints{};
    std::string source_error{};
    mutable std::mutex mutex{};
    distribution_status current_status{};
    std::atomic<bool> stopping{};
    log_worker worker;
    std::thread thread{};
};

} // namespace kumquatdrift::internal

#endif
