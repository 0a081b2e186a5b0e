#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include <kumquatdrift/traffic/quarantine.hpp>

namespace kumquatdrift {
namespace {

constexpr std::uint64_t crashing = 1;
constexpr std::uint64_t harmless = 2;

class quarantine : public testing::Test {
protected:
    [[nodiscard]] std::string check(std::uint64_t fingerprint, const std::string& target)
    {
        return std::string{to_name(this->suspects.check(fingerprint, target, this->now).action)};
    }

    void crash(const std::string& target, const std::vector<std::uint64_t>& in_flight)
    {
        this->now += milliseconds{300};
        this->suspects.on_target_crashed(in_flight, target, this->now);
    }

    crash_quarantine suspects{};
    timestamp now{milliseconds{20}};
};

// Guards against a request that crashes one target after another.
TEST_F(quarantine, second_crash_with_the_same_request_quarantines_it)
{
    EXPECT_EQ(this->check(crashing, "a"), "run");
    this->crash("a", {crashing});
    EXPECT_EQ(this->check(crashing, "b"), "run_alone");
    EXPECT_EQ(this->check(crashing, "c"), "refuse_busy");
    this->crash("b", {crashing});
    EXPECT_EQ(this->check(crashing, "c"), "refuse");
    EXPECT_EQ(this->suspects.check(crashing, "c", this->now).retry_after, milliseconds{60'000});
}

// Guards against an entry node that retries a call on a third target because it records no crashes, only the
// nodes of the targets do.
TEST_F(quarantine, two_reported_crashes_quarantine_the_request_at_the_entry_node)
{
    EXPECT_EQ(this->suspects.quarantined_for(crashing, this->now), std::nullopt);
    this->suspects.on_crash_reported(crashing, "a", this->now);
    EXPECT_EQ(this->suspects.quarantined_for(crashing, this->now), std::nullopt);
    this->suspects.on_crash_reported(crashing, "b", this->now + milliseconds{5});
    EXPECT_TRUE(this->suspects.quarantined_for(crashing, this->now + milliseconds{6}));
}

// Guards against one crash that counts twice when the advisory of the target's node precedes its response.
TEST_F(quarantine, advisory_and_response_about_one_crash_count_once)
{
    this->suspects.on_advisory({harmless, milliseconds{0}, {{"a", 1, 0}}}, this->now);
    this->suspects.on_crash_reported(harmless, "a", this->now + milliseconds{900});
    EXPECT_EQ(this->suspects.quarantined_for(harmless, this->now + milliseconds{901}), std::nullopt);
}

// Guards against the rejection of all requests that were in flight together with the crashing one.
TEST_F(quarantine, requests_in_flight_at_one_crash_stay_allowed)
{
    this->crash("a", {crashing, harmless, 3, 4});
    for (const std::uint64_t fingerprint : {harmless, std::uint64_t{3}, std::uint64_t{4}}) {
        EXPECT_EQ(this->check(fingerprint, "t" + std::to_string(fingerprint)), "run_alone");
        this->suspects.on_success(fingerprint, "t" + std::to_string(fingerprint), this->now);
        EXPECT_EQ(this->check(fingerprint, "a"), "run");
    }
    EXPECT_EQ(this->check(crashing, "b"), "run_alone");
}

// Guards against the quarantine of a frequent request that was in flight at many crashes.
TEST_F(quarantine, success_between_two_crashes_clears_a_request)
{
    for (int round = 0; round < 10; ++round) {
        this->crash("a", {harmless});
        EXPECT_EQ(this->check(harmless, "b"), "run_alone");
        this->suspects.on_success(harmless, "b", this->now);
        this->crash("b", {harmless});
        EXPECT_EQ(this->check(harmless, "c"), "run_alone");
        this->suspects.on_success(harmless, "c", this->now);
    }
    EXPECT_EQ(this->check(harmless, "a"), "run");
}

// Guards against the quarantine of all requests that were retried together and were in flight with the
// crashing one twice.
TEST_F(quarantine, suspects_of_the_same_crashes_are_told_apart_by_the_third)
{
    this->crash("a", {crashing, harmless});
    this->crash("b", {crashing, harmless});
    EXPECT_EQ(this->check(crashing, "c"), "run_alone");
    EXPECT_EQ(this->check(harmless, "c"), "refuse_busy");
    EXPECT_EQ(this->check(harmless, "d"), "run_alone");
    this->crash("c", {crashing, 9});
    EXPECT_EQ(this->check(crashing, "d"), "refuse");
    EXPECT_EQ(this->check(9, "e"), "run_alone");
    this->suspects.on_success(harmless, "d", this->now);
    EXPECT_EQ(this->check(harmless, "d"), "run");
}

// Guards against a crashing request that stays allowed because a harmless one was in flight at the same
// crashes.
TEST_F(quarantine, success_of_the_other_suspect_resolves_the_ambiguity)
{
    this->crash("a", {crashing, harmless});
    this->crash("b", {crashing, harmless});
    this->suspects.on_success(harmless, "c", this->now);
    EXPECT_EQ(this->check(crashing, "c"), "refuse");
}

// Guards against one crash that counts twice because two requests or two nodes report it.
TEST_F(quarantine, reports_of_one_crash_count_once)
{
    this->crash("a", {crashing});
    this->suspects.on_target_crashed(std::vector{crashing}, "a", this->now + milliseconds{20});
    this->suspects.on_advisory({crashing, milliseconds{10}, {{"a", 1, 0}}}, this->now + milliseconds{30});
    EXPECT_EQ(this->check(crashing, "b"), "run_alone");
    crash_quarantine other{};
    other.on_advisory({crashing, milliseconds{10}, {{"a", 1, 0}}}, this->now);
    other.on_target_crashed(std::vector{crashing}, "a", this->now + milliseconds{20});
    EXPECT_EQ(other.check(crashing, "b", this->now).action, quarantine_action::run_alone);
}

// Guards against a quarantine that never ends, and against one whose length does not grow with the next
// crash.
TEST_F(quarantine, after_a_quarantine_one_attempt_decides)
{
    this->crash("a", {crashing});
    this->crash("b", {crashing});
    this->now += milliseconds{60'000};
    EXPECT_EQ(this->check(crashing, "c"), "run_alone");
    this->crash("c", {crashing});
    EXPECT_EQ(this->suspects.check(crashing, "d", this->now).retry_after, milliseconds{120'000});
    this->now += milliseconds{120'000};
    EXPECT_EQ(this->check(crashing, "d"), "run_alone");
    this->suspects.on_success(crashing, "d", this->now);
    EXPECT_EQ(this->check(crashing, "d"), "run");
}

// Guards against a target that stays reserved after the call of its suspect was cancelled.
TEST_F(quarantine, end_without_evidence_releases_the_target_and_keeps_the_suspect)
{
    this->crash("a", {crashing});
    EXPECT_EQ(this->check(crashing, "b"), "run_alone");
    this->suspects.on_inconclusive_end(crashing, "b");
    EXPECT_EQ(this->check(crashing, "c"), "run_alone");
}

// Guards against decisions that depend on the order in which advisories arrive.
TEST_F(quarantine, advisories_lead_to_the_same_decision_in_any_order)
{
    const std::vector<crash_advisory> known{
        {crashing, milliseconds{10}, {{"a", 1, 0}, {"b", 1, 0}, {"c", 1, 0}}},
        {harmless, milliseconds{10}, {{"a", 1, 0}, {"b", 1, 0}}},
        {3, milliseconds{10}, {{"a", 1, 1}, {"b", 1, 1}, {"c", 1, 1}}},
        {4, milliseconds{10}, {{"d", 1, 0}, {"e", 1, 0}}},
        {5, milliseconds{10}, {{"d", 1, 0}, {"e", 1, 0}}},
    };
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    do {
        crash_quarantine fresh{};
        for (const auto index : order) {
            fresh.on_advisory(known[index], this->now);
            fresh.on_advisory(known[index], this->now);
        }
        EXPECT_EQ(fresh.check(crashing, "z", this->now).action, quarantine_action::reject);
        EXPECT_EQ(fresh.check(harmless, "y", this->now).action, quarantine_action::run_alone);
        EXPECT_EQ(fresh.check(3, "x", this->now).action, quarantine_action::run);
        EXPECT_EQ(fresh.check(4, "w", this->now).action, quarantine_action::run_alone);
        EXPECT_EQ(fresh.check(5, "v", this->now).action, quarantine_action::run_alone);
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against memory that grows with the number of requests in flight at crashes.
TEST_F(quarantine, number_of_suspects_is_bounded)
{
    this->crash("a", {crashing});
    this->crash("b", {crashing});
    for (std::uint64_t other = 100; other < 10'000; ++other) {
        this->crash("t" + std::to_string(other), {other});
    }
    EXPECT_EQ(this->suspects.size(), quarantine_settings{}.max_fingerprints);
    this->now += milliseconds{300'000};
    this->suspects.expire(this->now);
    EXPECT_EQ(this->suspects.size(), 0U);
}

// Guards against suspects that nodes restore from each other forever, because advisories take time to arrive.
TEST_F(quarantine, suspect_without_new_evidence_expires_at_all_nodes)
{
    std::vector<crash_quarantine> nodes(3);
    nodes[0].on_target_crashed(std::vector{crashing}, "a", this->now);
    const auto expired_at = this->now + milliseconds{310'000};
    while (this->now < expired_at) {
        for (std::size_t from = 0; from < nodes.size(); ++from) {
            const auto sent = nodes[from].advisories(this->now);
            this->now += milliseconds{50};
            auto& to = nodes[(from + 1) % nodes.size()];
            for (const auto& advisory : sent) {
                to.on_advisory(advisory, this->now);
            }
            to.expire(this->now);
        }
    }
    for (const auto& node : nodes) {
        EXPECT_EQ(node.size(), 0U);
    }
}

// Guards against an expired suspect that is restored by a node where it expires slightly later.
TEST_F(quarantine, old_advisory_adds_no_suspect_but_evidence_to_a_known_one)
{
    const crash_advisory old{crashing, milliseconds{200'000}, {{"a", 1, 0}, {"b", 1, 0}}};
    this->suspects.on_advisory(old, this->now);
    EXPECT_EQ(this->suspects.size(), 0U);
    this->crash("c", {crashing});
    this->suspects.on_advisory(old, this->now);
    EXPECT_EQ(this->check(crashing, "d"), "refuse");
}

// Guards against equal fingerprints of requests whose parts give the same bytes when joined, and against
// hashing of unbounded bodies.
TEST_F(quarantine, fingerprint_separates_the_parts_and_stops_at_64_kb)
{
    const auto of = crash_quarantine::fingerprint;
    EXPECT_NE(of("r", "GET", "/ab", "c"), of("r", "GET", "/a", "bc"));
    EXPECT_NE(of("r", "GET", "/", ""), of("r", "PUT", "/", ""));
    const std::string body(64 * 1024, 'x');
    EXPECT_EQ(of("r", "PUT", "/", body), of("r", "PUT", "/", body + "tail"));
}

// Several entry nodes in front of many targets; a crashing request is retried until it is rejected
// everywhere.
class crashed_targets : public testing::Test {
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
                    to.on_advisory(advisory, this->now);
                }
            }
        }
    }

    // Each node sends up to `copies` at once, and all their targets crash. Returns the number of these
    // targets.
    int round(std::size_t copies, const std::vector<std::uint64_t>& others)
    {
        std::vector<attempt> started;
        for (std::size_t node = 0; node < this->nodes.size(); ++node) {
            for (std::size_t copy = 0; copy < copies; ++copy) {
                const auto target = "t" + std::to_string(this->next_target++);
                if (!this->may_run(node, crashing, target)) {
                    continue;
                }
                started.push_back({node, target, {crashing}});
                for (const auto fingerprint : others) {
                    if (this->may_run(node, fingerprint, target)) {
                        started.back().in_flight.push_back(fingerprint);
                    }
                }
            }
        }
        for (const auto& crashed : started) {
            this->now += milliseconds{300};
            this->nodes[crashed.node].on_target_crashed(crashed.in_flight, crashed.target, this->now);
        }
        return static_cast<int>(started.size());
    }

    [[nodiscard]] int count_crashed_targets(std::size_t node_count, std::size_t copies, bool with_gossip,
                                            const std::vector<std::uint64_t>& others = {})
    {
        this->nodes.assign(node_count, crash_quarantine{});
        int crashed = 0;
        for (int attempts = 0; attempts < 20; ++attempts) {
            crashed += this->round(copies, others);
            if (with_gossip) {
                this->gossip();
            }
        }
        return crashed;
    }

    std::vector<crash_quarantine> nodes{};
    timestamp now{milliseconds{20}};
    std::size_t next_target{};
};

// Guards the documented bound for one node: max(2, c), and one more if a harmless request was in flight at
// all crashes of two or more copies.
TEST_F(crashed_targets, one_node_has_two_targets_crashed_or_the_copies_in_flight)
{
    EXPECT_EQ(this->count_crashed_targets(1, 1, false), 2);
    EXPECT_EQ(this->count_crashed_targets(1, 2, false), 2);
    EXPECT_EQ(this->count_crashed_targets(1, 5, false), 5);
    EXPECT_EQ(this->count_crashed_targets(1, 1, false, {harmless}), 2);
    EXPECT_EQ(this->count_crashed_targets(1, 2, false, {harmless}), 3);
    EXPECT_EQ(this->count_crashed_targets(1, 5, false, {harmless}), 6);
}

// Guards the documented bound for several nodes, with and without advisories.
TEST_F(crashed_targets, nodes_that_share_their_suspects_have_fewer_targets_crashed)
{
    for (const std::size_t count : {2U, 4U, 8U}) {
        EXPECT_EQ(this->count_crashed_targets(count, 1, false), static_cast<int>(2 * count));
        EXPECT_EQ(this->count_crashed_targets(count, 1, true), static_cast<int>(count));
    }
}

// Guards the documented bound for nodes that send one after another: each knows of the earlier crashes.
TEST_F(crashed_targets, advisories_before_each_attempt_limit_all_nodes_to_two)
{
    this->nodes.assign(8, crash_quarantine{});
    int crashed = 0;
    for (int attempts = 0; attempts < 40; ++attempts) {
        const auto node = static_cast<std::size_t>(attempts) % this->nodes.size();
        const auto target = "t" + std::to_string(attempts);
        this->now += milliseconds{300};
        if (this->may_run(node, crashing, target)) {
            this->nodes[node].on_target_crashed(std::vector{crashing}, target, this->now);
            ++crashed;
        }
        this->gossip();
    }
    EXPECT_EQ(crashed, 2);
}

// Guards the documented bound of 1 + n when the first crash is known to all nodes and the others are not.
TEST_F(crashed_targets, first_crash_known_to_all_leaves_one_attempt_per_node)
{
    this->nodes.assign(4, crash_quarantine{});
    this->nodes[0].on_target_crashed(std::vector{crashing}, "first", this->now);
    this->gossip();
    int crashed = 1;
    for (int attempts = 0; attempts < 5; ++attempts) {
        crashed += this->round(2, {});
    }
    EXPECT_EQ(crashed, 1 + 4);
}

} // namespace
} // namespace kumquatdrift
