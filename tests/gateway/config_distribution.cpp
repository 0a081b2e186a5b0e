#include <gateway/peers.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <support/gateway_world.hpp>
#include <support/relay.hpp>

namespace kumquatdrift {
namespace {

constexpr std::size_t node_count = 8;
constexpr std::uint32_t newest_version = 5;
/*! @brief Size of the configuration of 1,612 routes with which the failure was seen. */
constexpr std::size_t document_bytes = 250'000;
/*! @brief Bytes per second of the line of 6 Mbit/s with which the failure was seen. */
constexpr std::uint64_t slow_line_rate = 750'000;

/*! @brief Returns a document of routes whose names and values vary. */
std::string make_document()
{
    random_engine rng{7};
    std::string document{R"({"version":"00000005","virtual_hosts":[{"host":"desk.example","paths":[)"};
    while (document.size() < document_bytes) {
        document += fmt::format(
            R"({{"name":"route-{0:x}","path_prefix":"/{0:x}/{1}/","kind":"{2}","service":"service-{3}",)"
            R"("timeout_s":{4},"target_latency_s":{5}.{6},"max_attempts":{7}}},)",
            rng(), rng() % 1'000, rng() % 2 == 0 ? "idempotent" : "upload", rng() % 40, 2 + (rng() % 20),
            rng() % 2, rng() % 1'000, 1 + (rng() % 3));
    }
    document.back() = ']';
    return document + "}]}";
}

mesh_config_ptr make_config(std::uint32_t version, std::string document)
{
    auto config = std::make_shared<mesh_config>();
    config->version = version;
    config->document = std::move(document);
    return config;
}

/*! @brief A node that applies received configurations as the gateway does, behind a relay. */
struct relayed_node {
    relayed_node(gateway_world& shared, std::string node, node_relay::transfer_callback on_transfer)
        : world{shared}, name{std::move(node)}
    {
        const auto bound = this->links.listen({"127.0.0.1", 0});
        EXPECT_TRUE(bound);
        this->relay =
            std::make_unique<node_relay>(this->world.loop, this->name, *bound, std::move(on_transfer));
    }

    [[nodiscard]] member_record record()
    {
        member_record own{};
        own.node = this->name;
        own.ip = "127.0.0.1";
        own.port = this->relay->port();
        own.started_ms = 1'000;
        own.revision = ++this->last_revision;
        own.config_version = this->config ? this->config->version : 0;
        return own;
    }

    void on_config(std::uint32_t version, const std::string& document)
    {
        this->documents.push_back(document);
        if (!this->config || version > this->config->version) {
            this->config = make_config(version, document);
            this->links.set_config(this->config);
            this->links.broadcast_state();
        }
    }

    [[nodiscard]] bool reaches(const relayed_node& other)
    {
        const auto* known = this->links.members().find(other.name);
        return known != nullptr && known->reachable;
    }

    gateway_world& world;
    std::string name;
    std::uint64_t last_revision{};
    mesh_config_ptr config{};
    /*! @brief All received documents. */
    std::vector<std::string> documents{};
    crash_quarantine quarantine{};
    target_host host{
        {this->world.loop, this->world.platform, this->world.log, this->world.metrics, this->quarantine},
        this->name,
        std::chrono::seconds{60},
        [] {}};
    random_engine rng{1};
    std::unique_ptr<node_relay> relay{};
    peers links{
        {this->world.loop, this->world.log, this->host, this->quarantine, this->rng, this->world.metrics},
        [this] { return this->record(); },
        [this](std::uint32_t version, const std::string& document) { this->on_config(version, document); }};
};

/*! @brief Nodes that run a large configuration, and one more that starts without a configuration. */
class nodes_with_large_configuration : public testing::Test {
protected:
    nodes_with_large_configuration()
    {
        const auto config = make_config(newest_version, this->document);
        for (std::size_t index = 1; index < node_count; ++index) {
            this->add_node("node-" + std::to_string(index));
            this->nodes.back()->config = config;
            this->nodes.back()->links.set_config(config);
        }
        this->link_all();
        EXPECT_TRUE(this->world.run_until([this] { return this->all_reach_each_other(); }));
    }

    /*! @brief Starts the node without a configuration. */
    relayed_node& start_node()
    {
        this->add_node("starting");
        this->link_all();
        return *this->nodes.back();
    }

    void add_node(const std::string& name)
    {
        this->nodes.push_back(std::make_unique<relayed_node>(
            this->world, name, [this](const std::string& receiver, std::size_t bytes) {
                this->received_bytes[receiver] += bytes;
                return receiver == "starting" ? this->delivery_time(bytes) : boot_now();
            }));
    }

    /*! @brief Announces all nodes to all others, as the store does. */
    void link_all()
    {
        for (const auto& node : this->nodes) {
            for (const auto& other : this->nodes) {
                node->links.on_member(other->record());
            }
        }
    }

    [[nodiscard]] bool all_reach_each_other()
    {
        for (const auto& node : this->nodes) {
            for (const auto& other : this->nodes) {
                if (node != other && !node->reaches(*other)) {
                    return false;
                }
            }
        }
        return true;
    }

    /*! @brief Returns when bytes that arrive now leave the line of the starting node. */
    timestamp delivery_time(std::size_t bytes)
    {
        if (this->line_rate == 0) {
            return boot_now();
        }
        this->line_free_at =
            std::max(this->line_free_at, boot_now()) + microseconds{bytes * 1'000'000 / this->line_rate};
        return this->line_free_at;
    }

    const std::string document{make_document()};
    gateway_world world{};
    std::vector<std::unique_ptr<relayed_node>> nodes{};
    /*! @brief Bytes that each node received over all its links. */
    std::map<std::string, std::uint64_t> received_bytes{};
    /*! @brief Bytes per second that reach the starting node over all its links; 0 for no limit. */
    std::uint64_t line_rate{};
    timestamp line_free_at{};
};

/*! @brief Maximum number of bytes that a starting node should receive: no second document. */
constexpr std::uint64_t max_received_bytes = document_bytes * 3 / 2 + node_count * 20'000;

TEST_F(nodes_with_large_configuration, starting_node_receives_the_configuration_once_not_from_each_node)
{
    auto& starting = this->start_node();
    this->world.run_for(std::chrono::seconds{2});
    ASSERT_EQ(starting.documents.size(), 1U);
    EXPECT_TRUE(starting.documents.front() == this->document);
    EXPECT_EQ(starting.record().config_version, newest_version);
}

TEST_F(nodes_with_large_configuration, starting_node_receives_few_bytes_beside_one_document)
{
    auto& starting = this->start_node();
    this->world.run_for(std::chrono::seconds{2});
    EXPECT_EQ(starting.record().config_version, newest_version);
    EXPECT_LE(this->received_bytes["starting"], max_received_bytes);
}

TEST_F(nodes_with_large_configuration, starting_node_on_a_slow_line_receives_the_configuration_once)
{
    this->line_rate = slow_line_rate;
    auto& starting = this->start_node();
    this->world.run_for(std::chrono::seconds{4});
    EXPECT_EQ(starting.record().config_version, newest_version);
    EXPECT_EQ(starting.documents.size(), 1U);
    EXPECT_LE(this->received_bytes["starting"], max_received_bytes);
}

TEST_F(nodes_with_large_configuration, starting_node_on_a_slow_line_stays_reachable)
{
    this->line_rate = slow_line_rate;
    auto& starting = this->start_node();
    std::set<std::string> reached{};
    std::set<std::string> lost{};
    const auto observe = [&] {
        for (const auto& node : this->nodes) {
            if (node.get() != &starting && node->reaches(starting)) {
                reached.insert(node->name);
            }
            else if (reached.contains(node->name)) {
                lost.insert(node->name);
            }
        }
        return false;
    };
    (void)this->world.run_until(observe, std::chrono::seconds{4});
    EXPECT_EQ(starting.record().config_version, newest_version);
    EXPECT_EQ(reached.size(), node_count - 1);
    EXPECT_EQ(lost, std::set<std::string>{});
}

} // namespace
} // namespace kumquatdrift
