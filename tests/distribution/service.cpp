#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <grpcpp/grpcpp.h>

#include <kumquatdrift/config/records.hpp>
#include <kumquatdrift/distribution/service.hpp>
#include <kumquatdrift/log/http.hpp>

#include "support/log_service.hpp"

namespace kumquatdrift {
namespace {

std::string base_content(int queue_limit)
{
    return R"({"services":{"balcao":{"queue_limit":)" + std::to_string(queue_limit) +
           R"(}},"routes":{"reserve":{"path_prefix":"/","service":"balcao"}}})";
}

distribution_settings quick_settings()
{
    distribution_settings settings;
    settings.sources.heartbeat_interval = milliseconds{200};
    settings.sources.poll_interval = milliseconds{200};
    settings.sources.long_poll_timeout = milliseconds{300};
    settings.sources.silence_timeout = milliseconds{900};
    settings.sources.fallback_jitter = milliseconds{300};
    settings.sources.fallback_reads_per_second = 5.0;
    settings.sources.start_jitter = milliseconds{50};
    settings.sources.start_log_timeout = milliseconds{600};
    settings.sources.start_peer_timeout = milliseconds{300};
    settings.sources.reconnect = {microseconds{50'000}, microseconds{500'000}};
    settings.checkpoint_delay = milliseconds{200};
    return settings;
}

/*! @brief A node that runs the distribution service and a gRPC server on a free port. */
class mesh_node {
public:
    mesh_node(log_port port, const std::string& name, const std::string& node_data_centre,
              distribution_service::view_function view, config_version floor,
              const distribution_settings& settings)
        : data_centre{node_data_centre}
    {
        distribution_service::environment environment;
        environment.log = std::move(port);
        environment.node = name;
        environment.data_centre = node_data_centre;
        environment.view = std::move(view);
        environment.version_floor = [floor] { return floor; };
        environment.install = [this](const effective_config& config) {
            EXPECT_GT(config.version, this->version);
            this->version = config.version;
        };
        auto made = distribution_service::create(std::move(environment), settings);
        EXPECT_TRUE(made) << made.last_reason();
        this->service = std::move(*made);
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &this->control_port);
        builder.RegisterService(&this->service->grpc_service());
        this->server = builder.BuildAndStart();
    }

    ~mesh_node()
    {
        this->service->end_streams();
        this->server->Shutdown();
    }

    std::string data_centre;
    std::atomic<config_version> version{};
    int control_port{};
    std::unique_ptr<distribution_service> service{};
    std::unique_ptr<grpc::Server> server{};
};

class distribution_service_test : public testing::Test {
protected:
    void TearDown() override
    {
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            this->stop_node(index);
        }
    }

    void start_nodes(std::size_t count, const distribution_settings& settings = quick_settings())
    {
        this->nodes.resize(count);
        for (std::size_t index = 0; index < count; ++index) {
            this->start_node(index, 0, settings);
        }
    }

    void start_node(std::size_t index, config_version floor = 0,
                    const distribution_settings& settings = quick_settings())
    {
        auto made = make_http_log_port({.url = this->log.address()});
        const auto name = "n" + std::to_string(index);
        const std::string data_centre{index < 5 ? "alfama" : "belem"};
        auto port = this->with_read_failures(*made, index);
        auto node = std::make_unique<mesh_node>(
            std::move(port), name, data_centre, [this, index] { return this->view_of(index); }, floor,
            settings);
        const std::lock_guard lock{this->mutex};
        ++this->generation;
        this->nodes[index] = std::move(node);
    }

    void stop_node(std::size_t index)
    {
        std::unique_ptr<mesh_node> node;
        {
            const std::lock_guard lock{this->mutex};
            ++this->generation;
            node = std::move(this->nodes[index]);
        }
    }

    /*! @brief Wraps a log port so that reads by a node fail while its bit is set in `failing_reads_mask`. */
    log_port with_read_failures(log_port port, std::size_t index)
    {
        auto read = port.read;
        port.read = [this, read, index](std::string_view stream, log_offset from, std::size_t limit,
                                        milliseconds wait) -> result<log_batch> {
            if (this->failing_reads_mask & (1U << index)) {
                return failure{"the log cannot be reached"};
            }
            return read(stream, from, limit, wait);
        };
        return port;
    }

    member_view_ptr view_of(std::size_t self)
    {
        const std::lock_guard lock{this->mutex};
        auto view = std::make_shared<member_view>();
        view->self = "n" + std::to_string(self);
        view->generation = this->generation;
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            if (!this->nodes[index]) {
                continue;
            }
            member_record record;
            record.node = "n" + std::to_string(index);
            record.data_centre = this->nodes[index]->data_centre;
            record.ip = "127.0.0.1";
            record.control_port = static_cast<std::uint16_t>(this->nodes[index]->control_port);
            record.state = member_state::alive;
            record.version = this->nodes[index]->version;
            view->members[record.node] = {record, member_status::alive};
        }
        return view;
    }

    config_version publish(int queue_limit)
    {
        auto made = make_http_log_port({.url = this->log.address()});
        edit_record record;
        record.document = "base";
        record.parent = this->last_edit;
        record.edit_id = "e" + std::to_string(queue_limit);
        record.author = "tester";
        record.content = *json_document::parse(base_content(queue_limit));
        const auto written = made->append(config_stream, make_edit_record(record));
        EXPECT_EQ(written.effect, verdict::ran) << written.reason;
        this->last_edit = written.offset;
        return written.offset + 1;
    }

    static bool wait_for(milliseconds limit, const std::function<bool()>& condition)
    {
        const auto end = steady_now() + limit;
        while (!condition() && steady_now() < end) {
            std::this_thread::sleep_for(milliseconds{5});
        }
        return condition();
    }

    bool wait_for_version(config_version version, milliseconds limit)
    {
        return wait_for(limit, [&] {
            return std::all_of(this->nodes.begin(), this->nodes.end(),
                               [&](const auto& node) { return !node || node->version == version; });
        });
    }

    std::size_t count_source(config_source source)
    {
        return static_cast<std::size_t>(
            std::count_if(this->nodes.begin(), this->nodes.end(), [&](const auto& node) {
                return node && node->service->status().source == source;
            }));
    }

    bool wait_until_settled(std::size_t log_readers)
    {
        return wait_for(milliseconds{8'000}, [&] {
            return this->count_source(config_source::log) == log_readers &&
                   this->count_source(config_source::none) == 0;
        });
    }

    std::mutex mutex{};
    log_service log{};
    std::atomic<unsigned> failing_reads_mask{};
    std::uint64_t generation{1};
    std::vector<std::unique_ptr<mesh_node>> nodes{};
    std::optional<log_offset> last_edit{};
};

// Guards against slow propagation, and against a mesh in which every node reads the log.
TEST_F(distribution_service_test, edit_reaches_every_node_within_a_second_through_two_relays)
{
    this->start_nodes(5);
    ASSERT_TRUE(this->wait_for_version(this->publish(1), milliseconds{5'000}));
    ASSERT_TRUE(this->wait_until_settled(2));
    for (int index = 2; index < 6; ++index) {
        EXPECT_TRUE(this->wait_for_version(this->publish(index), milliseconds{1'000}));
    }
    EXPECT_EQ(this->count_source(config_source::parents), 3U);
    const auto status = this->nodes[0]->service->status();
    EXPECT_TRUE(status.ready);
    EXPECT_EQ(status.next_offset, 5U);
    EXPECT_EQ(status.recent.back().outcome, "accepted");
}

// Guards against nodes that stay stale when all their parents fail together.
TEST_F(distribution_service_test, nodes_follow_new_relays_when_the_relays_fail_together)
{
    this->start_nodes(5);
    ASSERT_TRUE(this->wait_for_version(this->publish(1), milliseconds{5'000}));
    ASSERT_TRUE(this->wait_until_settled(2));
    for (std::size_t index = 0; index < 5; ++index) {
        if (this->nodes[index]->service->status().source == config_source::log) {
            this->stop_node(index);
        }
    }
    EXPECT_TRUE(this->wait_for_version(this->publish(2), milliseconds{4'000}));
}

// Guards against a node that installs an older version after a restart while the log is unreachable.
TEST_F(distribution_service_test, restarted_node_without_the_log_gets_the_highest_version_of_its_peers)
{
    this->start_nodes(5);
    ASSERT_TRUE(this->wait_for_version(this->publish(1), milliseconds{5'000}));
    const auto version = this->publish(2);
    ASSERT_TRUE(this->wait_for_version(version, milliseconds{5'000}));
    this->log.control(R"({"outage":true})");
    this->stop_node(4);
    // In this mode the node watches no other node, so that snapshots of its peers are the only source.
    auto settings = quick_settings();
    settings.sources.mode = source_mode::log_poll;
    this->start_node(4, version, settings);
    EXPECT_TRUE(wait_for(milliseconds{4'000}, [&] { return this->nodes[4]->version == version; }));
    EXPECT_TRUE(wait_for(milliseconds{1'000}, [&] { return this->nodes[4]->service->status().ready; }));
}

// Guards against a node that is ready below the version that it held before its restart.
TEST_F(distribution_service_test, node_below_its_version_floor_installs_nothing_and_is_not_ready)
{
    this->start_nodes(2);
    ASSERT_TRUE(this->wait_for_version(this->publish(1), milliseconds{5'000}));
    this->stop_node(1);
    this->start_node(1, 3);
    EXPECT_TRUE(
        wait_for(milliseconds{3'000}, [&] { return this->nodes[1]->service->status().next_offset == 1; }));
    EXPECT_FALSE(this->nodes[1]->service->status().ready);
    EXPECT_EQ(this->nodes[1]->version, 0U);
    this->publish(2);
    EXPECT_TRUE(this->wait_for_version(this->publish(3), milliseconds{3'000}));
    EXPECT_TRUE(wait_for(milliseconds{1'000}, [&] { return this->nodes[1]->service->status().ready; }));
}

// Guards against a data centre that stays stale while only its own path to the log has failed.
TEST_F(distribution_service_test, data_centre_without_the_log_follows_a_relay_of_another)
{
    this->start_nodes(8);
    ASSERT_TRUE(this->wait_for_version(this->publish(1), milliseconds{5'000}));
    ASSERT_TRUE(this->wait_until_settled(4));
    this->failing_reads_mask = 0xE0U;
    ASSERT_TRUE(
        wait_for(milliseconds{8'000}, [&] { return this->count_source(config_source::remote_relay) > 0; }));
    EXPECT_TRUE(this->wait_for_version(this->publish(2), milliseconds{2'000}));
}

// Guards against a node that stays stale when its parents send heartbeats but have no access to the log.
TEST_F(distribution_service_test, node_whose_parents_are_stale_reads_the_log)
{
    this->start_nodes(5);
    ASSERT_TRUE(this->wait_for_version(this->publish(1), milliseconds{5'000}));
    ASSERT_TRUE(this->wait_until_settled(2));
    for (std::size_t index = 0; index < 5; ++index) {
        if (this->nodes[index]->service->status().source == config_source::log) {
            this->failing_reads_mask = this->failing_reads_mask | (1U << index);
        }
    }
    // A long poll already in progress would still return the record.
    std::this_thread::sleep_for(milliseconds{500});
    const auto version = this->publish(2);
    EXPECT_TRUE(wait_for(milliseconds{6'000}, [&] {
        return std::count_if(this->nodes.begin(), this->nodes.end(),
                             [&](const auto& node) { return node->version == version; }) == 3;
    }));
}

// Guards against a parent that is overloaded by reconnecting children, and against children that are never
// served.
TEST_F(distribution_service_test, parent_redirects_children_beyond_its_rate_and_serves_them_later)
{
    auto settings = quick_settings();
    settings.parent.streams_per_second = 2.0;
    settings.parent.stream_burst = 1.0;
    this->start_nodes(5, settings);
    ASSERT_TRUE(this->wait_until_settled(2));
    std::uint64_t redirected = 0;
    for (const auto& node : this->nodes) {
        redirected += node->service->status().redirected;
    }
    EXPECT_GT(redirected, 0U);
    EXPECT_TRUE(wait_for(milliseconds{8'000}, [&] {
        std::size_t children = 0;
        for (const auto& node : this->nodes) {
            children += node->service->status().children;
        }
        return children == 6;
    }));
}

// Guards against state that new nodes cannot recover once its records have expired.
TEST_F(distribution_service_test, live_nodes_write_a_checkpoint_from_which_a_new_data_centre_recovers)
{
    this->start_nodes(6);
    this->stop_node(5);
    ASSERT_TRUE(this->wait_for_version(this->publish(1), milliseconds{5'000}));
    ASSERT_TRUE(this->wait_for_version(this->publish(2), milliseconds{5'000}));
    ASSERT_TRUE(this->wait_until_settled(2));
    this->log.control(R"({"retention_records":1})");
    const auto version = this->publish(3);
    const auto written = [&] {
        return std::any_of(this->nodes.begin(), this->nodes.end(),
                           [](const auto& node) { return node && node->service->status().checkpoints > 0; });
    };
    ASSERT_TRUE(wait_for(milliseconds{5'000}, written));
    // Stops all peers, so that the log is the only source.
    for (std::size_t index = 0; index < 5; ++index) {
        this->stop_node(index);
    }
    this->start_node(5);
    EXPECT_TRUE(wait_for(milliseconds{5'000}, [&] { return this->nodes[5]->version == version; }));
}

// Guards against mode `log_poll`, the baseline of benchmarks, not delivering edits or using other sources.
TEST_F(distribution_service_test, every_node_reads_the_log_in_mode_log_poll)
{
    auto settings = quick_settings();
    settings.sources.mode = source_mode::log_poll;
    this->start_nodes(4, settings);
    ASSERT_TRUE(this->wait_for_version(this->publish(1), milliseconds{3'000}));
    EXPECT_TRUE(this->wait_for_version(this->publish(2), milliseconds{1'000}));
    EXPECT_EQ(this->count_source(config_source::log), 4U);
}

// Guards against control traffic that grows with the number of nodes: each node may receive a few hundred
// bytes per second at most.
TEST_F(distribution_service_test, steady_state_costs_a_few_hundred_bytes_a_second)
{
    this->start_nodes(5);
    ASSERT_TRUE(this->wait_for_version(this->publish(1), milliseconds{5'000}));
    ASSERT_TRUE(this->wait_until_settled(2));
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    for (const auto& node : this->nodes) {
        before += node->service->status().received_bytes + node->service->status().log_bytes;
    }
    std::this_thread::sleep_for(milliseconds{2'000});
    for (const auto& node : this->nodes) {
        after += node->service->status().received_bytes + node->service->status().log_bytes;
    }
    // The heartbeat rate of this test is ten times the default.
    EXPECT_LT((after - before) / 2 / 5, 300U);
}

} // namespace
} // namespace kumquatdrift
