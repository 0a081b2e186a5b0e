#ifndef KUMQUATDRIFT_PROXY_CALLER_REQUEST_HPP
#define KUMQUATDRIFT_PROXY_CALLER_REQUEST_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "proxy/caller_handler.hpp"

namespace kumquatdrift::internal {

/*! @brief Processes one matched request of a caller, from the claim on its key to the response. */
class caller_request {
public:
    /**
     * @brief Constructs the state of a request that has matched a route and is within its limits.
     * @param handler Handler that owns the shared state of the entry node; must outlive this object.
     * @param snapshot Routing snapshot that contains the route.
     * @param route Matched route.
     * @param request Parsed request and its exchange with the caller.
     * @param counters Metrics of the route.
     */
    caller_request(caller_handler& handler, const routing_snapshot& snapshot, const compiled_route& route,
                   client_request& request, route_metrics& counters);

    /*! @brief Buffers the start of the body, claims the idempotency key if any, and runs the attempts. */
    void run();

private:
    // Also computes the fingerprint. Returns false if reading failed and an error response was sent.
    [[nodiscard]] bool read_body_prefix();
    // Returns false if the request must not run and a response was sent.
    [[nodiscard]] bool claim_key();
    void send_stored_response(const claim_result& result);
    void run_attempts();
    void start_attempt(const endpoint& chosen, attempt& current);
    void start_remote_attempt(const endpoint& chosen, attempt& current);
    void record_attempt(const endpoint& chosen, const attempt& current);
    [[nodiscard]] static bool is_final(const attempt& current);
    // Sleeps for the retry delay. Returns false if the request is not retried.
    [[nodiscard]] bool wait_before_retry(attempt& current);
    void relay_response(attempt& current);
    // Relays the response of the last attempt if its verdict holds for the whole request, and sends an error
    // response otherwise.
    void finish_failed_request(attempt& current);
    void reject(error_response response);
    // Releases or completes the claim, as the verdict requires.
    void finish_claim(verdict effect, std::optional<stored_response> response);

    caller_handler& handler;
    const routed_service& service;
    const route_config& route;
    client_request& request;
    route_metrics& counters;
    trace_context parent_trace;
    std::optional<claim_request> held_claim{};
    // Keys of the endpoints that attempts were sent to, in order.
    std::vector<std::string> tried_endpoints{};
    std::uint32_t attempt_count{};
    verdict combined_verdict{verdict::not_run};
};

} // namespace kumquatdrift::internal

#endif
