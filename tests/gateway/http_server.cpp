#include <gateway/http_server.hpp>

#include <string>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <support/gateway_world.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Server with a limit of 1,000 bytes for all request bodies, and raw connections to it. */
class http_server_with_body_limit : public testing::Test {
protected:
    http_server_with_body_limit()
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

    /*! @brief Waits for the next bytes and returns them. */
    [[nodiscard]] std::string read(boost::asio::ip::tcp::socket& socket)
    {
        std::string output{};
        socket.non_blocking(true);
        (void)this->world.run_until([&] {
            std::string chunk(4'096, ' ');
            boost::system::error_code error{};
            chunk.resize(socket.read_some(boost::asio::buffer(chunk), error));
            output += chunk;
            return !output.empty();
        });
        return output;
    }

    /*! @brief Reads until the peer closes the connection and returns the bytes. */
    [[nodiscard]] std::string read_to_end(boost::asio::ip::tcp::socket& socket)
    {
        std::string output{};
        socket.non_blocking(true);
        EXPECT_TRUE(this->world.run_until([&] {
            std::string chunk(65'536, ' ');
            boost::system::error_code error{};
            chunk.resize(socket.read_some(boost::asio::buffer(chunk), error));
            output += chunk;
            return error && error != boost::asio::error::would_block;
        }));
        return output;
    }

    static void write(boost::asio::ip::tcp::socket& socket, const std::string& text)
    {
        boost::asio::write(socket, boost::asio::buffer(text));
    }

    gateway_world world{};
    std::vector<http_exchange_ptr> received{};
    http_server server{this->world.loop, [] { return caller_limits{}; }, 10,
                       [this](const http_exchange_ptr& exchange) { this->received.push_back(exchange); },
                       1'000};
    socket_address address{};
};

TEST_F(http_server_with_body_limit,
       bodies_beyond_the_limit_are_rejected_until_earlier_requests_have_responses)
{
    auto first = this->connect();
    write(first, "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(900, 'x'));
    EXPECT_TRUE(this->world.run_until([this] { return this->received.size() == 1; }));
    EXPECT_EQ(this->server.body_bytes(), 900U);
    auto second = this->connect();
    write(second, "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(200, 'x'));
    EXPECT_TRUE(this->read(second).starts_with("HTTP/1.1 503 "));
    this->received.front()->respond({200, "", "", ""});
    EXPECT_TRUE(this->read(first).starts_with("HTTP/1.1 200 "));
    EXPECT_EQ(this->server.body_bytes(), 0U);
}

// Guards against uploads that stop midway and keep the room for bodies.
TEST_F(http_server_with_body_limit, body_that_has_stopped_arriving_gives_way)
{
    auto first = this->connect();
    write(first, "POST /1 HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(800, 'x'));
    EXPECT_TRUE(this->world.run_until([this] { return this->server.body_bytes() == 800; }));
    this->world.run_for(milliseconds{1'100});
    auto second = this->connect();
    write(second, "POST /2 HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(900, 'x'));
    EXPECT_TRUE(this->world.run_until([this] { return this->received.size() == 1; }));
    EXPECT_EQ(this->received.front()->request.target, "/2");
    EXPECT_TRUE(this->read(first).starts_with("HTTP/1.1 408 "));
}

TEST_F(http_server_with_body_limit, body_bytes_are_released_when_the_caller_disconnects)
{
    {
        auto first = this->connect();
        write(first, "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(500, 'x'));
        EXPECT_TRUE(this->world.run_until([this] { return this->server.body_bytes() == 500; }));
    }
    EXPECT_TRUE(this->world.run_until([this] { return this->server.body_bytes() == 0; }));
    EXPECT_EQ(this->server.connections(), 0U);
}

TEST_F(http_server_with_body_limit, pipelined_request_is_handled_after_the_previous_response)
{
    auto caller = this->connect();
    write(caller, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(this->world.run_until([this] { return this->received.size() == 1; }));
    this->world.run_for(milliseconds{50});
    EXPECT_EQ(this->received.size(), 1U);
    this->received.front()->respond({200, "", "", "one"});
    EXPECT_TRUE(this->world.run_until([this] { return this->received.size() == 2; }));
    EXPECT_EQ(this->received.back()->request.target, "/2");
}

// Guards against a stack that grows with the number of pipelined requests.
TEST(http_server_that_responds_at_once, twenty_thousand_pipelined_requests_are_served)
{
    constexpr std::size_t count = 20'000;
    gateway_world world{};
    std::size_t served{};
    http_server server{world.loop, [] { return caller_limits{}; }, 10,
                       [&served](const http_exchange_ptr& exchange) {
                           ++served;
                           exchange->respond({204, "", "", ""});
                       }};
    const auto bound = server.listen({"127.0.0.1", 0});
    ASSERT_TRUE(bound) << bound.last_reason();
    boost::asio::ip::tcp::socket socket{world.loop.context()};
    socket.connect({boost::asio::ip::make_address_v4(bound->ip), bound->port});
    std::string requests{};
    for (std::size_t request = 0; request < count; ++request) {
        requests += "GET / HTTP/1.1\r\n\r\n";
    }
    std::string responses{};
    boost::asio::async_write(socket, boost::asio::buffer(requests),
                             [](const boost::system::error_code&, std::size_t) {});
    socket.non_blocking(true);
    EXPECT_TRUE(world.run_until(
        [&] {
            std::string chunk(65'536, ' ');
            boost::system::error_code error{};
            responses.resize(socket.read_some(boost::asio::buffer(chunk), error));
            return served == count;
        },
        std::chrono::seconds{20}));
}

// Guards against answers that pile up while a caller sends requests and reads nothing.
TEST(http_server_with_unread_answers, further_requests_wait_until_the_answer_is_taken)
{
    constexpr std::size_t body_bytes = 8'000'000;
    gateway_world world{};
    std::size_t served{};
    http_server server{world.loop, [] { return caller_limits{}; }, 10,
                       [&served](const http_exchange_ptr& exchange) {
                           ++served;
                           exchange->respond({200, "", "", std::string(body_bytes, 'x')});
                       }};
    const auto bound = server.listen({"127.0.0.1", 0});
    ASSERT_TRUE(bound) << bound.last_reason();
    boost::asio::ip::tcp::socket socket{world.loop.context()};
    socket.connect({boost::asio::ip::make_address_v4(bound->ip), bound->port});
    boost::asio::write(socket,
                       boost::asio::buffer(std::string{"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"}));
    EXPECT_TRUE(world.run_until([&] { return served == 1; }));
    world.run_for(milliseconds{100});
    EXPECT_EQ(served, 1U);
    socket.non_blocking(true);
    std::size_t received{};
    EXPECT_TRUE(world.run_until([&] {
        std::string chunk(1'000'000, ' ');
        boost::system::error_code error{};
        received += socket.read_some(boost::asio::buffer(chunk), error);
        return received > 2 * body_bytes;
    }));
    EXPECT_EQ(served, 2U);
}

// Guards against silent connections that keep others out until their idle timeout.
TEST_F(http_server_with_body_limit, further_connection_replaces_the_one_that_has_waited_longest)
{
    auto busy = this->connect();
    write(busy, "GET /busy HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(this->world.run_until([this] { return this->received.size() == 1; }));
    std::vector<boost::asio::ip::tcp::socket> silent{};
    for (std::size_t count = 1; count < 10; ++count) {
        silent.push_back(this->connect());
        EXPECT_TRUE(this->world.run_until([&] { return this->server.connections() == count + 1; }));
    }
    auto caller = this->connect();
    write(caller, "GET /caller HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(this->world.run_until([this] { return this->received.size() == 2; }));
    EXPECT_EQ(this->server.connections(), 10U);
    std::string byte(1, ' ');
    boost::system::error_code error{};
    silent.front().read_some(boost::asio::buffer(byte), error);
    EXPECT_TRUE(error);
    this->received.front()->respond({200, "", "", "one"});
    EXPECT_TRUE(this->read(busy).starts_with("HTTP/1.1 200 "));
}

// Guards against a head that is made after its body was moved away and says `Content-Length: 0`.
TEST_F(http_server_with_body_limit, answer_of_each_size_is_framed_by_its_own_length)
{
    for (const auto size : {0U, 1U, 16'383U, 16'384U, 16'385U, 90'000U, 1'000'000U}) {
        for (const std::string method : {"GET", "HEAD"}) {
            const std::string body(size, 'x');
            auto caller = this->connect();
            write(caller, method + " / HTTP/1.1\r\nConnection: close\r\n\r\n");
            const auto count = this->received.size() + 1;
            EXPECT_TRUE(this->world.run_until([&] { return this->received.size() == count; }));
            this->received.back()->respond({200, "", "", body});
            const auto output = this->read_to_end(caller);
            const auto end_of_head = output.find("\r\n\r\n");
            ASSERT_NE(end_of_head, std::string::npos) << size << output.substr(0, 200);
            EXPECT_NE(output.find("\r\nContent-Length: " + std::to_string(size) + "\r\n"), std::string::npos)
                << method << size << output.substr(0, end_of_head);
            EXPECT_EQ(output.substr(end_of_head + 4), method == "GET" ? body : "") << method << size;
        }
    }
}

TEST_F(http_server_with_body_limit, malformed_request_gets_400_and_the_connection_is_closed)
{
    auto caller = this->connect();
    write(caller, "\x16\x03\x01 invalid\r\n\r\n");
    EXPECT_TRUE(this->read(caller).starts_with("HTTP/1.1 400 "));
    EXPECT_TRUE(this->world.run_until([this] { return this->server.connections() == 0; }));
    EXPECT_TRUE(this->received.empty());
}

} // namespace
} // namespace kumquatdrift
