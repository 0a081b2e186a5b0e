#include <kumquatdrift/mesh/config_fetch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

/*! @brief Time from the acknowledgement of a version until it has to be in force, as the users require. */
constexpr microseconds apply_limit{2'000'000};
/*! @brief Time after an impairment from which the limit holds, as the users state it. */
constexpr microseconds stable_window{3'000'000};
constexpr microseconds step{10'000};
constexpr microseconds network_delay{20'000};
constexpr microseconds ping_interval{900'000};

/*! @brief A node with its view of the others, its read of the store and its questions to other nodes. */
struct simulated_node {
    std::string name{};
    std::string data_centre{};
    config_fetch fetch{};
    member_table members{};
    bool follows{};
    /*! @brief True if its connection to the store delivers nothing more. */
    bool store_silent{};
    timestamp poll_began{};
    timestamp next_ping{};
};

/*! @brief Nodes of three data centres that get versions from the store and from each other. */
class simulated_mesh {
public:
    simulated_mesh(std::size_t count, std::uint64_t seed) : rng{seed}
    {
        for (std::size_t index = 0; index < count; ++index) {
            auto& node = this->nodes.emplace_back();
            node.name = "node-" + std::to_string(index);
            node.data_centre = std::string(1, static_cast<char>('a' + index % 3));
            set_version_in_force(node.fetch, 1);
            node.fetch.started = this->now;
            node.poll_began = this->now;
            node.next_ping = this->now + full_jitter(this->rng, ping_interval);
        }
        for (auto& node : this->nodes) {
            for (const auto& other : this->nodes) {
                if (other.name != node.name) {
                    node.members.merge(record_of(other), member_table::origin::link, this->now);
                    node.members.find(other.name)->reachable = true;
                }
            }
            // Past the time in which all nodes follow the store.
            node.fetch.follows_until = this->now;
        }
    }

    void publish()
    {
        this->acknowledged.emplace(++this->newest, this->now);
    }

    /*! @brief Leaves all open connections to the store without answers; new ones work. */
    void silence_store_connections()
    {
        for (auto& node : this->nodes) {
            node.store_silent = true;
        }
    }

    /*! @brief Returns the longest time that a node ran an older version after one was acknowledged. */
    microseconds run(microseconds time)
    {
        microseconds longest{0};
        for (const auto end = this->now + time; this->now < end; this->now += step) {
            this->deliver();
            for (auto& node : this->nodes) {
                this->run_node(node);
                longest = std::max(longest, this->lag(node));
            }
        }
        return longest;
    }

    /*! @brief Nodes that tell their version and leave questions for the configuration unanswered. */
    std::set<std::string> mute{};

    /*! @brief False if the store turns away the nodes that don't follow it. */
    bool store_serves_all{true};
    std::vector<simulated_node> nodes{};

private:
    static member_record record_of(const simulated_node& node)
    {
        member_record record{};
        record.node = node.name;
        record.data_centre = node.data_centre;
        record.ip = "10.0.0.1";
        record.port = 1;
        record.config_version = node.fetch.version;
        return record;
    }

    microseconds lag(const simulated_node& node) const
    {
        const auto missing = this->acknowledged.upper_bound(node.fetch.version);
        return missing == this->acknowledged.end() ? microseconds{0} : this->now - missing->second;
    }

    void later(std::function<void()> event)
    {
        this->events.emplace(this->now + network_delay, std::move(event));
    }

    void deliver()
    {
        while (!this->events.empty() && this->events.begin()->first <= this->now) {
            const auto event = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            event();
        }
    }

    void install(simulated_node& node, std::uint32_t version)
    {
        if (version <= node.fetch.version) {
            return;
        }
        set_version_in_force(node.fetch, version);
        if (node.follows) {
            this->tell_all(node);
        }
    }

    void tell_all(simulated_node& node)
    {
        for (auto& other : this->nodes) {
            if (&other != &node) {
                this->later([this, &other, &node, version = node.fetch.version] {
                    if (auto* known = other.members.find(node.name)) {
                        known->record.config_version = version;
                    }
                    observe_version(other.fetch, version, this->now);
                });
            }
        }
    }

    void run_node(simulated_node& node)
    {
        node.follows = follows_store(node.fetch, record_of(node), node.members, this->now);
        if (node.next_ping <= this->now) {
            node.next_ping = this->now + ping_interval;
            this->tell_all(node);
        }
        if (node.follows) {
            this->poll_store(node);
        }
        else if (take_store_read(node.fetch, this->now) && this->store_serves_all) {
            this->later([this, &node] { this->install(node, this->newest); });
        }
        if (const auto source =
                next_source(node.fetch, node.members, node.data_centre, this->now, this->rng)) {
            this->ask(node, *source);
        }
    }

    void poll_store(simulated_node& node)
    {
        if (!node.store_silent && this->newest > node.fetch.version) {
            this->later([this, &node] { this->install(node, this->newest); });
        }
        const auto waited = this->now - node.poll_began;
        if (waited >= store_poll_time + (node.store_silent ? store_answer_timeout : microseconds{0})) {
            node.store_silent = false;
            node.poll_began = this->now;
        }
    }

    void ask(simulated_node& node, const std::string& source)
    {
        if (this->mute.contains(source)) {
            return;
        }
        this->later([this, &node, source] {
            const auto found = std::find_if(this->nodes.begin(), this->nodes.end(),
                                            [&](const auto& each) { return each.name == source; });
            this->later([this, &node, source, version = found->fetch.version] {
                this->install(node, version);
                on_source_response(node.fetch, source, microseconds{0}, this->now);
            });
        });
    }

    timestamp now{std::chrono::seconds{100}};
    random_engine rng;
    std::uint32_t newest{1};
    std::map<std::uint32_t, timestamp> acknowledged{};
    std::multimap<timestamp, std::function<void()>> events{};
};

/*! @brief Twelve nodes in three data centres; the parameter is the seed. */
class mesh_of_12_nodes : public testing::TestWithParam<std::uint64_t> {
protected:
    simulated_mesh mesh{12, GetParam()};
};

// Guards against followers that wait for a store whose connections died without a reset, while no node knows
// the version.
TEST_P(mesh_of_12_nodes, gets_a_version_in_time_after_connections_to_the_store_went_silent)
{
    (void)this->mesh.run(microseconds{500'000});
    this->mesh.silence_store_connections();
    this->mesh.publish();
    EXPECT_LE(this->mesh.run(microseconds{40'000'000}), stable_window);
}

// Guards against nodes that wait for sources which don't respond for longer than a version may take.
TEST_P(mesh_of_12_nodes, gets_a_version_in_time_while_some_nodes_answer_no_questions)
{
    this->mesh.mute = {"node-0", "node-1", "node-2", "node-3", "node-4", "node-5", "node-6"};
    this->mesh.store_serves_all = false;
    this->mesh.publish();
    EXPECT_LE(this->mesh.run(microseconds{10'000'000}), apply_limit);
}

// Guards against nodes that fall further behind with each version of a series.
TEST_P(mesh_of_12_nodes, keeps_up_with_versions_that_follow_each_other_without_a_pause)
{
    microseconds longest{0};
    for (int version = 0; version < 40; ++version) {
        this->mesh.publish();
        longest = std::max(longest, this->mesh.run(microseconds{250'000}));
    }
    EXPECT_LE(longest, apply_limit);
}

INSTANTIATE_TEST_SUITE_P(seeds, mesh_of_12_nodes, testing::Range(std::uint64_t{1}, std::uint64_t{11}));

} // namespace
} // namespace kumquatdrift
