#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <support/gateway_world.hpp>

namespace kumquatdrift {
namespace {

using std::chrono::seconds;

/*! @brief Time from the first response with a limit until the limit must be kept, as required by the users.
 */
constexpr microseconds stable_window = seconds{3};
/*! @brief Length of the windows in which requests are counted, as required by the users. */
constexpr microseconds window = seconds{4};

/*! @brief Returns the largest number of requests that a target may get in a window. */
constexpr double allowed_requests(double limit)
{
    return 1.5 * limit * std::chrono::duration<double>{window}.count() + 5.0;
}

/*! @brief A target whose responses name a rate limit, and a load that exceeds it. */
class target_that_names_a_limit : public testing::Test {
protected:
    target_that_names_a_limit()
    {
        this->target.on_request = [this](const http_exchange_ptr& exchange) {
            this->arrivals.push_back(boot_now());
            const auto* id = find_field(exchange->request.fields, "X-Id");
            exchange->respond({200, "", "X-Id: " + *id + "\r\nX-Signature: s\r\n" + this->notice, "done"});
        };
        this->host.set_address(this->target.address);
        EXPECT_TRUE(this->host.on_report(make_report(report_state::ready, 1)));
    }

    /*! @brief Offers 200 requests a second. */
    void offer_load(microseconds time)
    {
        const auto end = boot_now() + time;
        while (boot_now() < end) {
            const auto sent = boot_now();
            this->host.run(make_target_request("r" + std::to_string(++this->offered)),
                           [this, sent](const attempt_result& result) {
                               ++this->outcomes[result.outcome];
                               if (result.outcome == attempt_outcome::refused) {
                                   this->rejection_delays.push_back(boot_now() - sent);
                                   this->retry_after = result.time_to_free_slot;
                               }
                           });
            this->world.run_for(milliseconds{5});
        }
    }

    [[nodiscard]] std::size_t most_arrivals_in_a_window(timestamp from) const
    {
        std::size_t most{};
        for (auto first = std::lower_bound(this->arrivals.begin(), this->arrivals.end(), from);
             first != this->arrivals.end(); ++first) {
            const auto end = std::lower_bound(first, this->arrivals.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    gateway_world world{};
    std::string notice{};
    std::vector<timestamp> arrivals{};
    scripted_target target{this->world.loop};
    target_host host{{this->world.loop, this->world.platform, this->world.log, this->world.metrics,
                      this->world.quarantine},
                     "node",
                     seconds{60},
                     [] {}};
    std::uint64_t offered{};
    std::map<attempt_outcome, std::size_t> outcomes{};
    std::vector<microseconds> rejection_delays{};
    microseconds retry_after{};
};

TEST_F(target_that_names_a_limit, gets_no_more_requests_than_its_limit_allows)
{
    this->notice = "X-Limit: 12\r\n";
    const auto started = boot_now();
    this->offer_load(stable_window + window + seconds{1});
    const auto most = this->most_arrivals_in_a_window(started + stable_window);
    EXPECT_LE(static_cast<double>(most), allowed_requests(12.0));
    EXPECT_GE(this->outcomes[attempt_outcome::answered], 80U);
}

} // namespace
} // namespace kumquatdrift
