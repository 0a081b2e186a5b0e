#include <membership/mesh_fixture.hpp>

namespace kumquatdrift {
namespace {

constexpr std::size_t nodes = 200;
constexpr milliseconds join_time{60'000};

struct rates {
    double mean{};
    double most{};
    double exchanges{};
};

class budget : public mesh_test {
protected:
    void SetUp() override
    {
        this->add(nodes, "recife-centro");
        ASSERT_TRUE(this->settle(join_time));
        this->run(milliseconds{30'000});
    }

    [[nodiscard]] static double sent(const membership_counters& counters)
    {
        return static_cast<double>(counters.probes_sent.bytes + counters.pushes_sent.bytes +
                                   counters.gossip_sent.bytes);
    }

    // Sent and received bytes per node and second of `work`, which moves the clock.
    template<typename Work>
    rates measure(const std::string& name, Work work)
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
            measured.most = std::max(measured.most, (datagrams + exchanged) / seconds);
        }
        std::cout << name << ": " << measured.mean
                  << " bytes per node and second sent and received, of which " << measured.exchanges
                  << " in exchanges; busiest node " << measured.most << '\n';
        return measured;
    }
};

constexpr double limit = 12'000; // section 1.5: all control traffic of a node

// Guards against gossip that uses up the byte budget when nothing happens.
TEST_F(budget, rest_uses_a_small_part)
{
    const auto measured = this->measure("at rest", [this] { this->run(milliseconds{60'000}); });
    EXPECT_LT(measured.most, limit / 4);
}

// Guards against version changes and restarts that exceed the byte budget. One version change per 40
// seconds and one restart per 10 seconds are twice and eighteen times the expected rates.
TEST_F(budget, churn_stays_inside_and_versions_converge)
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
    EXPECT_LT(measured.most, limit);
    const auto began = this->mesh.now;
    EXPECT_TRUE(this->settle(milliseconds{60'000}));
    std::cout << "records converged " << (this->mesh.now - began).count() / 1'000 << " ms after the churn\n";
    EXPECT_LT(this->mesh.largest, max_datagram_bytes);
}

// Guards against a storm of urgent changes that exceeds the byte budget: all nodes drain at once.
TEST_F(budget, mass_drain_stays_inside_and_converges)
{
    const auto measured = this->measure("mass drain", [this] {
        for (std::size_t index = 0; index < nodes; ++index) {
            this->mesh.publish(index,
                               [](auto& content) { content.targets[0].state = target_state::draining; });
        }
        this->run(milliseconds{60'000});
    });
    EXPECT_LT(measured.most, limit);
    EXPECT_TRUE(this->settle(milliseconds{60'000}));
}

} // namespace
} // namespace kumquatdrift
