#include <membership/mesh_fixture.hpp>

#include <kumquatdrift/membership/relays.hpp>

namespace kumquatdrift {
namespace {

constexpr milliseconds join_time{60'000};

class partition : public mesh_test {
protected:
    void assign_partition(const std::string& data_centre, int number)
    {
        for (auto& node : this->mesh.nodes) {
            node.partition = node.data_centre == data_centre ? number : node.partition;
        }
    }

    // Checks that nodes [by_first, by_first + by_count) see nodes [first, first + count) with a status.
    [[nodiscard]] bool members_see(std::size_t by_first, std::size_t by_count, std::size_t first,
                                   std::size_t count, member_status expected) const
    {
        for (std::size_t by = by_first; by < by_first + by_count; ++by) {
            for (std::size_t index = first; index < first + count; ++index) {
                if (this->status_seen_by(by, index) != expected) {
                    return false;
                }
            }
        }
        return true;
    }
};

// Guards against removing the members of a data centre that is partitioned for longer than the detection
// timeouts.
TEST_F(partition, partitioned_data_centre_is_unreachable_until_its_heartbeats_arrive_again)
{
    this->add_nodes(12, "alfama");
    this->add_nodes(12, "belem");
    ASSERT_TRUE(this->run_until_converged(join_time));
    this->assign_partition("belem", 1);
    const auto limit = this->mesh.settings.silence_timeout + milliseconds{5'000};
    EXPECT_TRUE(this->mesh.run(limit, [this] {
        return this->members_see(0, 12, 12, 12, member_status::unreachable) &&
               this->members_see(12, 12, 0, 12, member_status::unreachable);
    }));
    this->run(milliseconds{600'000});
    EXPECT_TRUE(this->members_see(0, 12, 12, 12, member_status::unreachable));
    EXPECT_TRUE(this->members_see(0, 12, 0, 12, member_status::alive));
    this->assign_partition("belem", 0);
    EXPECT_TRUE(this->mesh.run(milliseconds{10'000}, [this] {
        return this->members_see(0, 12, 12, 12, member_status::alive) &&
               this->members_see(12, 12, 0, 12, member_status::alive);
    }));
}

// Guards against a partition between two data centres that only relays detect, or that remains undetected
// because a third data centre reaches both.
TEST_F(partition, third_data_centre_does_not_hide_a_partition)
{
    this->add_nodes(6, "alfama");
    this->add_nodes(6, "belem");
    this->add_nodes(6, "graca");
    ASSERT_TRUE(this->run_until_converged(join_time));
    this->mesh.is_blocked = [](const simulated_node& from, const simulated_node& to) {
        return (from.data_centre == "alfama" && to.data_centre == "belem") ||
               (from.data_centre == "belem" && to.data_centre == "alfama");
    };
    this->run(this->mesh.settings.silence_timeout + milliseconds{5'000});
    EXPECT_TRUE(this->members_see(0, 6, 6, 6, member_status::unreachable));
    EXPECT_TRUE(this->members_see(0, 6, 12, 6, member_status::alive));
    EXPECT_TRUE(this->members_see(12, 6, 0, 12, member_status::alive));
}

// Guards against two halves of a data centre that consider each other dead after a network partition has
// ended.
TEST_F(partition, members_see_each_other_as_alive_after_a_partition_inside_a_data_centre)
{
    this->add_nodes(20, "olinda");
    ASSERT_TRUE(this->run_until_converged(join_time));
    for (std::size_t index = 10; index < 20; ++index) {
        this->mesh.nodes[index].partition = 1;
    }
    this->run(milliseconds{60'000});
    EXPECT_TRUE(this->members_see(0, 10, 10, 10, member_status::dead));
    EXPECT_TRUE(this->members_see(10, 10, 0, 10, member_status::dead));
    for (auto& node : this->mesh.nodes) {
        node.partition = 0;
        // Without contacts, only the probes of dead members can detect the end of the partition.
        node.state.contacts.clear();
    }
    EXPECT_TRUE(this->run_until_converged(milliseconds{45'000}));
}

// Guards against changes that reach other data centres only through the slower digest exchange.
TEST_F(partition, ready_target_is_known_to_other_data_centres_within_five_seconds)
{
    this->add_nodes(10, "alfama");
    this->add_nodes(10, "belem");
    this->add_nodes(10, "graca");
    ASSERT_TRUE(this->run_until_converged(join_time));
    for (std::size_t index = 1; index < 30; index += 4) {
        this->run(milliseconds{10'000});
        this->mesh.publish(index, [](auto& content) { ++content.targets[0].slots; });
        EXPECT_TRUE(
            this->mesh.run(milliseconds{5'000}, [&] { return this->all_see(index, member_status::alive); }));
    }
}

// Guards against a crash, a restart or a change during a partition that the other side never receives.
TEST_F(partition, changes_during_a_partition_reach_the_other_side_after_it)
{
    this->add_nodes(8, "alfama");
    this->add_nodes(8, "belem");
    ASSERT_TRUE(this->run_until_converged(join_time));
    this->assign_partition("belem", 1);
    this->run(milliseconds{5'000});
    this->mesh.nodes[9].running = false;
    this->mesh.restart(10);
    this->mesh.nodes[10].partition = 1;
    this->mesh.publish(3, [](auto& content) { content.targets.clear(); });
    this->run(milliseconds{90'000});
    this->assign_partition("belem", 0);
    EXPECT_TRUE(this->mesh.run(
        milliseconds{60'000}, [this] { return this->converged() && this->all_see(9, member_status::dead); }));
}

// Guards against a data centre that remains unreachable for the others after all of its nodes have restarted,
// because its heartbeat counter starts again at zero.
TEST_F(partition, data_centre_stays_reachable_after_all_of_its_nodes_restart)
{
    this->add_nodes(6, "alfama");
    this->add_nodes(6, "belem");
    ASSERT_TRUE(this->run_until_converged(join_time));
    this->run(milliseconds{120'000});
    for (std::size_t index = 6; index < 12; ++index) {
        this->mesh.restart(index);
    }
    ASSERT_TRUE(this->run_until_converged(milliseconds{60'000}));
    this->run(2 * this->mesh.settings.silence_timeout);
    EXPECT_TRUE(this->members_see(0, 6, 6, 6, member_status::alive));
}

// Guards against a data centre that loses the versions held by its nodes when all of them restart.
TEST_F(partition, version_floor_is_restored_from_another_data_centre)
{
    this->add_nodes(6, "alfama");
    this->add_nodes(6, "belem");
    ASSERT_TRUE(this->run_until_converged(join_time));
    for (std::size_t index = 6; index < 12; ++index) {
        this->mesh.publish(index, [](auto& content) { content.version = 41; });
    }
    ASSERT_TRUE(this->run_until_converged(join_time));
    for (std::size_t index = 6; index < 12; ++index) {
        this->mesh.restart(index);
        // Contacts are limited to the node's own data centre. A remote seed would send the version directly.
        this->mesh.nodes[index].state.contacts = {{"10.0.0.1", 7}, {"10.0.0.1", 8}};
    }
    this->run(milliseconds{60'000});
    for (std::size_t index = 6; index < 12; ++index) {
        EXPECT_EQ(this->mesh.nodes[index].state.version_floor, 41U) << index;
    }
}

// Guards against a dead relay that is not replaced, and against a failure that changes the other relays.
TEST_F(partition, relays_are_live_members_of_the_data_centre)
{
    this->add_nodes(8, "alfama");
    this->add_nodes(4, "belem");
    ASSERT_TRUE(this->run_until_converged(join_time));
    const auto before = relays_of(*view_of(this->mesh.nodes[0].state), "alfama");
    ASSERT_EQ(before.size(), 2U);
    const auto position = static_cast<std::size_t>(std::stoul(before[0].substr(before[0].find('-') + 1)));
    this->mesh.nodes[position].running = false;
    this->run(milliseconds{15'000});
    const auto after = relays_of(*view_of(this->mesh.nodes[position == 1 ? 2 : 1].state), "alfama");
    ASSERT_EQ(after.size(), 2U);
    EXPECT_EQ(after[0], before[1]);
    EXPECT_EQ(relay_count(218), 3U);
    EXPECT_EQ(relay_count(3), 2U);
}

} // namespace
} // namespace kumquatdrift
