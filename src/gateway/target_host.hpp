#ifndef KUMQUATDRIFT_GATEWAY_TARGET_HOST_HPP
#define KUMQUATDRIFT_GATEWAY_TARGET_HOST_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <kumquatdrift/gateway/platform.hpp>
#include <kumquatdrift/mesh/members.hpp>
#include <kumquatdrift/telemetry/event_log.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>
#include <kumquatdrift/traffic/quarantine.hpp>
#include <kumquatdrift/traffic/run_queue.hpp>

#include "http_client.hpp"
#include "run.hpp"

namespace kumquatdrift {

/**
 * @brief The target on this host: the only way to it, for requests from here and from other nodes.
 *
 * Because every request passes here, slots, drains and incarnations are exact without any agreement.
 */
class target_host {
public:
    /*! @brief Ports and shared parts; all outlive the host. */
    struct parts {
        /*! @brief Event loop. */
        event_loop& loop;
        /*! @brief Platform, for header names. */
        const mesh_platform& platform;
        /*! @brief Log. */
        event_log& log;
        /*! @brief Metrics. */
        metrics_registry& metrics;
        /*! @brief Requests that crash targets. */
        crash_quarantine& quarantine;
    };

    /**
     * @brief Constructs a host whose target is unknown.
     * @param shared Ports and shared parts.
     * @param node Name of this node.
     * @param report_interval Time between two reports of the target.
     * @param on_change Called when the state of the target changes.
     */
    target_host(const parts& shared, std::string node, microseconds report_interval,
                std::function<void()> on_change);

    /**
     * @brief Sets the address to use when a report states none.
     * @param address Address.
     */
    void set_address(const socket_address& address);

    /**
     * @brief Takes a report of the target.
     * @param report Report.
     * @return False if it is older than what is known.
     */
    bool on_report(const target_report& report);

    /**
     * @brief Asks the target for its state, if none is known; used after a start of this node.
     * @param service Service of the target.
     * @param health_path Path of the liveness check.
     */
    void check_health(const std::string& service, const std::string& health_path);

    /**
     * @brief Offers a request.
     * @param order Request.
     * @param done Receives the result; not called from within this call, or after `cancel`.
     * @return Id to cancel it with.
     */
    std::uint64_t run(const run_order_ptr& order, run_callback done);

    /**
     * @brief Gives up a request; its connection to the target is closed.
     * @param id Id.
     */
    void cancel(std::uint64_t id);

    /**
     * @brief Checks whether the target runs a request now.
     * @param attempt Id that the caller gave it.
     * @return True if it does.
     */
    [[nodiscard]] bool is_running(const std::string& attempt) const
    {
        return this->running_attempts.contains(attempt);
    }

    /*! @brief Returns the last report; its state is `unknown` while the target cannot be used. */
    [[nodiscard]] const target_report& report() const noexcept
    {
        return this->current;
    }

    /*! @brief Returns the load. */
    [[nodiscard]] target_load load() const noexcept;

    /*! @brief Returns the number of requests that run or wait. */
    [[nodiscard]] std::size_t in_flight() const noexcept
    {
        return this->runs.size();
    }

    /*! @brief Drops what was learnt before a suspension of this process. */
    void on_suspension();

private:
    struct pending_run {
        run_order_ptr order{};
        run_callback done{};
        std::uint64_t call{};
        bool started{};
        timestamp began{};
    };
    struct lost_run {
        std::uint64_t fingerprint{};
        timestamp at{};
    };

    [[nodiscard]] std::string refusal_of(const run_order& order) const;
    void dispatch(std::uint64_t id);
    void start_waiting();
    void on_answer(std::uint64_t id, call_result outcome);
    [[nodiscard]] run_result classify(const run_order& order, call_result& outcome) const;
    void refuse(std::uint64_t id, const std::string& cause);
    void end(std::uint64_t id, run_result outcome);
    void forget_attempt(const pending_run& pending);
    void on_unreachable(const std::string& cause);
    void on_died();
    void set_state(report_state state, const std::string& cause);
    void on_tick(timestamp now);

    parts shared;
    std::string node;
    microseconds report_interval;
    std::function<void()> on_change;
    http_client client;
    run_queue queue{};
    target_report current{};
    socket_address fallback{};
    std::optional<timestamp> reported_at{};
    timestamp answered_at{};
    std::unordered_map<std::uint64_t, pending_run> runs{};
    std::unordered_multiset<std::string> running_attempts{};
    std::vector<lost_run> lately_lost{};
    std::uint64_t last_id{};
    latency_histogram& run_seconds;
    latency_histogram& wait_seconds;
};

} // namespace kumquatdrift

#endif
