#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <kumquatdrift/distribution/sources.hpp>

namespace kumquatdrift {
namespace {

class sources_test : public testing::Test {
protected:
    void follow()
    {
        this->state = make_source_state(this->settings, this->now, this->rng);
        this->state.phase = start_phase::following;
    }

    source_plan plan()
    {
        return plan_sources(this->state, this->candidates, this->now, this->rng);
    }

    void heartbeat(const std::string& node, milliseconds age = milliseconds{0})
    {
        on_watch_event(this->state, node, age, this->now);
    }

    /*! @brief Runs plans for a time and counts the reads of the log, each of which fails or succeeds at once.
     */
    int reads(milliseconds time, bool succeed)
    {
        int count = 0;
        for (const auto end = this->now + time; this->now < end; this->now += milliseconds{100}) {
            if (this->plan().read_log) {
                ++count;
                on_log_read(this->state, succeed, succeed, this->now, this->rng);
            }
        }
        return count;
    }

    source_settings settings{};
    timestamp now{milliseconds{1'000'000}};
    random_engine rng{1};
    source_candidates candidates{false, {"r1", "r2", "r3"}, {"x1", "x2"}};
    source_state state{};
};

// Guards against a relay that does not read the log, and against streams that it does not need.
TEST_F(sources_test, relay_reads_the_log_by_long_poll_and_watches_nobody)
{
    this->candidates.is_relay = true;
    this->follow();
    this->now += this->settings.start_jitter;
    const auto plan = this->plan();
    EXPECT_TRUE(plan.read_log);
    EXPECT_EQ(plan.wait, this->settings.long_poll);
    EXPECT_TRUE(plan.watch.empty());
}

// Guards against a relay and its data centre staying behind while only their own path to the log is broken.
TEST_F(sources_test, relay_without_the_log_watches_a_local_and_a_remote_relay_and_keeps_trying)
{
    this->candidates.is_relay = true;
    this->follow();
    EXPECT_GT(this->reads(milliseconds{10'000}, false), 1);
    EXPECT_EQ(this->plan().watch, (std::vector<std::string>{"r1", "x1"}));
    this->heartbeat("x1");
    EXPECT_EQ(this->plan().source, config_source::remote_relay);
    on_log_read(this->state, true, true, this->now, this->rng);
    EXPECT_TRUE(this->plan().watch.empty());
    EXPECT_EQ(this->plan().source, config_source::log);
}

// Guards against a log that every node reads in the steady state.
TEST_F(sources_test, other_node_watches_two_parents_and_does_not_read_the_log)
{
    this->follow();
    for (int index = 0; index < 60; ++index) {
        const auto plan = this->plan();
        EXPECT_EQ(plan.watch, (std::vector<std::string>{"r1", "r2"}));
        EXPECT_FALSE(plan.read_log);
        this->heartbeat("r1");
        this->heartbeat("r2");
        this->now += milliseconds{1'000};
    }
    EXPECT_EQ(this->plan().source, config_source::parents);
}

// Guards against a node that keeps a parent which has died or is paused.
TEST_F(sources_test, silent_parent_is_replaced_by_the_next_relay)
{
    this->follow();
    (void)this->plan();
    for (int index = 0; index < 8; ++index) {
        this->now += milliseconds{1'000};
        this->heartbeat("r1");
        (void)this->plan();
    }
    EXPECT_EQ(this->plan().watch, (std::vector<std::string>{"r1", "r3"}));
}

// Guards against nodes that all read the log in the same moment when their parents fall silent together.
TEST_F(sources_test, fallback_to_the_log_is_spread_over_the_jitter_and_limited_in_rate)
{
    std::map<std::int64_t, int> per_second;
    for (int index = 0; index < 1'000; ++index) {
        this->now = timestamp{milliseconds{1'000'000}};
        this->follow();
        const auto start = this->now;
        while (!this->plan().read_log) {
            this->now += milliseconds{100};
        }
        ++per_second[(this->now - start) / milliseconds{1'000}];
    }
    EXPECT_GE(per_second.begin()->first, 6);
    for (const auto& [second, count] : per_second) {
        EXPECT_LE(count, 150) << "second " << second;
    }
    // Half a read a second, whether or not the log answers.
    EXPECT_LE(this->reads(milliseconds{60'000}, true), 31);
}

// Guards against a node that trusts parents which answer but are cut off from the log themselves.
TEST_F(sources_test, parents_that_are_not_current_count_as_silent)
{
    this->follow();
    int reads = 0;
    for (int index = 0; index < 200; ++index) {
        reads += this->plan().read_log ? 1 : 0;
        this->now += milliseconds{100};
        this->heartbeat("r1", milliseconds{60'000});
        this->heartbeat("r2", milliseconds{60'000});
    }
    EXPECT_GT(reads, 0);
    EXPECT_EQ(this->plan().source, config_source::none);
    this->heartbeat("r1");
    EXPECT_FALSE(this->plan().read_log);
    EXPECT_EQ(this->plan().source, config_source::parents);
}

// Guards against a reconnect storm on the parent that has just refused.
TEST_F(sources_test, redirect_moves_the_node_to_the_named_parent_and_delays_the_return)
{
    this->follow();
    (void)this->plan();
    on_watch_end(this->state, "r1", milliseconds{8'000}, "r3", this->now, this->rng);
    EXPECT_EQ(this->plan().watch, (std::vector<std::string>{"r3", "r2"}));
    this->heartbeat("r2");
    this->heartbeat("r3");
    this->now += milliseconds{5'000};
    EXPECT_EQ(this->plan().watch, (std::vector<std::string>{"r3", "r2"}));
    on_watch_end(this->state, "r3", milliseconds{0}, "", this->now, this->rng);
    on_watch_end(this->state, "r2", milliseconds{0}, "", this->now, this->rng);
    EXPECT_TRUE(this->plan().watch.empty());
}

// Guards against a node that follows its peers although the log answers.
TEST_F(sources_test, starting_node_is_done_once_the_log_was_read_to_its_end)
{
    this->state = make_source_state(this->settings, this->now, this->rng);
    this->now += this->settings.start_jitter;
    auto plan = this->plan();
    EXPECT_TRUE(plan.read_log);
    EXPECT_FALSE(plan.started);
    on_log_read(this->state, true, false, this->now, this->rng);
    EXPECT_FALSE(this->plan().started);
    on_log_read(this->state, true, true, this->now, this->rng);
    EXPECT_TRUE(this->plan().started);
}

// Guards against a start that takes the first answer instead of the highest, or that never ends.
TEST_F(sources_test, starting_node_without_the_log_asks_its_peers_once_and_waits_a_bounded_time)
{
    this->candidates = {true, {}, {}};
    this->state = make_source_state(this->settings, this->now, this->rng);
    int asked = 0;
    const auto start = this->now;
    while (!this->plan().started) {
        on_log_read(this->state, false, false, this->now, this->rng);
        this->now += milliseconds{50};
        const auto plan = this->plan();
        asked += plan.ask_peers ? 1 : 0;
        ASSERT_LT(this->now - start, milliseconds{20'000});
    }
    EXPECT_EQ(asked, 1);
    EXPECT_GE(this->now - start, this->settings.start_log_limit + this->settings.start_peer_limit);
}

// Guards against a stale parent that takes a restarted node back behind the version that it held.
TEST_F(sources_test, start_is_ended_only_by_a_parent_that_was_current_after_it)
{
    this->state = make_source_state(this->settings, this->now, this->rng);
    (void)this->plan();
    this->heartbeat("r1", milliseconds{60'000});
    EXPECT_FALSE(this->plan().started);
    this->now += milliseconds{1'000};
    // Current a second before the start: the node may have held a later version.
    this->heartbeat("r2", milliseconds{2'000});
    EXPECT_FALSE(this->plan().started);
    this->heartbeat("r2", milliseconds{500});
    EXPECT_TRUE(this->plan().started);
}

// Guards against a baseline that reads more or less often than its interval says.
TEST_F(sources_test, log_poll_reads_at_the_interval_and_watches_nobody)
{
    this->settings.mode = source_mode::log_poll;
    this->follow();
    const auto reads = this->reads(milliseconds{60'000}, true);
    EXPECT_GE(reads, 28);
    EXPECT_LE(reads, 31);
    EXPECT_TRUE(this->plan().watch.empty());
}

class parent_test : public testing::Test {
protected:
    parent_limits limits{};
    timestamp now{};
    random_engine rng{1};
};

// Guards against a parent that is overrun when all children reconnect at once.
TEST_F(parent_test, reconnect_storm_is_admitted_at_the_rate_and_all_children_get_in)
{
    auto state = make_parent_state(this->limits);
    constexpr std::size_t snapshot_bytes = 20'000;
    std::vector<timestamp> waiting(200, this->now);
    std::size_t open = 0;
    std::vector<std::size_t> admitted_in(60, 0);
    int attempts = 0;
    while (open < 200 && this->now < timestamp{milliseconds{60'000}}) {
        for (auto& next : waiting) {
            if (next > this->now) {
                continue;
            }
            ++attempts;
            const auto answer = admit_stream(state, open, snapshot_bytes, this->now, this->rng);
            EXPECT_LE(answer.retry_after, this->limits.max_retry_after);
            open += answer.admitted ? 1 : 0;
            admitted_in[static_cast<std::size_t>(this->now.time_since_epoch() / milliseconds{1'000})] +=
                answer.admitted ? 1 : 0;
            next = answer.admitted ? timestamp::max() : this->now + answer.retry_after;
        }
        this->now += milliseconds{10};
    }
    EXPECT_EQ(open, 200U);
    std::size_t admitted = 0;
    for (std::size_t second = 0; second < admitted_in.size(); ++second) {
        admitted += admitted_in[second];
        EXPECT_LE(admitted, 40 + 20 * (second + 1)) << "second " << second;
    }
    EXPECT_LT(this->now, timestamp{milliseconds{20'000}});
    EXPECT_LT(attempts, 1'000);
}

// Guards against more streams than a parent has memory for.
TEST_F(parent_test, stream_beyond_the_limit_is_refused_with_a_time_to_wait)
{
    auto state = make_parent_state(this->limits);
    EXPECT_TRUE(admit_stream(state, this->limits.max_streams - 1, 0, this->now, this->rng).admitted);
    const auto answer = admit_stream(state, this->limits.max_streams, 0, this->now, this->rng);
    EXPECT_FALSE(answer.admitted);
    EXPECT_GT(answer.retry_after, milliseconds{0});
}

// Guards against a link saturated by snapshots, and against a snapshot too large ever to be sent.
TEST_F(parent_test, snapshots_are_limited_in_bytes_and_a_huge_one_takes_the_whole_burst)
{
    auto state = make_parent_state(this->limits);
    EXPECT_TRUE(admit_stream(state, 0, 5 * 1'024 * 1'024, this->now, this->rng).admitted);
    const auto refused = admit_stream(state, 1, 1'024, this->now, this->rng);
    EXPECT_FALSE(refused.admitted);
    EXPECT_GT(refused.retry_after, milliseconds{0});
    EXPECT_TRUE(admit_stream(state, 1, 0, this->now, this->rng).admitted);
    this->now += milliseconds{10};
    EXPECT_TRUE(admit_stream(state, 2, 1'024, this->now, this->rng).admitted);
}

} // namespace
} // namespace kumquatdrift
