#include <gtest/gtest.h>

#include <string>
#include <vector>

#include <kumquatdrift/traffic/admission.hpp>

namespace kumquatdrift {
namespace {

class admission_control : public testing::Test {
protected:
    [[nodiscard]] std::string offer(request_id id, milliseconds time_left = milliseconds{1'000})
    {
        const auto decision = this->control.offer({id, this->now + time_left, id}, this->now);
        if (decision.kind != admission_kind::rejected) {
            return std::string{to_name(decision.kind)};
        }
        EXPECT_GT(decision.retry_after.count(), 0);
        return std::string{to_name(decision.reason)};
    }

    std::vector<request_id> finish(request_id id, run_outcome outcome = run_outcome::answered)
    {
        return this->control.finish(id, outcome, this->now);
    }

    // Runs one request for a given time, which enters the mean service time.
    void run_for(milliseconds service_time)
    {
        ASSERT_EQ(this->offer(999), "admitted");
        this->now += service_time;
        ASSERT_TRUE(this->finish(999).empty());
    }

    void restart(const admission_settings& settings)
    {
        this->control = admission{settings, this->now};
    }

    [[nodiscard]] std::uint32_t limit() const
    {
        return this->control.load(this->now).slots;
    }

    timestamp now{milliseconds{50}};
    admission control{{.slots = 2, .queue_limit = 2}, this->now};
};

using ids = std::vector<request_id>;

// Guards against more requests in flight than the target has slots, and against an unbounded queue.
TEST_F(admission_control, requests_beyond_the_slots_are_queued_up_to_the_limit)
{
    EXPECT_EQ(this->offer(1), "admitted");
    EXPECT_EQ(this->offer(2), "admitted");
    EXPECT_EQ(this->offer(3), "queued");
    EXPECT_EQ(this->offer(4), "queued");
    EXPECT_EQ(this->offer(5), "queue_full");
    EXPECT_EQ(this->finish(2), ids{3});
    EXPECT_EQ(this->finish(1), ids{4});
    EXPECT_EQ(format_load(this->control.load(this->now)), "2/0/2");
}

// Guards against a request that holds two slots because its id was offered twice.
TEST_F(admission_control, id_in_use_is_rejected)
{
    EXPECT_EQ(this->offer(1), "admitted");
    EXPECT_EQ(this->offer(1), "duplicate_id");
}

// Guards against a caller that waits for a response which cannot arrive before its deadline.
TEST_F(admission_control, request_that_cannot_be_answered_in_time_is_rejected_at_once)
{
    this->run_for(milliseconds{100});
    EXPECT_EQ(this->offer(1), "admitted");
    EXPECT_EQ(this->offer(2), "admitted");
    EXPECT_EQ(this->offer(3, milliseconds{149}), "deadline");
    EXPECT_EQ(this->offer(4, milliseconds{150}), "queued");
    EXPECT_EQ(this->offer(5, milliseconds{0}), "deadline");
}

// Guards against slots used for requests whose caller no longer waits.
TEST_F(admission_control, queued_request_that_became_late_is_removed_and_not_started)
{
    this->run_for(milliseconds{100});
    EXPECT_EQ(this->offer(1), "admitted");
    EXPECT_EQ(this->offer(2), "admitted");
    EXPECT_EQ(this->offer(3, milliseconds{200}), "queued");
    EXPECT_EQ(this->offer(4, milliseconds{900}), "queued");
    this->now += milliseconds{160};
    EXPECT_EQ(this->finish(1), ids{4});
    EXPECT_EQ(this->control.expire(this->now), ids{3});
}

// Guards against a cancelled request that starts later, and against a slot that is released while in use.
TEST_F(admission_control, cancelled_request_leaves_the_queue_but_keeps_its_slot)
{
    EXPECT_EQ(this->offer(1), "admitted");
    EXPECT_EQ(this->offer(2), "admitted");
    EXPECT_EQ(this->offer(3), "queued");
    EXPECT_EQ(this->control.cancel(3), cancel_outcome::removed);
    EXPECT_EQ(this->control.cancel(1), cancel_outcome::running);
    EXPECT_EQ(this->control.cancel(9), cancel_outcome::unknown);
    EXPECT_EQ(this->offer(4), "queued");
    EXPECT_EQ(this->finish(1, run_outcome::failed), ids{4});
}

// Guards invariants 7 and 8: a leaving target gets no new requests, and requests in flight are not aborted.
TEST_F(admission_control, drain_returns_the_queue_and_keeps_requests_in_flight)
{
    EXPECT_EQ(this->offer(1), "admitted");
    EXPECT_EQ(this->offer(2), "admitted");
    EXPECT_EQ(this->offer(3), "queued");
    EXPECT_EQ(this->control.drain(), ids{3});
    EXPECT_EQ(this->offer(4), "draining");
    EXPECT_EQ(this->finish(1), ids{});
    EXPECT_EQ(format_load(this->control.load(this->now)), "1/0/2");
    EXPECT_EQ(this->finish(2), ids{});
}

// Guards against a target that announces the state draining and still gets the queued requests.
TEST_F(admission_control, announced_drain_starts_nothing_and_removes_the_queue)
{
    EXPECT_EQ(this->offer(1), "admitted");
    EXPECT_EQ(this->offer(2), "admitted");
    EXPECT_EQ(this->offer(3), "queued");
    const admission_settings draining{.slots = 9, .queue_limit = 2, .state = target_state::draining};
    EXPECT_EQ(this->control.announce(draining, this->now), ids{});
    EXPECT_EQ(this->control.expire(this->now), ids{3});
    EXPECT_TRUE(this->control.is_draining());
}

// Guards against a number of slots that stays the same after a new announcement.
TEST_F(admission_control, announced_slots_take_effect_at_the_next_start)
{
    EXPECT_EQ(this->offer(1), "admitted");
    EXPECT_EQ(this->offer(2), "admitted");
    EXPECT_EQ(this->offer(3), "queued");
    EXPECT_EQ(this->control.announce({.slots = 1, .queue_limit = 2}, this->now), ids{});
    EXPECT_EQ(this->finish(1), ids{});
    EXPECT_EQ(this->finish(2), ids{3});
    EXPECT_EQ(this->offer(4), "queued");
    EXPECT_EQ(this->control.announce({.slots = 3, .queue_limit = 2}, this->now), ids{4});
}

// Guards against a target that announces more slots than it can serve.
TEST_F(admission_control, limit_falls_with_shed_requests_and_recovers_with_responses)
{
    this->restart({.slots = 8, .queue_limit = 8});
    for (request_id id = 1; id <= 8; ++id) {
        ASSERT_EQ(this->offer(id), "admitted");
    }
    EXPECT_EQ(this->finish(1, run_outcome::shed), ids{});
    EXPECT_EQ(this->limit(), 6U);
    EXPECT_EQ(this->finish(2, run_outcome::shed), ids{});
    EXPECT_EQ(this->limit(), 6U);
    EXPECT_EQ(this->offer(9), "queued");
    for (request_id id = 3; id <= 8; ++id) {
        this->finish(id);
    }
    EXPECT_EQ(this->limit(), 6U);
    this->finish(9);
    for (int response = 0; response < 8; ++response) {
        this->run_for(milliseconds{1});
    }
    EXPECT_EQ(this->limit(), 8U);
}

// Guards against a target that sheds all requests and never gets another one.
TEST_F(admission_control, limit_never_falls_below_one)
{
    for (int round = 0; round < 20; ++round) {
        ASSERT_EQ(this->offer(1), "admitted");
        this->finish(1, run_outcome::shed);
        this->now += milliseconds{200};
    }
    EXPECT_EQ(this->limit(), 1U);
}

// Guards against full load on a target that has just started.
TEST_F(admission_control, limit_of_a_cold_target_grows_with_time)
{
    const admission_settings cold{
        .slots = 10, .queue_limit = 4, .slow_start = milliseconds{1'000}, .state = target_state::cold};
    this->restart(cold);
    EXPECT_EQ(this->limit(), 1U);
    EXPECT_EQ(this->offer(1, milliseconds{5'000}), "admitted");
    EXPECT_EQ(this->offer(2, milliseconds{5'000}), "queued");
    this->now += milliseconds{500};
    EXPECT_EQ(this->control.announce(cold, this->now), ids{2});
    EXPECT_EQ(this->limit(), 5U);
    EXPECT_EQ(this->control.announce({.slots = 10}, this->now), ids{});
    EXPECT_EQ(this->limit(), 10U);
}

// Guards against a slow phase that leads to rejections after the target has recovered.
TEST_F(admission_control, long_service_time_does_not_block_an_idle_target)
{
    this->run_for(milliseconds{30'000});
    EXPECT_EQ(this->offer(1, milliseconds{5}), "admitted");
    EXPECT_EQ(this->offer(2, milliseconds{5}), "admitted");
    EXPECT_EQ(this->offer(3, milliseconds{5}), "deadline");
}

} // namespace
} // namespace kumquatdrift
