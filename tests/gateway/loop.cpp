#include <gateway/loop.hpp>

#include <string>

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

/*! @brief Event loop, and the order in which functions ran, as one letter each. */
class event_loop_with_turns : public testing::Test {
protected:
    void run_for(milliseconds time)
    {
        this->loop.context().run_for(time);
    }

    event_loop loop{};
    std::string order{};
};

TEST_F(event_loop_with_turns, deferred_functions_run_at_the_end_of_the_outermost_turn)
{
    {
        const event_loop::turn outer{this->loop};
        {
            const event_loop::turn inner{this->loop};
            this->loop.defer([this] {
                this->order += "b";
                this->loop.defer([this] { this->order += "d"; });
            });
            this->loop.defer([this] { this->order += "c"; });
        }
        this->order += "a";
    }
    EXPECT_EQ(this->order, "abcd");
}

TEST_F(event_loop_with_turns, function_deferred_outside_a_turn_runs_from_the_loop)
{
    this->loop.defer([this] { this->order += "b"; });
    this->order += "a";
    this->run_for(milliseconds{50});
    EXPECT_EQ(this->order, "ab");
}

TEST_F(event_loop_with_turns, deferred_function_runs_before_the_next_event)
{
    boost::asio::post(this->loop.context(), [this] {
        const event_loop::turn current{this->loop};
        this->loop.defer([this] { this->order += "a"; });
    });
    boost::asio::post(this->loop.context(), [this] { this->order += "b"; });
    this->run_for(milliseconds{50});
    EXPECT_EQ(this->order, "ab");
}

} // namespace
} // namespace kumquatdrift
