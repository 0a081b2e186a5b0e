#include <kumquatdrift/mesh/members.hpp>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

constexpr timestamp now{std::chrono::seconds{9}};

member_record record_of(std::uint64_t started_ms, std::uint64_t revision, std::uint16_t port = 7'000)
{
    member_record record{};
    record.node = "belem-1";
    record.ip = "127.0.0.1";
    record.port = port;
    record.started_ms = started_ms;
    record.revision = revision;
    record.instance = "i-" + std::to_string(revision);
    return record;
}

class members : public testing::Test {
protected:
    [[nodiscard]] std::string instance()
    {
        return this->table.find("belem-1")->record.instance;
    }

    member_table table{};
};

TEST_F(members, older_record_from_third_node_is_ignored)
{
    EXPECT_TRUE(this->table.merge(record_of(1'000, 5), member_table::origin::third_party, now));
    EXPECT_FALSE(this->table.merge(record_of(1'000, 4), member_table::origin::third_party, now));
    EXPECT_EQ(this->instance(), "i-5");
    (void)this->table.merge(record_of(2'000, 1), member_table::origin::third_party, now);
    EXPECT_EQ(this->instance(), "i-1");
}

TEST_F(members, record_over_link_is_applied_although_its_clock_went_back)
{
    (void)this->table.merge(record_of(5'000, 9), member_table::origin::link, now);
    (void)this->table.merge(record_of(3'000, 1), member_table::origin::link, now);
    EXPECT_EQ(this->instance(), "i-1");
}

TEST_F(members, record_from_third_node_does_not_change_reachable_node)
{
    (void)this->table.merge(record_of(1'000, 1), member_table::origin::link, now);
    this->table.find("belem-1")->reachable = true;
    EXPECT_FALSE(this->table.merge(record_of(9'000, 9), member_table::origin::third_party, now));
    EXPECT_EQ(this->instance(), "i-1");
}

TEST_F(members, store_changes_address_of_unreachable_node_only)
{
    (void)this->table.merge(record_of(1'000, 1), member_table::origin::link, now);
    EXPECT_TRUE(this->table.merge(record_of(2'000, 0, 7'001), member_table::origin::store, now));
    this->table.find("belem-1")->reachable = true;
    EXPECT_FALSE(this->table.merge(record_of(3'000, 0, 7'002), member_table::origin::store, now));
    EXPECT_EQ(this->table.find("belem-1")->record.port, 7'001);
}

TEST_F(members, cold_time_ends_although_loads_keep_arriving)
{
    auto record = record_of(1'000, 1);
    record.cold_left = milliseconds{800};
    (void)this->table.merge(record, member_table::origin::link, now);
    this->table.update_load("belem-1", {}, 0, now + milliseconds{700});
    EXPECT_EQ(this->table.find("belem-1")->cold_until, now + milliseconds{800});
}

TEST_F(members, load_that_includes_all_sent_requests_resets_their_count)
{
    (void)this->table.merge(record_of(1'000, 1), member_table::origin::link, now);
    this->table.find("belem-1")->requests_sent = 4;
    EXPECT_EQ(this->table.find("belem-1")->sent_since_load(), 4U);
    this->table.update_load("belem-1", {2, 0, 8, milliseconds{50}}, 4, now);
    EXPECT_EQ(this->table.find("belem-1")->sent_since_load(), 0U);
    EXPECT_EQ(this->table.find("belem-1")->record.load.running, 2U);
}

// Guards against a target that looks free because requests in transit on a congested link are forgotten.
TEST_F(members, load_measured_before_requests_arrived_keeps_them_counted)
{
    (void)this->table.merge(record_of(1'000, 1), member_table::origin::link, now);
    this->table.find("belem-1")->requests_sent = 7;
    this->table.update_load("belem-1", {2, 0, 8, milliseconds{50}}, 3, now);
    EXPECT_EQ(this->table.find("belem-1")->sent_since_load(), 4U);
    this->table.find("belem-1")->requests_sent = 8;
    EXPECT_EQ(this->table.find("belem-1")->sent_since_load(), 5U);
}

TEST_F(members, record_with_a_load_keeps_requests_in_transit_counted)
{
    (void)this->table.merge(record_of(1'000, 1), member_table::origin::link, now);
    this->table.find("belem-1")->requests_sent = 5;
    (void)this->table.merge(record_of(1'000, 2), member_table::origin::link, now);
    EXPECT_EQ(this->table.find("belem-1")->sent_since_load(), 5U);
}

TEST_F(members, load_from_an_older_version_resets_count_of_sent_requests)
{
    (void)this->table.merge(record_of(1'000, 1), member_table::origin::link, now);
    this->table.find("belem-1")->requests_sent = 5;
    this->table.update_load("belem-1", {}, std::nullopt, now);
    EXPECT_EQ(this->table.find("belem-1")->sent_since_load(), 0U);
}

TEST_F(members, closed_link_resets_count_of_sent_requests)
{
    (void)this->table.merge(record_of(1'000, 1), member_table::origin::link, now);
    auto& known = *this->table.find("belem-1");
    known.requests_sent = 5;
    this->table.update_load("belem-1", {}, 2, now);
    known.on_link_closed();
    EXPECT_EQ(known.sent_since_load(), 0U);
    known.requests_sent = 1;
    EXPECT_EQ(known.sent_since_load(), 1U);
}

/*! @brief A node whose target has announced that it leaves, and names a limit of 5 requests a second. */
class node_with_leaving_target : public members {
protected:
    node_with_leaving_target()
    {
        auto record = record_of(1'000, 5);
        record.state = report_state::draining;
        record.load.limit = 5.0;
        (void)this->table.merge(record, member_table::origin::link, now);
    }

    void state_leaving(std::uint64_t started_ms, const std::string& instance, std::uint64_t target_started_ms)
    {
        auto record = record_of(started_ms, 6);
        record.instance = instance;
        record.target_started_ms = target_started_ms;
        record.state = report_state::draining;
        (void)this->table.merge(record, member_table::origin::link, now);
    }

    void state_ready(std::uint64_t started_ms, const std::string& instance,
                     std::uint64_t target_started_ms = 0)
    {
        auto record = record_of(started_ms, 6);
        record.instance = instance;
        record.target_started_ms = target_started_ms;
        record.state = report_state::ready;
        record.load.slots = 2;
        (void)this->table.merge(record, member_table::origin::link, now);
    }

    [[nodiscard]] const member& node()
    {
        return *this->table.find("belem-1");
    }
};

TEST_F(node_with_leaving_target, is_not_used_again_when_a_restarted_process_does_not_know_that_it_left)
{
    this->state_ready(2'000, "i-5");
    EXPECT_FALSE(this->node().accepts_requests());
    EXPECT_TRUE(this->node().memory.left);
    EXPECT_EQ(this->node().memory.limit, 5.0);
    this->state_ready(2'000, "i-5");
    EXPECT_FALSE(this->node().accepts_requests());
}

TEST_F(node_with_leaving_target, is_used_again_when_it_is_another_incarnation)
{
    this->state_ready(2'000, "i-6");
    EXPECT_TRUE(this->node().accepts_requests());
    EXPECT_EQ(this->node().memory.limit, 0.0);
}

// Guards against a target that is never used again because an earlier one with its id has left.
TEST_F(node_with_leaving_target, is_used_again_when_a_restarted_process_states_a_later_start_of_the_id)
{
    this->state_ready(1'000, "i-5", 7'000);
    this->state_leaving(1'000, "i-5", 7'000);
    this->state_ready(2'000, "i-5", 7'000);
    EXPECT_FALSE(this->node().accepts_requests());
    this->state_ready(2'000, "i-5", 8'000);
    EXPECT_TRUE(this->node().accepts_requests());
}

TEST_F(node_with_leaving_target, is_used_again_when_the_same_process_states_a_later_incarnation)
{
    this->state_ready(1'000, "i-5");
    EXPECT_TRUE(this->node().accepts_requests());
}

// Guards against a restarted process that is taken for the one which stated the leave, because its clock is
// coarse.
TEST_F(node_with_leaving_target, is_not_used_again_when_another_process_with_the_same_start_calls_it_ready)
{
    auto record = record_of(1'000, 6);
    record.instance = "i-5";
    record.state = report_state::ready;
    record.load.slots = 2;
    record.process_nonce = 7;
    (void)this->table.merge(record, member_table::origin::link, now);
    EXPECT_FALSE(this->node().accepts_requests());
}

TEST_F(node_with_leaving_target, remembers_the_last_sequence_number_of_the_incarnation)
{
    auto record = record_of(1'000, 6);
    record.instance = "i-5";
    record.state = report_state::gone;
    record.target_sequence = 12;
    (void)this->table.merge(record, member_table::origin::link, now);
    EXPECT_EQ(this->node().memory.sequence, 12U);
    this->state_leaving(2'000, "i-5", 0);
    EXPECT_EQ(this->node().memory.sequence, 12U);
    this->state_leaving(2'000, "i-6", 0);
    EXPECT_EQ(this->node().memory.sequence, 0U);
}

TEST_F(members, target_that_leaves_according_to_a_load_is_not_used)
{
    auto record = record_of(1'000, 5);
    record.state = report_state::ready;
    record.load.slots = 2;
    (void)this->table.merge(record, member_table::origin::link, now);
    EXPECT_TRUE(this->table.find("belem-1")->accepts_requests());
    target_load load{};
    load.left = true;
    this->table.update_load("belem-1", load, std::nullopt, now);
    EXPECT_FALSE(this->table.find("belem-1")->accepts_requests());
}

TEST_F(members, wait_for_the_limit_shortens_as_the_load_ages)
{
    (void)this->table.merge(record_of(1'000, 5), member_table::origin::link, now);
    target_load load{};
    load.limit_wait = milliseconds{500};
    this->table.update_load("belem-1", load, std::nullopt, now);
    EXPECT_EQ(this->table.find("belem-1")->load_at(now + milliseconds{200}).limit_wait, milliseconds{400});
    EXPECT_EQ(this->table.find("belem-1")->load_at(now + std::chrono::seconds{2}).limit_wait,
              microseconds{0});
}

} // namespace
} // namespace kumquatdrift
