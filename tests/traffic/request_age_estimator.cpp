#include <kumquatdrift/traffic/request_age_estimator.hpp>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

class request_age : public testing::Test {
protected:
    request_age()
    {
        for (int turn = 0; turn < 100; ++turn) {
            EXPECT_EQ(this->ages.observe("read", milliseconds{1'999 - turn % 3}), microseconds{0});
        }
    }

    request_age_estimator ages{};
};

TEST_F(request_age, age_of_a_retry_is_the_difference_to_the_typical_time)
{
    const auto age = this->ages.observe("read", milliseconds{1'400});
    EXPECT_GE(age, milliseconds{550});
    EXPECT_LE(age, milliseconds{650});
}

TEST_F(request_age, few_longer_times_do_not_change_the_age_of_other_requests)
{
    for (int turn = 0; turn < 200; ++turn) {
        (void)this->ages.observe("read", turn % 20 == 0 ? milliseconds{9'000} : milliseconds{1'999});
    }
    EXPECT_EQ(this->ages.observe("read", milliseconds{1'999}), microseconds{0});
}

TEST_F(request_age, route_with_few_requests_has_no_estimate)
{
    EXPECT_EQ(this->ages.observe("book", milliseconds{10}), microseconds{0});
}

TEST_F(request_age, many_retries_do_not_become_typical)
{
    for (int turn = 0; turn < 1'000; ++turn) {
        (void)this->ages.observe("read", turn % 3 == 0 ? milliseconds{2'000} : milliseconds{1'300});
    }
    EXPECT_GE(this->ages.observe("read", milliseconds{1'300}), milliseconds{600});
}

TEST_F(request_age, shorter_times_of_all_callers_become_typical)
{
    for (int turn = 0; turn < 4'000; ++turn) {
        (void)this->ages.observe("read", milliseconds{800});
    }
    EXPECT_EQ(this->ages.observe("read", milliseconds{800}), microseconds{0});
}

} // namespace
} // namespace kumquatdrift
