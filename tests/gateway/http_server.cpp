#include <gateway/http_server.hpp>

#include <string>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <support/gateway_world.hpp>

namespace kumquatdrift {
namespace {

/*! @brief A server that may hold 1,000 bytes of bodies, and raw connections to it. */
class server_with_little_memory : public testing::Test {
protected:
    server_with_little_memory()
    {
        const auto bound = this->server.listen({"127.0.0.1", 0});
        EXPECT_TRUE(bound) << bound.last_reason();
        this->address = *bound;
    }

    [[nodiscard]] boost::asio::ip::tcp::socket connect()
    {
        boost::asio::ip::tcp::socket socket{this->world.loop.context()};
        socket.connect({boost::asio::ip::make_address_v4(this->address.ip), this->address.port});
        return socket;
    }

    /*! @brief Reads the first bytes that arrive. */
    [[nodiscard]] std::string read(boost::asio::ip::tcp::socket& socket)
    {
        std::string text{};
        socket.non_blocking(true);
        (void)this->world.run_until([&] {
            std::string block(4'096, ' ');
            boost::system::error_code error{};
            block.resize(socket.read_some(boost::asio::buffer(block), error));
            text += block;
            return !text.empty();
        });
        return text;
    }

    static void write(boost::asio::ip::tcp::socket& socket, const std::string& text)
    {
        boost::asio::write(socket, boost::asio::buffer(text));
    }

    gateway_world world{};
    std::vector<http_exchange_ptr> seen{};
    http_server server{this->world.loop, [] { return caller_limits{}; }, 10,
                       [this](const http_exchange_ptr& exchange) { this->seen.push_back(exchange); }, 1'000};
    socket_address address{};
};

TEST_F(server_with_little_memory, bodies_beyond_it_are_refused_until_others_are_answered)
{
    auto first = this->connect();
    write(first, "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(900, 'x'));
    EXPECT_TRUE(this->world.run_until([this] { return this->seen.size() == 1; }));
    EXPECT_EQ(this->server.body_bytes(), 900U);
    auto second = this->connect();
    write(second, "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(200, 'x'));
    EXPECT_TRUE(this->read(second).starts_with("HTTP/1.1 503 "));
    this->seen.front()->respond({200, "", "", ""});
    EXPECT_TRUE(this->read(first).starts_with("HTTP/1.1 200 "));
    EXPECT_EQ(this->server.body_bytes(), 0U);
}

TEST_F(server_with_little_memory, caller_that_leaves_frees_it)
{
    {
        auto first = this->connect();
        write(first, "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(500, 'x'));
        EXPECT_TRUE(this->world.run_until([this] { return this->server.body_bytes() == 500; }));
    }
    EXPECT_TRUE(this->world.run_until([this] { return this->server.body_bytes() == 0; }));
    EXPECT_EQ(this->server.connections(), 0U);
}

TEST_F(server_with_little_memory, pipelined_request_waits_for_the_answer_before_it)
{
    auto caller = this->connect();
    write(caller, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(this->world.run_until([this] { return this->seen.size() == 1; }));
    this->world.run_for(milliseconds{50});
    EXPECT_EQ(this->seen.size(), 1U);
    this->seen.front()->respond({200, "", "", "one"});
    EXPECT_TRUE(this->world.run_until([this] { return this->seen.size() == 2; }));
    EXPECT_EQ(this->seen.back()->request.target, "/2");
}

TEST_F(server_with_little_memory, rubbish_gets_400_and_the_connection_ends)
{
    auto caller = this->connect();
    write(caller, "\x16\x03\x01 rubbish\r\n\r\n");
    EXPECT_TRUE(this->read(caller).starts_with("HTTP/1.1 400 "));
    EXPECT_TRUE(this->world.run_until([this] { return this->server.connections() == 0; }));
    EXPECT_TRUE(this->seen.empty());
}

} // namespace
} // namespace kumquatdrift
