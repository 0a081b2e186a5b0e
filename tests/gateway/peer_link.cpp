#include <gateway/peer_link.hpp>

#include <gtest/gtest.h>

#include <gateway/hop_codec.hpp>
#include <support/link_to_raw_peer.hpp>

namespace kumquatdrift {
namespace {

TEST_F(link_to_raw_peer, request_cancelled_before_it_was_read_is_not_started)
{
    std::string bytes{};
    append_frame(run_frame(1), bytes);
    append_frame(run_frame(2), bytes);
    append_frame(cancel_frame(1), bytes);
    this->write(bytes);
    EXPECT_TRUE(this->world.run_until([this] { return this->frames.size() >= 2; }));
    EXPECT_EQ(this->frames.front().run().id(), 2U);
    EXPECT_TRUE(this->frames.back().has_cancel());
}

TEST_F(link_to_raw_peer, malformed_frame_closes_the_link_with_a_cause)
{
    this->write("\xff\xff\xff\xff invalid");
    EXPECT_TRUE(this->world.run_until([this] { return !this->close_cause.empty(); }));
    EXPECT_EQ(this->close_cause, "malformed frame");
}

TEST_F(link_to_raw_peer, queueing_delay_is_relative_to_the_fastest_frame)
{
    // The send times are those of a clock that differs from the receiver's. One-way delays of 5, 2 and 902 ms
    // give queueing delays of 0, 0 and 900 ms. A delay of 0 here stands for a frame without a send time.
    std::string bytes{};
    for (const auto delay : {5, 2, 902, 0}) {
        auto frame = run_frame(1);
        const auto sent = timestamp{std::chrono::seconds{1'050}} - milliseconds{delay};
        frame.set_sent_us(delay == 0 ? 0 : static_cast<std::uint64_t>(sent.time_since_epoch().count()));
        append_frame(frame, bytes);
    }
    this->write(bytes);
    EXPECT_TRUE(this->world.run_until([this] { return this->delays.size() == 4; }));
    const std::vector<microseconds> expected{microseconds{0}, microseconds{0}, milliseconds{900},
                                             microseconds{0}};
    EXPECT_EQ(this->delays, expected);
}

TEST_F(link_to_raw_peer, queueing_delay_of_the_first_request_is_measured)
{
    hop::Frame first{};
    first.mutable_hello();
    first.set_sent_us(2'000'000);
    auto delayed = run_frame(1);
    delayed.set_sent_us(2'000'000);
    std::string bytes{};
    append_frame(first, bytes);
    this->write(bytes);
    EXPECT_TRUE(this->world.run_until([this] { return !this->delays.empty(); }));
    this->world.run_for(milliseconds{100});
    bytes.clear();
    append_frame(delayed, bytes);
    this->write(bytes);
    EXPECT_TRUE(this->world.run_until([this] { return this->delays.size() == 2; }));
    EXPECT_GE(this->delays.back(), milliseconds{100});
}

TEST_F(link_to_raw_peer, frames_are_counted_by_kind_and_direction)
{
    const auto value = [this](const std::string& name, const std::string& kind,
                              const std::string& direction) {
        return this->world.metrics
            .counter_of("gateway_link_" + name + "_total", "", {{"direction", direction}, {"kind", kind}})
            .value();
    };
    auto large = run_frame(1);
    large.mutable_run()->set_body(std::string(100'000, 'b'));
    auto cancel = cancel_frame(2); // A cancellation of the queued request would only remove it.
    std::string large_bytes{};
    this->link->send(large);
    append_frame(large, large_bytes);
    std::string cancel_bytes{};
    this->link->send(cancel);
    this->link->send(cancel);
    append_frame(cancel, cancel_bytes);
    EXPECT_EQ(value("frames", "run", "sent"), 1U);
    EXPECT_EQ(value("bytes", "run", "sent"), large_bytes.size());
    EXPECT_EQ(value("frames", "cancel", "sent"), 2U);
    EXPECT_EQ(value("bytes", "cancel", "sent"), 2 * cancel_bytes.size());

    hop::Frame without_kind{};
    without_kind.set_sent_us(1);
    std::string unknown_bytes{};
    append_frame(without_kind, unknown_bytes);
    this->write(large_bytes + unknown_bytes + cancel_bytes);
    EXPECT_TRUE(this->world.run_until([&] { return value("frames", "cancel", "received") == 1; }));
    EXPECT_EQ(value("frames", "run", "received"), 1U);
    EXPECT_EQ(value("bytes", "run", "received"), large_bytes.size());
    EXPECT_EQ(value("bytes", "cancel", "received"), cancel_bytes.size());
    EXPECT_EQ(value("frames", "unknown", "received"), 1U);
    EXPECT_EQ(value("bytes", "unknown", "received"), unknown_bytes.size());
    EXPECT_EQ(value("frames", "pong", "sent"), 0U);
}

} // namespace
} // namespace kumquatdrift
