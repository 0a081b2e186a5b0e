#include <gateway/http_client.hpp>

#include <array>
#include <optional>

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

} // namespace
} // namespace kumquatdrift
