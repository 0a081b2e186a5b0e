#include <gateway/hop_codec.hpp>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

TEST(hop_frame, incomplete_frame_needs_more_bytes)
{
    hop::Frame sent{};
    sent.mutable_cancel()->set_id(7);
    std::string bytes{};
    append_frame(sent, bytes);
    hop::Frame received{};
    std::size_t offset{};
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        ASSERT_EQ(read_frame(bytes.substr(0, size), offset, received), frame_status::need_more);
    }
    ASSERT_EQ(read_frame(bytes, offset, received), frame_status::complete);
    EXPECT_EQ(received.cancel().id(), 7U);
    EXPECT_EQ(offset, bytes.size());
}

TEST(hop_frame, malformed_and_oversized_frames_are_invalid)
{
    hop::Frame frame{};
    std::size_t offset{};
    EXPECT_EQ(read_frame("\xff\xff\xff\xff", offset, frame), frame_status::invalid);
    EXPECT_EQ(read_frame(std::string{"\0\0\0\2\xff\xff", 6}, offset, frame), frame_status::invalid);
}

TEST(hop_request, round_trip_keeps_arbitrary_bytes_and_time_left)
{
    const timestamp sent_at{std::chrono::seconds{10}};
    const timestamp received_at{std::chrono::seconds{99}};
    target_request request{};
    request.service = "s";
    request.attempt_id = "id\xff";
    request.method = "PUT";
    request.request_target = "/\xfe\x01";
    request.header_lines = "A: b\r\n";
    request.body = std::string("\0\xff", 2);
    request.deadline = sent_at + milliseconds{700};
    request.objective = sent_at - milliseconds{5};
    request.nested = true;
    request.idempotent = true;
    request.expected_service_time = milliseconds{30};
    hop::Frame frame{};
    encode(request, sent_at, *frame.mutable_run());
    std::string bytes{};
    append_frame(frame, bytes);
    std::size_t offset{};
    ASSERT_EQ(read_frame(bytes, offset, frame), frame_status::complete);
    const auto decoded = decode(*frame.mutable_run(), received_at);
    EXPECT_EQ(decoded->attempt_id, request.attempt_id);
    EXPECT_EQ(decoded->request_target, request.request_target);
    EXPECT_EQ(decoded->body, request.body);
    EXPECT_EQ(decoded->deadline, received_at + milliseconds{700});
    EXPECT_EQ(decoded->objective, received_at);
    EXPECT_TRUE(decoded->nested);
    EXPECT_TRUE(decoded->idempotent);
    EXPECT_EQ(decoded->expected_service_time, milliseconds{30});
}

TEST(hop_member, round_trip_tells_generation_zero_from_none)
{
    member_record record{};
    record.node = "n";
    record.ip = "127.0.0.1";
    record.port = 1;
    for (const auto generation : {std::optional<std::uint64_t>{}, std::optional<std::uint64_t>{0},
                                  std::optional<std::uint64_t>{1ULL << 40U}}) {
        record.store_generation = generation;
        hop::Member message{};
        encode(record, message);
        EXPECT_EQ(decode(message)->store_generation, generation);
    }
}

TEST(hop_response, round_trip_keeps_service_time_and_slowness)
{
    attempt_result result{};
    result.outcome = attempt_outcome::answered;
    result.service_time = milliseconds{70};
    result.load.slowness = 2.5;
    result.load.shed_rate = 0.45;
    result.load.work = remaining_work{milliseconds{700}, {microseconds{0}, milliseconds{40}}};
    hop::Answer message{};
    encode(result, message);
    const auto decoded = decode(message);
    EXPECT_EQ(decoded.service_time, milliseconds{70});
    EXPECT_DOUBLE_EQ(decoded.load.slowness, 2.5);
    EXPECT_DOUBLE_EQ(decoded.load.shed_rate, 0.45);
    ASSERT_TRUE(decoded.load.work);
    EXPECT_EQ(decoded.load.work->running, milliseconds{700});
    EXPECT_EQ(decoded.load.work->queued, result.load.work->queued);
    // A node that doesn't send the slowness counts as average.
    message.mutable_load()->clear_slowness_permille();
    EXPECT_DOUBLE_EQ(decode(message).load.slowness, 1.0);
}

TEST(hop_response, unknown_outcome_may_have_run)
{
    hop::Answer message{};
    message.set_end(200);
    EXPECT_EQ(verdict_of(decode(message).outcome), verdict::may_have_run);
}

TEST(hop_member, record_without_address_is_rejected)
{
    hop::Member message{};
    message.set_node("n");
    EXPECT_FALSE(decode(message));
    message.set_ip("10.0.0.1");
    message.set_port(7'000);
    message.set_state(77);
    ASSERT_TRUE(decode(message));
    EXPECT_EQ(decode(message)->state, report_state::unknown);
}

TEST(hop_load, round_trip_keeps_limit_and_leave)
{
    target_load load{};
    load.limit = 20.9;
    load.limit_wait = milliseconds{250};
    load.left = true;
    hop::Load message{};
    encode(load, message);
    EXPECT_NEAR(*decode(message).limit, 20.9, 0.001);
    EXPECT_EQ(decode(message).limit_wait, milliseconds{250});
    EXPECT_TRUE(decode(message).left);
    load.limit = 1e12;
    encode(load, message);
    EXPECT_GT(*decode(message).limit, 1e6);
}

TEST(hop_load, round_trip_tells_no_limit_from_an_unknown_one)
{
    hop::Load message{};
    encode(target_load{}, message);
    EXPECT_FALSE(decode(message).limit);
    target_load load{};
    load.limit = 0.0;
    encode(load, message);
    EXPECT_EQ(decode(message).limit, 0.0);
    // Nodes of earlier builds state neither.
    EXPECT_EQ(decode(hop::Load{}).limit, 0.0);
}

TEST(hop_memory, round_trip_keeps_instance_leave_and_limit)
{
    hop::TargetMemory message{};
    encode(target_memory{"i-1", true, 1'700, 6.5}, message);
    const auto decoded = decode(message);
    EXPECT_EQ(decoded.instance, "i-1");
    EXPECT_TRUE(decoded.left);
    EXPECT_EQ(decoded.left_stated_by_ms, 1'700U);
    EXPECT_DOUBLE_EQ(decoded.limit, 6.5);
    EXPECT_EQ(decoded.sequence, 0U);
}

TEST(hop_memory, round_trip_keeps_who_stated_the_leave_and_the_last_sequence)
{
    hop::TargetMemory message{};
    encode(target_memory{"i-1", true, 1'700, 0.0, 1'600, 77, 12}, message);
    const auto decoded = decode(message);
    EXPECT_EQ(decoded.started_ms, 1'600U);
    EXPECT_EQ(decoded.left_stated_by_nonce, 77U);
    EXPECT_EQ(decoded.sequence, 12U);
    member_record record{};
    record.node = "n";
    record.ip = "10.0.0.9";
    record.port = 80;
    record.process_nonce = 78;
    record.target_sequence = 13;
    hop::Member member{};
    encode(record, member);
    EXPECT_EQ(decode(member)->process_nonce, 78U);
    EXPECT_EQ(decode(member)->target_sequence, 13U);
}

// Guards against a status that a faulty or older node passes on.
TEST(hop_result, response_without_a_final_status_is_malformed)
{
    for (const unsigned status : {0U, 99U, 100U, 199U, 600U, 999U}) {
        hop::Answer message{};
        message.set_end(static_cast<std::uint32_t>(attempt_outcome::answered));
        message.set_status(status);
        const auto result = decode(message);
        EXPECT_EQ(result.outcome, attempt_outcome::malformed) << status;
        EXPECT_EQ(result.cause, "node passed on status " + std::to_string(status));
    }
    for (const unsigned status : {200U, 599U}) {
        hop::Answer message{};
        message.set_end(static_cast<std::uint32_t>(attempt_outcome::answered));
        message.set_status(status);
        EXPECT_EQ(decode(message).outcome, attempt_outcome::answered) << status;
    }
}

} // namespace
} // namespace kumquatdrift
