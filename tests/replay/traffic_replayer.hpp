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
 * @brief Replays a trace with one entry node and named targets, each with its own node, on a test clock.
 *
 * Lines start with a time or with `expect`; an expectation holds at the time of the line before it. Empty
 * lines and lines that start with `#` are skipped. Messages take no time.
 *
 * - `at Nms config VERSION SERVICE...`; route `/SERVICE` leads to each; `broken` adds a bad route
 * - `at Nms view [synchronised] TARGET/SERVICE[/FLAG]...` with the flags `far`, `cold`, `draining`, `dead`,
 *   `unreachable`; `at Nms late_view NUMBER` offers an earlier view again
 * - `at Nms call NAME PATH [to TARGET] [idempotent] [deadline Nms] [like FINGERPRINT]`
 * - `at Nms finish NAME`, `cancel NAME`, `lose_answer NAME`
 * - `at Nms target_dies T`, `target_restarts T`, `node_refuses T`, `node_accepts T`, `drains T`, `gossip`
 * - `at Nms slots T NUMBER`, `at Nms entry_restarts`, `at Nms resumes`: no timer ran since the line before
 * - `expect version N`, `expect endpoints SERVICE [TARGET...]`, `expect load TARGET IN_USE/QUEUED/SLOTS`
 * - `expect call NAME running TARGET|queued|retrying|final VERDICT`, `expect runs NAME N`
 */
class traffic_replayer {
public:
    traffic_replayer();

    /**
     * @brief Runs one line.
     * @param line The line.
     * @return Nothing, or what is wrong: an expectation that does not hold, or a malformed line.
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
        std::vector<std::string> used{};
        std::uint32_t attempts{};
        std::uint32_t runs{};
        bool answer_lost{};
        call_state state{call_state::retrying};
        verdict effect{verdict::not_run};
    };

    struct target_node {
        admission control;
        crash_quarantine suspects{};
        bool is_dead{};
        bool refuses{};
    };

    failure_text act(const std::string& action, std::istringstream& words);
    failure_text act_on_call(const std::string& action, call& subject);
    failure_text act_on_target(const std::string& action, const std::string& name, std::istringstream& words);
    failure_text expect(std::istringstream& words);
    failure_text offer_config(std::istringstream& words);
    failure_text offer_view(std::istringstream& words);
    failure_text start_call(std::istringstream& words);
    void advance_to(timestamp until);
    void start_attempt(call& subject);
    void send(call& subject, const endpoint& chosen);
    void start(request_id id);
    void refuse(const std::vector<request_id>& dropped);
    void end_attempt(call& subject, const hop_observation& seen);
    void end_run(call& subject, const hop_observation& seen);
    void give_up(call& subject);
    void gossip();
    [[nodiscard]] call* by_id(request_id id);
    [[nodiscard]] std::string describe(const call& subject) const;

    timestamp now{};
    random_engine rng{5};
    snapshot_holder holder{};
    member_view view{};
    std::vector<member_view_ptr> views{};
    load_table loads{};
    retry_budget budget{};
    crash_quarantine suspects{};
    std::map<std::string, target_node> targets{};
    std::map<std::string, call> calls{};
};

} // namespace kumquatdrift

#endif
