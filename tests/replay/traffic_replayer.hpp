#ifndef KUMQUATDRIFT_TESTS_REPLAY_TRAFFIC_REPLAYER_HPP
#define KUMQUATDRIFT_TESTS_REPLAY_TRAFFIC_REPLAYER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <kumquatdrift/routing/choose.hpp>
#include <kumquatdrift/routing/holder.hpp>
#include <kumquatdrift/traffic/admission.hpp>
#include <kumquatdrift/traffic/quarantine.hpp>
#include <kumquatdrift/traffic/retry.hpp>
#include <kumquatdrift/traffic/verdicts.hpp>

namespace kumquatdrift {

/**
 * @brief Replays a trace on a simulated clock, with one entry node and named targets, each with its own node.
 *
 * Lines start with a time or with `expect`; an expectation is checked at the time of the preceding action.
 * Empty lines and lines that start with `#` are skipped. Messages are delivered without delay.
 *
 * - `at Nms config VERSION SERVICE...`; each service has a route `/SERVICE`; `broken` adds an invalid route
 * - `at Nms view [synchronised] TARGET/SERVICE[/FLAG]...` with the flags `far` (in another data centre),
 *   `cold`, `draining`, `dead`, `unreachable`; `at Nms late_view INDEX` offers an earlier view again
 * - `at Nms call NAME PATH [to TARGET] [idempotent] [deadline Nms] [like TEXT]`; calls `like` the same text
 *   have the same fingerprint
 * - `at Nms finish NAME`, `cancel NAME`, `lose_answer NAME` (its responses do not reach the entry node)
 * - `at Nms target_dies T` (it crashes), `target_restarts T`, `drains T`, `gossip`
 * - `at Nms node_refuses T` (its node rejects connections), `node_accepts T`
 * - `at Nms slots T NUMBER`, `at Nms entry_restarts`
 * - `at Nms resumes`: ends a pause, in which no timer ran since the preceding action
 * - `expect version N`, `expect endpoints SERVICE [TARGET...]`, `expect load TARGET IN_USE/QUEUED/SLOTS`
 * - `expect call NAME running TARGET|queued|retrying|final VERDICT`, `expect runs NAME N`
 */
class traffic_replayer {
public:
    traffic_replayer();

    /**
     * @brief Executes one line of a trace.
     * @param line The line.
     * @return Nothing, or the failure: an expectation that does not hold, or a malformed line.
     */
    [[nodiscard]] std::optional<std::string> run(const std::string& line);

private:
    using failure_text = std::optional<std::string>;

    enum class call_state : std::uint8_t { retrying, queued, running, ended };

    struct call {
        request_id id{};
        route_config route{};
        std::string path{};
        std::uint64_t fingerprint{};
        timestamp deadline{};
        timestamp retry_at{};
        std::string first_target{};
        std::string target{};
        std::vector<std::string> tried_targets{};
        std::uint32_t attempts{};
        std::uint32_t executions{};
        bool response_lost{};
        call_state state{call_state::retrying};
        verdict effect{verdict::not_run};
    };

    struct target_node {
        admission control;
        crash_quarantine quarantine{};
        bool is_crashed{};
        bool rejects_connections{};
    };

    failure_text execute(const std::string& action, std::istringstream& words);
    failure_text execute_on_call(const std::string& action, call& subject);
    failure_text execute_on_target(const std::string& action, const std::string& name,
                                   std::istringstream& words);
    failure_text expect(std::istringstream& words);
    failure_text offer_config(std::istringstream& words);
    failure_text offer_view(std::istringstream& words);
    failure_text start_call(std::istringstream& words);
    void advance_to(timestamp until);
    void start_attempt(call& subject);
    void send(call& subject, const endpoint& chosen);
    void start(request_id id);
    void reject(const std::vector<request_id>& rejected);
    void end_attempt(call& subject, const hop_observation& observed);
    void end_execution(call& subject, const hop_observation& observed);
    void cancel(call& subject);
    void exchange_advisories();
    [[nodiscard]] call* find_call(request_id id);
    [[nodiscard]] std::string describe(const call& subject) const;

    timestamp now{};
    random_engine rng{5};
    snapshot_holder snapshots{};
    member_view view{};
    std::vector<member_view_ptr> views{};
    load_table loads{};
    retry_budget budget{};
    crash_quarantine quarantine{};
    std::map<std::string, target_node> targets{};
    std::map<std::string, call> calls{};
};

} // namespace kumquatdrift

#endif
