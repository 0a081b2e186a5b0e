#include <gtest/gtest.h>

#include <support/gateway_world.hpp>

namespace kumquatdrift {
namespace {

constexpr microseconds interval{60'000};

/*! @brief A host whose target states the same start each time it is started. */
class target_with_coarse_clock : public testing::Test {
protected:
    target_with_coarse_clock()
    {
        this->target.on_request = [this](const http_exchange_ptr& exchange) {
            scripted_target::respond(exchange, this->health);
        };
        this->host.set_address(this->target.address);
        this->host.set_liveness_path("/health");
    }

    /*! @brief Sends reports from a sequence number on, until the target is used or several intervals pass. */
    bool is_used_after_reports_from(std::uint64_t sequence, std::uint64_t started_ms = 1'000)
    {
        for (const auto last = sequence + 6; sequence < last; ++sequence) {
            (void)this->host.on_report(make_report(report_state::ready, sequence, started_ms));
            this->world.run_for(interval);
            if (this->host.report().state == report_state::ready) {
                return true;
            }
        }
        return false;
    }

    gateway_world world{};
    unsigned health{200};
    scripted_target target{this->world.loop};
    target_host host{{this->world.loop, this->world.platform, this->world.log, this->world.metrics,
                      this->world.quarantine},
                     "node",
                     interval,
                     [] {}};
};

// Guards against a target that is never used again because it deregistered and started again under its id.
TEST_F(target_with_coarse_clock, is_used_again_beside_a_running_node)
{
    (void)this->host.on_report(make_report(report_state::ready, 20));
    (void)this->host.on_report(make_report(report_state::gone, 0, 0));
    EXPECT_TRUE(this->is_used_after_reports_from(1));
    EXPECT_GT(this->host.report().started_ms, 1'000U);
    EXPECT_TRUE(is_applied(this->host.on_report(make_report(report_state::draining, 9))));
    EXPECT_EQ(this->host.report().state, report_state::draining);
    EXPECT_TRUE(this->is_used_after_reports_from(1));
}

// Guards against the leave of a former incarnation, which other nodes remember, that binds the next one for
// good.
TEST_F(target_with_coarse_clock, is_used_again_beside_a_restarted_node)
{
    this->host.restore({"i-1", true, 0, 0.0, 1'000, 0, 20}, 9'000);
    EXPECT_TRUE(is_applied(this->host.on_report(make_report(report_state::ready, 1))));
    EXPECT_EQ(this->host.report().state, report_state::draining);
    EXPECT_TRUE(this->is_used_after_reports_from(2));
    EXPECT_GT(this->host.report().started_ms, 1'000U);
    // What other nodes remember of the former incarnation doesn't concern this one.
    this->host.restore({"i-1", true, 0, 0.0, 1'000, 0, 20}, 9'000);
    EXPECT_EQ(this->host.report().state, report_state::ready);
}

TEST_F(target_with_coarse_clock, is_used_again_after_the_recorded_leaves_are_read)
{
    this->host.await_recorded_leaves();
    (void)this->host.on_report(make_report(report_state::ready, 1));
    this->host.restore_recorded({"i-1", true, 0, 0.0, 1'000, 0, 20});
    this->host.on_leaves_read();
    EXPECT_EQ(this->host.report().state, report_state::draining);
    EXPECT_TRUE(this->is_used_after_reports_from(2));
}

TEST_F(target_with_coarse_clock, is_used_again_after_a_crash)
{
    (void)this->host.on_report(make_report(report_state::ready, 20));
    const auto before = this->host.report().started_ms;
    EXPECT_TRUE(is_applied(this->host.on_report(make_report(report_state::ready, 21))));
    for (std::uint64_t sequence = 1; sequence < 6; ++sequence) {
        this->world.run_for(interval);
        (void)this->host.on_report(make_report(report_state::ready, sequence));
    }
    EXPECT_EQ(this->host.report().sequence, 5U);
    EXPECT_GT(this->host.report().started_ms, before);
}

// Guards against requests to a target that left, whose late reports arrive one after the other.
TEST_F(target_with_coarse_clock, is_not_used_while_its_liveness_check_says_that_it_leaves)
{
    this->health = 503;
    (void)this->host.on_report(make_report(report_state::ready, 20));
    (void)this->host.on_report(make_report(report_state::gone, 0, 0));
    EXPECT_FALSE(this->is_used_after_reports_from(14));
    EXPECT_FALSE(this->is_used_after_reports_from(21));
}

TEST_F(target_with_coarse_clock, is_not_used_while_it_goes_on_reporting_its_leave)
{
    (void)this->host.on_report(make_report(report_state::draining, 20));
    for (std::uint64_t sequence = 21; sequence < 27; ++sequence) {
        (void)this->host.on_report(make_report(report_state::ready, sequence - 10));
        this->world.run_for(interval / 2);
        (void)this->host.on_report(make_report(report_state::draining, sequence));
        this->world.run_for(interval / 2);
        EXPECT_EQ(this->host.report().state, report_state::draining);
    }
}

// Guards against a late report of an incarnation whose successor has left, too.
TEST_F(target_with_coarse_clock, is_not_used_at_the_report_of_a_start_before_a_remembered_leave)
{
    this->host.restore({"i-1", true, 0, 0.0, 1'001}, 9'000);
    (void)this->host.on_report(make_report(report_state::ready, 1));
    EXPECT_EQ(this->host.report().state, report_state::draining);
    EXPECT_TRUE(this->is_used_after_reports_from(2));
    EXPECT_GT(this->host.report().started_ms, 1'001U);
}

// Guards against a leave that is lost because the former process of the node has the same start as this one.
TEST_F(target_with_coarse_clock, is_not_used_if_a_former_process_with_the_same_start_stated_its_leave)
{
    (void)this->host.on_report(make_report(report_state::ready, 5));
    this->host.restore({"i-1", true, 9'000, 0.0, 1'000, 77}, 9'000, 77);
    EXPECT_EQ(this->host.report().state, report_state::ready);
    this->host.restore({"i-1", true, 9'000, 0.0, 1'000, 77}, 9'000, 78);
    EXPECT_EQ(this->host.report().state, report_state::draining);
}

// Guards against requests to a target that states in its responses that it leaves, while its reports go on.
TEST_F(target_with_coarse_clock, is_not_used_after_a_leave_in_a_response_that_is_remembered)
{
    this->host.restore({"i-1", true, 0, 0.0, 1'000, 0, 6}, 9'000);
    EXPECT_FALSE(this->is_used_after_reports_from(7));
}

} // namespace
} // namespace kumquatdrift
