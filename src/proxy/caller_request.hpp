#ifndef KUMQUATDRIFT_PROXY_CALLER_REQUEST_HPP
#define KUMQUATDRIFT_PROXY_CALLER_REQUEST_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "proxy/caller_path.hpp"

namespace kumquatdrift::internal {

/*! @brief One matched request of a caller: its claim, its attempts and its answer. */
class caller_request {
public:
    /**
     * @brief Constructs a request that was matched and is within its limits.
     * @param path Entry node.
     * @param snapshot Snapshot that was matched.
     * @param route Matched route.
     * @param request The request.
     * @param counters Counters of the route.
     */
    caller_request(caller_path& path, const routing_snapshot& snapshot, const compiled_route& route,
                   call& request, route_metrics& counters);

    /*! @brief Reads the body, claims the key if there is one, and makes the attempts. */
    void run();

private:
    [[nodiscard]] bool read_start();
    [[nodiscard]] bool claim();
    void answer_completed(const claim_answer& answer);
    void make_attempts();
    void start_attempt(const endpoint& chosen, attempt& current);
    void start_at_node(const endpoint& chosen, attempt& current);
    void note(const endpoint& chosen, const attempt& current);
    [[nodiscard]] static bool is_final(const attempt& current);
    [[nodiscard]] bool wait_for_retry(attempt& current);
    void relay(attempt& current);
    void give_up(attempt& current);
    void refuse(refusal answer);
    void settle(verdict effect, std::optional<stored_answer> answer);

    caller_path& entry;
    const routed_service& service;
    const route_config& route;
    call& request;
    route_metrics& counters;
    trace_context server_trace;
    std::optional<claim_request> claimed{};
    std::vector<std::string> used{};
    std::uint32_t attempts{};
    verdict worst{verdict::not_run};
};

} // namespace kumquatdrift::internal

#endif
