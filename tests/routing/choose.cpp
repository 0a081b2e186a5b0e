#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <kumquatdrift/routing/choose.hpp>

#include "support/mesh_builders.hpp"

namespace kumquatdrift {
namespace {

class endpoint_choosing : public testing::Test {
protected:
    void SetUp() override
    {
        member_view view{};
        view.self = "n1";
        for (const auto* node : {"n1", "n2", "n3"}) {
            add_node(view, node, "alfama", "balcao");
        }
        add_node(view, "far1", "belem", "balcao");
        add_node(view, "far2", "belem", "balcao");
        this->snapshot = *build_snapshot(make_config(1, {"balcao"}), view).value();
        this->service = this->snapshot->services[0];
        this->loads.update_endpoints(*this->snapshot, this->now);
    }

    void report(const std::string& key, std::uint32_t in_use, std::uint32_t queued = 0)
    {
        this->loads.on_response(this->endpoint_of(key), load_report{in_use, queued, 10}, this->now);
    }

    [[nodiscard]] const endpoint& endpoint_of(const std::string& key) const
    {
        return *std::find_if(this->service.endpoints.begin(), this->service.endpoints.end(),
                             [&](const endpoint& candidate) { return candidate.key == key; });
    }

    [[nodiscard]] std::map<std::string, int> choose(int times, const std::vector<std::string>& excluded = {})
    {
        std::map<std::string, int> counts;
        for (int round = 0; round < times; ++round) {
            const auto choice = choose_endpoint(this->service, this->loads, excluded, this->now, this->rng);
            ++counts[choice.endpoint ? this->service.endpoints[*choice.endpoint].key : "rejected"];
        }
        return counts;
    }

    routing_snapshot_ptr snapshot{};
    routed_service service{};
    load_table loads{};
    random_engine rng{11};
    timestamp now{milliseconds{10'000}};
};

// Guards against requests that leave the data centre although local endpoints have free slots.
TEST_F(endpoint_choosing, local_endpoints_share_the_load)
{
    const auto counts = this->choose(3'000);
    EXPECT_EQ(counts.size(), 3U);
    for (const auto* key : {"n1/t", "n2/t", "n3/t"}) {
        EXPECT_GT(counts.at(key), 800) << key;
    }
}

// Guards against a loaded endpoint that gets as many requests as an idle one.
TEST_F(endpoint_choosing, more_loaded_endpoint_loses_each_comparison)
{
    this->report("n1/t", 9);
    const auto counts = this->choose(3'000);
    EXPECT_EQ(counts.count("n1/t"), 0U);
}

// Guards against rejections or queueing while another data centre has free slots.
TEST_F(endpoint_choosing, full_local_endpoints_spill_over_if_the_service_allows)
{
    for (const auto* key : {"n1/t", "n2/t", "n3/t"}) {
        this->report(key, 10, 2);
    }
    auto counts = this->choose(100);
    EXPECT_EQ(counts["far1/t"] + counts["far2/t"], 100);
    this->service.config.spill_over = false;
    counts = this->choose(100);
    EXPECT_EQ(counts["far1/t"] + counts["far2/t"], 0);
}

// Guards against spill-over while a local endpoint that the random choice missed has free slots.
TEST_F(endpoint_choosing, free_local_endpoint_precedes_spill_over)
{
    this->report("n1/t", 10, 2);
    this->report("n2/t", 10, 2);
    EXPECT_EQ(this->choose(100)["n3/t"], 100);
}

// Guards against an endpoint that is never chosen again because its last report showed it full.
TEST_F(endpoint_choosing, stale_report_loses_its_weight)
{
    this->report("n1/t", 10, 30);
    this->now += milliseconds{3'000};
    EXPECT_GT(this->choose(300)["n1/t"], 50);
}

// Guards against load estimates that ignore requests which this node sent after the last report.
TEST_F(endpoint_choosing, requests_sent_after_the_report_count_at_once)
{
    this->report("n1/t", 0);
    for (int sent = 0; sent < 5; ++sent) {
        this->loads.on_sent("n1/t", this->now);
    }
    EXPECT_EQ(this->choose(300).count("n1/t"), 0U);
    for (int sent = 0; sent < 5; ++sent) {
        this->loads.on_done("n1/t");
    }
    EXPECT_GT(this->choose(300)["n1/t"], 50);
}

// Guards against overload of a target that has just started, before its slow start ends.
TEST_F(endpoint_choosing, new_endpoint_gets_a_growing_share)
{
    this->service.config.slow_start = milliseconds{10'000};
    this->now += milliseconds{20'000};
    this->loads = {};
    auto earlier = *this->snapshot;
    earlier.services[0].endpoints.erase(earlier.services[0].endpoints.begin() + 1,
                                        earlier.services[0].endpoints.end());
    this->loads.update_endpoints(earlier, this->now - milliseconds{20'000});
    this->loads.update_endpoints(*this->snapshot, this->now);
    this->service.endpoints.resize(2);
    this->loads.on_sent("n1/t", this->now);
    this->loads.on_sent("n1/t", this->now);
    EXPECT_EQ(this->choose(100)["n1/t"], 100);
    this->now += milliseconds{9'000};
    EXPECT_EQ(this->choose(100)["n2/t"], 100);
}

// Guards against a restarted node that applies slow start to all targets and therefore spills over.
TEST_F(endpoint_choosing, endpoints_of_the_first_snapshot_are_warm_unless_cold)
{
    this->service.config.slow_start = milliseconds{10'000};
    for (const auto* key : {"n1/t", "n2/t", "n3/t"}) {
        this->report(key, 5);
    }
    EXPECT_EQ(this->choose(100).count("far1/t"), 0U);
    auto first_snapshot = *this->snapshot;
    first_snapshot.services[0].endpoints[0].state = target_state::cold;
    this->loads = {};
    this->loads.update_endpoints(first_snapshot, this->now);
    EXPECT_TRUE(this->loads.find("n1/t")->first_seen);
    EXPECT_FALSE(this->loads.find("n2/t")->first_seen);
}

// Guards against repeated attempts at a node or target that refuses connections.
TEST_F(endpoint_choosing, failed_node_and_endpoint_are_ejected_temporarily)
{
    this->loads.on_node_failed("n1", this->now);
    this->loads.on_target_failed("n2/t", this->now);
    EXPECT_EQ(this->choose(100)["n3/t"], 100);
    this->now += milliseconds{1'001};
    EXPECT_EQ(this->choose(300).size(), 3U);
    this->loads.on_node_failed("n1", this->now);
    this->now += milliseconds{1'500};
    EXPECT_EQ(this->choose(300).count("n1/t"), 0U);
    this->loads.on_response(this->endpoint_of("n1/t"), std::nullopt, this->now);
    EXPECT_GT(this->choose(300)["n1/t"], 50);
}

// Guards against an outage after a short fault that ejected all endpoints.
TEST_F(endpoint_choosing, ejection_of_all_endpoints_has_no_effect)
{
    for (const auto* node : {"n1", "n2", "n3", "far1", "far2"}) {
        this->loads.on_node_failed(node, this->now);
    }
    EXPECT_EQ(this->choose(300).size(), 3U);
}

// Guards against a retry at the endpoint that has just failed.
TEST_F(endpoint_choosing, excluded_endpoints_are_never_chosen)
{
    EXPECT_EQ(this->choose(100, {"n1/t", "n3/t"})["n2/t"], 100);
    const std::vector<std::string> all{"n1/t", "n2/t", "n3/t", "far1/t", "far2/t"};
    EXPECT_EQ(this->choose(1, all)["rejected"], 1);
    EXPECT_GT(choose_endpoint(this->service, this->loads, all, this->now, this->rng).retry_after.count(), 0);
}

// Guards against a wrong number of requests in flight after an endpoint is removed and added again.
TEST_F(endpoint_choosing, endpoint_with_requests_in_flight_is_kept)
{
    this->loads.on_sent("n1/t", this->now);
    this->loads.update_endpoints(routing_snapshot{}, this->now);
    EXPECT_EQ(this->loads.size(), 1U);
    this->loads.on_done("n1/t");
    this->loads.update_endpoints(routing_snapshot{}, this->now);
    EXPECT_EQ(this->loads.size(), 0U);
}

// Guards against a malformed load header, and against a division by zero slots.
TEST_F(endpoint_choosing, malformed_load_header_is_ignored)
{
    for (const auto* text :
         {"", "1", "1/2", "1/2/", "1/2/0", "1/2/3/4", "-1/2/3", "1/2/x", "99999999999/1/1"}) {
        EXPECT_FALSE(parse_load(text)) << text;
    }
    EXPECT_EQ(format_load(*parse_load("1/2/3")), "1/2/3");
}

} // namespace
} // namespace kumquatdrift
