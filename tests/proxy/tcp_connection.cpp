#include <kumquatdrift/proxy/tcp_connection.hpp>

#include <string>

#include <gtest/gtest.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace kumquatdrift {
namespace {

/*! @brief A connection whose peer has sent bytes and ended it. */
class tcp_connection_ended_by_peer : public testing::Test {
protected:
    void end_with(bool reset)
    {
        auto peer = this->listener.acceptConnection();
        peer.sendBytes("part", 4);
        peer.setLinger(reset, 0);
        peer.close();
        ASSERT_EQ(this->connection.wait_input(this->soon()), io_status::ok);
    }

    [[nodiscard]] static timestamp soon()
    {
        return steady_now() + milliseconds{1'000};
    }

    Poco::Net::ServerSocket listener{Poco::Net::SocketAddress{"127.0.0.1:0"}};
    tcp_connection connection{Poco::Net::StreamSocket{listener.address()}, 1'024};
};

// Guards against a truncated body that looks complete because a failed send has consumed the reset.
TEST_F(tcp_connection_ended_by_peer, with_a_reset_reports_no_orderly_close_after_a_failed_send)
{
    this->end_with(true);
    EXPECT_EQ(this->connection.send("more", this->soon()), io_status::failed);
    ASSERT_EQ(this->connection.receive(this->soon()), io_status::ok);
    EXPECT_EQ(this->connection.input(), "part");
    EXPECT_EQ(this->connection.receive(this->soon()), io_status::failed);
}

TEST_F(tcp_connection_ended_by_peer, orderly_reports_an_orderly_close)
{
    this->end_with(false);
    ASSERT_EQ(this->connection.receive(this->soon()), io_status::ok);
    EXPECT_EQ(this->connection.receive(this->soon()), io_status::closed);
}

} // namespace
} // namespace kumquatdrift
