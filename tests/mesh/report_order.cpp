#include <kumquatdrift/mesh/report_order.hpp>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

constexpr microseconds interval{1'500'000};

/*! @brief Reports on a host whose known target stated a start of 5,000 and a sequence number of 9 at time 0.
 */
class known_target : public testing::Test {
protected:
    known_target()
    {
        this->history.start_stated = true;
        this->history.known_at = timestamp{};
    }

    report_order order(std::uint64_t started_ms, std::uint64_t sequence, double intervals,
                       report_state state = report_state::ready, const std::string& instance = "i-1")
    {
        target_report report{};
        report.instance = instance;
        report.started_ms = started_ms;
        report.sequence = sequence;
        report.state = state;
        return order_report(this->history, this->known, report, interval,
                            timestamp{std::chrono::duration_cast<microseconds>(interval * intervals)});
    }

    target_report known{"i-1", "service", "", report_state::ready, 1, {}, 5'000, 9};
    report_history history{};
};

TEST_F(known_target, later_report_is_newer_and_earlier_one_is_outdated)
{
    EXPECT_EQ(this->order(5'000, 9, 1.0), report_order::outdated);
    EXPECT_EQ(this->order(5'000, 10, 1.0), report_order::newer);
}

TEST_F(known_target, later_start_replaces_it_under_the_same_and_another_id)
{
    EXPECT_EQ(this->order(6'000, 1, 1.0), report_order::replaces);
    EXPECT_EQ(this->order(6'000, 1, 1.0, report_state::ready, "i-2"), report_order::replaces);
}

TEST_F(known_target, start_that_becomes_known_does_not_replace_it)
{
    this->known.started_ms = 0;
    EXPECT_EQ(this->order(5'000, 1, 1.0), report_order::newer);
}

TEST_F(known_target, reports_without_start_are_ordered_while_no_target_states_one)
{
    this->known.started_ms = 0;
    this->history.start_stated = false;
    EXPECT_EQ(this->order(0, 10, 1.0), report_order::newer);
    EXPECT_EQ(this->order(0, 1, 1.0, report_state::ready, "i-2"), report_order::replaces);
    EXPECT_EQ(this->order(0, 9, 1.0), report_order::outdated);
}

TEST_F(known_target, leave_without_start_of_another_id_does_not_bind_it)
{
    EXPECT_EQ(this->order(0, 0, 1.0, report_state::gone), report_order::leave);
    EXPECT_EQ(this->order(0, 0, 1.0, report_state::gone, "i-0"), report_order::outdated);
}

// Guards against a target that is never used again because it was started after its clock went back.
TEST_F(known_target, earlier_start_replaces_it_once_it_goes_on_reporting_while_the_known_one_is_silent)
{
    EXPECT_EQ(this->order(4'000, 1, 1.0), report_order::undecided);
    EXPECT_EQ(this->order(4'000, 1, 2.0), report_order::undecided);
    EXPECT_EQ(this->order(4'000, 2, 2.0), report_order::replaces);
}

TEST_F(known_target, late_reports_of_an_earlier_incarnation_do_not_displace_it)
{
    EXPECT_EQ(this->order(4'000, 7, 0.1), report_order::undecided);
    EXPECT_EQ(this->order(4'000, 8, 1.0), report_order::undecided);
    this->known.sequence = 10;
    EXPECT_EQ(this->order(5'000, 11, 1.1), report_order::newer);
    EXPECT_EQ(this->order(4'000, 9, 2.6), report_order::undecided);
    EXPECT_EQ(this->order(4'000, 10, 2.65), report_order::undecided);
    EXPECT_FALSE(is_acknowledged(report_order::undecided));
}

// Guards against a target whose reports are ignored because it was started again within the resolution of the
// clock.
TEST_F(known_target, sequence_that_starts_anew_replaces_it_once_it_goes_on_while_the_known_one_is_silent)
{
    EXPECT_EQ(this->order(5'000, 1, 1.0), report_order::outdated);
    EXPECT_EQ(this->order(5'000, 1, 2.0), report_order::undecided);
    EXPECT_EQ(this->order(5'000, 2, 2.0), report_order::restarted);
}

TEST_F(known_target, late_reports_of_the_same_start_do_not_displace_it)
{
    EXPECT_EQ(this->order(5'000, 7, 0.1), report_order::outdated);
    EXPECT_EQ(this->order(5'000, 8, 0.9), report_order::outdated);
    EXPECT_EQ(this->order(5'000, 10, 1.0), report_order::newer);
    EXPECT_EQ(this->order(5'000, 9, 3.0), report_order::undecided);
    EXPECT_EQ(this->order(5'000, 9, 5.0), report_order::undecided);
}

// Guards against an acknowledged leave that is not applied.
TEST_F(known_target, leave_below_the_known_sequence_is_not_acknowledged_before_it_is_applied)
{
    EXPECT_EQ(this->order(5'000, 1, 0.5, report_state::draining), report_order::undecided);
    EXPECT_EQ(this->order(5'000, 2, 2.0, report_state::draining), report_order::restarted);
    EXPECT_FALSE(is_acknowledged(report_order::undecided));
    EXPECT_EQ(this->order(5'000, 0, 2.0, report_state::gone), report_order::leave);
}

TEST_F(known_target, another_id_with_the_same_start_replaces_it_once_it_goes_on_reporting)
{
    EXPECT_EQ(this->order(5'000, 1, 1.0, report_state::ready, "i-2"), report_order::undecided);
    EXPECT_EQ(this->order(5'000, 2, 2.0, report_state::ready, "i-2"), report_order::replaces);
}

class target_that_left : public known_target {
protected:
    target_that_left()
    {
        this->known.state = report_state::draining;
    }
};

TEST_F(target_that_left, is_taken_for_restarted_once_its_sequence_starts_anew_and_goes_on)
{
    EXPECT_EQ(this->order(5'000, 1, 1.0), report_order::outdated);
    EXPECT_EQ(this->order(5'000, 1, 2.0), report_order::undecided);
    EXPECT_EQ(this->order(5'000, 2, 2.0), report_order::restarted);
}

TEST_F(target_that_left, is_not_taken_for_restarted_while_it_reports_its_leave)
{
    EXPECT_EQ(this->order(5'000, 7, 0.5), report_order::outdated);
    EXPECT_EQ(this->order(5'000, 10, 1.0, report_state::draining), report_order::newer);
    EXPECT_EQ(this->order(5'000, 8, 1.1), report_order::outdated);
    this->known.sequence = 11;
    EXPECT_EQ(this->order(5'000, 11, 2.0, report_state::draining), report_order::outdated);
    EXPECT_EQ(this->order(5'000, 9, 2.1), report_order::outdated);
    EXPECT_EQ(this->order(5'000, 9, 3.5), report_order::undecided);
}

// Guards against requests to a target that states in its responses that it leaves, while its reports go on.
TEST_F(target_that_left, is_not_taken_for_restarted_while_its_own_reports_go_on)
{
    for (auto number = 1; number < 5; ++number) {
        const auto sequence = 9 + static_cast<std::uint64_t>(number);
        EXPECT_EQ(this->order(5'000, sequence, number), report_order::newer);
        this->known.sequence = sequence;
    }
    EXPECT_EQ(this->order(5'000, 1, 6.0), report_order::undecided);
    EXPECT_EQ(this->order(5'000, 2, 7.0), report_order::restarted);
}

// Guards against an incarnation whose sequence numbers pass those of a short-lived one before it is accepted.
TEST_F(target_that_left, is_taken_for_restarted_although_its_sequence_passes_the_known_one)
{
    this->known.sequence = 2;
    EXPECT_EQ(this->order(5'000, 1, 0.2), report_order::outdated);
    EXPECT_EQ(this->order(5'000, 2, 1.2), report_order::outdated);
    EXPECT_EQ(this->order(5'000, 3, 2.2), report_order::restarted);
}

TEST_F(target_that_left, is_taken_for_restarted_although_one_of_its_reports_is_lost)
{
    this->known.sequence = 1;
    EXPECT_EQ(this->order(5'000, 1, 0.2), report_order::outdated);
    EXPECT_EQ(this->order(5'000, 3, 2.2), report_order::restarted);
}

// Guards against a late report that makes the target's own reports, which go on, those of a later
// incarnation.
TEST_F(target_that_left, is_not_taken_for_restarted_by_its_own_reports_after_a_late_one)
{
    EXPECT_EQ(this->order(5'000, 8, 2.0), report_order::undecided);
    EXPECT_EQ(this->order(5'000, 11, 3.0), report_order::newer);
    this->known.sequence = 11;
    EXPECT_EQ(this->order(5'000, 12, 4.0), report_order::newer);
    this->known.sequence = 12;
    // The next one is late as well.
    EXPECT_EQ(this->order(5'000, 11, 4.1), report_order::outdated);
    EXPECT_EQ(this->order(5'000, 13, 5.7), report_order::newer);
}

// Guards against a late report that holds up the next incarnation until its sequence numbers are higher.
TEST_F(target_that_left, is_taken_for_restarted_although_a_late_report_came_first)
{
    EXPECT_EQ(this->order(5'000, 8, 1.0), report_order::outdated);
    EXPECT_EQ(this->order(5'000, 1, 1.1), report_order::outdated);
    EXPECT_EQ(this->order(5'000, 2, 2.1), report_order::restarted);
}

TEST_F(target_that_left, without_a_start_never_returns)
{
    this->known.started_ms = 0;
    this->history.start_stated = false;
    EXPECT_EQ(this->order(0, 1, 2.0), report_order::outdated);
    EXPECT_EQ(this->order(0, 2, 4.0), report_order::outdated);
    EXPECT_EQ(this->order(0, 10, 6.0), report_order::newer);
}

TEST_F(target_that_left, is_followed_by_another_id_with_the_same_start)
{
    EXPECT_EQ(this->order(5'000, 1, 1.0, report_state::ready, "i-2"), report_order::replaces);
}

TEST_F(target_that_left, is_taken_for_restarted_at_the_second_report_if_the_first_was_contested)
{
    this->known.sequence = 1;
    contest_known(this->history, this->known, 9, timestamp{});
    EXPECT_EQ(this->order(5'000, 2, 1.0), report_order::restarted);
}

} // namespace
} // namespace kumquatdrift
