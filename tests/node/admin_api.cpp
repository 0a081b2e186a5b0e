#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "node/admin_api.hpp"

namespace kumquatdrift::internal {
namespace {

class announcement_body : public testing::Test {
protected:
    static std::string reason_of(const std::string& body)
    {
        return parse_announcement(body).last_reason();
    }
};

// Guards against a target that is published with values other than the announced ones.
TEST_F(announcement_body, complete_body_is_accepted)
{
    const auto parsed = parse_announcement(
        R"({"id":"t1","service":"balcao","address":"127.0.0.1:9","slots":20,"state":"cold","ttl_ms":3000})");
    ASSERT_TRUE(parsed) << parsed.last_reason();
    EXPECT_EQ(parsed->target.slots, 20U);
    EXPECT_EQ(parsed->target.state, target_state::cold);
    EXPECT_EQ(parsed->ttl, milliseconds{3000});
}

// Guards against a crash on invalid input and against errors that do not name the accepted values.
TEST_F(announcement_body, invalid_bodies_are_rejected_with_the_member_and_the_range)
{
    EXPECT_NE(reason_of("").find("not valid JSON"), std::string::npos);
    EXPECT_NE(reason_of("[]").find("JSON object"), std::string::npos);
    EXPECT_NE(reason_of(R"({"id":"t","extra":1})").find("\"extra\" is not known"), std::string::npos);
    EXPECT_NE(reason_of(R"({"service":"s"})").find("\"id\""), std::string::npos);
    EXPECT_NE(reason_of(R"({"id":"t","service":"s","address":"a","slots":0,"state":"ready","ttl_ms":3000})")
                  .find("from 1 to"),
              std::string::npos);
    EXPECT_NE(reason_of(R"({"id":"t","service":"s","address":"a","slots":1,"state":"warm","ttl_ms":3000})")
                  .find("cold, ready or draining"),
              std::string::npos);
}

class node_readiness : public testing::Test {
protected:
    node_readiness()
    {
        member_view view;
        view.self = "a-1";
        view.members["a-1"].record.data_centre = "a";
        view.members["b-1"].record.data_centre = "b";
        this->status.view = std::make_shared<const member_view>(view);
        this->status.in_force = 3;
    }

    node_status status{};
};

// Guards against requests to a node that has no configuration, and so no routes, yet.
TEST_F(node_readiness, node_without_version_is_not_ready)
{
    EXPECT_TRUE(evaluate_readiness(this->status).ready);
    this->status.in_force = 0;
    EXPECT_FALSE(evaluate_readiness(this->status).ready);
}

// Guards against a restarted node that serves with an older configuration version than before its restart.
TEST_F(node_readiness, node_below_its_version_floor_is_not_ready)
{
    this->status.distribution.version_floor = 4;
    EXPECT_FALSE(evaluate_readiness(this->status).ready);
}

// Guards against nodes that stop serving when a network partition separates them from another data centre,
// and against a partition that the readiness does not report.
TEST_F(node_readiness, unreachable_data_centre_is_reported_and_node_stays_ready)
{
    auto view = *this->status.view;
    view.members["b-1"].status = member_status::unreachable;
    this->status.view = std::make_shared<const member_view>(view);
    const auto current = evaluate_readiness(this->status);
    EXPECT_TRUE(current.ready);
    ASSERT_EQ(current.conditions.size(), 1U);
    EXPECT_EQ(current.conditions.front(), "data centre b is unreachable");
}

} // namespace
} // namespace kumquatdrift::internal
