#include <membership/mesh_fixture.hpp>

namespace kumquatdrift {
namespace {

constexpr std::size_t nodes = 200;
constexpr milliseconds join_time{60'000};

struct rates {
    double mean{};
    double highest{};
    double exchanges{};
};

class budget : public mesh_test {
protected:
    void SetUp() override
    {
        this->add_nodes(nodes, "recife-centro");
        ASSERT_TRUE(this->run_until_converged(join_time));
        this->run(milliseconds{30'000});
    }

    [[nodiscard]] static double sent(const membership_counters& counters)
    {
        return static_cast<double>(counters.probes_sent.bytes + counters.pushes_sent.bytes +
                                   counters.gossip_sent.bytes);
    }

    // Measures the bytes sent and received per node and second while `work` advances the clock.
    template<typename Work>
    rates measure(const std::string& label, Work work)
    {
        std::vector<membership_counters> before;
        for (const auto& node : this->mesh.nodes) {
            before.push_back(node.state.counters);
        }
        const auto began = this->mesh.now;
        work();
        const auto seconds = static_cast<double>((this->mesh.now - began).count()) / 1e6;
        rates measured;
        for (std::size_t index = 0; index < nodes; ++index) {
            const auto& after = this->mesh.nodes[index].state.counters;
            const auto datagrams =
                sent(after) - sent(before[index]) +
                static_cast<double>(after.datagrams_received.bytes - before[index].datagrams_received.bytes);
            const auto exchanged =
                static_cast<double>(after.exchanges_sent.bytes - before[index].exchanges_sent.bytes +
                                    after.exchanges_received.bytes - before[index].exchanges_received.bytes);
            measured.mean += (datagrams + exchanged) / seconds / nodes;
            measured.exchanges += exchanged / seconds / nodes;
            measured.highest = std::max(measured.highest, (datagrams + exchanged) / seconds);
        }
        std::cout << label << ": " << measured.mean
                  << " bytes per node and second sent and received, of which " << measured.exchanges
                  << " in exchanges; busiest node " << measured.highest << '\n';
        return measured;
    }
};

constexpr double limit = 12'000; // bytes per second, all control traffic of a node (design page, section 1.5)

// Guards against gossip that uses up the byte budget while nothing changes.
TEST_F(budget, idle_mesh_uses_a_small_part_of_the_budget)
{
    const auto measured = this->measure("idle", [this] { this->run(milliseconds{60'000}); });
    EXPECT_LT(measured.highest, limit / 4);
}

// Guards against version changes and restarts that exceed the byte budget. One version change per 40 seconds
// and one restart per 10 seconds are 2 times and 18 times the expected rates.
TEST_F(budget, churn_stays_within_the_budget_and_versions_converge)
{
    const auto measured = this->measure("under churn", [this] {
        for (std::uint32_t round = 1; round <= 12; ++round) {
            for (std::size_t index = 0; index < nodes && round % 4 == 1; ++index) {
                this->mesh.publish(index, [round](auto& content) { content.version = round; });
            }
            const auto leaving = round * 7;
            this->mesh.publish(leaving, [](auto& content) { content.state = member_state::draining; });
            this->run(milliseconds{5'000});
            const auto counters = this->mesh.nodes[leaving].state.counters;
            this->mesh.restart(leaving);
            this->mesh.nodes[leaving].state.counters = counters;
            this->mesh.publish(leaving, [round](auto& content) { content.version = round; });
            this->run(milliseconds{5'000});
        }
    });
    EXPECT_LT(measured.highest, limit);
    const auto began = this->mesh.now;
    EXPECT_TRUE(this->run_until_converged(milliseconds{60'000}));
    std::cout << "records converged " << (this->mesh.now - began).count() / 1'000 << " ms after the churn\n";
    EXPECT_LT(this->mesh.largest_datagram, max_datagram_bytes);
}

// Guards against a burst of urgent changes that exceeds the byte budget: all targets drain at the same time.
TEST_F(budget, mass_drain_stays_within_the_budget_and_converges)
{
    const auto measured = this->measure("mass drain", [this] {
        for (std::size_t index = 0; index < nodes; ++index) {
            this->mesh.publish(index,
                               [](auto& content) { content.targets[0].state = target_state::draining; });
        }
        this->run(milliseconds{60'000});
    });
    EXPECT_LT(measured.highest, limit);
    EXPECT_TRUE(this->run_until_converged(milliseconds{60'000}));
}

} // namespace
} // namespace kumquatdrift
