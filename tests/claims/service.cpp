#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <grpcpp/grpcpp.h>

#include <kumquatdrift/claims/service.hpp>
#include <kumquatdrift/log/http.hpp>

#include "support/log_service.hpp"

namespace kumquatdrift {
namespace {

/*! @brief A node with a claim service and a gRPC server on an ephemeral port. */
class claim_node {
public:
    claim_node(const std::string& log_address, std::string name, claim_service::view_function view)
    {
        auto port = make_http_log_port({.url = log_address});
        auto created = claim_service::create(*port, std::move(name), std::move(view));
        EXPECT_TRUE(created) << created.last_reason();
        this->service = std::move(*created);
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &this->control_port);
        builder.RegisterService(&this->service->grpc_service());
        this->server = builder.BuildAndStart();
    }

    ~claim_node()
    {
        this->stop();
    }

    void stop()
    {
        this->service->stop();
        this->server->Shutdown();
    }

    claim_result claim(const std::string& key, const std::string& attempt,
                       milliseconds timeout = milliseconds{3'000})
    {
        return this->service->port().claim({"reserve", key, attempt, steady_now() + timeout});
    }

    int control_port{};
    std::unique_ptr<claim_service> service{};
    std::unique_ptr<grpc::Server> server{};
};

class claim_service_test : public testing::Test {
protected:
    claim_service_test()
    {
        for (std::size_t index = 0; index < 3; ++index) {
            this->nodes.push_back(
                std::make_unique<claim_node>(this->log.address(), "n" + std::to_string(index),
                                             [this, index] { return this->view_of(index); }));
        }
        this->members_known = true;
    }

    // Stops all nodes before the first is destroyed, because the view of each node refers to all of them.
    void TearDown() override
    {
        for (const auto& node : this->nodes) {
            node->stop();
        }
    }

    member_view_ptr view_of(std::size_t self)
    {
        auto view = std::make_shared<member_view>();
        view->self = "n" + std::to_string(self);
        view->generation = this->members_known ? 1 : 0;
        for (std::size_t index = 0; this->members_known && index < this->nodes.size(); ++index) {
            member_record record;
            record.node = "n" + std::to_string(index);
            record.data_centre = index == 0 ? "alfama" : "belem";
            record.ip = "127.0.0.1";
            record.control_port = static_cast<std::uint16_t>(this->nodes[index]->control_port);
            record.state = member_state::alive;
            view->members[record.node] = {record, member_status::alive};
        }
        return view;
    }

    /*! @brief Retries a claim with new attempts until it has the expected outcome, for up to 5 s. */
    claim_result claim_until(std::size_t node, const std::string& key, claim_outcome expected)
    {
        claim_result result;
        const auto end = steady_now() + milliseconds{5'000};
        while (result.outcome != expected && steady_now() < end) {
            std::this_thread::sleep_for(milliseconds{20});
            result = this->nodes[node]->claim(key, "again" + std::to_string(++this->retries));
        }
        return result;
    }

    log_service log{};
    std::atomic<bool> members_known{};
    int retries{};
    std::vector<std::unique_ptr<claim_node>> nodes{};
};

// Guards against a second execution when the caller retries a key through a node in another data centre.
TEST_F(claim_service_test, retried_key_at_another_node_is_rejected_and_later_gets_the_stored_response)
{
    for (int index = 0; index < 12; ++index) {
        const auto key = "key" + std::to_string(index);
        const auto result = this->nodes[0]->claim(key, "a" + key);
        ASSERT_EQ(result.outcome, claim_outcome::granted) << result.reason;
        EXPECT_EQ(this->nodes[1]->claim(key, "b" + key).outcome, claim_outcome::claimed);
    }
    this->nodes[0]->service->port().complete({"reserve", "key3", "akey3", {}},
                                             {201, "text/plain", "fitting 12"});
    const auto result = this->claim_until(2, "key3", claim_outcome::completed);
    ASSERT_EQ(result.outcome, claim_outcome::completed);
    EXPECT_EQ(result.response->body, "fitting 12");
    EXPECT_GT(this->nodes[0]->service->status().remote_calls, 0U);
}

// Guards against a key that stays blocked although its request certainly was not run.
TEST_F(claim_service_test, released_key_can_be_claimed_at_another_node)
{
    ASSERT_EQ(this->nodes[0]->claim("k", "a").outcome, claim_outcome::granted);
    this->nodes[0]->service->port().release({"reserve", "k", "a", {}});
    EXPECT_EQ(this->claim_until(1, "k", claim_outcome::granted).outcome, claim_outcome::granted);
}

// Guards against a second execution and against unavailable claims when an owner fails and the member views
// still show it as alive.
TEST_F(claim_service_test, second_owner_takes_over_the_claims_of_a_failed_owner)
{
    for (int index = 0; index < 12; ++index) {
        const auto key = "key" + std::to_string(index);
        ASSERT_EQ(this->nodes[0]->claim(key, "a" + key).outcome, claim_outcome::granted);
    }
    this->nodes[2]->stop();
    for (int index = 0; index < 12; ++index) {
        const auto key = "key" + std::to_string(index);
        EXPECT_EQ(this->nodes[0]->claim(key, "b" + key).outcome, claim_outcome::claimed);
        const auto result = this->nodes[1]->claim("new" + key, "c" + key);
        EXPECT_EQ(result.outcome, claim_outcome::granted) << result.reason;
    }
}

// Guards against a caller that is blocked beyond its deadline while the log is unavailable, and against a
// rejection without a reason.
TEST_F(claim_service_test, claim_during_a_log_outage_is_rejected_at_its_deadline_and_granted_afterwards)
{
    ASSERT_EQ(this->nodes[0]->claim("k", "a").outcome, claim_outcome::granted);
    this->log.control(R"({"outage":true})");
    const auto start = steady_now();
    const auto result = this->nodes[1]->claim("l", "b", milliseconds{500});
    EXPECT_EQ(result.outcome, claim_outcome::unavailable);
    EXPECT_FALSE(result.reason.empty());
    EXPECT_LT(steady_now() - start, milliseconds{800});
    this->log.control(R"({"outage":false})");
    EXPECT_EQ(this->claim_until(1, "l", claim_outcome::granted).outcome, claim_outcome::granted);
}

// Guards against a key that stays blocked because its claim was granted after the deadline.
TEST_F(claim_service_test, claim_that_a_slow_log_decides_too_late_is_released)
{
    ASSERT_EQ(this->nodes[0]->claim("k", "a").outcome, claim_outcome::granted);
    // A key in the same partition as `k`. The owner has already read the stream of this partition, so it
    // appends the claim without another read.
    std::string key{"l"};
    while (claim_partition_of("reserve", key) != claim_partition_of("reserve", "k")) {
        key += 'l';
    }
    this->log.control(R"({"delay_ms":400})");
    EXPECT_EQ(this->nodes[0]->claim(key, "b", milliseconds{200}).outcome, claim_outcome::unavailable);
    this->log.control(R"({"delay_ms":0})");
    EXPECT_EQ(this->claim_until(1, key, claim_outcome::granted).outcome, claim_outcome::granted);
}

// Guards against a claim that blocks its own attempt after the response of the log was lost.
TEST_F(claim_service_test, lost_responses_of_the_log_do_not_lose_the_claim)
{
    this->log.control(R"({"lose_answers":2})");
    const auto result = this->nodes[0]->claim("k", "a", milliseconds{8'000});
    EXPECT_EQ(result.outcome, claim_outcome::granted) << result.reason;
    EXPECT_EQ(this->nodes[1]->claim("k", "b").outcome, claim_outcome::claimed);
}

// Guards against two grants when claims on the same keys arrive concurrently through all nodes.
TEST_F(claim_service_test, concurrent_claims_on_one_key_get_one_grant)
{
    std::atomic<int> grants{};
    std::atomic<int> unavailable{};
    std::vector<std::thread> callers;
    callers.reserve(60);
    for (int index = 0; index < 60; ++index) {
        callers.emplace_back([&, index] {
            const auto key = "key" + std::to_string(index % 10);
            const auto result =
                this->nodes[static_cast<std::size_t>(index) % 3]->claim(key, std::to_string(index));
            grants += result.outcome == claim_outcome::granted ? 1 : 0;
            unavailable += result.outcome == claim_outcome::unavailable ? 1 : 0;
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(grants, 10);
    EXPECT_EQ(unavailable, 0);
}

} // namespace
} // namespace kumquatdrift
