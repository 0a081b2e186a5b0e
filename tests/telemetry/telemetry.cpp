#include <gtest/gtest.h>

#include <thread>

#include <kumquatdrift/telemetry/log.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>
#include <kumquatdrift/telemetry/trace.hpp>

namespace kumquatdrift {
namespace {

constexpr std::string_view sampled_parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

class trace_parent : public testing::Test {
protected:
    random_engine rng{7};
};

// Guards against a parser or formatter that changes ids or the sampling flag.
TEST_F(trace_parent, valid_header_survives_a_round_trip)
{
    const auto context = parse_traceparent(sampled_parent);
    ASSERT_TRUE(context);
    EXPECT_TRUE(context->sampled);
    EXPECT_EQ(format_traceparent(*context), sampled_parent);
}

// Guards against the propagation of ids that other systems reject.
TEST_F(trace_parent, malformed_header_is_rejected)
{
    const std::string valid{sampled_parent};
    const std::vector<std::string> malformed{
        "",
        valid.substr(1),
        valid + "0",
        "ff" + valid.substr(2),
        "00-" + std::string(32, '0') + valid.substr(35),
        valid.substr(0, 36) + std::string(16, '0') + "-01",
        "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
        valid.substr(0, 53) + "zz",
        valid.substr(0, 35) + "_" + valid.substr(36),
    };
    for (const auto& text : malformed) {
        EXPECT_FALSE(parse_traceparent(text)) << text;
    }
}

// Guards against a parser that rejects later versions, which the specification requires to be accepted.
TEST_F(trace_parent, later_version_with_further_fields_is_accepted)
{
    EXPECT_TRUE(parse_traceparent("01" + std::string{sampled_parent.substr(2)} + "-extra"));
    EXPECT_FALSE(parse_traceparent("01" + std::string{sampled_parent.substr(2)} + "extra"));
}

class ring_tracer_test : public testing::Test {
protected:
    [[nodiscard]] std::vector<std::string> written_lines()
    {
        std::vector<std::string> lines;
        this->tracer->write_spans([&lines](std::string_view line) { lines.emplace_back(line); });
        return lines;
    }

    std::shared_ptr<ring_tracer> tracer = ring_tracer::create(2, false);
};

// Guards against spans that are recorded with another trace or parent.
TEST_F(ring_tracer_test, child_of_sampled_parent_is_kept_with_its_parent)
{
    const span_context parent{*parse_traceparent(sampled_parent)};
    {
        const auto span = this->tracer->StartSpan("caller", {opentracing::ChildOf(&parent)});
        span->SetTag("status", 200);
        EXPECT_EQ(span->context().ToTraceID(), parent.ToTraceID());
    }
    const auto lines = this->written_lines();
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines[0].find("\"parent\":\"b7ad6b7169203331\""), std::string::npos) << lines[0];
    EXPECT_NE(lines[0].find("\"tags\":{\"status\":200}"), std::string::npos) << lines[0];
}

// Guards against a tracer that ignores the sampling flag.
TEST_F(ring_tracer_test, span_of_unsampled_trace_is_not_kept)
{
    this->tracer->StartSpan("caller")->Finish();
    EXPECT_TRUE(this->written_lines().empty());
}

// Guards against unbounded memory use while no sink reads the spans.
TEST_F(ring_tracer_test, full_ring_overwrites_the_oldest_span)
{
    const span_context parent{*parse_traceparent(sampled_parent)};
    for (const auto* name : {"first", "second", "third"}) {
        this->tracer->StartSpan(name, {opentracing::ChildOf(&parent)})->Finish();
    }
    const auto lines = this->written_lines();
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_NE(lines[0].find("second"), std::string::npos);
}

class metrics_test : public testing::Test {
protected:
    metrics_registry registry{};
};

// Guards against an exposition that a scraper rejects.
TEST_F(metrics_test, exposition_has_help_type_labels_and_buckets)
{
    this->registry.counter_of("calls_total", "Calls.", {{"route", "a\"b\\c\n"}}).add(3);
    this->registry.gauge_of("in_flight", "Requests in flight.").set(-2);
    auto& latency = this->registry.histogram_of("call_seconds", "Latency.", {{"route", "r"}});
    latency.observe(0.00007);
    latency.observe(99.0);
    const auto text = this->registry.exposition();
    EXPECT_NE(text.find("# HELP calls_total Calls.\n# TYPE calls_total counter\n"
                        "calls_total{route=\"a\\\"b\\\\c\\n\"} 3\n"),
              std::string::npos)
        << text;
    EXPECT_NE(text.find("# TYPE in_flight gauge\nin_flight -2\n"), std::string::npos) << text;
    EXPECT_NE(text.find("call_seconds_bucket{route=\"r\",le=\"5e-05\"} 0\n"
                        "call_seconds_bucket{route=\"r\",le=\"0.0001\"} 1\n"),
              std::string::npos)
        << text;
    EXPECT_NE(text.find("call_seconds_bucket{route=\"r\",le=\"+Inf\"} 2\n"
                        "call_seconds_sum{route=\"r\"} 99.00007\ncall_seconds_count{route=\"r\"} 2\n"),
              std::string::npos)
        << text;
}

// Guards against updates that are lost when several threads record at the same time.
TEST_F(metrics_test, concurrent_observations_are_all_counted)
{
    auto& latency = this->registry.histogram_of("call_seconds", "Latency.");
    constexpr int observations = 10'000;
    const auto observe = [&latency] {
        for (int index = 0; index < observations; ++index) {
            latency.observe(0.001);
        }
    };
    std::thread second_thread{observe};
    observe();
    second_thread.join();
    EXPECT_EQ(latency.buckets().back().second, 2U * observations);
}

// Guards against lines without the component prefix, and against lines below the configured level.
TEST(log_test, line_has_prefix_and_lower_levels_are_not_written)
{
    testing::internal::CaptureStderr();
    set_up_log(log_level::info);
    const part_logger log{log_part::proxy};
    log.write(log_level::debug, "dropped");
    log.write(log_level::warn, "kept");
    const auto text = testing::internal::GetCapturedStderr();
    EXPECT_NE(text.find(" WARN  proxy: kept\n"), std::string::npos) << text;
    EXPECT_EQ(text.find("dropped"), std::string::npos) << text;
}

} // namespace
} // namespace kumquatdrift
