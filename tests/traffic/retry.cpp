#include <gtest/gtest.h>

#include <kumquatdrift/traffic/retry.hpp>

namespace kumquatdrift {
namespace {

class retrying : public testing::Test {
protected:
    [[nodiscard]] bool retries(const failed_attempt& attempt)
    {
        auto with_deadline = attempt;
        with_deadline.deadline = this->now + milliseconds{1'000};
        return this->decide(with_deadline).delay.has_value();
    }

    [[nodiscard]] retry_decision decide(const failed_attempt& attempt)
    {
        return decide_retry(this->route, attempt, this->budget, this->now, this->rng);
    }

    route_config route{};
    retry_budget budget{};
    random_engine rng{3};
    timestamp now{milliseconds{70}};
};

// Guards invariant 6: a non-idempotent request that may have run is not run again.
TEST_F(retrying, only_requests_that_did_not_run_or_are_idempotent_are_retried)
{
    EXPECT_TRUE(this->retries({.effect = verdict::not_run}));
    EXPECT_FALSE(this->retries({.effect = verdict::may_have_run}));
    EXPECT_FALSE(this->retries({.effect = verdict::ran}));
    this->route.idempotent = true;
    EXPECT_TRUE(this->retries({.effect = verdict::may_have_run}));
    EXPECT_FALSE(this->retries({.effect = verdict::ran}));
}

// Guards against a response combined from two attempts, and against a truncated request body.
TEST_F(retrying, started_response_or_consumed_body_prevents_a_retry)
{
    this->route.idempotent = true;
    EXPECT_FALSE(this->retries({.effect = verdict::not_run, .response_started = true}));
    EXPECT_FALSE(this->retries({.effect = verdict::not_run, .body_replayable = false}));
}

// Guards against a retry of a quarantined request at a target whose node does not know the fingerprint yet.
TEST_F(retrying, quarantined_request_is_not_retried)
{
    this->route.idempotent = true;
    EXPECT_FALSE(this->retries({.effect = verdict::not_run, .quarantined = true}));
}

// Guards against an unbounded number of attempts.
TEST_F(retrying, last_attempt_is_final)
{
    EXPECT_TRUE(this->retries({.attempts = 2, .effect = verdict::not_run}));
    EXPECT_FALSE(this->retries({.attempts = 3, .effect = verdict::not_run}));
}

// Guards against a final response that a backoff delays beyond the deadline.
TEST_F(retrying, delay_ends_before_the_deadline)
{
    for (int round = 0; round < 1'000; ++round) {
        this->budget.on_first_attempt(100);
        const auto decision =
            this->decide({.effect = verdict::not_run, .deadline = this->now + milliseconds{3}});
        EXPECT_LT(decision.delay.value_or(microseconds{0}), milliseconds{3});
        const auto late = this->decide({.effect = verdict::not_run, .deadline = this->now});
        EXPECT_FALSE(late.delay);
    }
}

// Guards against retries that multiply the load of an overloaded service.
TEST_F(retrying, retries_stay_within_the_share_of_calls)
{
    int retries = 0;
    for (int call = 0; call < 10'000; ++call) {
        this->budget.on_first_attempt(10);
        retries += this->budget.try_take(this->now) ? 1 : 0;
    }
    EXPECT_GE(retries, 1'000);
    EXPECT_LE(retries, 1'000 + static_cast<int>(retry_budget::burst) + 1);
}

// Guards against a node with few calls that can never retry, and against retries that accumulate without
// bound.
TEST_F(retrying, node_without_calls_keeps_a_small_budget)
{
    while (this->budget.try_take(this->now)) {}
    this->now += milliseconds{2'000};
    EXPECT_TRUE(this->budget.try_take(this->now));
    EXPECT_FALSE(this->budget.try_take(this->now));
    this->now += milliseconds{3'600'000};
    int saved = 0;
    while (this->budget.try_take(this->now)) {
        ++saved;
    }
    EXPECT_EQ(saved, static_cast<int>(retry_budget::burst));
}

// Guards against callers that all retry at once, and against times out of bounds.
TEST_F(retrying, retry_after_grows_with_the_queue_and_is_spread)
{
    auto least = milliseconds::max();
    auto most = milliseconds{0};
    for (int round = 0; round < 1'000; ++round) {
        const auto drawn = retry_after_for(99, 10, milliseconds{100}, this->rng);
        least = std::min(least, drawn);
        most = std::max(most, drawn);
        const auto idle = retry_after_for(0, 0, microseconds{0}, this->rng);
        EXPECT_GE(idle, milliseconds{100});
        const auto huge = retry_after_for(1UL << 40U, 1, microseconds::max(), this->rng);
        EXPECT_LE(huge, milliseconds{30'000});
    }
    EXPECT_GE(least, milliseconds{500});
    EXPECT_LE(most, milliseconds{1'500});
    EXPECT_GT(most - least, milliseconds{800});
}

} // namespace
} // namespace kumquatdrift
