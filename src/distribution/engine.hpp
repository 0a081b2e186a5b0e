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

/*! @brief The `config` thread: owns the replica and follows its sources. */
class engine {
public:
    /**
     * @brief Starts the thread.
     * @param needs What the service needs from the node.
     * @param chosen Settings.
     * @param target Hub that serves what the replica holds.
     */
    engine(distribution_service::environment needs, const distribution_settings& chosen, parent_hub& target);

    /*! @brief Cancels all streams and stops the threads. */
    ~engine();

    engine(const engine&) = delete;
    engine(engine&&) = delete;
    engine& operator=(const engine&) = delete;
    engine& operator=(engine&&) = delete;

    /**
     * @brief Returns the state of the service.
     * @return The status.
     */
    [[nodiscard]] distribution_status status() const;

private:
    void run();
    void tick();
    void handle(log_read_done& event);
    void handle(checkpoint_done& event);
    void handle(watch_message& event);
    void handle(snapshot_fetched& event);
    void handle(watch_ended& event);
    void apply(const replica_change& change);
    void on_heartbeat(watcher& source, const watch_message& message);
    void refresh_candidates(const member_view& view);
    void update_watchers(const source_plan& plan, const member_view& view);
    void read_log(const source_plan& plan);
    void recover_gap(const member_view& view);
    void write_checkpoint();
    void ask_peers(const member_view& view);
    void send_heartbeat();
    void publish_status(const source_plan& plan);
    [[nodiscard]] milliseconds age() const;

    distribution_service::environment environment;
    distribution_settings settings;
    parent_hub& hub;
    config_ring ring;
    random_engine rng{std::random_device{}()};
    replica copy{};
    source_state sources;
    source_candidates candidates{};
    std::uint64_t generation{};
    timestamp candidates_at{};
    std::map<std::string, std::shared_ptr<watcher>> watchers{};
    std::uint64_t streams{};
    bool log_busy{};
    timestamp gap_retry{};
    timestamp next_heartbeat{};
    timestamp now{};
    std::uint64_t log_bytes{};
    std::uint64_t received_bytes{};
    std::uint64_t checkpoints{};
    std::string source_reason{};
    mutable std::mutex mutex{};
    distribution_status published{};
    std::atomic<bool> stopping{};
    log_worker worker;
    std::thread thread{};
};

} // namespace kumquatdrift::internal

#endif
