#include <membership/mesh_fixture.hpp>

namespace kumquatdrift {
namespace {

constexpr milliseconds join_time{30'000};
constexpr milliseconds crash_detection_time{12'000};
constexpr milliseconds drain_time{1'000};

using detection = mesh_test;

// Guards against a crashed node that is not declared dead in time and continues to receive requests.
TEST_F(detection, crash_is_detected_by_all_nodes_of_the_data_centre_in_time)
{
    this->add_nodes(60, "olinda");
    ASSERT_TRUE(this->run_until_converged(join_time));
    this->mesh.nodes[7].running = false;
    const auto began = this->mesh.now;
    EXPECT_TRUE(
        this->mesh.run(crash_detection_time, [this] { return this->all_see(7, member_status::dead); }));
    RecordProperty("milliseconds", static_cast<int>((this->mesh.now - began).count() / 1'000));
}

// Guards against declaring live members dead under packet loss, which takes healthy targets out of use.
TEST_F(detection, lossy_network_declares_no_live_member_dead)
{
    this->add_nodes(30, "olinda");
    ASSERT_TRUE(this->run_until_converged(join_time));
    this->mesh.loss_percent = 20;
    for (int second = 0; second < 120; ++second) {
        this->run(milliseconds{1'000});
        for (std::size_t index = 0; index < 30; ++index) {
            ASSERT_NE(this->status_seen_by(index == 0 ? 1 : 0, index), member_status::dead);
        }
    }
}

// Guards against suspicions of a live member when only the link between two members is broken.
TEST_F(detection, indirect_probes_prevent_suspicions_when_one_link_is_broken)
{
    this->add_nodes(6, "olinda");
    ASSERT_TRUE(this->run_until_converged(join_time));
    this->mesh.is_blocked = [this](const simulated_node& from, const simulated_node& to) {
        const auto* first = this->mesh.nodes.data();
        return (&from == first && &to == first + 1) || (&from == first + 1 && &to == first);
    };
    this->run(milliseconds{60'000});
    EXPECT_EQ(this->mesh.nodes[0].state.counters.suspicions, 0U);
    EXPECT_EQ(this->mesh.nodes[1].state.counters.suspicions, 0U);
}

// Guards against a false suspicion that persists on some nodes. The suspect refutes it with a new sequence.
TEST_F(detection, false_suspicion_is_refuted_by_a_higher_sequence)
{
    this->add_nodes(10, "olinda");
    ASSERT_TRUE(this->run_until_converged(join_time));
    auto& suspecting = this->mesh.nodes[2].state;
    const auto before = this->member_seen_by(2, 5)->record.sequence;
    auto* suspect = internal::find_key(suspecting, internal::key_of("olinda-5"));
    internal::set_status(suspecting, *suspect, member_status::suspect, this->mesh.now);
    this->run(suspecting.settings.suspicion_timeout);
    EXPECT_TRUE(this->run_until_converged(milliseconds{2'000}));
    EXPECT_GT(this->member_seen_by(2, 5)->record.sequence, before);
    EXPECT_EQ(this->mesh.nodes[5].state.counters.refutations, 1U);
}

// Guards against a process that, after a pause, suspects the other members or is still dead in their tables.
TEST_F(detection, paused_node_resumes_without_false_suspicions)
{
    this->add_nodes(20, "olinda");
    ASSERT_TRUE(this->run_until_converged(join_time));
    this->run(milliseconds{1'500});
    this->mesh.nodes[3].paused = true;
    EXPECT_TRUE(
        this->mesh.run(crash_detection_time, [this] { return this->all_see(3, member_status::dead); }));
    this->run(milliseconds{20'000});
    this->mesh.nodes[3].paused = false;
    const auto suspicions = this->mesh.nodes[3].state.counters.suspicions;
    EXPECT_TRUE(this->run_until_converged(milliseconds{10'000}));
    EXPECT_EQ(this->mesh.nodes[3].state.counters.suspicions, suspicions);
    EXPECT_EQ(this->mesh.nodes[3].state.counters.pauses, 1U);
}

class drain : public mesh_test, public testing::WithParamInterface<std::uint32_t> {};

// Guards against new requests for a draining target, from its own data centre and from all others.
TEST_P(drain, target_drain_reaches_all_nodes_within_a_second)
{
    this->add_nodes(120, "recife-centro");
    this->add_nodes(40, "caruaru");
    this->add_nodes(40, "olinda");
    ASSERT_TRUE(this->run_until_converged(2 * join_time));
    this->mesh.loss_percent = GetParam();
    for (const std::size_t index : {0U, 50U, 130U, 170U}) {
        this->run(milliseconds{2'000});
        this->mesh.publish(index, [](auto& content) { content.targets[0].state = target_state::draining; });
        const auto drained = [&] {
            for (std::size_t by = 0; by < this->mesh.nodes.size(); ++by) {
                if (this->member_seen_by(by, index)->record.targets[0].state != target_state::draining) {
                    return false;
                }
            }
            return true;
        };
        const auto began = this->mesh.now;
        EXPECT_TRUE(this->mesh.run(drain_time, drained)) << index;
        std::cout << "drain of node " << index << " reached 200 nodes in "
                  << (this->mesh.now - began).count() / 1'000 << " ms\n";
    }
}

INSTANTIATE_TEST_SUITE_P(loss, drain, testing::Values(0U, 5U));

// Guards against changes that spread only with probes, at about a second per hop, so that a new target
// receives its first request late.
TEST_F(detection, ready_target_is_known_to_the_data_centre_within_three_seconds)
{
    this->add_nodes(100, "olinda");
    ASSERT_TRUE(this->run_until_converged(join_time));
    this->run(join_time);
    this->mesh.publish(3, [](auto& content) { ++content.targets[0].slots; });
    EXPECT_TRUE(
        this->mesh.run(milliseconds{3'000}, [this] { return this->all_see(3, member_status::alive); }));
}

// Guards against the record of a crashed process that takes precedence over that of the restarted one.
TEST_F(detection, restarted_process_replaces_its_earlier_record)
{
    this->add_nodes(10, "olinda");
    ASSERT_TRUE(this->run_until_converged(join_time));
    for (int change = 0; change < 5; ++change) {
        this->mesh.publish(4, [](auto& content) { ++content.targets[0].slots; });
    }
    ASSERT_TRUE(this->run_until_converged(milliseconds{20'000}));
    const auto old_start = this->member_seen_by(0, 4)->record.start_time;
    this->mesh.restart(4);
    EXPECT_TRUE(this->run_until_converged(milliseconds{15'000}));
    EXPECT_GT(this->member_seen_by(0, 4)->record.start_time, old_start);
    EXPECT_EQ(this->member_seen_by(0, 4)->record.targets[0].slots, 10U);
}

// Guards against members that have left but are probed, declared dead or never removed.
TEST_F(detection, member_that_left_is_not_probed_and_is_removed_in_time)
{
    this->add_nodes(5, "olinda");
    ASSERT_TRUE(this->run_until_converged(join_time));
    this->mesh.publish(4, [](auto& content) { content.state = member_state::left; });
    this->run(milliseconds{3'000});
    this->mesh.nodes[4].running = false;
    this->run(crash_detection_time);
    EXPECT_EQ(this->member_seen_by(0, 4)->record.state, member_state::left);
    EXPECT_EQ(this->member_seen_by(0, 4)->status, member_status::alive);
    this->run(this->mesh.settings.left_retention);
    EXPECT_EQ(this->member_seen_by(0, 4), nullptr);
}

} // namespace
} // namespace kumquatdrift
