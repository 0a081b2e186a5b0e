#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <kumquatdrift/routing/holder.hpp>

#include "support/mesh_builders.hpp"

namespace kumquatdrift {
namespace {

class holder : public testing::Test {
protected:
    bool offer(config_version version, const std::vector<std::string>& services = {"balcao"})
    {
        auto config = std::make_shared<effective_config>(make_config(version, services));
        return this->snapshots.offer_config(std::move(config), this->now);
    }

    bool offer_view(std::uint64_t generation, std::uint64_t synchronisations)
    {
        this->view.generation = generation;
        this->view.endpoint_generation = generation;
        this->view.synchronisations = synchronisations;
        return this->snapshots.offer_view(std::make_shared<member_view>(this->view), this->now);
    }

    [[nodiscard]] config_version in_force() const
    {
        const auto snapshot = this->snapshots.current();
        return snapshot ? snapshot->version : 0;
    }

    snapshot_holder snapshots{milliseconds{2'000}};
    member_view view{.self = "n1", .generation = 0, .synchronisations = 0, .members = {}};
    timestamp now{milliseconds{5}};
};

// Guards against a new route that comes into force before this node has received the targets of its service.
TEST_F(holder, new_version_is_pending_until_the_view_is_synchronised)
{
    this->offer_view(1, 3);
    EXPECT_FALSE(this->offer(10));
    EXPECT_FALSE(this->offer_view(2, 3));
    EXPECT_EQ(this->in_force(), 0U);
    EXPECT_TRUE(this->offer_view(2, 4));
    EXPECT_EQ(this->in_force(), 10U);
}

// Guards against a version that waits for a synchronisation although it defines no new service.
TEST_F(holder, version_without_new_service_comes_into_force_at_once)
{
    this->offer(10, {"balcao", "atelier"});
    this->offer_view(1, 1);
    ASSERT_EQ(this->in_force(), 10U);
    EXPECT_TRUE(this->offer(11, {"balcao"}));
    EXPECT_EQ(this->in_force(), 11U);
}

// Guards against a stale view of a service that was removed and is defined again by a later version.
TEST_F(holder, version_that_redefines_a_removed_service_is_pending)
{
    this->offer(10, {"balcao", "atelier"});
    this->offer_view(1, 1);
    this->offer(11, {"balcao"});
    EXPECT_FALSE(this->offer(12, {"balcao", "atelier"}));
    EXPECT_EQ(this->in_force(), 11U);
    EXPECT_TRUE(this->offer_view(1, 2));
    EXPECT_EQ(this->in_force(), 12U);
}

// Guards against a node without peers on which no version ever comes into force.
TEST_F(holder, pending_time_of_a_node_without_peers_is_bounded)
{
    EXPECT_FALSE(this->offer(10));
    this->now += milliseconds{1'000};
    EXPECT_FALSE(this->offer(11));
    this->now += milliseconds{1'000};
    EXPECT_TRUE(this->snapshots.tick(this->now));
    EXPECT_EQ(this->in_force(), 10U);
    this->now += milliseconds{1'000};
    EXPECT_TRUE(this->snapshots.tick(this->now));
    EXPECT_EQ(this->in_force(), 11U);
}

// Guards against a version in force that decreases when updates arrive out of order.
TEST_F(holder, older_or_equal_version_is_ignored)
{
    this->offer(10);
    this->offer_view(1, 1);
    ASSERT_EQ(this->in_force(), 10U);
    EXPECT_FALSE(this->offer(9));
    EXPECT_FALSE(this->offer(10));
    EXPECT_FALSE(this->snapshots.last_reason().empty());
    this->offer(12);
    EXPECT_FALSE(this->offer(11));
    this->offer_view(2, 2);
    EXPECT_EQ(this->in_force(), 12U);
}

// Guards against an invalid version that replaces the version in force, completely or partly.
TEST_F(holder, invalid_version_leaves_the_previous_one_in_force)
{
    this->offer(10);
    this->offer_view(1, 1);
    auto invalid = std::make_shared<effective_config>(make_config(11, {"balcao"}));
    invalid->routes["balcao"].service = "absent";
    EXPECT_FALSE(this->snapshots.offer_config(invalid, this->now));
    EXPECT_EQ(this->snapshots.pending_version(), 0U);
    this->offer_view(2, 9);
    EXPECT_EQ(this->in_force(), 10U);
}

// Guards against removed endpoints that reappear when an older view arrives late.
TEST_F(holder, view_of_an_older_generation_is_ignored)
{
    this->offer(10);
    add_node(this->view, "n2", "alfama", "balcao");
    this->offer_view(5, 1);
    ASSERT_EQ(this->snapshots.current()->services[0].endpoints.size(), 1U);
    this->view.members.clear();
    EXPECT_FALSE(this->offer_view(4, 2));
    EXPECT_EQ(this->snapshots.current()->services[0].endpoints.size(), 1U);
    EXPECT_TRUE(this->offer_view(6, 2));
    EXPECT_TRUE(this->snapshots.current()->services[0].endpoints.empty());
}

// Guards against new requests to draining targets and to unavailable nodes.
TEST_F(holder, only_live_nodes_and_targets_that_do_not_drain_become_endpoints)
{
    add_node(this->view, "n1", "alfama", "balcao");
    add_node(this->view, "n2", "belem", "balcao").status = member_status::suspect;
    add_node(this->view, "n3", "alfama", "balcao").status = member_status::dead;
    add_node(this->view, "n4", "graca", "balcao").status = member_status::unreachable;
    add_node(this->view, "n5", "alfama", "balcao").record.state = member_state::draining;
    add_node(this->view, "n6", "alfama", "balcao").record.state = member_state::joining;
    add_node(this->view, "n7", "alfama", "balcao").record.targets[0].state = target_state::draining;
    add_node(this->view, "n8", "alfama", "balcao").record.targets[0].state = target_state::cold;
    add_node(this->view, "n9", "alfama", "unknown");
    this->offer(10);
    this->offer_view(1, 1);
    std::vector<std::string> keys;
    for (const auto& candidate : this->snapshots.current()->services[0].endpoints) {
        keys.push_back(candidate.key + (candidate.own ? " own" : "") + (candidate.local ? " local" : ""));
    }
    EXPECT_EQ(keys, (std::vector<std::string>{"n1/t own local", "n8/t local", "n2/t"}));
}

// Guards against a rebuild whenever a node reports another configuration version. In a mesh of 2,400 nodes,
// each edit causes 2,400 such reports.
TEST_F(holder, view_with_unchanged_endpoints_keeps_the_snapshot)
{
    this->offer(10);
    this->offer_view(1, 1);
    const auto before = this->snapshots.current();
    ++this->view.generation;
    EXPECT_FALSE(this->snapshots.offer_view(std::make_shared<member_view>(this->view), this->now));
    EXPECT_EQ(this->snapshots.current(), before);
}

// Guards against a reader that sees a partly built snapshot, or an older snapshot after a newer one.
TEST_F(holder, readers_in_other_threads_see_whole_snapshots_in_order)
{
    std::atomic<bool> is_done{false};
    std::atomic<int> faults{0};
    std::thread reader{[&] {
        config_version last = 0;
        while (!is_done) {
            const auto seen = this->snapshots.current();
            if (!seen) {
                continue;
            }
            const auto has_expected_services = seen->services.size() == 1 + seen->version % 2;
            faults +=
                has_expected_services && seen->routes.size() == seen->services.size() && seen->version >= last
                    ? 0
                    : 1;
            last = seen->version;
        }
    }};
    for (config_version version = 1; version <= 2'000; ++version) {
        const std::vector<std::string> two_services{"balcao", "atelier"};
        this->offer(version, version % 2 == 1 ? two_services : std::vector<std::string>{"balcao"});
        this->offer_view(version, version);
    }
    is_done = true;
    reader.join();
    EXPECT_EQ(faults, 0);
    EXPECT_EQ(this->in_force(), 2'000U);
}

} // namespace
} // namespace kumquatdrift
