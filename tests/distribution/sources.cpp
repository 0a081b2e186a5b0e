#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <kumquatdrift/distribution/sources.hpp>
#include <kumquatdrift/log/http.hpp>

namespace kumquatdrift {
namespace {

class sources_test : public testing::Test {
protected:
    void start_following()
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

    /*! @brief Plans every 100 ms for a time, with reads of the log that complete at once. Returns their
     * number. */
    int run_and_count_reads(milliseconds time, bool succeed)
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

    /*! @brief Settings with a silence timeout above the interval at which most tests send heartbeats. */
    source_settings settings{[] {
        source_settings patient;
        patient.heartbeat_interval = milliseconds{2'000};
        patient.silence_timeout = milliseconds{6'500};
        return patient;
    }()};
    timestamp now{milliseconds{1'000'000}};
    random_engine rng{1};
    source_candidates candidates{false, 10, {"r1", "r2", "r3"}, {"x1", "x2"}};
    source_state state{};
};

// Guards against a relay that does not read the log, or that opens streams which it does not need.
TEST_F(sources_test, relay_reads_the_log_by_long_poll_and_watches_no_node)
{
    this->candidates.is_relay = true;
    this->start_following();
    this->now += this->settings.start_jitter;
    const auto plan = this->plan();
    EXPECT_TRUE(plan.read_log);
    EXPECT_EQ(plan.wait, this->settings.long_poll_timeout);
    EXPECT_TRUE(plan.watch.empty());
}

// Guards against a relay, and with it a data centre, that stays stale while only its own path to the log has
// failed.
TEST_F(sources_test, relay_without_the_log_watches_a_local_and_a_remote_relay_and_retries_the_log)
{
    this->candidates.is_relay = true;
    this->start_following();
    EXPECT_GT(this->run_and_count_reads(milliseconds{10'000}, false), 1);
    EXPECT_EQ(this->plan().watch, (std::vector<std::string>{"r1", "x1"}));
    this->heartbeat("x1");
    EXPECT_EQ(this->plan().source, config_source::remote_relay);
    on_log_read(this->state, true, true, this->now, this->rng);
    EXPECT_TRUE(this->plan().watch.empty());
    EXPECT_EQ(this->plan().source, config_source::log);
}

// Guards against a steady state in which every node reads the log.
TEST_F(sources_test, other_node_watches_two_parents_and_does_not_read_the_log)
{
    this->start_following();
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

// Guards against a node that keeps a parent which has crashed or is paused.
TEST_F(sources_test, silent_parent_is_replaced_by_the_next_relay)
{
    this->start_following();
    (void)this->plan();
    for (int index = 0; index < 8; ++index) {
        this->now += milliseconds{1'000};
        this->heartbeat("r1");
        (void)this->plan();
    }
    EXPECT_EQ(this->plan().watch, (std::vector<std::string>{"r1", "r3"}));
}

// Guards against nodes that all read the log at the same time when their parents fall silent together.
TEST_F(sources_test, fallback_to_the_log_is_spread_over_the_jitter_and_limited_in_rate)
{
    std::map<std::int64_t, int> per_second;
    this->candidates.nodes = 1'000;
    for (int index = 0; index < 1'000; ++index) {
        this->now = timestamp{milliseconds{1'000'000}};
        this->start_following();
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
    // The default limit is half a read per second, also if the reads succeed.
    EXPECT_LE(this->run_and_count_reads(milliseconds{60'000}, true), 31);
}

// Guards against a node that relies on parents which send heartbeats but have no access to the log.
TEST_F(sources_test, parents_that_are_not_current_count_as_silent)
{
    this->start_following();
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

// Guards against a reconnect storm on a parent that has just rejected its children.
TEST_F(sources_test, redirect_moves_the_node_to_the_named_parent_and_delays_the_return)
{
    this->start_following();
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

// Guards against a node that waits for its peers although it can read the log, or that ends its startup
// before it has read the log to its end.
TEST_F(sources_test, startup_is_done_once_the_log_was_read_to_its_end)
{
    this->state = make_source_state(this->settings, this->now, this->rng);
    this->now += this->settings.start_jitter;
    auto plan = this->plan();
    EXPECT_TRUE(plan.read_log);
    EXPECT_FALSE(plan.startup_done);
    on_log_read(this->state, true, false, this->now, this->rng);
    EXPECT_FALSE(this->plan().startup_done);
    on_log_read(this->state, true, true, this->now, this->rng);
    EXPECT_TRUE(this->plan().startup_done);
}

// Guards against a startup that ends with the first snapshot instead of the newest one, or that never ends.
TEST_F(sources_test, starting_node_without_the_log_fetches_snapshots_once_and_waits_a_bounded_time)
{
    this->candidates = {true, 1, {}, {}};
    this->state = make_source_state(this->settings, this->now, this->rng);
    int fetches = 0;
    const auto start = this->now;
    while (!this->plan().startup_done) {
        on_log_read(this->state, false, false, this->now, this->rng);
        this->now += milliseconds{50};
        const auto plan = this->plan();
        fetches += plan.fetch_snapshots ? 1 : 0;
        ASSERT_LT(this->now - start, milliseconds{20'000});
    }
    EXPECT_EQ(fetches, 1);
    EXPECT_GE(this->now - start, this->settings.start_log_timeout + this->settings.start_peer_timeout);
}

// Guards against a restarted node that takes an older version than it held from a stale parent.
TEST_F(sources_test, startup_is_done_only_with_a_parent_that_was_current_since_the_start)
{
    this->state = make_source_state(this->settings, this->now, this->rng);
    (void)this->plan();
    this->heartbeat("r1", milliseconds{60'000});
    EXPECT_FALSE(this->plan().startup_done);
    this->now += milliseconds{1'000};
    // The parent was last current one second before the start, so the node may have held a newer version.
    this->heartbeat("r2", milliseconds{2'000});
    EXPECT_FALSE(this->plan().startup_done);
    this->heartbeat("r2", milliseconds{500});
    EXPECT_TRUE(this->plan().startup_done);
}

// Guards against a benchmark baseline that reads more or less often than its interval.
TEST_F(sources_test, log_poll_reads_at_the_interval_and_watches_no_node)
{
    this->settings.mode = source_mode::log_poll;
    this->start_following();
    const auto reads = this->run_and_count_reads(milliseconds{60'000}, true);
    EXPECT_GE(reads, 28);
    EXPECT_LE(reads, 31);
    EXPECT_TRUE(this->plan().watch.empty());
}

constexpr milliseconds config_apply_limit{4'000};

// Guards against a node of a small data centre that waits for longer than a version may take after all its
// parents have fallen silent.
TEST_F(sources_test, node_that_lost_its_parents_reads_the_log_within_the_apply_limit)
{
    this->settings = {};
    this->candidates.nodes = 180;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        this->rng.seed(seed);
        this->start_following();
        (void)this->plan();
        this->heartbeat("r1");
        this->heartbeat("r2");
        const auto lost_at = this->now;
        while (!this->plan().read_log && this->now - lost_at < milliseconds{60'000}) {
            this->now += milliseconds{100};
        }
        EXPECT_LT(this->now - lost_at, config_apply_limit) << "seed " << seed;
    }
}

// Guards against a relay whose backoff keeps its data centre from the log after an outage.
TEST_F(sources_test, relay_reads_the_log_within_the_apply_limit_after_an_outage)
{
    this->settings = {};
    this->candidates.is_relay = true;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        this->rng.seed(seed);
        this->start_following();
        (void)this->run_and_count_reads(milliseconds{60'000}, false);
        const auto outage_end = this->now;
        while (!this->plan().read_log && this->now - outage_end < milliseconds{60'000}) {
            this->now += milliseconds{100};
        }
        EXPECT_LT(this->now - outage_end, config_apply_limit) << "seed " << seed;
    }
}

// Guards against a relay that waits for a log whose connection died without a reset for longer than a version
// may take.
TEST(default_source_settings, give_up_a_read_of_a_silent_log_within_the_apply_limit)
{
    const source_settings settings{};
    const auto noticed = settings.long_poll_timeout + http_log_settings{}.response_timeout;
    EXPECT_LT(noticed + settings.log_retry.base, config_apply_limit);
}

class parent_test : public testing::Test {
protected:
    parent_limits limits{};
    timestamp now{};
    random_engine rng{1};
};

// Guards against a parent that is overloaded when all its children reconnect at once.
TEST_F(parent_test, reconnect_storm_is_admitted_at_the_rate_limit_until_all_children_are_served)
{
    auto limiter = make_parent_limiter(this->limits);
    constexpr std::size_t snapshot_bytes = 20'000;
    std::vector<timestamp> next_attempts(200, this->now);
    std::size_t open = 0;
    std::vector<std::size_t> admitted_in(60, 0);
    int attempts = 0;
    while (open < 200 && this->now < timestamp{milliseconds{60'000}}) {
        for (auto& next : next_attempts) {
            if (next > this->now) {
                continue;
            }
            ++attempts;
            const auto admission = admit_stream(limiter, open, snapshot_bytes, this->now, this->rng);
            EXPECT_LE(admission.retry_after, this->limits.max_retry_after);
            open += admission.admitted ? 1 : 0;
            admitted_in[static_cast<std::size_t>(this->now.time_since_epoch() / milliseconds{1'000})] +=
                admission.admitted ? 1 : 0;
            next = admission.admitted ? timestamp::max() : this->now + admission.retry_after;
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

// Guards against a parent that runs out of memory because it serves too many streams.
TEST_F(parent_test, stream_beyond_the_limit_is_rejected_with_a_retry_delay)
{
    auto limiter = make_parent_limiter(this->limits);
    EXPECT_TRUE(admit_stream(limiter, this->limits.max_streams - 1, 0, this->now, this->rng).admitted);
    const auto admission = admit_stream(limiter, this->limits.max_streams, 0, this->now, this->rng);
    EXPECT_FALSE(admission.admitted);
    EXPECT_GT(admission.retry_after, milliseconds{0});
}

// Guards against a link that is saturated by snapshots, and against a snapshot above the burst that is never
// sent.
TEST_F(parent_test, snapshots_are_limited_in_bytes_and_a_huge_one_takes_the_whole_burst)
{
    auto limiter = make_parent_limiter(this->limits);
    EXPECT_TRUE(admit_stream(limiter, 0, 5 * 1'024 * 1'024, this->now, this->rng).admitted);
    const auto rejected = admit_stream(limiter, 1, 1'024, this->now, this->rng);
    EXPECT_FALSE(rejected.admitted);
    EXPECT_GT(rejected.retry_after, milliseconds{0});
    EXPECT_TRUE(admit_stream(limiter, 1, 0, this->now, this->rng).admitted);
    this->now += milliseconds{10};
    EXPECT_TRUE(admit_stream(limiter, 2, 1'024, this->now, this->rng).admitted);
}

} // namespace
} // namespace kumquatdrift
