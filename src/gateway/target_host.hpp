#ifndef KUMQUATDRIFT_GATEWAY_TARGET_HOST_HPP
#define KUMQUATDRIFT_GATEWAY_TARGET_HOST_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <kumquatdrift/gateway/platform.hpp>
#include <kumquatdrift/mesh/members.hpp>
#include <kumquatdrift/mesh/report_order.hpp>
#include <kumquatdrift/telemetry/event_log.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>
#include <kumquatdrift/traffic/failure_rate_estimator.hpp>
#include <kumquatdrift/traffic/nested_room.hpp>
#include <kumquatdrift/traffic/quarantine.hpp>
#include <kumquatdrift/traffic/run_queue.hpp>

#include "http_client.hpp"
#include "run.hpp"

namespace kumquatdrift {

/**
 * @brief Runs requests on the target of this host, whether they come from this node or from others.
 *
 * It is the only path to the target, so its slot count, drain state and incarnation are exact without
 * coordination between nodes.
 */
class target_host {
public:
    /*! @brief Objects that the host uses; all must outlive it. */
    struct dependencies {
        /*! @brief Event loop. */
        event_loop& loop;
        /*! @brief Platform; provides header names and decodes health checks. */
        const mesh_platform& platform;
        /*! @brief Event log. */
        event_log& log;
        /*! @brief Metrics registry. */
        metrics_registry& metrics;
        /*! @brief Quarantine of requests that crash targets. */
        crash_quarantine& quarantine;
    };

    /**
     * @brief Constructs a host whose target is in the state `unknown`.
     * @param shared Objects that the host uses.
     * @param node Name of this node.
     * @param report_interval Interval at which the target sends reports.
     * @param on_change Called when the state of the target changes.
     */
    target_host(const dependencies& shared, std::string node, microseconds report_interval,
                std::function<void()> on_change);

    /**
     * @brief Sets the address of the target to use while its reports contain none.
     * @param address Default address.
     */
    void set_address(const socket_address& address);

    /**
     * @brief Applies a report of the target.
     * @param report Report.
     * @return What it is relative to the reports that have been applied; `is_applied` says whether it was
     * applied.
     */
    report_order on_report(const target_report& report);

    /**
     * @brief Doesn't use the target until the recorded leaves have been read or a bounded time has passed;
     * then a liveness check decides. Called at the start of this node.
     */
    void await_recorded_leaves();

    /**
     * @brief Applies a leave of the target that was read from the store.
     * @param leave Leave. Without a start, it is ignored after the wait: it may be that of an earlier
     * incarnation.
     */
    void restore_recorded(const target_memory& leave);

    /*! @brief Ends the wait for the recorded leaves: each has been passed to `restore`. */
    void on_leaves_read();

    /**
     * @brief Returns a leave of the target that hasn't been recorded.
     * @return Identity of the target, once for each incarnation that leaves; nothing if there is none.
     */
    [[nodiscard]] std::optional<target_memory> take_unrecorded_leave();

    /**
     * @brief Sets the path of the liveness check.
     * @param path Path; empty if there is none.
     */
    void set_liveness_path(const std::string& path)
    {
        this->liveness_path = path;
    }

    /**
     * @brief Requests the target's health if no report has arrived; called after a start of this node.
     * @param service Service of the target.
     * @param health_path Path of the liveness check; if empty, no check is made.
     */
    void check_health(const std::string& service, const std::string& health_path);

    /**
     * @brief Runs, queues or rejects a request.
     * @param request Request.
     * @param done Receives the result; called neither from within this call nor after `cancel`.
     * @return Id for `cancel`.
     */
    std::uint64_t run(const target_request_ptr& request, attempt_callback done);

    /**
     * @brief Sets the time at which this process ends. Queued requests that are not expected to finish before
     *        are rejected in time for the refusals to reach their entry nodes.
     * @param end Time of the end.
     */
    void set_end(timestamp end) noexcept;

    /**
     * @brief Cancels a queued or running request; the connection of a running one is reset.
     * @param id Id returned by `run`; an unknown id is ignored.
     */
    void cancel(std::uint64_t id);

    /**
     * @brief Checks whether the target is processing a request.
     * @param attempt Attempt id that the caller assigned.
     * @return True if the request holds a slot and has no result yet.
     */
    [[nodiscard]] bool is_running(const std::string& attempt) const
    {
        return this->running_attempts.contains(attempt);
    }

    /**
     * @brief Records that the target makes a nested call.
     * @param attempt Attempt id of the running request on whose behalf it is made.
     */
    void on_nested_call(const std::string& attempt);

    /**
     * @brief Records the end of a nested call that the target made.
     * @param refused True if it was refused for lack of room at the targets of the called service.
     */
    void on_nested_call_ended(bool refused);

    /*! @brief Returns the latest report; its state is `unknown` while the target is unavailable. */
    [[nodiscard]] const target_report& report() const noexcept
    {
        return this->current;
    }

    /*! @brief Returns the load of the target. */
    [[nodiscard]] target_load load() const noexcept;

    /*! @brief Returns the number of running and queued requests. */
    [[nodiscard]] std::size_t in_flight() const noexcept
    {
        return this->requests.size();
    }

    /**
     * @brief Applies what another node remembers of the target, in case this node has restarted since. It may
     * arrive before the first report of the target.
     * @param memory What the other node remembers.
     * @param started_ms Start of this process in Unix milliseconds.
     * @param nonce Random number of this process.
     */
    void restore(const target_memory& memory, std::uint64_t started_ms, std::uint32_t nonce = 0);

    /**
     * @brief Expires queued requests and notices a silent target; called on each tick of the event loop.
     * @param now Current time.
     */
    void on_tick(timestamp now);

    /*! @brief Closes idle connections, which may be stale after a suspension of this process. */
    void on_suspension();

private:
    struct pending_request {
        target_request_ptr request{};
        attempt_callback done{};
        /*! @brief Id of the call of the HTTP client; 0 while the request is queued. */
        std::uint64_t call_id{};
        /*! @brief True once the request has been passed to the HTTP client. */
        bool started{};
        /*! @brief Time at which it was queued, then the time at which it was sent. */
        timestamp since{};
        /*! @brief Incarnation of the target to which it was sent. */
        std::uint64_t incarnation{};
        /*! @brief True if the target has made a nested call on its behalf. */
        bool made_calls{};
    };
    /*! @brief A request whose connection failed, kept until a crash can be attributed to it. */
    struct lost_attempt {
        std::uint64_t fingerprint{};
        timestamp at{};
    };

    [[nodiscard]] std::string rejection_cause(const target_request& request) const;
    void dispatch(std::uint64_t id);
    void start_queued();
    void on_response(std::uint64_t id, call_result call);
    void on_notice(const http_message& response, timestamp sent_at, std::uint64_t sent_to);
    void log_limit(const std::string& cause);
    [[nodiscard]] std::optional<std::uint64_t> apply_memory();
    void contest_current(std::uint64_t left_sequence);
    bool remember(const target_memory& memory);
    void request_health(const std::string& health_path,
                        std::function<void(std::optional<target_health>)> done);
    void verify_held();
    void begin_incarnation();
    void use_address(const target_report& report);
    void apply(const target_report& report, report_state state, bool is_new);
    void verify_restarted(const target_report& report);
    void accept_restarted(target_report report);
    [[nodiscard]] attempt_result classify(const target_request& request, call_result& call) const;
    void reject(std::uint64_t id, const std::string& cause);
    void complete(std::uint64_t id, attempt_result result);
    void remove_attempt(std::uint64_t id, const pending_request& pending);
    void update_caller_limit(timestamp now);
    void on_unreachable(const std::string& cause);
    void on_crash();
    void set_state(report_state state, const std::string& cause);

    dependencies shared;
    std::string node;
    microseconds report_interval;
    std::function<void()> on_change;
    http_client client;
    run_queue queue{};
    /*! @brief Share of the requests that the target sheds. */
    failure_rate_estimator shed_rate{};
    target_report current{};
    socket_address default_address{};
    /*! @brief Time of the last report or liveness check. */
    std::optional<timestamp> last_report_at{};
    report_history reports{};
    /*! @brief Start that the reports of the current incarnation state. Its `started_ms` is later if another
     * incarnation with this id and start has left. */
    std::uint64_t stated_start_ms{};
    /*! @brief True while a liveness check decides whether the target has been started again. */
    bool verifies_restart{};
    timestamp last_response_at{};
    /*! @brief Time until which the recorded leaves are awaited; nothing once they have been read. */
    std::optional<timestamp> await_leaves_until{};
    /*! @brief True if the target is ready but for the recorded leaves, which are not known. */
    bool is_held{};
    /*! @brief Path of the liveness check; empty while unknown. */
    std::string liveness_path{};
    std::optional<target_memory> unrecorded_leave{};
    /*! @brief Time until which requests that are not idempotent get new connections. */
    timestamp new_connections_until{};
    std::unordered_map<std::uint64_t, pending_request> requests{};
    /*! @brief Ids of the running requests by the attempt ids of their callers. */
    std::unordered_multimap<std::string, std::uint64_t> running_attempts{};
    nested_room room{};
    nested_call_routes caller_routes{};
    /*! @brief Limit of running requests with nested calls that was last logged; 0 before. */
    std::uint32_t logged_caller_limit{};
    timestamp caller_limit_logged_at{};
    std::vector<lost_attempt> recent_losses{};
    /*! @brief Number of the target's incarnation since the start of this node. */
    std::uint64_t incarnation{};
    /*! @brief What is remembered of incarnations of the target, by this node and by others from before its
     * start. */
    std::vector<target_memory> memories{};
    /*! @brief Rate limit that was last logged in requests per second; 0 if there was none. */
    double logged_limit{};
    timestamp limit_logged_at{};
    std::uint64_t last_id{};
    gauge& limit_gauge;
    gauge& shed_gauge;
    counter& requests_sent;
    gauge& caller_limit_gauge;
    counter& refused_nested_calls;
    counter& bad_loads;
    latency_histogram& run_seconds;
    latency_histogram& wait_seconds;
};

} // namespace kumquatdrift

#endif
