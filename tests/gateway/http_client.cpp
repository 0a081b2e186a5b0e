#include <gateway/http_client.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <support/gateway_world.hpp>

namespace kumquatdrift {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/*! @brief A client whose peer is a raw socket that the test reads and writes. */
class http_client_with_raw_peer : public testing::Test {
protected:
    http_client_with_raw_peer()
    {
        this->client.set_address({"127.0.0.1", this->acceptor.local_endpoint().port()});
    }

    std::uint64_t call(microseconds timeout)
    {
        call_request request{};
        request.bytes = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        request.deadline = boot_now() + timeout;
        request.max_idle = std::chrono::seconds{1};
        request.id_field = "X-Id";
        request.id = "r1";
        return this->client.call(std::move(request),
                                 [this](call_result result) { this->last_result = std::move(result); });
    }

    /*! @brief Accepts the client's connection and waits for the request to arrive. */
    void accept()
    {
        this->acceptor.accept(this->peer);
        EXPECT_TRUE(this->world.run_until([this] { return this->peer.available() > 0; }));
    }

    /*! @brief Reads until the connection ends, and returns the error of the last read. */
    error_code end_of_connection()
    {
        std::array<char, 256> chunk{};
        error_code error{};
        while (!error) {
            (void)this->peer.read_some(boost::asio::buffer(chunk), error);
        }
        return error;
    }

    gateway_world world{};
    tcp::acceptor acceptor{this->world.loop.context(), {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
    tcp::socket peer{this->world.loop.context()};
    http_client client{this->world.loop, {std::chrono::seconds{1}, 8, 65'536, 1'048'576}};
    std::optional<call_result> last_result{};
};

TEST_F(http_client_with_raw_peer, cancelled_call_is_reset)
{
    const auto id = this->call(std::chrono::seconds{5});
    this->accept();
    this->client.cancel(id);
    EXPECT_EQ(this->end_of_connection(), boost::asio::error::connection_reset);
    EXPECT_FALSE(this->last_result);
}

TEST_F(http_client_with_raw_peer, call_without_response_in_time_is_reset)
{
    (void)this->call(milliseconds{80});
    this->accept();
    EXPECT_TRUE(this->world.run_until([this] { return this->last_result.has_value(); }));
    EXPECT_EQ(this->last_result->outcome, call_outcome::timed_out);
    EXPECT_EQ(this->end_of_connection(), boost::asio::error::connection_reset);
}

TEST_F(http_client_with_raw_peer, connection_is_closed_without_a_reset_after_a_response_with_connection_close)
{
    (void)this->call(std::chrono::seconds{5});
    this->accept();
    boost::asio::write(this->peer, boost::asio::buffer(std::string_view{
                                       "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"}));
    EXPECT_TRUE(this->world.run_until([this] { return this->last_result.has_value(); }));
    EXPECT_EQ(this->last_result->outcome, call_outcome::answered);
    EXPECT_EQ(this->end_of_connection(), boost::asio::error::eof);
}

// Guards against a late second copy of a response without id that the next call takes for its own.
TEST_F(http_client_with_raw_peer, connection_is_not_reused_after_a_response_without_id)
{
    const std::string response{"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"};
    (void)this->call(std::chrono::seconds{5});
    this->accept();
    boost::asio::write(this->peer, boost::asio::buffer(response));
    EXPECT_TRUE(this->world.run_until([this] { return this->last_result.has_value(); }));
    this->last_result.reset();
    (void)this->call(std::chrono::seconds{5});
    this->world.run_for(milliseconds{20});
    error_code ignored{};
    boost::asio::write(this->peer, boost::asio::buffer(response), ignored);
    this->world.run_for(milliseconds{50});
    EXPECT_FALSE(this->last_result);
}

// Guards against a truncated body that looks complete because a failed send has consumed the reset.
TEST_F(http_client_with_raw_peer, reset_that_a_send_has_consumed_does_not_end_a_body)
{
    (void)this->call(std::chrono::seconds{5});
    this->accept();
    boost::asio::write(this->peer, boost::asio::buffer(std::string_view{
                                       "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n"}));
    EXPECT_TRUE(this->world.run_until([this] { return this->last_result.has_value(); }));
    this->last_result.reset();
    // The loop doesn't run between the reset and the next call, which uses the connection again.
    boost::asio::write(this->peer,
                       boost::asio::buffer(std::string_view{"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\npart"}));
    this->peer.set_option(boost::asio::socket_base::linger{true, 0});
    this->peer.close();
    (void)this->call(std::chrono::seconds{5});
    EXPECT_TRUE(this->world.run_until([this] { return this->last_result.has_value(); }));
    EXPECT_EQ(this->client.opened(), 1U);
    EXPECT_EQ(this->last_result->outcome, call_outcome::lost) << this->last_result->response.body;
}

// Guards against a response of another request that also echoes the id of this one.
TEST_F(http_client_with_raw_peer, response_with_two_ids_is_malformed)
{
    for (const std::string ids : {"X-Id: r1\r\nX-Id: r2\r\n", "X-Id: r2\r\nX-Id: r1\r\n"}) {
        for (const std::string framing : {"Content-Length: 2\r\n\r\nok", "\r\nok"}) {
            this->last_result.reset();
            this->client.close_idle();
            (void)this->call(std::chrono::seconds{5});
            this->accept();
            // Unread bytes would turn the close into a reset.
            std::array<char, 256> request{};
            (void)this->peer.read_some(boost::asio::buffer(request));
            boost::asio::write(this->peer, boost::asio::buffer("HTTP/1.1 200 OK\r\n" + ids + framing));
            this->peer.close();
            ASSERT_TRUE(this->world.run_until([this] { return this->last_result.has_value(); }));
            EXPECT_EQ(this->last_result->outcome, call_outcome::malformed) << ids << framing;
        }
    }
}

/*! @brief A response that never ends: bytes at its start, and bytes that repeat until the caller closes. */
struct endless_response {
    std::string name{};
    std::string start{};
    std::string repeated{};
};

class http_client_with_endless_response : public http_client_with_raw_peer,
                                          public testing::WithParamInterface<endless_response> {
protected:
    /*! @brief Largest number of bytes that are read: the limits of the client, its read buffer, and the
     * buffers of both sockets. */
    static constexpr std::size_t max_bytes = 12'582'912;
};

// Guards against a call that reads until its deadline, or without a bound on memory.
TEST_P(http_client_with_endless_response, call_ends_as_malformed_and_the_connection_is_closed)
{
    (void)this->call(std::chrono::seconds{20});
    this->accept();
    this->peer.non_blocking(true);
    std::string block{};
    while (block.size() < 65'536) {
        block += GetParam().repeated;
    }
    error_code error{};
    std::size_t sent = boost::asio::write(this->peer, boost::asio::buffer(GetParam().start), error);
    std::size_t offset{};
    (void)this->world.run_until(
        [&] {
            while (!error && sent < 2 * max_bytes) {
                const auto count = this->peer.write_some(
                    boost::asio::buffer(block.data() + offset, block.size() - offset), error);
                sent += count;
                offset = (offset + count) % block.size();
            }
            if (error == boost::asio::error::would_block) {
                error = {};
            }
            return this->last_result.has_value();
        },
        std::chrono::seconds{8});
    ASSERT_TRUE(this->last_result) << sent;
    EXPECT_EQ(this->last_result->outcome, call_outcome::malformed);
    EXPECT_LT(sent, max_bytes);
    EXPECT_TRUE(this->world.run_until([&] {
        (void)this->peer.write_some(boost::asio::buffer(block), error);
        return error && error != boost::asio::error::would_block;
    }));
}

const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    responses, http_client_with_endless_response,
    testing::Values(endless_response{"line", "", "x"}, endless_response{"status_line", "HTTP/1.1 200 ", "x"},
                    endless_response{"field", "HTTP/1.1 200 OK\r\nA: ", "x"},
                    endless_response{"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
                    endless_response{"body_until_close", "HTTP/1.1 200 OK\r\n\r\n", "x"},
                    endless_response{"body_of_great_length",
                                     "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\n", "x"},
                    endless_response{"chunks", chunked_head, "4\r\nabcd\r\n"},
                    endless_response{"chunk_size", chunked_head, "0"},
                    endless_response{"chunk_extension", chunked_head + "4;a=", "x"},
                    endless_response{"chunk_extensions", chunked_head,
                                     "1;a=bbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\nc\r\n"},
                    endless_response{"trailers", chunked_head + "0\r\n", "A: b\r\n"},
                    endless_response{"interim_responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                    endless_response{"responses_to_other_requests", "",
                                     "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n"}),
    [](const auto& tested) { return tested.param.name; });

// Guards against responses without end on all slots, which together exceed the memory of the process.
TEST_F(http_client_with_raw_peer, incomplete_responses_together_stay_under_the_limit)
{
    http_client small{this->world.loop, {std::chrono::seconds{1}, 8, 65'536, 1'048'576, 100'000}};
    small.set_address(this->client.address());
    std::vector<call_outcome> outcomes{};
    std::vector<tcp::socket> peers{};
    for (int count = 0; count < 3; ++count) {
        call_request request{};
        request.bytes = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        request.deadline = boot_now() + std::chrono::seconds{5};
        (void)small.call(std::move(request),
                         [&](const call_result& result) { outcomes.push_back(result.outcome); });
        peers.emplace_back(this->world.loop.context());
        this->acceptor.accept(peers.back());
    }
    for (auto& each : peers) {
        boost::asio::write(each, boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" +
                                                     std::string(50'000, 'x')));
    }
    EXPECT_TRUE(this->world.run_until([&] { return !outcomes.empty(); }));
    EXPECT_EQ(outcomes, std::vector{call_outcome::malformed});
    for (auto& each : peers) {
        error_code ignored{};
        boost::asio::write(each, boost::asio::buffer(std::string(10'000, 'x')), ignored);
    }
    EXPECT_TRUE(this->world.run_until([&] { return outcomes.size() == 3; }));
    EXPECT_EQ(std::count(outcomes.begin(), outcomes.end(), call_outcome::answered), 2);
}

} // namespace
} // namespace kumquatdrift
