#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <membership.grpc.pb.h>

#include <kumquatdrift/membership/service.hpp>

namespace kumquatdrift {
namespace {

struct service_node {
    std::unique_ptr<membership_service> service{};
    std::unique_ptr<grpc::Server> server{};
    int control_port{};

    void kill()
    {
        if (this->server) {
            this->server->Shutdown(std::chrono::system_clock::now());
        }
        this->service.reset();
        this->server.reset();
    }
};

class service_test : public testing::Test {
protected:
    void TearDown() override
    {
        for (auto& each : this->nodes) {
            each.kill();
        }
    }

    std::size_t start(const std::string& node, std::uint64_t start_time = 1'000)
    {
        membership_settings settings;
        if (!this->nodes.empty()) {
            settings.seeds = {{"127.0.0.1", this->nodes[0].service->gossip_port()}};
        }
        auto made = membership_service::make(settings, {node, "olinda", "127.0.0.1", 0, start_time},
                                             [this](const member_view_ptr& /*view*/) { ++this->views; });
        service_node created;
        created.service = std::move(*made);
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &created.control_port);
        builder.RegisterService(&created.service->exchange_service());
        created.server = builder.BuildAndStart();
        created.service->start({8'080, static_cast<std::uint16_t>(created.control_port), 8'000});
        created.service->set_state(member_state::alive);
        this->nodes.push_back(std::move(created));
        return this->nodes.size() - 1;
    }

    static bool wait(const std::function<bool()>& done, std::chrono::milliseconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!done() && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
        return done();
    }

    const member_entry* entry_seen_by(std::size_t by, const std::string& node)
    {
        this->view = this->nodes[by].service->view();
        const auto found = this->view->members.find(node);
        return found == this->view->members.end() ? nullptr : &found->second;
    }

    bool join(std::size_t count)
    {
        return wait(
            [&] {
                for (auto& each : this->nodes) {
                    const auto current = each.service->view();
                    if (current->members.size() != count || current->synchronisations == 0) {
                        return false;
                    }
                }
                return true;
            },
            std::chrono::milliseconds{15'000});
    }

    std::vector<service_node> nodes{};
    member_view_ptr view{};
    std::atomic<int> views{0};
};

// Guards against faults in the sockets, the thread and the gRPC exchange, which the in-memory tests do not
// cover.
TEST_F(service_test, three_nodes_join_propagate_changes_and_detect_a_crash)
{
    this->start("a");
    this->start("b");
    this->start("c");
    ASSERT_TRUE(this->join(3));
    ASSERT_TRUE(this->nodes[0].service->set_targets({{"t", "queue-board", "127.0.0.1:1", 4, {}}}));
    this->nodes[0].service->add_advisory("suspect/1", "x", milliseconds{60'000});
    EXPECT_TRUE(
        wait([&] { return !this->entry_seen_by(2, "a")->record.targets.empty(); }, milliseconds{5'000}));
    EXPECT_TRUE(wait([&] { return this->nodes[2].service->advisories().size() == 1; }, milliseconds{5'000}));
    const auto began = std::chrono::steady_clock::now();
    ASSERT_TRUE(this->nodes[0].service->set_targets(
        {{"t", "queue-board", "127.0.0.1:1", 4, target_state::draining}}));
    const auto drained = [&] {
        return this->entry_seen_by(2, "a")->record.targets[0].state == target_state::draining;
    };
    EXPECT_TRUE(wait(drained, milliseconds{1'000}));
    RecordProperty("drain_ms",
                   static_cast<int>((std::chrono::steady_clock::now() - began).count() / 1'000'000));
    this->nodes[1].kill();
    const auto dead = [&] { return this->entry_seen_by(0, "b")->status == member_status::dead; };
    EXPECT_TRUE(wait(dead, milliseconds{12'000}));
    EXPECT_GT(this->views, 3);
    const auto counters = this->nodes[0].service->counters();
    EXPECT_GT(counters.probes_sent.bytes, 0U);
    EXPECT_GT(counters.datagrams_received.bytes, 0U);
    EXPECT_GT(counters.exchanges_received.bytes, 0U);
}

// Guards against a restarted node that does not receive the version held by its earlier process.
TEST_F(service_test, restarted_node_receives_its_version_floor)
{
    this->start("a");
    this->start("b");
    ASSERT_TRUE(this->join(2));
    this->nodes[1].service->set_version(9);
    ASSERT_TRUE(wait([&] { return this->entry_seen_by(0, "b")->record.version == 9; }, milliseconds{10'000}));
    this->nodes[1].kill();
    this->nodes.pop_back();
    const auto restarted = this->start("b", 2'000);
    EXPECT_TRUE(
        wait([&] { return this->nodes[restarted].service->version_floor() == 9; }, milliseconds{5'000}));
}

// Guards against a requested synchronisation that is delayed until the next period.
TEST_F(service_test, synchronisation_on_request_completes_within_a_second)
{
    this->start("a");
    this->start("b");
    ASSERT_TRUE(this->join(2));
    const auto before = this->nodes[1].service->view()->synchronisations;
    this->nodes[1].service->schedule_synchronisation();
    EXPECT_TRUE(
        wait([&] { return this->nodes[1].service->view()->synchronisations > before; }, milliseconds{1'500}));
}

// Guards against a node that leaves without notifying the others.
TEST_F(service_test, node_that_stops_is_seen_as_left_at_once)
{
    this->start("a");
    this->start("b");
    ASSERT_TRUE(this->join(2));
    this->nodes[1].service->set_state(member_state::left);
    this->nodes[1].service->stop();
    EXPECT_TRUE(wait([&] { return this->entry_seen_by(0, "b")->record.state == member_state::left; },
                     milliseconds{500}));
}

// Guards against malformed network input that stops the thread or is not counted.
TEST_F(service_test, malformed_datagrams_and_calls_are_counted_and_discarded)
{
    this->start("a");
    auto& service = *this->nodes[0].service;
    Poco::Net::DatagramSocket socket{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    const Poco::Net::SocketAddress to{"127.0.0.1", service.gossip_port()};
    const std::string large(9'000, 'x');
    socket.sendTo(large.data(), static_cast<int>(large.size()), to);
    socket.sendTo("\xff\xff", 2, to);
    socket.sendTo("", 0, to);
    EXPECT_TRUE(wait([&] { return service.counters().wrong_format >= 1; }, milliseconds{2'000}));
    EXPECT_EQ(service.counters().oversized, 1U);
    EXPECT_EQ(service.counters().undecodable, 1U);
    const auto channel = grpc::CreateChannel("127.0.0.1:" + std::to_string(this->nodes[0].control_port),
                                             grpc::InsecureChannelCredentials());
    const auto stub = wire::membership::NewStub(channel);
    wire::sync_reply reply;
    grpc::ClientContext context;
    const auto status = stub->Sync(&context, wire::sync_request{}, &reply);
    EXPECT_EQ(status.error_code(), grpc::StatusCode::INVALID_ARGUMENT);
    this->start("b");
    EXPECT_TRUE(this->join(2));
}

// Guards against reporting success when the port is already in use.
TEST_F(service_test, port_in_use_is_an_error_with_a_reason)
{
    this->start("a");
    const auto port = this->nodes[0].service->gossip_port();
    const auto made = membership_service::make({}, {"b", "olinda", "127.0.0.1", port, 1}, {});
    EXPECT_FALSE(made);
    EXPECT_NE(made.last_reason().find(std::to_string(port)), std::string::npos);
}

} // namespace
} // namespace kumquatdrift
