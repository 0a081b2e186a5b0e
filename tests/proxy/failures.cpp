#include <gtest/gtest.h>

#include <thread>

#include "proxy/mesh.hpp"

namespace kumquatdrift {
namespace {

/*! @brief A failure of the target while it handles a non-idempotent request, and the expected response. */
struct failure_case {
    std::string name{};
    behaviour action{};
    unsigned status{};
    std::string verdict{};
    std::uint64_t runs{};
};

std::ostream& operator<<(std::ostream& output, const failure_case& tested)
{
    return output << tested.name;
}

class target_failure : public mesh_test, public testing::WithParamInterface<failure_case> {
protected:
    void check(mesh_node& host)
    {
        const auto& tested = this->GetParam();
        this->route.deadline = milliseconds{300};
        this->start();
        this->add_target(host, "t", this->target.address());
        this->publish();
        this->target.behave(tested.action, milliseconds{600});
        const auto response = this->call("x", "body");
        EXPECT_EQ(response.status, tested.status) << response.head;
        EXPECT_EQ(response.verdict(), tested.verdict) << response.head;
        EXPECT_EQ(this->target.runs("x"), tested.runs);
        EXPECT_FALSE(response.field("retry-after").empty()) << response.head;
        EXPECT_EQ(this->target.heads().size(), 1U) << "a request that may have run was retried";
    }
};

// Guards against a wrong verdict, a second run or a missing Retry-After when the target of a peer node fails.
TEST_P(target_failure, of_peer_node_gets_the_expected_verdict_and_number_of_runs)
{
    this->check(this->peer);
}

// Guards against the same failures when the target is on the entry node itself.
TEST_P(target_failure, of_entry_node_gets_the_expected_verdict_and_number_of_runs)
{
    this->check(this->entry);
}

INSTANTIATE_TEST_SUITE_P(
    proxy, target_failure,
    testing::Values(
        failure_case{"reset_before_body", behaviour::reset_before_body, 502, "may_have_run", 0},
        failure_case{"reset_before_response", behaviour::reset_before_response, 502, "may_have_run", 1},
        failure_case{"reset_inside_head", behaviour::reset_inside_head, 502, "may_have_run", 1},
        failure_case{"response_to_two_attempts", behaviour::respond_to_two_attempts, 502, "may_have_run", 1},
        failure_case{"malformed", behaviour::malformed, 502, "may_have_run", 1},
        failure_case{"timeout_in_run", behaviour::hang, 504, "may_have_run", 1}),
    [](const auto& tested) { return tested.param.name; });

class proxy_failure : public mesh_test {
protected:
    void start_with_target(std::uint32_t slots = 10)
    {
        this->start();
        this->add_target(this->peer, "t", this->target.address(), slots);
        this->publish();
    }

    // Waits until the target has received as many requests.
    void wait_for_requests(std::size_t count)
    {
        const auto give_up = steady_now() + milliseconds{5'000};
        while (this->target.heads().size() < count && steady_now() < give_up) {
            std::this_thread::sleep_for(milliseconds{1});
        }
        ASSERT_GE(this->target.heads().size(), count);
    }
};

// Guards against the verdict may_have_run for a request of which no byte was sent to the target.
TEST_F(proxy_failure, refused_connection_to_target_is_not_run)
{
    this->route.retry.max_attempts = 1;
    this->start_with_target();
    this->target.stop();
    const auto response = this->call("x", "body");
    EXPECT_EQ(response.status, 502U);
    EXPECT_EQ(response.verdict(), "not_run");
    EXPECT_FALSE(response.field("retry-after").empty());
}

// Guards against an unavailable node that is not reported, and against a wrong verdict for its request.
TEST_F(proxy_failure, refused_connection_to_node_is_not_run_and_reported)
{
    this->route.retry.max_attempts = 1;
    this->start_with_target();
    this->peer.proxy->stop(milliseconds{0});
    const auto response = this->call("x", "body");
    EXPECT_EQ(response.status, 502U);
    EXPECT_EQ(response.verdict(), "not_run");
    const std::lock_guard lock{this->entry.mutex};
    EXPECT_EQ(this->entry.failed_nodes, std::vector<std::string>{"peer"});
}

// Guards against requests that fail although another node could run them.
TEST_F(proxy_failure, request_not_run_at_unavailable_node_runs_once_at_another)
{
    this->route.retry.max_attempts = 2;
    fake_target other;
    this->start_with_target();
    this->add_target(this->entry, "u", other.address());
    this->publish();
    this->peer.proxy->stop(milliseconds{0});
    for (int index = 0; index < 8; ++index) {
        const auto id = std::to_string(index);
        EXPECT_EQ(this->call(id, "body").status, 200U);
        EXPECT_EQ(other.runs(id), 1U);
    }
}

// Guards against a request that runs although its deadline expired while it was queued.
TEST_F(proxy_failure, request_that_times_out_in_queue_is_not_run)
{
    this->route.retry.max_attempts = 1;
    this->route.deadline = milliseconds{3'000};
    this->start_with_target(1);
    this->target.behave(behaviour::respond_slowly, milliseconds{1'000});
    std::thread first{[this] { EXPECT_EQ(this->call("first").status, 200U); }};
    this->wait_for_requests(1);
    // The target's node has to respond before the deadline of the entry node, 1/20 of the time but at most 20
    // ms.
    this->route.deadline = milliseconds{400};
    this->publish();
    const auto response = this->call("second");
    EXPECT_EQ(response.status, 503U);
    EXPECT_EQ(response.verdict(), "not_run");
    first.join();
    std::this_thread::sleep_for(milliseconds{50});
    EXPECT_EQ(this->target.runs("second"), 0U);
}

// Guards against a truncated response that the caller takes for complete.
TEST_F(proxy_failure, truncated_response_is_not_relayed_as_complete)
{
    this->start_with_target();
    for (const auto action : {behaviour::truncate_length_body, behaviour::truncate_chunked_body}) {
        this->target.behave(action);
        raw_client client{this->entry.proxy->ports().caller};
        client.send(request("x"));
        const auto response = client.receive();
        EXPECT_EQ(response.status, 200U);
        EXPECT_FALSE(response.complete);
        EXPECT_TRUE(client.is_closed_within(milliseconds{500}));
    }
}

// Guards against a response that continues after the deadline because its body never ends.
TEST_F(proxy_failure, timeout_inside_response_truncates_it)
{
    this->route.deadline = milliseconds{300};
    this->start_with_target();
    this->target.behave(behaviour::hang_inside_body, milliseconds{700});
    const auto started = steady_now();
    const auto response = this->call("x");
    EXPECT_FALSE(response.complete);
    EXPECT_LT(steady_now() - started, milliseconds{600});
    std::this_thread::sleep_for(milliseconds{150});
    EXPECT_EQ(this->target.runs("x"), 1U);
}

// Guards against a retry that appends a second response to the start of the first one.
TEST_F(proxy_failure, idempotent_request_is_not_retried_after_the_first_byte)
{
    this->route.idempotent = true;
    this->start_with_target();
    this->target.behave(behaviour::truncate_length_body);
    EXPECT_FALSE(this->call("x").complete);
    // The caller sees the end of the connection before an erroneous second attempt would run.
    std::this_thread::sleep_for(milliseconds{150});
    EXPECT_EQ(this->target.runs("x"), 1U);
}

// Guards against an idempotent request that is not retried, or that is retried with another body.
TEST_F(proxy_failure, idempotent_request_is_retried_with_the_same_body)
{
    this->route.idempotent = true;
    this->start_with_target();
    this->target.behave_once(behaviour::reset_before_response);
    const std::string body(50'000, 'b');
    const auto response = this->call("x", body);
    EXPECT_EQ(response.status, 200U) << response.body;
    EXPECT_EQ(response.body.rfind("id=x bytes=50000 digest=", 0), 0U) << response.body;
    EXPECT_EQ(this->target.runs("x"), 2U);
}

// Guards against the verdict not_run when the last attempt was rejected but an earlier attempt may have run.
TEST_F(proxy_failure, earlier_attempt_that_may_have_run_is_not_reported_as_not_run)
{
    this->route.idempotent = true;
    this->route.retry.max_attempts = 2;
    this->start_with_target();
    this->target.behave(behaviour::reject_as_not_run);
    this->target.behave_once(behaviour::reset_before_response);
    const auto response = this->call("x", "body");
    EXPECT_EQ(response.status, 503U);
    EXPECT_EQ(response.verdict(), "may_have_run");
}

// Guards against reuse of a pooled connection that the target closed after its response, without a
// "Connection: close" field.
TEST_F(proxy_failure, connection_closed_while_idle_is_not_used)
{
    this->start_with_target();
    this->target.behave(behaviour::close_while_idle);
    for (std::uint64_t index = 0; index < 20; ++index) {
        const auto id = std::to_string(index);
        EXPECT_EQ(this->call(id, "body").status, 200U);
        EXPECT_EQ(this->target.runs(id), 1U);
        // A request that is sent before the target closes fails, and may not be repeated.
        const auto give_up = steady_now() + milliseconds{5'000};
        while (this->target.closed_connections() <= index && steady_now() < give_up) {
            std::this_thread::sleep_for(milliseconds{1});
        }
        ASSERT_EQ(this->target.closed_connections(), index + 1);
        std::this_thread::sleep_for(milliseconds{2});
    }
}

// Guards against a late response that reaches the next caller over the same pooled connection.
TEST_F(proxy_failure, late_response_never_reaches_another_caller)
{
    this->route.deadline = milliseconds{60};
    this->start_with_target();
    for (int index = 0; index < 10; ++index) {
        const auto late = "late" + std::to_string(index);
        this->target.behave(behaviour::respond_slowly, milliseconds{80});
        EXPECT_EQ(this->call(late).status, 504U);
        this->target.behave(behaviour::respond);
        const auto id = "next" + std::to_string(index);
        const auto response = this->call(id);
        EXPECT_EQ(response.body.rfind("id=" + id + " ", 0), 0U) << response.body;
    }
}

// Guards against a second copy of a response that reaches the next caller over the same pooled connection.
TEST_F(proxy_failure, late_copy_of_a_response_never_reaches_another_caller)
{
    this->start_with_target();
    this->target.behave(behaviour::repeat_previous_response);
    int refused{};
    for (int index = 0; index < 10; ++index) {
        const auto id = std::to_string(index);
        const auto response = this->call(id, "body");
        if (response.status == 200U) {
            EXPECT_EQ(response.body.rfind("id=" + id + " ", 0), 0U) << response.body;
        }
        else {
            ++refused;
            EXPECT_EQ(response.status, 502U);
            EXPECT_EQ(response.verdict(), "may_have_run");
        }
        EXPECT_EQ(this->target.runs(id), 1U);
        std::this_thread::sleep_for(milliseconds{20});
    }
    EXPECT_GT(refused, 0) << "no connection was reused";
}

// Guards against an earlier refusal, written once more, that says of a request which ran that it did not run.
TEST_F(proxy_failure, repeated_refusal_is_no_response_to_a_request_that_ran)
{
    this->start_with_target();
    this->target.behave(behaviour::repeat_refusal);
    for (int index = 0; index < 10; ++index) {
        const auto id = std::to_string(index);
        const auto response = this->call(id, "body");
        EXPECT_LE(this->target.runs(id), 1U);
        if (this->target.runs(id) > 0) {
            EXPECT_NE(response.verdict(), "not_run") << id;
        }
    }
}

// Guards against a request that keeps running, and holds its slot, after its caller has disconnected.
TEST_F(proxy_failure, cancelled_request_closes_the_connection_to_the_target)
{
    this->start_with_target(1);
    this->target.behave(behaviour::respond_slowly, milliseconds{500});
    {
        raw_client client{this->entry.proxy->ports().caller};
        client.send(request("gone"));
        this->wait_for_requests(1);
        client.close();
    }
    std::this_thread::sleep_for(milliseconds{100});
    this->target.behave(behaviour::respond);
    const auto started = steady_now();
    EXPECT_EQ(this->call("next").status, 200U);
    EXPECT_LT(steady_now() - started, milliseconds{200});
}

// Guards against a request that crashes one target after another.
TEST_F(proxy_failure, fingerprint_of_two_crashes_is_quarantined)
{
    this->start_with_target();
    this->target.behave(behaviour::reset_before_response);
    EXPECT_EQ(this->call("a", "deadly").verdict(), "may_have_run");
    std::this_thread::sleep_for(milliseconds{300});
    EXPECT_EQ(this->call("b", "deadly").verdict(), "may_have_run");
    this->target.behave(behaviour::respond);
    const auto rejected = this->call("c", "deadly");
    EXPECT_EQ(rejected.status, 429U);
    EXPECT_EQ(rejected.verdict(), "not_run");
    EXPECT_EQ(this->target.runs("c"), 0U);
    EXPECT_EQ(this->call("d", "harmless").status, 200U);
    const std::lock_guard lock{this->peer.mutex};
    EXPECT_FALSE(this->peer.advisories.empty());
}

// Guards against a request that loses its crash record because the target shed it between two crashes.
TEST_F(proxy_failure, shed_response_does_not_clear_the_crash_record)
{
    this->start_with_target();
    this->target.behave(behaviour::reset_before_response);
    EXPECT_EQ(this->call("a", "deadly").verdict(), "may_have_run");
    this->target.behave(behaviour::reject_as_not_run);
    EXPECT_EQ(this->call("b", "deadly").verdict(), "not_run");
    std::this_thread::sleep_for(milliseconds{300});
    this->target.behave(behaviour::reset_before_response);
    EXPECT_EQ(this->call("c", "deadly").verdict(), "may_have_run");
    this->target.behave(behaviour::respond);
    EXPECT_EQ(this->call("d", "deadly").status, 429U);
    EXPECT_EQ(this->target.runs("d"), 0U);
}

} // namespace
} // namespace kumquatdrift
