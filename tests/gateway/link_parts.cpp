#include <gateway/peer_link.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

#include <gtest/gtest.h>

#include <gateway/frame_parts.hpp>
#include <support/link_to_raw_peer.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Number of bytes that may arrive before a pong: on a link of 6 Mbit/s they take 0.35 s, half of the
 *         time after which a node is taken to be unreachable. The ping and the pong may each wait that long.
 */
constexpr std::size_t max_bytes_before_pong = 262'500;

bool is_pong(const hop::Frame& frame)
{
    return frame.has_pong();
}

std::size_t total_bytes(const std::vector<hop::Frame>& frames)
{
    return std::accumulate(
        frames.begin(), frames.end(), std::size_t{},
        [](std::size_t sum, const hop::Frame& frame) { return sum + encoded(frame).size(); });
}

/*! @brief A link to a raw socket whose Hello may announce that it accepts parts. */
class link_with_parts : public link_to_raw_peer {
protected:
    void receive_hello(bool accepts_parts)
    {
        hop::Frame hello{};
        hello.mutable_hello()->set_accepts_parts(accepts_parts);
        this->write(encoded(hello));
        EXPECT_TRUE(this->world.run_until([this] { return !this->frames.empty(); }));
        this->frames.clear();
    }

    /*! @brief Sends a frame and lets the link fill the socket, which nobody reads. */
    void send_and_stall(const hop::Frame& frame)
    {
        this->send(frame);
        this->world.run_for(milliseconds{50});
    }

    void write_part(std::uint64_t stream, const std::string& bytes, bool last)
    {
        hop::Frame frame{};
        frame.mutable_part()->set_stream(stream);
        frame.mutable_part()->set_bytes(bytes);
        frame.mutable_part()->set_last(last);
        this->write(encoded(frame));
    }
};

TEST_F(link_with_parts, pong_overtakes_a_large_response)
{
    this->receive_hello(true);
    this->send_and_stall(answer_frame(1, 4'000'000));
    this->send(pong_frame(1));
    const auto read = this->read_raw(is_pong);
    ASSERT_TRUE(!read.empty() && read.back().has_pong());
    RecordProperty("bytes_before_pong", static_cast<int>(total_bytes(read)));
    EXPECT_LE(total_bytes(read), max_bytes_before_pong);
}

TEST_F(link_with_parts, pong_overtakes_many_small_responses)
{
    this->receive_hello(true);
    for (std::uint64_t id = 1; id <= 400; ++id) {
        this->send(answer_frame(id, 10'000));
    }
    this->world.run_for(milliseconds{50});
    this->send(pong_frame(1));
    const auto read = this->read_raw(is_pong);
    ASSERT_TRUE(!read.empty() && read.back().has_pong());
    RecordProperty("bytes_before_pong", static_cast<int>(total_bytes(read)));
    EXPECT_LE(total_bytes(read), max_bytes_before_pong);
}

TEST_F(link_with_parts, small_request_overtakes_a_large_one)
{
    this->receive_hello(true);
    this->send_and_stall(run_frame(1, 4'000'000));
    this->send(run_frame(2, 1'000));
    const auto read = this->read_raw([](const hop::Frame& frame) { return frame.has_run(); });
    ASSERT_TRUE(!read.empty() && read.back().has_run());
    EXPECT_EQ(read.back().run().id(), 2U);
    EXPECT_LE(total_bytes(read), max_bytes_before_pong);
}

TEST_F(link_with_parts, two_large_frames_share_the_link)
{
    this->receive_hello(true);
    this->send(answer_frame(1, 1'000'000));
    this->send(answer_frame(2, 1'000'000));
    std::set<std::uint64_t> completed{};
    const auto read = this->read_raw([&completed](const hop::Frame& frame) {
        if (frame.part().last()) {
            completed.insert(frame.part().stream());
        }
        return completed.size() == 2;
    });
    ASSERT_EQ(completed.size(), 2U);
    std::map<std::uint64_t, std::size_t> received{};
    for (const auto& frame : read) {
        received[frame.part().stream()] += frame.part().bytes().size();
        const auto [least, most] = std::minmax(received[1], received[2]);
        EXPECT_LE(most - least, max_part_bytes);
    }
    EXPECT_GT(received[1], 1'000'000U);
    EXPECT_GT(received[2], 1'000'000U);
}

TEST_F(link_with_parts, node_of_an_older_version_gets_whole_frames)
{
    this->receive_hello(false);
    this->send(answer_frame(1, 1'000'000));
    this->send(answer_frame(2, 100));
    const auto read = this->read_raw([](const hop::Frame& frame) { return frame.answer().id() == 1; });
    ASSERT_EQ(read.size(), 2U);
    EXPECT_EQ(read.back().answer().body(), std::string(1'000'000, 'a'));
}

TEST_F(link_with_parts, hello_announces_that_parts_are_accepted)
{
    hop::Frame hello{};
    hello.mutable_hello();
    this->send(hello);
    const auto read = this->read_raw([](const hop::Frame& frame) { return frame.has_hello(); });
    ASSERT_EQ(read.size(), 1U);
    EXPECT_TRUE(read.back().hello().accepts_parts());
}

TEST_F(link_with_parts, cancelled_request_that_was_sent_in_part_is_aborted)
{
    this->receive_hello(true);
    this->send_and_stall(run_frame(1, 4'000'000));
    const auto before = this->link->unsent();
    this->send(cancel_frame(1));
    EXPECT_LT(this->link->unsent() + 3'000'000, before);
    this->send(pong_frame(1));
    const auto read = this->read_raw(is_pong);
    ASSERT_GE(read.size(), 3U);
    const auto& abort = read[read.size() - 2].part();
    EXPECT_TRUE(abort.aborted());
    EXPECT_EQ(abort.stream(), read.front().part().stream());
    EXPECT_TRUE(std::none_of(read.begin(), read.end(), [](const hop::Frame& frame) {
        return frame.has_cancel() || frame.part().last();
    }));
}

TEST_F(link_with_parts, cancelled_request_that_was_not_sent_is_dropped)
{
    this->receive_hello(true);
    this->send_and_stall(answer_frame(9, 4'000'000));
    this->send(run_frame(1, 100));
    this->send(run_frame(2, 100));
    this->send(cancel_frame(1));
    const auto read = this->read_raw([](const hop::Frame& frame) { return frame.part().last(); });
    EXPECT_TRUE(std::none_of(read.begin(), read.end(), [](const hop::Frame& frame) {
        return frame.has_cancel() || frame.run().id() == 1;
    }));
    EXPECT_TRUE(
        std::any_of(read.begin(), read.end(), [](const hop::Frame& frame) { return frame.run().id() == 2; }));
}

TEST_F(link_with_parts, cancellation_follows_a_request_that_was_sent)
{
    this->receive_hello(true);
    this->send_and_stall(run_frame(1, 20'000));
    this->send(cancel_frame(1));
    const auto read = this->read_raw([](const hop::Frame& frame) { return frame.has_cancel(); });
    ASSERT_EQ(read.size(), 3U);
    EXPECT_TRUE(read[1].part().last());
}

TEST_F(link_with_parts, response_to_a_cancelled_request_is_dropped)
{
    this->receive_hello(true);
    this->send_and_stall(answer_frame(1, 4'000'000));
    this->write(encoded(cancel_frame(1)));
    EXPECT_TRUE(this->world.run_until([this] { return !this->frames.empty(); }));
    EXPECT_LT(this->link->unsent(), 100'000U);
}

TEST_F(link_with_parts, frames_in_parts_are_received_whole)
{
    const auto first = encoded(run_frame(1, 50'000)).substr(frame_prefix_bytes);
    const auto second = encoded(run_frame(2, 10)).substr(frame_prefix_bytes);
    this->write_part(7, first.substr(0, 20'000), false);
    this->write_part(8, second, true);
    this->write(encoded(pong_frame(1)));
    this->write_part(7, first.substr(20'000), true);
    EXPECT_TRUE(this->world.run_until([this] { return this->frames.size() == 3; }));
    EXPECT_EQ(this->frames[0].run().id(), 2U);
    EXPECT_TRUE(this->frames[1].has_pong());
    EXPECT_EQ(this->frames[2].run().body(), std::string(50'000, 'r'));
    const auto received = [this](const std::string& kind) {
        return this->world.metrics
            .counter_of("gateway_link_bytes_total", "", {{"direction", "received"}, {"kind", kind}})
            .value();
    };
    EXPECT_EQ(received("run"), first.size() + second.size() + 2 * frame_prefix_bytes);
}

TEST_F(link_with_parts, malformed_part_closes_the_link)
{
    this->write_part(0, "x", true);
    EXPECT_TRUE(this->world.run_until([this] { return !this->close_cause.empty(); }));
    EXPECT_EQ(this->close_cause, "malformed frame");
}

TEST_F(link_with_parts, queueing_delay_of_a_frame_in_parts_is_that_of_its_last_part)
{
    const auto sent_us = static_cast<std::uint64_t>(boot_now().time_since_epoch().count());
    hop::Frame hello{};
    hello.mutable_hello();
    hello.set_sent_us(sent_us);
    auto run = run_frame(1, 100);
    run.set_sent_us(sent_us);
    const auto bytes = encoded(run).substr(frame_prefix_bytes);
    this->write(encoded(hello));
    this->write_part(1, bytes.substr(0, 50), false);
    EXPECT_TRUE(this->world.run_until([this] { return !this->frames.empty(); }));
    this->world.run_for(milliseconds{100});
    this->write_part(1, bytes.substr(50), true);
    EXPECT_TRUE(this->world.run_until([this] { return this->frames.size() == 2; }));
    EXPECT_GE(this->delays.back(), milliseconds{100});
}

TEST_F(link_with_parts, load_in_a_delayed_response_does_not_replace_a_newer_one)
{
    auto pong = pong_frame(1);
    pong.set_sent_us(2'000'000);
    auto older = answer_frame(1, 10);
    older.mutable_answer()->mutable_load()->set_running(7);
    older.set_sent_us(1'000'000);
    auto newer = older;
    newer.set_sent_us(3'000'000);
    this->write(encoded(pong) + encoded(older) + encoded(newer));
    EXPECT_TRUE(this->world.run_until([this] { return this->frames.size() == 3; }));
    EXPECT_FALSE(this->frames[1].answer().has_load());
    EXPECT_TRUE(this->frames[2].answer().has_load());
}

TEST_F(link_with_parts, queued_frames_count_towards_congestion)
{
    this->receive_hello(true);
    this->send_and_stall(answer_frame(1, 3'000'000));
    EXPECT_FALSE(this->link->is_congested());
    for (std::uint64_t id = 2; id < 202; ++id) {
        this->send(answer_frame(id, 10'000));
    }
    EXPECT_TRUE(this->link->is_congested());
}

TEST_F(link_with_parts, frames_between_two_links_arrive_intact)
{
    boost::asio::ip::tcp::acceptor acceptor{this->world.loop.context(),
                                            {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
    boost::asio::ip::tcp::socket opened{this->world.loop.context()};
    boost::asio::ip::tcp::socket accepted{this->world.loop.context()};
    opened.connect(acceptor.local_endpoint());
    acceptor.accept(accepted);
    const auto make_link = [this](boost::asio::ip::tcp::socket socket) {
        return std::make_shared<peer_link>(
            this->world.loop, socket_stream::adopt(this->world.loop, std::move(socket)), this->metrics);
    };
    const auto sender = make_link(std::move(opened));
    const auto receiver = make_link(std::move(accepted));
    std::map<std::uint64_t, std::string> bodies{};
    std::string cause{};
    sender->start([](const peer_link::pointer&, hop::Frame&, microseconds) {},
                  [&](const peer_link::pointer&, const std::string& text) { cause = text; });
    receiver->start(
        [&](const peer_link::pointer&, hop::Frame& frame, microseconds) {
            EXPECT_TRUE(bodies.emplace(frame.answer().id(), frame.answer().body()).second);
        },
        [&](const peer_link::pointer&, const std::string& text) { cause = text; });
    hop::Frame hello{};
    hello.mutable_hello();
    receiver->send(hello);
    this->world.run_for(milliseconds{20});
    std::uint64_t id{};
    for (const std::size_t size : {5'000'000, 10, 16'384, 1'000'000, 200'000, 16'300, 20'000, 0, 3'000'000}) {
        auto frame = answer_frame(++id, size);
        sender->send(frame);
        this->world.run_for(milliseconds{1});
    }
    EXPECT_TRUE(this->world.run_until([&] { return bodies.size() == id; }));
    EXPECT_EQ(cause, "");
    EXPECT_EQ(bodies[1], std::string(5'000'000, 'a'));
    EXPECT_EQ(bodies[9], std::string(3'000'000, 'a'));
    EXPECT_EQ(sender->unsent(), 0U);
    sender->close();
    receiver->close();
}

} // namespace
} // namespace kumquatdrift
