#include <kumquatdrift/log/http.hpp>

#include <array>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace kumquatdrift {
namespace {

/*! @brief Bytes with which a log service answers: some at the start, and some that repeat until the client
 * closes. */
struct broken_response {
    std::string name{};
    std::string start{};
    std::string repeated{};
};

std::ostream& operator<<(std::ostream& output, const broken_response& tested)
{
    return output << tested.name;
}

/*! @brief A log service that answers one request with bytes that are no valid response, and closes. */
class log_with_broken_response : public testing::TestWithParam<broken_response> {
protected:
    static constexpr milliseconds response_timeout{300};

    void TearDown() override
    {
        this->server.join();
    }

    [[nodiscard]] log_port connect() const
    {
        const auto port = make_http_log_port(
            {.url = this->listener.address().toString(), .response_timeout = response_timeout});
        EXPECT_TRUE(port) << port.last_reason();
        return *port;
    }

private:
    void serve()
    {
        auto connection = this->listener.acceptConnection();
        std::array<char, 4'096> request{};
        connection.receiveBytes(request.data(), static_cast<int>(request.size()));
        const auto give_up = steady_now() + 10 * response_timeout;
        const auto send = [&connection](const std::string& bytes) {
            connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        };
        try {
            send(GetParam().start);
            while (!GetParam().repeated.empty() && steady_now() < give_up) {
                send(GetParam().repeated);
            }
        }
        catch (const Poco::Exception&) {
            // The client has closed the connection.
        }
    }

    Poco::Net::ServerSocket listener{Poco::Net::SocketAddress{"127.0.0.1:0"}};
    std::thread server{[this] { this->serve(); }};
};

// Guards against an append that is reported as run or as not run because of bytes that say neither.
TEST_P(log_with_broken_response, append_may_have_run)
{
    const auto start = steady_now();
    EXPECT_EQ(this->connect().append("config", "text").effect, verdict::may_have_run);
    EXPECT_LT(steady_now() - start, 5 * response_timeout);
}

std::string name_of(const testing::TestParamInfo<broken_response>& tested)
{
    return tested.param.name;
}

const std::string created = "HTTP/1.1 201 Created\r\n";
const std::string offset = "{\"offset\":1}";

std::string repeat(std::string_view unit)
{
    constexpr std::size_t block_bytes = 65'536;
    std::string block;
    while (block.size() < block_bytes) {
        block += unit;
    }
    return block;
}

INSTANTIATE_TEST_SUITE_P(
    responses, log_with_broken_response,
    testing::Values(
        broken_response{"status_000", "HTTP/1.1 000 OK\r\nContent-Length: 12\r\n\r\n" + offset, ""},
        broken_response{"status_999", "HTTP/1.1 999 OK\r\nContent-Length: 12\r\n\r\n" + offset, ""},
        broken_response{"blank_in_a_name", created + "X Y: 1\r\nContent-Length: 12\r\n\r\n" + offset, ""},
        broken_response{"blank_after_a_name", created + "Content-Length : 12\r\n\r\n" + offset, ""},
        broken_response{"control_byte_in_a_name", created + "X\x01: 1\r\nContent-Length: 12\r\n\r\n" + offset,
                        ""},
        broken_response{"closed_in_the_status_line", "HTTP/1.1 503", ""},
        broken_response{"closed_in_a_field", "HTTP/1.1 503 Busy\r\nContent-Le", ""},
        broken_response{"closed_before_the_blank_line", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n", ""},
        broken_response{"short_body", created + "Content-Length: 30\r\n\r\n" + offset, ""},
        broken_response{"no_last_chunk",
                        created + "Transfer-Encoding: chunked\r\n\r\nc\r\n" + offset + "\r\n", ""},
        broken_response{"unknown_coding", created + "Transfer-Encoding: gzip\r\n\r\n" + offset, ""},
        broken_response{"endless_field", created + "A: ", repeat("x")},
        broken_response{"endless_fields", created, repeat("A: b\r\n")},
        broken_response{"endless_interim_responses", "", repeat("HTTP/1.1 100 Continue\r\n\r\n")},
        broken_response{"endless_body", created + "\r\n", repeat("x")},
        broken_response{"endless_chunk_extension",
                        created + "Transfer-Encoding: chunked\r\n\r\n1;a=", repeat("x")}),
    name_of);

} // namespace
} // namespace kumquatdrift
