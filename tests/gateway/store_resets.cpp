#include <gateway/store_resets.hpp>

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

#include <support/gateway_world.hpp>

namespace kumquatdrift {
namespace {

class counting_platform final : public minimal_platform {
public:
    void reread(microseconds delay) override
    {
        this->delays.push_back(delay);
    }

    std::vector<microseconds> delays{};
};

/*! @brief A node that handles resets of the store, with a simulated clock. */
class node_at_store_reset : public ::testing::Test {
protected:
    /*! @brief Lets the clock run for a time, in ticks. */
    void run_for(microseconds time)
    {
        for (const auto end = this->now + time; this->now < end; this->now += milliseconds{10}) {
            this->resets.on_tick(this->now);
        }
    }

    void receive_record(std::optional<std::uint64_t> generation)
    {
        member_record record{};
        record.node = "other";
        record.ip = "127.0.0.2";
        record.revision = ++this->revision;
        record.store_generation = generation;
        this->members.merge(record, member_table::origin::link, this->now);
    }

    gateway_world world{};
    counting_platform platform{};
    random_engine rng{17};
    member_table members{};
    int rewrites{};
    int notifications{};
    std::uint64_t revision{};
    timestamp now{std::chrono::seconds{100}};
    store_resets resets{{this->world.log, this->world.metrics, this->rng, this->platform, this->members,
                         [this] { ++this->rewrites; }, [this] { ++this->notifications; }}};
};

TEST_F(node_at_store_reset, first_generation_causes_no_calls)
{
    this->receive_record(9);
    this->run_for(std::chrono::seconds{1});
    this->resets.on_generation(9, this->now);
    this->run_for(std::chrono::seconds{1});
    EXPECT_EQ(this->rewrites, 0);
    EXPECT_TRUE(this->platform.delays.empty());
    EXPECT_EQ(this->resets.generation(), 9U);
}

TEST_F(node_at_store_reset, each_rise_rereads_and_rewrites_once)
{
    this->resets.on_generation(0, this->now);
    for (const std::uint64_t generation : {1U, 1U, 2U, 1U, 2U}) {
        this->resets.on_generation(generation, this->now);
        this->receive_record(generation);
        this->run_for(std::chrono::seconds{1});
    }
    EXPECT_EQ(this->rewrites, 2);
    EXPECT_EQ(this->platform.delays.size(), 2U);
    EXPECT_EQ(this->notifications, 2);
    EXPECT_NE(this->world.metrics.exposition().find("gateway_store_resets_total 2"), std::string::npos);
}

TEST_F(node_at_store_reset, rise_before_the_rewrite_of_the_last_one_rewrites_once)
{
    this->resets.on_generation(3, this->now);
    this->resets.on_generation(4, this->now);
    this->resets.on_generation(5, this->now);
    this->run_for(std::chrono::seconds{1});
    EXPECT_EQ(this->rewrites, 1);
    EXPECT_EQ(this->platform.delays.size(), 2U);
}

TEST_F(node_at_store_reset, reset_known_to_another_node_rereads_and_notifies_no_one)
{
    this->resets.on_generation(3, this->now);
    this->receive_record({});
    this->run_for(std::chrono::seconds{1});
    EXPECT_EQ(this->rewrites, 0);
    this->receive_record(4);
    this->run_for(std::chrono::seconds{1});
    this->resets.on_generation(4, this->now);
    this->run_for(std::chrono::seconds{1});
    EXPECT_EQ(this->rewrites, 1);
    EXPECT_EQ(this->platform.delays.size(), 1U);
    EXPECT_EQ(this->notifications, 0);
    EXPECT_EQ(this->resets.generation(), 4U);
}

TEST_F(node_at_store_reset, calls_of_90_nodes_are_spread)
{
    constexpr int nodes = 90;
    constexpr std::size_t slices = 5;
    std::vector<int> calls(slices);
    for (int node = 0; node < nodes; ++node) {
        store_resets each{
            {this->world.log, this->world.metrics, this->rng, this->platform, this->members, [] {}, [] {}}};
        each.on_generation(1, this->now);
        each.on_generation(2, this->now);
        const auto slice = static_cast<std::size_t>(this->platform.delays.back() / milliseconds{100});
        ++calls[std::min(slice, slices - 1)];
    }
    EXPECT_LT(*std::max_element(calls.begin(), calls.end()), nodes / 2);
}

} // namespace
} // namespace kumquatdrift
