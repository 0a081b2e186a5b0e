#include <array>
#include <deque>
#include <optional>
#include <string>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <gateway/hop_codec.hpp>
#include <gateway/peers.hpp>
#include <support/gateway_world.hpp>

namespace kumquatdrift {
namespace {

using boost::asio::ip::tcp;

/*! @brief A node with a link that the other one's host has accepted. */
class node_with_accepted_link : public testing::Test {
protected:
    node_with_accepted_link()
    {
        this->acceptor.set_option(boost::asio::socket_base::receive_buffer_size{16'384});
        this->acceptor.bind({boost::asio::ip::make_address_v4("127.0.0.1"), 0});
        this->acceptor.listen();
        this->other.node = "other";
        this->other.ip = "127.0.0.1";
        this->other.port = this->acceptor.local_endpoint().port();
        this->links.on_member(this->other);
        this->acceptor.async_accept(
            this->raw, [this](const boost::system::error_code& error) { this->accepted = !error; });
        EXPECT_TRUE(this->world.run_until([this] { return this->accepted; }));
    }

    gateway_world world{};
    member_record other{};
    tcp::acceptor acceptor{this->world.loop.context(), tcp::v4()};
    tcp::socket raw{this->world.loop.context()};
    bool accepted{};
    target_host host{{this->world.loop, this->world.platform, this->world.log, this->world.metrics,
                      this->world.quarantine},
                     "node",
                     std::chrono::seconds{60},
                     [] {}};
    random_engine rng{1};
    peers links{{this->world.loop, this->world.log, this->host, this->world.quarantine, this->rng,
                 this->world.metrics},
                [] {
                    member_record own{};
                    own.node = "node";
                    own.ip = "127.0.0.1";
                    own.port = 8;
                    return own;
                },
                [](std::uint32_t, const std::string&) {}};
};

/*! @brief A node with a link to another one that has sent its record, but doesn't read and answers no ping.
 */
class node_with_silent_peer : public node_with_accepted_link {
protected:
    node_with_silent_peer()
    {
        hop::Frame hello{};
        encode(this->other, *hello.mutable_hello()->mutable_self());
        std::string bytes{};
        append_frame(hello, bytes);
        boost::asio::write(this->raw, boost::asio::buffer(bytes));
        EXPECT_TRUE(this->world.run_until([this] { return this->links.reachable_count() == 1; }));
    }
};

// Guards against requests to a process that is frozen while its host accepts connections.
TEST_F(node_with_accepted_link, node_that_has_sent_nothing_is_not_reachable)
{
    EXPECT_FALSE(
        this->world.run_until([this] { return this->links.reachable_count() > 0; }, std::chrono::seconds{2}));
}

// Guards against a 502 for a request at which its target is at work, after the node was told to stop (LOST).
TEST_F(node_with_silent_peer, request_on_a_silent_link_is_not_given_up_while_the_node_stops)
{
    auto request = std::make_shared<target_request>(*make_target_request("r1", false));
    request->deadline = boot_now() + std::chrono::seconds{9};
    std::optional<attempt_outcome> outcome{};
    EXPECT_NE(
        this->links.run("other", request, [&](const attempt_result& result) { outcome = result.outcome; }),
        0U);
    this->links.keep_silent_links();
    this->world.run_for(std::chrono::seconds{3});
    EXPECT_FALSE(outcome);
    hop::Frame answer{};
    answer.mutable_answer()->set_id(1);
    answer.mutable_answer()->set_status(200);
    std::string bytes{};
    append_frame(answer, bytes);
    boost::asio::write(this->raw, boost::asio::buffer(bytes));
    EXPECT_TRUE(this->world.run_until([&] { return outcome.has_value(); }));
    EXPECT_EQ(outcome, attempt_outcome::answered);
}

// Guards against requests that reach their target after their callers were told that they are lost.
TEST_F(node_with_silent_peer, request_that_waits_on_a_link_given_up_does_not_arrive_later)
{
    auto request = std::make_shared<target_request>(*make_target_request("r1", false));
    request->deadline = boot_now() + std::chrono::seconds{9};
    request->body = std::string(3'000'000, 'x');
    std::optional<attempt_outcome> outcome{};
    EXPECT_NE(
        this->links.run("other", request, [&](const attempt_result& result) { outcome = result.outcome; }),
        0U);
    EXPECT_TRUE(this->world.run_until([&] { return outcome.has_value(); }, std::chrono::seconds{8}));
    EXPECT_EQ(outcome, attempt_outcome::lost);
    boost::system::error_code error{};
    std::array<char, 65'536> chunk{};
    while (!error) {
        (void)this->raw.read_some(boost::asio::buffer(chunk), error);
    }
    EXPECT_EQ(error, boost::asio::error::connection_reset);
}

/*! @brief A node whose link to another one has been replaced because that one was silent. */
class node_with_replaced_link : public node_with_silent_peer {
protected:
    [[nodiscard]] std::optional<attempt_result>& run(bool idempotent, std::size_t body_bytes = 0)
    {
        auto request = std::make_shared<target_request>(*make_target_request("r1", idempotent));
        request->deadline = boot_now() + std::chrono::seconds{9};
        request->body = std::string(body_bytes, 'x');
        auto& result = this->results.emplace_back();
        EXPECT_NE(this->links.run("other", request,
                                  [&result](attempt_result received) { result = std::move(received); }),
                  0U);
        return result;
    }

    void accept_replacement()
    {
        bool replaced{};
        this->acceptor.async_accept(this->replacement,
                                    [&](const boost::system::error_code& error) { replaced = !error; });
        EXPECT_TRUE(this->world.run_until([&] { return replaced; }));
    }

    void respond(std::uint64_t id)
    {
        hop::Frame answer{};
        answer.mutable_answer()->set_id(id);
        answer.mutable_answer()->set_status(200);
        this->send(answer);
    }

    void send(const hop::Frame& frame)
    {
        std::string bytes{};
        append_frame(frame, bytes);
        boost::asio::write(this->raw, boost::asio::buffer(bytes));
    }

    tcp::socket replacement{this->world.loop.context()};
    std::deque<std::optional<attempt_result>> results{};
};

// Guards against a 502 for a request that is executed once because its response is late.
TEST_F(node_with_replaced_link, late_response_of_non_idempotent_request_is_delivered)
{
    const auto& result = this->run(false);
    this->accept_replacement();
    this->world.run_for(std::chrono::seconds{1});
    EXPECT_FALSE(result);
    this->respond(1);
    EXPECT_TRUE(this->world.run_until([&] { return result.has_value(); }, std::chrono::seconds{1}));
    ASSERT_TRUE(result);
    EXPECT_EQ(result->outcome, attempt_outcome::answered);
    EXPECT_EQ(result->status, 200U);
}

// Guards against idempotent requests that wait for a silent node instead of being sent to another one.
TEST_F(node_with_replaced_link, idempotent_request_is_given_up)
{
    const auto& once = this->run(false);
    const auto& again = this->run(true);
    EXPECT_TRUE(this->world.run_until([&] { return again.has_value(); }, std::chrono::seconds{3}));
    ASSERT_TRUE(again);
    EXPECT_EQ(again->outcome, attempt_outcome::lost);
    EXPECT_FALSE(once);
}

// Guards against a 502 for a request that was never sent, and that another node could execute.
TEST_F(node_with_replaced_link, request_that_was_not_sent_is_reported_as_not_sent)
{
    hop::Frame hello{};
    encode(this->other, *hello.mutable_hello()->mutable_self());
    hello.mutable_hello()->set_accepts_parts(true);
    this->send(hello);
    this->world.run_for(std::chrono::milliseconds{100});
    const auto& first = this->run(false, 3'000'000);
    const auto& second = this->run(false, 3'000'000);
    EXPECT_TRUE(this->world.run_until([&] { return first && second; }, std::chrono::seconds{3}));
    ASSERT_TRUE(first);
    ASSERT_TRUE(second);
    EXPECT_EQ(first->outcome, attempt_outcome::unreachable);
    EXPECT_EQ(second->outcome, attempt_outcome::unreachable);
}

// Guards against work that goes on for a caller who has left.
TEST_F(node_with_replaced_link, request_is_cancelled_on_the_link_that_it_was_sent_on)
{
    const auto& result = this->run(false);
    this->accept_replacement();
    this->links.cancel("other", 1);
    this->world.run_for(std::chrono::milliseconds{200});
    EXPECT_FALSE(result);
    std::string received{};
    std::array<char, 65'536> chunk{};
    boost::system::error_code error{};
    while (!error) {
        const auto count = this->raw.read_some(boost::asio::buffer(chunk), error);
        received.append(chunk.data(), count);
    }
    hop::Frame frame{};
    bool is_cancelled{};
    for (std::size_t offset = 0; read_frame(received, offset, frame) == frame_status::complete;) {
        is_cancelled = is_cancelled || (frame.has_cancel() && frame.cancel().id() == 1);
    }
    EXPECT_TRUE(is_cancelled || error == boost::asio::error::connection_reset);
}

// Guards against a response that arrived during a suspension of the node and is thrown away with its link.
TEST_F(node_with_replaced_link, response_that_arrived_during_a_suspension_is_delivered)
{
    const auto& once = this->run(false);
    const auto& again = this->run(true);
    this->world.run_for(std::chrono::milliseconds{50});
    this->respond(1);
    this->respond(2);
    this->links.on_suspension();
    EXPECT_TRUE(this->world.run_until([&] { return once && again; }, std::chrono::seconds{1}));
    ASSERT_TRUE(once);
    ASSERT_TRUE(again);
    EXPECT_EQ(once->outcome, attempt_outcome::answered);
    EXPECT_EQ(again->outcome, attempt_outcome::answered);
}

} // namespace
} // namespace kumquatdrift
