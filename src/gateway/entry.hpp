#ifndef KUMQUATDRIFT_GATEWAY_ENTRY_HPP
#define KUMQUATDRIFT_GATEWAY_ENTRY_HPP

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
#include <kumquatdrift/traffic/caller_age.hpp>
#include <kumquatdrift/traffic/placement.hpp>
#include <kumquatdrift/traffic/retry_share.hpp>
#include <kumquatdrift/traffic/service_times.hpp>

#include "http_server.hpp"
#include "peers.hpp"
#include "target_host.hpp"

namespace kumquatdrift {

/*! @brief Requests of the callers on this host, from their arrival to their answer. */
class entry {
public:
    /*! @brief Shared parts; all outlive the entry. */
    struct parts {
        /*! @brief Event loop. */
        event_loop& loop;
        /*! @brief Platform, for header names. */
        const mesh_platform& platform;
        /*! @brief Log. */
        event_log& log;
        /*! @brief Metrics. */
        metrics_registry& metrics;
        /*! @brief Target of this host. */
        target_host& host;
        /*! @brief Other nodes. */
        peers& others;
        /*! @brief Requests that crash targets. */
        crash_quarantine& quarantine;
        /*! @brief Settings in force. */
        const gateway_settings& settings;
        /*! @brief Random engine. */
        random_engine& rng;
    };

    /**
     * @brief Constructs without a configuration; all requests are refused until there is one.
     * @param shared Shared parts.
     */
    explicit entry(const parts& shared);

    /**
     * @brief Puts a configuration in force for requests that arrive from now on.
     * @param index Routes.
     */
    void set_routes(std::shared_ptr<const route_index> index)
    {
        this->routes = std::move(index);
    }

    /**
     * @brief Takes a request.
     * @param exchange Request.
     */
    void on_request(const http_exchange_ptr& exchange);

    /*! @brief Refuses requests from now on, so that the open ones can end. */
    void stop_taking() noexcept
    {
        this->stopping = true;
    }

    /*! @brief Answers all requests that are still open, before the process ends. */
    void give_up_all();

    /*! @brief Returns the number of requests without an answer. */
    [[nodiscard]] std::size_t in_flight() const noexcept
    {
        return this->requests.size();
    }

private:
    struct request {
        http_exchange_ptr exchange{};
        std::shared_ptr<const route_index> routes{};
        const mesh_route* route{};
        run_order_ptr order{};
        event_loop::timer_id timer{};
        std::unordered_set<std::string> tried{};
        std::string node{};
        std::uint64_t run{};
        std::uint32_t hops{};
        std::uint32_t full_targets{};
        std::uint32_t sent_to_targets{};
        bool may_have_run{};
        microseconds time_to_room{};
        std::string last_cause{};
        std::optional<run_result> target_failure{};
    };
    using request_ptr = std::shared_ptr<request>;

    void reject(const http_exchange_ptr& exchange, unsigned status, const std::string& cause);
    [[nodiscard]] run_order_ptr make_order(http_exchange& exchange, const mesh_route& route);
    void place(const request_ptr& one);
    void send(const request_ptr& one, const placement_candidate& to);
    [[nodiscard]] std::vector<placement_candidate> candidates(const request& one, timestamp now);
    void on_result(const request_ptr& one, run_result result);
    void observe(const request& one, const run_result& result);
    [[nodiscard]] bool may_repeat(const request& one, const run_result& result);
    [[nodiscard]] double failed_share(const request& one, timestamp now);
    void answer(const request_ptr& one, run_result& result);
    void refuse(const request_ptr& one, const std::string& cause);
    void fail(const request_ptr& one, unsigned status, const std::string& cause);
    void on_limit(const request_ptr& one);
    void on_gone(const request_ptr& one);
    void cancel_run(request& one);
    void finish(const request_ptr& one, const http_answer& reply, const std::string& outcome,
                const std::string& cause);
    [[nodiscard]] std::size_t nodes() const noexcept
    {
        return this->shared.others.members().all().size() + 1;
    }

    parts shared;
    std::shared_ptr<const route_index> routes{};
    part_chooser chooser{};
    caller_age ages{};
    service_times durations{};
    retry_share retries;
    std::unordered_set<request_ptr> requests{};
    failure_share own_failed{};
    std::string own_instance{};
    latency_histogram& seconds;
    bool stopping{};
};

} // namespace kumquatdrift

#endif
