#ifndef KUMQUATDRIFT_GATEWAY_ENTRY_ROUTER_HPP
#define KUMQUATDRIFT_GATEWAY_ENTRY_ROUTER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/gateway/platform.hpp>
#include <kumquatdrift/gateway/settings.hpp>
#include <kumquatdrift/mesh/route_index.hpp>
#include <kumquatdrift/telemetry/event_log.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>
#include <kumquatdrift/traffic/placement.hpp>
#include <kumquatdrift/traffic/request_age_estimator.hpp>
#include <kumquatdrift/traffic/retry_share.hpp>
#include <kumquatdrift/traffic/service_times.hpp>

#include "account_access.hpp"
#include "http_server.hpp"
#include "peers.hpp"
#include "rollout_exchange.hpp"
#include "target_host.hpp"

namespace kumquatdrift {

/**
 * @brief Serves the requests of the callers on this host: finds the route, selects a target, retries failed
 * attempts and responds.
 */
class entry_router {
public:
    /*! @brief References to the components that the router uses; all must outlive it. */
    struct dependencies {
        /*! @brief Event loop. */
        event_loop& loop;
        /*! @brief Adapter to the platform, which supplies the header names. */
        const mesh_platform& platform;
        /*! @brief Event log. */
        event_log& log;
        /*! @brief Metrics. */
        metrics_registry& metrics;
        /*! @brief Target on this host. */
        target_host& local_target;
        /*! @brief Connections to the other nodes. */
        peers& peer_nodes;
        /*! @brief Quarantine of requests that crash targets. */
        crash_quarantine& quarantine;
        /*! @brief Roll-outs, which limit the targets of a request. */
        rollout_exchange& rollouts;
        /*! @brief Settings in force. */
        const gateway_settings& settings;
        /*! @brief Random engine. */
        random_engine& rng;
    };

    /**
     * @brief Constructs a router without a configuration; it rejects all requests until `set_routes` is
     * called.
     * @param shared Components to use.
     */
    explicit entry_router(const dependencies& shared);

    /**
     * @brief Sets the routes for requests that arrive from now on. Requests in flight keep their routes.
     * @param index Routes.
     */
    void set_routes(std::shared_ptr<const route_index> index);

    /*! @brief Records that the routes are not older than those of other nodes. Before that, a node that
     * starts while the store shows an older configuration rejects requests that need the newer one. */
    void confirm_routes() noexcept
    {
        this->routes_confirmed = true;
    }

    /**
     * @brief Handles a request of a caller.
     * @param exchange Request, and the means to respond to it.
     */
    void on_request(const http_exchange_ptr& exchange);

    /*! @brief Rejects new requests from now on, so that the requests in flight can finish. */
    void stop_accepting() noexcept
    {
        this->stopping = true;
    }

    /**
     * @brief Limits the time of attempts that are sent from now on, so that a target's node doesn't start a
     *        request whose response would come after the end of this process.
     * @param end Time at which all requests in flight are aborted.
     */
    void set_end(timestamp end) noexcept
    {
        this->process_end = end;
    }

    /*! @brief Cancels and responds to all requests in flight, before the process exits. */
    void abort_in_flight();

    /*! @brief Returns the number of requests that have no response yet. */
    [[nodiscard]] std::size_t in_flight() const noexcept
    {
        return this->requests.size();
    }

private:
    /*! @brief Time from which the `Retry-After` header is drawn while there is no configuration or no target;
     * both usually become available within half a second. */
    static constexpr microseconds typical_outage{300'000};

    /*! @brief A request in flight, with the state of its attempts. */
    struct pending_request {
        http_exchange_ptr exchange{};
        std::shared_ptr<const route_index> routes{};
        const mesh_route* route{};
        target_request_ptr request{};
        event_loop::timer_id deadline_timer{};
        /*! @brief Waits for the decision on the usage cap; 0 if it doesn't. */
        cap_exchange::ticket cap_ticket{};
        /*! @brief Nodes to which the request was sent; the empty name is this node. */
        std::unordered_set<std::string> tried_nodes{};
        /*! @brief Node of the latest attempt; empty for this node and before the first attempt. */
        std::string node{};
        /*! @brief Handle with which to cancel the current attempt; 0 if there is none. */
        std::uint64_t attempt_handle{};
        /*! @brief Number of nodes to which the request was sent. */
        std::uint32_t hops{};
        /*! @brief Number of nodes that rejected the request with the cause `queue_full`. */
        std::uint32_t full_targets{};
        /*! @brief Number of attempts that a node passed to its target; the others ended at the node. */
        std::uint32_t target_attempts{};
        bool may_have_run{};
        /*! @brief Expected time until a target can take the request; sets the `Retry-After` header. */
        microseconds time_to_free_slot{};
        /*! @brief Cause of the latest failed attempt, for the log. */
        std::string last_cause{};
        /*! @brief Latest response with a failure status; sent to the caller if the retries are rejected. */
        std::optional<attempt_result> failure_response{};
    };
    using pending_request_ptr = std::shared_ptr<pending_request>;

    void reject_unrouted(const http_exchange_ptr& exchange, unsigned status, const std::string& cause);
    [[nodiscard]] access_context access_now() const;
    [[nodiscard]] target_request_ptr make_request(http_exchange& exchange, const mesh_route& route,
                                                  const client_account* account);
    void limit_to_process_end(pending_request& pending) const;
    void check_cap(const pending_request_ptr& pending);
    void on_cap_decision(const pending_request_ptr& pending, const cap_decision& decision);
    void start(const pending_request_ptr& pending);
    void place(const pending_request_ptr& pending, bool may_try_new_version = true);
    void record_for_rollout(const pending_request& pending, std::optional<microseconds> service_time);
    void send(const pending_request_ptr& pending, const placement_candidate& candidate);
    [[nodiscard]] std::vector<placement_candidate> candidates(const pending_request& pending, timestamp now);
    void on_result(const pending_request_ptr& pending, attempt_result result);
    void record_outcome(const pending_request& pending, const attempt_result& result);
    [[nodiscard]] bool try_take_retry(const pending_request& pending, const attempt_result& result);
    [[nodiscard]] double failure_rate(const pending_request& pending, timestamp now);
    void respond(const pending_request_ptr& pending, attempt_result& result);
    void reject(const pending_request_ptr& pending, const std::string& cause);
    void fail(const pending_request_ptr& pending, unsigned status, const std::string& cause);
    void on_deadline(const pending_request_ptr& pending);
    void on_caller_disconnected(const pending_request_ptr& pending);
    void cancel_attempt(pending_request& pending);
    void finish(const pending_request_ptr& pending, http_response response, const std::string& outcome,
                const std::string& cause);
    [[nodiscard]] std::size_t node_count() const noexcept
    {
        return this->shared.peer_nodes.members().all().size() + 1;
    }

    dependencies shared;
    std::shared_ptr<const route_index> routes{};
    account_access access;
    weighted_service_selector selector{};
    request_age_estimator request_ages{};
    service_times mean_service_times{};
    retry_share retries;
    std::unordered_set<pending_request_ptr> requests{};
    failure_rate_estimator local_failure_rate{};
    /*! @brief Id and start of the target on this host to which `local_failure_rate` applies. */
    std::pair<std::string, std::uint64_t> local_incarnation{};
    latency_histogram& request_seconds;
    timestamp process_end{timestamp::max()};
    bool stopping{};
    bool routes_confirmed{};
};

} // namespace kumquatdrift

#endif
