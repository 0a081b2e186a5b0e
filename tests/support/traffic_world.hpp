#ifndef KUMQUATDRIFT_TESTS_SUPPORT_TRAFFIC_WORLD_HPP
#define KUMQUATDRIFT_TESTS_SUPPORT_TRAFFIC_WORLD_HPP

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <ostream>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include <kumquatdrift/routing/choose.hpp>
#include <kumquatdrift/traffic/admission.hpp>
#include <kumquatdrift/traffic/quarantine.hpp>
#include <kumquatdrift/traffic/retry.hpp>
#include <kumquatdrift/traffic/verdicts.hpp>

namespace kumquatdrift {

/*! @brief Kinds of events that a `traffic_world` simulates. */
enum class traffic_step_kind : std::uint8_t {
    /*! @brief A client sends a request to an entry node. */
    call,
    /*! @brief The clock advances. */
    advance,
    /*! @brief A client cancels a recent call. */
    cancel,
    /*! @brief A target drains: it announces this itself, or its node starts the drain. */
    drain,
    /*! @brief A drained target without running requests is replaced. */
    replace,
    /*! @brief A target announces a number of slots. */
    announce,
    /*! @brief A target starts or stops shedding requests. */
    shed,
    /*! @brief The fault rates of the network change. */
    network,
    /*! @brief The nodes exchange their crash advisories. */
    gossip
};

/*! @brief Names of the kinds of steps. */
template<>
struct enum_names<traffic_step_kind> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<traffic_step_kind, std::string_view>, 9> table{{
        {traffic_step_kind::call, "call"},
        {traffic_step_kind::advance, "advance"},
        {traffic_step_kind::cancel, "cancel"},
        {traffic_step_kind::drain, "drain"},
        {traffic_step_kind::replace, "replace"},
        {traffic_step_kind::announce, "announce"},
        {traffic_step_kind::shed, "shed"},
        {traffic_step_kind::network, "network"},
        {traffic_step_kind::gossip, "gossip"},
    }};
};

/*! @brief One step with its arguments, each 0 to 63. */
struct traffic_step {
    /*! @brief Kind. */
    traffic_step_kind kind{};
    /*! @brief First argument; selects the entry node or the target in most steps. */
    std::uint32_t first{};
    /*! @brief Second argument; its meaning depends on the kind. */
    std::uint32_t second{};
};

/**
 * @brief Prints a step. RapidCheck calls it for a shrunk case.
 * @param stream Stream to print to.
 * @param printed The step.
 * @return The stream.
 */
inline std::ostream& operator<<(std::ostream& stream, const traffic_step& printed)
{
    return stream << to_name(printed.kind) << '(' << printed.first << ',' << printed.second << ')';
}

/**
 * @brief Simulates entry nodes, targets with their nodes, and a network that loses and delays messages and
 * breaks connections, on a test clock.
 *
 * The modules under test make the decisions. This class delivers the messages and checks the invariants.
 */
class traffic_world {
public:
    /*! @brief Called with the result of each check. `rule` describes the checked invariant. */
    using checker = std::function<void(bool holds, const char* rule)>;

    /**
     * @brief Constructs idle nodes and a network without faults.
     * @param seed Seed of the network and of the random choices.
     * @param check Receives the result of each check.
     */
    traffic_world(std::uint64_t seed, checker check);

    /**
     * @brief Applies one step.
     * @param next The step.
     */
    void apply(const traffic_step& next);

    /*! @brief Advances the clock until all calls have ended, and checks the final invariants. */
    void finish_all();

private:
    static constexpr std::uint32_t entry_count = 3;
    static constexpr std::uint32_t target_count = 4;
    static constexpr std::uint64_t crashing_fingerprint = 0;
    static constexpr std::uint32_t queue_limit = 4;
    static constexpr std::uint32_t budget_percent = 10;

    struct call {
        std::uint32_t entry{};
        std::uint64_t fingerprint{};
        route_config route{};
        timestamp deadline{};
        std::uint32_t attempts{};
        std::uint32_t executions{};
        std::uint32_t final_responses{};
        verdict effect{verdict::not_run};
        std::vector<std::string> tried_endpoints{};
        /*! @brief Id of the attempt in progress: its index in `attempts` plus 1; 0 if there is none. */
        std::uint64_t open_attempt{};
    };

    struct attempt {
        std::uint64_t call{};
        std::uint32_t target{};
        bool is_isolated_at_entry{};
        bool is_isolated_at_node{};
        bool ran{};
    };

    struct entry_node {
        retry_budget budget{};
        crash_quarantine quarantine{};
        load_table loads{};
        std::uint32_t calls{};
        std::uint32_t retries{};
    };

    struct target_node {
        admission control;
        crash_quarantine quarantine{};
        std::optional<std::uint64_t> isolated_fingerprint{};
        std::uint32_t slots{};
        std::set<std::uint64_t> running{};
        std::uint64_t incarnation{};
        std::uint32_t crashes{};
        bool crashed{};
        bool drained{};
        bool sheds_requests{};
    };

    struct event {
        timestamp due{};
        std::uint64_t sequence{};
        std::function<void()> action{};
        bool operator<(const event& other) const
        {
            return std::tie(other.due, other.sequence) < std::tie(this->due, this->sequence);
        }
    };

    void start_call(const traffic_step& next);
    void start_attempt(std::uint64_t call_id);
    void end_call(std::uint64_t call_id);
    void abandon_call(std::uint64_t call_id);
    void close_attempt(std::uint64_t attempt_id);
    void receive_at_entry(std::uint64_t attempt_id, const hop_observation& observation);
    void send_to_node(std::uint64_t attempt_id);
    void receive_at_node(std::uint64_t attempt_id);
    void start_at_target(std::uint64_t attempt_id);
    void end_at_target(std::uint64_t attempt_id, const hop_observation& observation);
    void respond(std::uint64_t attempt_id, std::uint16_t status, std::optional<verdict> reported);
    void start_all(const std::vector<request_id>& started);
    void reject_all(const std::vector<request_id>& rejected);
    void end_isolation(std::uint64_t attempt_id);
    void crash_target(std::uint32_t target, std::uint64_t incarnation);
    void cancel(const traffic_step& next);
    void drain(target_node& node, bool announced);
    void replace(target_node& node);
    void announce(target_node& node, std::uint32_t slots);
    void gossip();
    void tick();
    void advance_to(timestamp until);
    void check_all() const;

    void schedule(microseconds delay, std::function<void()> action)
    {
        this->events.push({this->now + delay, this->next_sequence++, std::move(action)});
    }

    [[nodiscard]] call& call_of(std::uint64_t attempt_id)
    {
        return this->calls[this->attempts[attempt_id - 1].call];
    }

    [[nodiscard]] target_node& node_of(std::uint64_t attempt_id)
    {
        return this->targets[this->attempts[attempt_id - 1].target];
    }

    [[nodiscard]] const std::string& key_of(std::uint64_t attempt_id) const
    {
        return this->service.endpoints[this->attempts[attempt_id - 1].target].key;
    }

    [[nodiscard]] static admission_settings settings_of(const target_node& node)
    {
        return {.slots = node.slots, .queue_limit = queue_limit, .slow_start = milliseconds{100}};
    }

    [[nodiscard]] bool draw(std::uint32_t percent)
    {
        return std::uniform_int_distribution<std::uint32_t>{0, 99}(this->rng) < percent;
    }

    [[nodiscard]] microseconds draw_delay()
    {
        return microseconds{500} + full_jitter(this->rng, milliseconds{10});
    }

    checker check;
    random_engine rng;
    timestamp now{milliseconds{1}};
    routed_service service{};
    std::array<entry_node, entry_count> entries{};
    std::vector<target_node> targets{};
    std::deque<call> calls{};
    std::deque<attempt> attempts{};
    std::priority_queue<event> events{};
    std::uint64_t next_sequence{};
    std::uint32_t loss_percent{};
    std::uint32_t broken_connection_percent{};
    std::uint32_t connect_refusal_percent{};
};

} // namespace kumquatdrift

#include "support/traffic_world_steps.hpp"

#endif
