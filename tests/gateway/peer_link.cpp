#include <gateway/peer_link.hpp>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <gateway/hop_codec.hpp>
#include <support/gateway_world.hpp>

namespace kumquatdrift {
namespace {

hop::Frame run_frame(std::uint64_t id)
{
    hop::Frame frame{};
    frame.mutable_run()->set_id(id);
    return frame;
}

hop::Frame cancel_frame(std::uint64_t id)
{
    hop::Frame frame{};
    frame.mutable_cancel()->set_id(id);
    return frame;
}

/*! @brief A link whose other end is a raw connection of the test. */
class link_to_raw_peer : public testing::Test {
protected:
    link_to_raw_peer()
    {
        boost::asio::ip::tcp::acceptor acceptor{this->world.loop.context(),
                                                {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
        boost::asio::ip::tcp::socket accepted{this->world.loop.context()};
        this->raw.connect(acceptor.local_endpoint());
        acceptor.accept(accepted);
        this->link = std::make_shared<peer_link>(this->world.loop,
                                                 stream::adopt(this->world.loop, std::move(accepted)));
        this->link->start(
            [this](const peer_link::pointer&, hop::Frame& frame) { this->frames.push_back(frame); },
            [this](const peer_link::pointer&, const std::string& cause) { this->lost = cause; });
    }

    void TearDown() override
    {
        this->link->close();
    }

    void write(const std::string& bytes)
    {
        boost::asio::write(this->raw, boost::asio::buffer(bytes));
    }

    gateway_world world{};
    boost::asio::ip::tcp::socket raw{this->world.loop.context()};
    peer_link::pointer link{};
    std::vector<hop::Frame> frames{};
    std::string lost{};
};

TEST_F(link_to_raw_peer, request_cancelled_before_it_was_read_is_not_begun)
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

TEST_F(link_to_raw_peer, rubbish_ends_the_link_with_its_cause)
{
    this->write("\xff\xff\xff\xff rubbish");
    EXPECT_TRUE(this->world.run_until([this] { return !this->lost.empty(); }));
    EXPECT_EQ(this->lost, "a frame that cannot be decoded");
}

TEST_F(link_to_raw_peer, delay_beyond_the_fastest_frame_is_told)
{
    // The sender's clock is 1,000 s ahead; the fastest frame takes 2 ms.
    const timestamp now{std::chrono::seconds{50}};
    const auto sent = [&](milliseconds before) {
        return static_cast<std::uint64_t>(
            (now + std::chrono::seconds{1'000} - before).time_since_epoch().count());
    };
    EXPECT_EQ(this->link->held_up(sent(milliseconds{5}), now), microseconds{0});
    EXPECT_EQ(this->link->held_up(sent(milliseconds{2}), now), microseconds{0});
    EXPECT_EQ(this->link->held_up(sent(milliseconds{902}), now), milliseconds{900});
}

} // namespace
} // namespace kumquatdrift
