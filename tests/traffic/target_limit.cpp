#include <kumquatdrift/traffic/target_limit.hpp>

#include <algorithm>
#include <array>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <kumquatdrift/traffic/placement.hpp>
#include <kumquatdrift/traffic/run_queue.hpp>

namespace kumquatdrift {
namespace {

using std::chrono::seconds;

constexpr timestamp start{seconds{100}};

class limited_target : public testing::Test {
protected:
    /*! @brief Counts the requests that the limit admits if one is offered every millisecond. */
    std::size_t admitted(timestamp from, microseconds time)
    {
        std::size_t count{};
        for (auto now = from; now < from + time; now += milliseconds{1}) {
            count += this->limit.try_take(now) ? 1 : 0;
        }
        return count;
    }

    target_limit limit{};
};

TEST_F(limited_target, has_no_limit_until_it_names_one)
{
    EXPECT_EQ(this->admitted(start, seconds{1}), 1'000U);
    EXPECT_FALSE(this->limit.is_known());
    this->limit.on_response(std::nullopt, start, start);
    EXPECT_TRUE(this->limit.is_known());
    EXPECT_EQ(this->admitted(start, seconds{1}), 1'000U);
}

TEST_F(limited_target, admits_its_rate_and_no_burst_after_a_pause)
{
    this->limit.on_response(20.0, start, start);
    EXPECT_EQ(this->admitted(start, seconds{4}), 79U);
    EXPECT_LE(this->admitted(start + seconds{60}, seconds{4}), 85U);
}

TEST_F(limited_target, keeps_the_limit_when_some_responses_do_not_name_it)
{
    this->limit.on_response(5.0, start, start);
    this->limit.on_response(std::nullopt, start, start + milliseconds{900});
    EXPECT_TRUE(this->limit.rate());
}

TEST_F(limited_target, keeps_the_limit_when_a_request_from_before_it_was_named_is_answered_late)
{
    this->limit.on_response(5.0, start, start);
    this->limit.on_response(std::nullopt, start - milliseconds{1}, start + seconds{2});
    EXPECT_TRUE(this->limit.rate());
    this->limit.on_response(std::nullopt, start + seconds{1}, start + seconds{2});
    EXPECT_FALSE(this->limit.rate());
}

TEST_F(limited_target, gets_a_request_now_and_then_when_it_accepts_none)
{
    this->limit.on_response(0.0, start, start);
    EXPECT_EQ(this->admitted(start, seconds{12} + milliseconds{100}), 3U);
}

TEST_F(limited_target, restored_limit_yields_to_what_the_target_states)
{
    this->limit.restore(5.0, start);
    EXPECT_EQ(this->limit.rate(), 5.0);
    this->limit.on_response(8.0, start, start);
    this->limit.restore(5.0, start);
    EXPECT_EQ(this->limit.rate(), 8.0);
}

TEST_F(limited_target, wait_is_the_time_until_the_request_is_admitted)
{
    this->limit.on_response(10.0, start, start);
    EXPECT_EQ(this->limit.wait(0, start), milliseconds{100});
    EXPECT_EQ(this->limit.wait(4, start), milliseconds{500});
    EXPECT_FALSE(this->limit.try_take(start + milliseconds{99}));
    EXPECT_TRUE(this->limit.try_take(start + milliseconds{100}));
}

TEST_F(limited_target, never_gets_more_than_allowed_while_the_limit_moves)
{
    EXPECT_TRUE(rc::check("requests in 4 s stay below one and a half times the highest rate plus 5", [] {
        target_limit moving{};
        auto highest = 0.0;
        std::size_t count{};
        for (auto now = start; now < start + seconds{4}; now += milliseconds{5}) {
            if (*rc::gen::inRange(0, 40) == 0) {
                const auto rate = *rc::gen::inRange(0, 400) / 10.0;
                highest = std::max(highest, rate);
                moving.on_response(rate, now, now);
            }
            if (moving.rate()) {
                count += moving.try_take(now) ? 1 : 0;
            }
        }
        RC_ASSERT(static_cast<double>(count) <= 1.5 * highest * 4.0 + 5.0);
    }));
}

/*! @brief A queue with more slots than its rate limit of 10 requests a second needs. */
class rate_limited_queue : public testing::Test {
protected:
    rate_limited_queue()
    {
        this->queue.set_slots(100);
        this->queue.limit().on_response(10.0, start, start);
    }

    run_decision offer(std::uint64_t id, std::uint32_t priority, milliseconds objective,
                       timestamp now = start)
    {
        return this->queue.offer({id, priority, false, now + objective, now + seconds{5}}, now);
    }

    run_queue queue{};
};

TEST_F(rate_limited_queue, request_that_the_limit_allows_too_late_is_rejected_at_once)
{
    for (std::uint64_t id = 1; id <= 4; ++id) {
        EXPECT_EQ(this->offer(id, 1, milliseconds{500}), run_decision::queue);
    }
    EXPECT_EQ(this->offer(5, 1, milliseconds{500}), run_decision::reject);
    EXPECT_EQ(this->queue.time_to_free_slot(start), milliseconds{500});
    EXPECT_EQ(this->queue.load(start).limit, 10.0);
    EXPECT_EQ(this->queue.load(start).limit_wait, milliseconds{500});
}

TEST_F(rate_limited_queue, more_urgent_request_goes_first_and_the_one_that_no_longer_fits_is_rejected)
{
    for (std::uint64_t id = 1; id <= 4; ++id) {
        EXPECT_EQ(this->offer(id, 7, milliseconds{500}), run_decision::queue);
    }
    EXPECT_EQ(this->offer(9, 0, milliseconds{500}), run_decision::queue);
    EXPECT_EQ(this->queue.expire(start), std::vector<std::uint64_t>{4});
    EXPECT_EQ(this->queue.start_next(start + milliseconds{100}), 9U);
    EXPECT_EQ(this->queue.start_next(start + milliseconds{150}), std::nullopt);
}

TEST_F(rate_limited_queue, new_incarnation_starts_without_the_limit)
{
    EXPECT_EQ(this->offer(1, 1, milliseconds{500}), run_decision::queue);
    this->queue.reset_estimates();
    EXPECT_EQ(this->queue.start_next(start), 1U);
}

TEST(placing_with_rate_limits, exhausted_target_is_avoided_although_it_has_free_slots)
{
    random_engine rng{7};
    placement_candidate limited{"limited", {0, 3, 10, milliseconds{100}}, 0, true, true};
    limited.load.limit = 5.0;
    limited.load.limit_wait = milliseconds{800};
    const placement_candidate free{"free", {5, 0, 10, milliseconds{100}}, 0, false, false};
    const placement_times times{milliseconds{400}, milliseconds{400}, milliseconds{400}};
    EXPECT_EQ(place_request(std::array{limited, free}, times, {}, rng).candidate, 1U);
    const auto none = place_request(std::array{limited}, times, {}, rng);
    EXPECT_FALSE(none.candidate);
    EXPECT_EQ(none.time_to_free_slot, milliseconds{800});
}

TEST(placing_with_rate_limits, requests_in_transit_count_towards_the_limit)
{
    random_engine rng{7};
    placement_candidate limited{"limited", {0, 0, 10, milliseconds{100}}, 4, true, true};
    limited.load.limit = 5.0;
    const placement_times times{milliseconds{400}, milliseconds{400}, milliseconds{400}};
    EXPECT_FALSE(place_request(std::array{limited}, times, {}, rng).candidate);
    limited.sent_since_load = 0;
    EXPECT_TRUE(place_request(std::array{limited}, times, {}, rng).candidate);
}

} // namespace
} // namespace kumquatdrift
