#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include <kumquatdrift/traffic/quarantine.hpp>

namespace kumquatdrift {
namespace {

constexpr std::uint64_t killer = 1;
constexpr std::uint64_t innocent = 2;

class quarantine : public testing::Test {
protected:
    [[nodiscard]] std::string check(std::uint64_t fingerprint, const std::string& target)
    {
        return std::string{to_name(this->suspects.check(fingerprint, target, this->now).action)};
    }

    void die(const std::string& target, const std::vector<std::uint64_t>& in_flight)
    {
        this->now += milliseconds{300};
        this->suspects.on_target_died(in_flight, target, this->now);
    }

    crash_quarantine suspects{};
    timestamp now{milliseconds{20}};
};

// Guards against a request that crashes one target after the other.
TEST_F(quarantine, second_death_with_the_same_request_quarantines_it)
{
    EXPECT_EQ(this->check(killer, "a"), "run");
    this->die("a", {killer});
    EXPECT_EQ(this->check(killer, "b"), "run_alone");
    EXPECT_EQ(this->check(killer, "c"), "refuse_busy");
    this->die("b", {killer});
    EXPECT_EQ(this->check(killer, "c"), "refuse");
    EXPECT_EQ(this->suspects.check(killer, "c", this->now).retry_after, milliseconds{60'000});
}

// Guards against a rejection of everything that ran beside the request that kills.
TEST_F(quarantine, requests_beside_one_death_stay_allowed)
{
    this->die("a", {killer, innocent, 3, 4});
    for (const std::uint64_t fingerprint : {innocent, std::uint64_t{3}, std::uint64_t{4}}) {
        EXPECT_EQ(this->check(fingerprint, "t" + std::to_string(fingerprint)), "run_alone");
        this->suspects.on_success(fingerprint, "t" + std::to_string(fingerprint), this->now);
        EXPECT_EQ(this->check(fingerprint, "a"), "run");
    }
    EXPECT_EQ(this->check(killer, "b"), "run_alone");
}

// Guards against a quarantine of a frequent request that was in flight at many deaths.
TEST_F(quarantine, success_between_two_deaths_clears_a_request)
{
    for (int round = 0; round < 10; ++round) {
        this->die("a", {innocent});
        EXPECT_EQ(this->check(innocent, "b"), "run_alone");
        this->suspects.on_success(innocent, "b", this->now);
        this->die("b", {innocent});
        EXPECT_EQ(this->check(innocent, "c"), "run_alone");
        this->suspects.on_success(innocent, "c", this->now);
    }
    EXPECT_EQ(this->check(innocent, "a"), "run");
}

// Guards against a quarantine of all requests that were sent again together and met the killer twice.
TEST_F(quarantine, suspects_of_the_same_deaths_are_told_apart_by_the_third)
{
    this->die("a", {killer, innocent});
    this->die("b", {killer, innocent});
    EXPECT_EQ(this->check(killer, "c"), "run_alone");
    EXPECT_EQ(this->check(innocent, "c"), "refuse_busy");
    EXPECT_EQ(this->check(innocent, "d"), "run_alone");
    this->die("c", {killer, 9});
    EXPECT_EQ(this->check(killer, "d"), "refuse");
    EXPECT_EQ(this->check(9, "e"), "run_alone");
    this->suspects.on_success(innocent, "d", this->now);
    EXPECT_EQ(this->check(innocent, "d"), "run");
}

// Guards against a killer that stays allowed because an innocent request was in flight at the same deaths.
TEST_F(quarantine, success_of_the_other_suspect_resolves_the_doubt)
{
    this->die("a", {killer, innocent});
    this->die("b", {killer, innocent});
    this->suspects.on_success(innocent, "c", this->now);
    EXPECT_EQ(this->check(killer, "c"), "refuse");
}

// Guards against one death that counts twice because two requests or two nodes report it.
TEST_F(quarantine, reports_of_one_death_count_once)
{
    this->die("a", {killer});
    this->suspects.on_target_died(std::vector{killer}, "a", this->now + milliseconds{20});
    this->suspects.on_remote({killer, milliseconds{10}, {{"a", 1, 0}}}, this->now + milliseconds{30});
    EXPECT_EQ(this->check(killer, "b"), "run_alone");
    crash_quarantine other{};
    other.on_remote({killer, milliseconds{10}, {{"a", 1, 0}}}, this->now);
    other.on_target_died(std::vector{killer}, "a", this->now + milliseconds{20});
    EXPECT_EQ(other.check(killer, "b", this->now).action, quarantine_action::run_alone);
}

// Guards against a quarantine that never ends, and against one that starts from nothing each time.
TEST_F(quarantine, after_its_end_one_run_decides)
{
    this->die("a", {killer});
    this->die("b", {killer});
    this->now += milliseconds{60'000};
    EXPECT_EQ(this->check(killer, "c"), "run_alone");
    this->die("c", {killer});
    EXPECT_EQ(this->suspects.check(killer, "d", this->now).retry_after, milliseconds{120'000});
    this->now += milliseconds{120'000};
    EXPECT_EQ(this->check(killer, "d"), "run_alone");
    this->suspects.on_success(killer, "d", this->now);
    EXPECT_EQ(this->check(killer, "d"), "run");
}

// Guards against a suspect that blocks its target after a call that was cancelled.
TEST_F(quarantine, end_without_result_frees_the_target_and_keeps_the_suspicion)
{
    this->die("a", {killer});
    EXPECT_EQ(this->check(killer, "b"), "run_alone");
    this->suspects.on_ended(killer, "b");
    EXPECT_EQ(this->check(killer, "c"), "run_alone");
}

// Guards against evidence that depends on the order in which gossip arrives.
TEST_F(quarantine, advisories_lead_to_the_same_decision_in_any_order)
{
    const std::vector<crash_advisory> known{
        {killer, milliseconds{10}, {{"a", 1, 0}, {"b", 1, 0}, {"c", 1, 0}}},
        {innocent, milliseconds{10}, {{"a", 1, 0}, {"b", 1, 0}}},
        {3, milliseconds{10}, {{"a", 1, 1}, {"b", 1, 1}, {"c", 1, 1}}},
        {4, milliseconds{10}, {{"d", 1, 0}, {"e", 1, 0}}},
        {5, milliseconds{10}, {{"d", 1, 0}, {"e", 1, 0}}},
    };
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    do {
        crash_quarantine fresh{};
        for (const auto index : order) {
            fresh.on_remote(known[index], this->now);
            fresh.on_remote(known[index], this->now);
        }
        EXPECT_EQ(fresh.check(killer, "z", this->now).action, quarantine_action::refuse);
        EXPECT_EQ(fresh.check(innocent, "y", this->now).action, quarantine_action::run_alone);
        EXPECT_EQ(fresh.check(3, "x", this->now).action, quarantine_action::run);
        EXPECT_EQ(fresh.check(4, "w", this->now).action, quarantine_action::run_alone);
        EXPECT_EQ(fresh.check(5, "v", this->now).action, quarantine_action::run_alone);
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against memory that grows with the number of requests in flight at deaths.
TEST_F(quarantine, memory_is_bounded_and_keeps_the_killer)
{
    this->die("a", {killer});
    this->die("b", {killer});
    for (std::uint64_t other = 100; other < 10'000; ++other) {
        this->die("t" + std::to_string(other), {other});
    }
    EXPECT_EQ(this->suspects.size(), quarantine_settings{}.max_fingerprints);
    this->now += milliseconds{300'000};
    this->suspects.expire(this->now);
    EXPECT_EQ(this->suspects.size(), 0U);
}

// Guards against nodes that remind each other of a suspect for ever, because each advisory takes some time.
TEST_F(quarantine, suspect_without_news_is_forgotten_by_all_nodes)
{
    std::vector<crash_quarantine> nodes(3);
    nodes[0].on_target_died(std::vector{killer}, "a", this->now);
    const auto forgotten_at = this->now + milliseconds{310'000};
    while (this->now < forgotten_at) {
        for (std::size_t from = 0; from < nodes.size(); ++from) {
            const auto sent = nodes[from].advisories(this->now);
            this->now += milliseconds{50};
            auto& to = nodes[(from + 1) % nodes.size()];
            for (const auto& advisory : sent) {
                to.on_remote(advisory, this->now);
            }
            to.expire(this->now);
        }
    }
    for (const auto& node : nodes) {
        EXPECT_EQ(node.size(), 0U);
    }
}

// Guards against a record that returns after its end from a node which forgets it a little later.
TEST_F(quarantine, old_advisory_adds_no_record_but_news_to_a_known_one)
{
    const crash_advisory old{killer, milliseconds{200'000}, {{"a", 1, 0}, {"b", 1, 0}}};
    this->suspects.on_remote(old, this->now);
    EXPECT_EQ(this->suspects.size(), 0U);
    this->die("c", {killer});
    this->suspects.on_remote(old, this->now);
    EXPECT_EQ(this->check(killer, "d"), "refuse");
}

// Guards against fingerprints that mix the parts of a request up, or that hash unbounded bodies.
TEST_F(quarantine, fingerprint_separates_the_parts_and_stops_at_64_kb)
{
    const auto of = crash_quarantine::fingerprint;
    EXPECT_NE(of("r", "GET", "/ab", "c"), of("r", "GET", "/a", "bc"));
    EXPECT_NE(of("r", "GET", "/", ""), of("r", "PUT", "/", ""));
    const std::string body(64 * 1024, 'x');
    EXPECT_EQ(of("r", "PUT", "/", body), of("r", "PUT", "/", body + "tail"));
}

// Several entry nodes in front of many targets; a killer is sent again until it is refused everywhere.
class targets_lost : public testing::Test {
protected:
    struct attempt {
        std::size_t node{};
        std::string target{};
        std::vector<std::uint64_t> in_flight{};
    };

    [[nodiscard]] bool may_run(std::size_t node, std::uint64_t fingerprint, const std::string& target)
    {
        const auto action = this->nodes[node].check(fingerprint, target, this->now).action;
        return action == quarantine_action::run || action == quarantine_action::run_alone;
    }

    void gossip()
    {
        for (const auto& from : this->nodes) {
            for (const auto& advisory : from.advisories(this->now)) {
                for (auto& to : this->nodes) {
                    to.on_remote(advisory, this->now);
                }
            }
        }
    }

    // Each node sends up to `copies` at once; then all of them die. Returns the number of targets lost.
    int round(std::size_t copies, const std::vector<std::uint64_t>& beside)
    {
        std::vector<attempt> started;
        for (std::size_t node = 0; node < this->nodes.size(); ++node) {
            for (std::size_t copy = 0; copy < copies; ++copy) {
                const auto target = "t" + std::to_string(this->next_target++);
                if (!this->may_run(node, killer, target)) {
                    continue;
                }
                started.push_back({node, target, {killer}});
                for (const auto fingerprint : beside) {
                    if (this->may_run(node, fingerprint, target)) {
                        started.back().in_flight.push_back(fingerprint);
                    }
                }
            }
        }
        for (const auto& lost : started) {
            this->now += milliseconds{300};
            this->nodes[lost.node].on_target_died(lost.in_flight, lost.target, this->now);
        }
        return static_cast<int>(started.size());
    }

    [[nodiscard]] int lose(std::size_t node_count, std::size_t copies, bool with_gossip,
                           const std::vector<std::uint64_t>& beside = {})
    {
        this->nodes.assign(node_count, crash_quarantine{});
        int lost = 0;
        for (int attempts = 0; attempts < 20; ++attempts) {
            lost += this->round(copies, beside);
            if (with_gossip) {
                this->gossip();
            }
        }
        return lost;
    }

    std::vector<crash_quarantine> nodes{};
    timestamp now{milliseconds{20}};
    std::size_t next_target{};
};

// Guards the stated bound for one node: max(2, c), and one more if an innocent request
// was in flight at all deaths of two or more copies.
TEST_F(targets_lost, one_node_loses_two_targets_or_the_copies_in_flight)
{
    EXPECT_EQ(this->lose(1, 1, false), 2);
    EXPECT_EQ(this->lose(1, 2, false), 2);
    EXPECT_EQ(this->lose(1, 5, false), 5);
    EXPECT_EQ(this->lose(1, 1, false, {innocent}), 2);
    EXPECT_EQ(this->lose(1, 2, false, {innocent}), 3);
    EXPECT_EQ(this->lose(1, 5, false, {innocent}), 6);
}

// Guards the stated bound for several nodes, with and without advisories.
TEST_F(targets_lost, nodes_that_share_their_suspects_lose_fewer)
{
    for (const std::size_t count : {2U, 4U, 8U}) {
        EXPECT_EQ(this->lose(count, 1, false), static_cast<int>(2 * count));
        EXPECT_EQ(this->lose(count, 1, true), static_cast<int>(count));
    }
}

// Guards the stated bound for nodes that try one after the other: each knows the deaths before.
TEST_F(targets_lost, advisories_before_each_attempt_limit_the_mesh_to_two)
{
    this->nodes.assign(8, crash_quarantine{});
    int lost = 0;
    for (int attempts = 0; attempts < 40; ++attempts) {
        const auto node = static_cast<std::size_t>(attempts) % this->nodes.size();
        const auto target = "t" + std::to_string(attempts);
        this->now += milliseconds{300};
        if (this->may_run(node, killer, target)) {
            this->nodes[node].on_target_died(std::vector{killer}, target, this->now);
            ++lost;
        }
        this->gossip();
    }
    EXPECT_EQ(lost, 2);
}

// Guards the stated bound of 1 + n when the first death is known to all nodes and the others are not.
TEST_F(targets_lost, first_death_known_to_all_leaves_one_run_per_node)
{
    this->nodes.assign(4, crash_quarantine{});
    this->nodes[0].on_target_died(std::vector{killer}, "first", this->now);
    this->gossip();
    int lost = 1;
    for (int attempts = 0; attempts < 5; ++attempts) {
        lost += this->round(2, {});
    }
    EXPECT_EQ(lost, 1 + 4);
}

} // namespace
} // namespace kumquatdrift
