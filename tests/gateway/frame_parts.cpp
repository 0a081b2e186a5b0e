#include <gateway/frame_parts.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <support/link_to_raw_peer.hpp>

namespace kumquatdrift {
namespace {

hop::Part make_part(std::uint64_t stream, std::string bytes, bool last = false)
{
    hop::Part part{};
    part.set_stream(stream);
    part.set_bytes(std::move(bytes));
    part.set_last(last);
    return part;
}

hop::Part make_abort(std::uint64_t stream)
{
    hop::Part part{};
    part.set_stream(stream);
    part.set_aborted(true);
    return part;
}

frame_status add(partial_frames& partial, const hop::Part& part)
{
    hop::Frame frame{};
    std::size_t bytes{};
    return add_part(partial, part, frame, bytes);
}

/*! @brief Receives frames as a link does. */
struct receiver {
    /*! @brief Reads all frames; false if one is malformed or bytes are left over. */
    [[nodiscard]] bool read(const std::string& bytes)
    {
        std::size_t offset{};
        hop::Frame frame{};
        while (read_frame(bytes, offset, frame) == frame_status::complete) {
            auto status = frame_status::complete;
            if (frame.has_part()) {
                const auto part = frame.part();
                std::size_t size{};
                status = add_part(this->partial, part, frame, size);
            }
            if (status == frame_status::invalid) {
                return false;
            }
            if (status == frame_status::complete) {
                this->frames.push_back(frame);
            }
        }
        return offset == bytes.size();
    }

    partial_frames partial{};
    std::vector<hop::Frame> frames{};
};

TEST(frame_parts, bytes_of_one_incomplete_frame_are_limited)
{
    partial_frames partial{};
    const std::string large(max_frame_bytes - 1, 'x');
    EXPECT_EQ(add(partial, make_part(1, large)), frame_status::need_more);
    EXPECT_EQ(add(partial, make_part(1, "xx")), frame_status::invalid);
    EXPECT_EQ(add(partial, make_part(1, "x")), frame_status::need_more);
}

TEST(frame_parts, bytes_of_all_incomplete_frames_are_limited)
{
    partial_frames partial{};
    const std::string half(max_frame_bytes / 2, 'x');
    EXPECT_EQ(add(partial, make_part(1, half)), frame_status::need_more);
    EXPECT_EQ(add(partial, make_part(2, half)), frame_status::need_more);
    EXPECT_EQ(add(partial, make_part(3, "x")), frame_status::invalid);
    EXPECT_EQ(add(partial, make_abort(1)), frame_status::need_more);
    EXPECT_EQ(add(partial, make_part(3, half)), frame_status::need_more);
}

TEST(frame_parts, number_of_incomplete_frames_is_limited)
{
    partial_frames partial{};
    for (std::size_t stream = 1; stream <= max_partial_frames; ++stream) {
        ASSERT_EQ(add(partial, make_part(stream, "x")), frame_status::need_more);
    }
    EXPECT_EQ(add(partial, make_part(max_partial_frames + 1, "x")), frame_status::invalid);
    EXPECT_EQ(add(partial, make_part(1, "x")), frame_status::need_more);
}

TEST(frame_parts, malformed_sequences_are_invalid)
{
    partial_frames partial{};
    EXPECT_EQ(add(partial, make_part(0, "x")), frame_status::invalid);
    EXPECT_EQ(add(partial, make_part(1, "")), frame_status::invalid);
    EXPECT_EQ(add(partial, make_abort(1)), frame_status::invalid);
    EXPECT_EQ(add(partial, make_part(1, "\xff", true)), frame_status::invalid);
    hop::Frame nested{};
    *nested.mutable_part() = make_part(2, "x");
    EXPECT_EQ(add(partial, make_part(1, nested.SerializeAsString(), true)), frame_status::invalid);
}

TEST(frame_parts, aborted_frame_leaves_nothing_behind)
{
    partial_frames partial{};
    EXPECT_EQ(add(partial, make_part(1, "x")), frame_status::need_more);
    EXPECT_EQ(add(partial, make_abort(1)), frame_status::need_more);
    EXPECT_TRUE(partial.streams.empty());
    EXPECT_EQ(partial.bytes, 0U);
    EXPECT_EQ(add(partial, make_abort(1)), frame_status::invalid);
}

TEST(frame_queue, frames_that_together_exceed_the_memory_of_the_receiver_are_not_sent_at_once)
{
    frame_queue queue{};
    queue.receiver_accepts_parts = true;
    receiver other{};
    for (std::uint64_t id = 1; id <= 3; ++id) {
        push_frame(queue, answer_frame(id, max_frame_bytes * 2 / 5));
    }
    std::string output{};
    for (; unsent_bytes(queue) > 0; output.clear()) {
        take_output(queue, 1'000'000, output);
        ASSERT_TRUE(other.read(output));
    }
    EXPECT_EQ(other.frames.size(), 3U);
}

TEST(frame_queue, small_and_long_frames_do_not_stop_each_other)
{
    frame_queue queue{};
    queue.receiver_accepts_parts = true;
    push_frame(queue, answer_frame(1, 200'000));
    for (std::uint64_t id = 2; id < 102; ++id) {
        push_frame(queue, answer_frame(id, 4'000));
    }
    std::string output{};
    take_output(queue, 300'000, output);
    std::size_t small_bytes{};
    std::size_t parts{};
    std::size_t offset{};
    hop::Frame frame{};
    while (read_frame(output, offset, frame) == frame_status::complete) {
        if (frame.has_part()) {
            EXPECT_GE(small_bytes, max_part_bytes);
            small_bytes = 0;
            ++parts;
        }
        else {
            small_bytes += encoded(frame).size();
            EXPECT_LE(small_bytes, max_part_bytes + 4'100);
        }
    }
    EXPECT_GE(parts, 8U);
}

TEST(frame_queue, hello_is_not_overtaken_and_not_cut)
{
    // A member record in a Hello replaces the record of the node, so it must not arrive after a newer one.
    frame_queue queue{};
    queue.receiver_accepts_parts = true;
    hop::Frame hello{};
    for (int index = 0; index < 1'000; ++index) {
        hello.mutable_hello()->add_known()->set_node(std::string(100, 'n'));
    }
    hop::Frame state{};
    state.mutable_state()->set_revision(2);
    push_frame(queue, hello);
    push_frame(queue, state);
    std::string output{};
    take_output(queue, 1, output);
    EXPECT_EQ(output, encoded(hello) + encoded(state));
}

/*! @brief Pushes random frames, takes random amounts, and checks what arrives. */
class random_traffic {
public:
    explicit random_traffic(bool parts)
    {
        this->queue.receiver_accepts_parts = parts;
    }

    void step()
    {
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            this->push(pong_frame(++this->last_id));
            break;
        case 1:
            this->push(run_frame(++this->last_id, body_size()));
            this->runs.push_back(this->last_id);
            break;
        case 2:
            this->push(answer_frame(++this->last_id, body_size()));
            break;
        case 3: {
            hop::Frame frame{};
            frame.mutable_configuration()->set_version(static_cast<std::uint32_t>(++this->last_id));
            frame.mutable_configuration()->set_document(std::string(body_size(), 'c'));
            this->push(frame);
            break;
        }
        case 4:
            if (!this->runs.empty()) {
                this->cancel(*rc::gen::elementOf(this->runs));
            }
            break;
        default:
            this->take(*rc::gen::inRange<std::size_t>(1, 100'000));
        }
    }

    void finish()
    {
        while (unsent_bytes(this->queue) > 0) {
            this->take(100'000);
        }
        RC_ASSERT(this->other.partial.streams.empty());
        RC_ASSERT(this->other.partial.bytes == 0U);
        std::multiset<std::string> received{};
        std::string control{};
        std::set<std::uint64_t> arrived_runs{};
        for (const auto& frame : this->other.frames) {
            received.insert(encoded(frame));
            if (frame.has_pong() || frame.has_cancel()) {
                control += encoded(frame);
            }
            if (frame.has_run()) {
                arrived_runs.insert(frame.run().id());
            }
            RC_ASSERT(!frame.has_cancel() || arrived_runs.contains(frame.cancel().id()));
        }
        RC_ASSERT(received == this->expected);
        RC_ASSERT(control == this->expected_control);
    }

private:
    static std::size_t body_size()
    {
        return *rc::gen::oneOf(
            rc::gen::inRange<std::size_t>(0, 300),
            rc::gen::inRange<std::size_t>(max_part_bytes - 20, max_part_bytes + 20),
            rc::gen::inRange<std::size_t>(2 * max_part_bytes - 20, 2 * max_part_bytes + 20),
            rc::gen::inRange<std::size_t>(0, 150'000));
    }

    void push(const hop::Frame& frame)
    {
        RC_ASSERT(push_frame(this->queue, frame) == encoded(frame).size());
        this->expected.insert(encoded(frame));
        if (frame.has_pong() || frame.has_cancel()) {
            this->expected_control += encoded(frame);
        }
        if (frame.has_run()) {
            this->pushed_runs.emplace(frame.run().id(), encoded(frame));
        }
    }

    void cancel(std::uint64_t id)
    {
        std::erase(this->runs, id);
        if (drop_frame(this->queue, hop::Frame::kRun, id)) {
            this->expected.erase(this->expected.find(this->pushed_runs.at(id)));
            RC_ASSERT(!drop_frame(this->queue, hop::Frame::kRun, id));
        }
        else {
            this->push(cancel_frame(id));
        }
    }

    void take(std::size_t limit)
    {
        std::string output{};
        take_output(this->queue, limit, output);
        RC_ASSERT(this->other.read(output));
    }

    frame_queue queue{};
    receiver other{};
    std::uint64_t last_id{};
    std::vector<std::uint64_t> runs{};
    std::map<std::uint64_t, std::string> pushed_runs{};
    std::multiset<std::string> expected{};
    std::string expected_control{};
};

RC_GTEST_PROP(frame_queue, all_frames_but_cancelled_ones_arrive_intact, (bool parts))
{
    random_traffic traffic{parts};
    const auto steps = *rc::gen::inRange(0, 120);
    for (int step = 0; step < steps; ++step) {
        traffic.step();
    }
    traffic.finish();
}

} // namespace
} // namespace kumquatdrift
