#include <gateway/body_grants.hpp>

#include <cstdint>
#include <vector>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

class node_with_offered_bodies : public ::testing::Test {
protected:
    static constexpr std::size_t body_bytes = 65'536;

    bool offer(std::uint64_t id, std::size_t bytes = body_bytes,
               microseconds time_left = std::chrono::seconds{2})
    {
        return add_offer(this->grants, {this, id, bytes, {}}, time_left, this->now);
    }

    /*! @brief Returns the ids of the granted offers, and those of the refused ones as negative numbers. */
    std::vector<std::int64_t> decide()
    {
        std::vector<std::int64_t> decided{};
        for (const auto& decision : take_decisions(this->grants, this->now)) {
            const auto id = static_cast<std::int64_t>(decision.offer.id);
            decided.push_back(decision.granted ? id : -id);
        }
        return decided;
    }

    void arrive(std::uint64_t id)
    {
        on_body_arrived(this->grants, this, id, this->now);
    }

    using ids = std::vector<std::int64_t>;

    body_grants grants{};
    timestamp now{std::chrono::seconds{100}};
};

TEST_F(node_with_offered_bodies, grants_no_more_than_the_limit)
{
    for (std::uint64_t id = 1; id <= 6; ++id) {
        EXPECT_TRUE(this->offer(id));
    }
    EXPECT_EQ(this->decide(), (ids{1, 2, 3, 4}));
    this->now += milliseconds{80};
    this->arrive(2);
    EXPECT_EQ(this->decide(), ids{5});
    EXPECT_EQ(this->decide(), ids{});
}

TEST_F(node_with_offered_bodies, grants_a_body_above_the_limit_on_its_own)
{
    EXPECT_TRUE(this->offer(1));
    EXPECT_TRUE(this->offer(2, 2 * initial_window_bytes));
    EXPECT_EQ(this->decide(), ids{1});
    this->arrive(1);
    EXPECT_EQ(this->decide(), ids{2});
}

TEST_F(node_with_offered_bodies, refuses_offers_that_have_waited_for_too_long)
{
    EXPECT_TRUE(this->offer(1, initial_window_bytes));
    EXPECT_TRUE(this->offer(2, body_bytes, milliseconds{400}));
    EXPECT_EQ(this->decide(), ids{1});
    this->now += milliseconds{99};
    EXPECT_EQ(this->decide(), ids{});
    this->now += milliseconds{1};
    EXPECT_EQ(this->decide(), ids{-2});
}

TEST_F(node_with_offered_bodies, refuses_at_once_what_would_wait_for_too_long)
{
    // 64 kB in 80 ms is 6 Mbit/s and a bit.
    EXPECT_TRUE(this->offer(1));
    EXPECT_EQ(this->decide(), ids{1});
    this->now += milliseconds{80};
    this->arrive(1);
    std::uint64_t added{};
    while (added < 100 && this->offer(10 + added)) {
        ++added;
        (void)this->decide();
    }
    // Six bodies take 480 ms to arrive; an offer waits for 500 ms at most.
    EXPECT_EQ(added, 7U);
    EXPECT_TRUE(this->offer(200, body_bytes, std::chrono::seconds{20}));
}

TEST_F(node_with_offered_bodies, window_shrinks_while_all_frames_are_late)
{
    for (int interval = 0; interval < 20; ++interval) {
        observe_line_delay(this->grants, milliseconds{400}, this->now);
        observe_line_delay(this->grants, milliseconds{51}, this->now);
        this->now += window_interval;
    }
    EXPECT_EQ(this->grants.window_bytes, min_window_bytes);
}

TEST_F(node_with_offered_bodies, window_stays_while_frames_of_some_nodes_are_late)
{
    for (int interval = 0; interval < 20; ++interval) {
        observe_line_delay(this->grants, milliseconds{400}, this->now);
        observe_line_delay(this->grants, milliseconds{2}, this->now);
        this->now += window_interval;
    }
    EXPECT_EQ(this->grants.window_bytes, initial_window_bytes);
}

TEST_F(node_with_offered_bodies, window_grows_while_offers_wait_and_frames_are_punctual)
{
    EXPECT_TRUE(this->offer(1, initial_window_bytes));
    for (std::uint64_t interval = 2; interval < 5; ++interval) {
        EXPECT_TRUE(this->offer(interval));
        (void)this->decide();
        observe_line_delay(this->grants, milliseconds{1}, this->now);
        this->now += window_interval;
    }
    EXPECT_GT(this->grants.window_bytes, initial_window_bytes);
    EXPECT_LT(this->grants.window_bytes, 2 * initial_window_bytes);
}

TEST_F(node_with_offered_bodies, slow_senders_do_not_stop_others)
{
    EXPECT_TRUE(this->offer(1, initial_window_bytes));
    EXPECT_EQ(this->decide(), ids{1});
    this->now += max_grant_time;
    EXPECT_TRUE(this->offer(2));
    EXPECT_EQ(this->decide(), ids{2});
}

TEST_F(node_with_offered_bodies, cancelled_requests_and_closed_links_make_room)
{
    EXPECT_TRUE(this->offer(1, initial_window_bytes));
    EXPECT_TRUE(this->offer(2));
    EXPECT_TRUE(this->offer(3));
    EXPECT_EQ(this->decide(), ids{1});
    forget_offer(this->grants, this, 2);
    forget_offer(this->grants, this, 1);
    EXPECT_EQ(this->decide(), ids{3});
    forget_link(this->grants, this);
    EXPECT_TRUE(this->grants.granted.empty());
}

} // namespace
} // namespace kumquatdrift
