#include <kumquatdrift/http/message.hpp>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

class http_reader_of_requests : public testing::Test {
protected:
    read_progress feed(const std::string& bytes)
    {
        this->buffer += bytes;
        return this->reader.feed(this->buffer);
    }

    std::string buffer{};
    http_reader reader{http_reader::kind::request, 1'024, 100};
};

TEST_F(http_reader_of_requests, message_is_parsed_byte_by_byte)
{
    const std::string text{"POST /a?b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"};
    for (std::size_t index = 0; index + 1 < text.size(); ++index) {
        ASSERT_EQ(this->feed(text.substr(index, 1)), read_progress::need_more);
    }
    ASSERT_EQ(this->feed("c"), read_progress::complete);
    const auto message = this->reader.take();
    EXPECT_EQ(message.method, "POST");
    EXPECT_EQ(message.target, "/a?b");
    EXPECT_EQ(message.body, "abc");
    EXPECT_TRUE(message.keep_alive);
}

TEST_F(http_reader_of_requests, chunks_are_joined_and_trailers_discarded)
{
    ASSERT_EQ(
        this->feed(
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\nX: y\r\n\r\n"),
        read_progress::complete);
    const auto message = this->reader.take();
    EXPECT_EQ(message.body, "abc");
    EXPECT_EQ(find_field(message.fields, "X"), nullptr);
}

TEST_F(http_reader_of_requests, second_request_stays_in_buffer)
{
    ASSERT_EQ(this->feed("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"), read_progress::complete);
    EXPECT_EQ(this->reader.take().target, "/1");
    ASSERT_EQ(this->feed(""), read_progress::complete);
    EXPECT_EQ(this->reader.take().target, "/2");
}

TEST_F(http_reader_of_requests, content_length_with_chunked_coding_is_rejected)
{
    EXPECT_EQ(
        this->feed("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        read_progress::failed);
    EXPECT_EQ(this->reader.failure_status(), 400U);
}

TEST_F(http_reader_of_requests, body_over_the_limit_is_rejected_by_its_content_length)
{
    EXPECT_EQ(this->feed("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"), read_progress::failed);
    EXPECT_EQ(this->reader.failure_status(), 413U);
}

TEST_F(http_reader_of_requests, header_over_the_limit_is_rejected)
{
    EXPECT_EQ(this->feed("GET / HTTP/1.1\r\nX: " + std::string(2'000, 'x')), read_progress::failed);
    EXPECT_EQ(this->reader.failure_status(), 431U);
}

class http_reader_of_responses : public testing::Test {
protected:
    read_progress feed(std::string bytes)
    {
        return this->reader.feed(bytes);
    }

    http_reader reader{http_reader::kind::response, 1'024, 1'000};
};

TEST_F(http_reader_of_responses, body_without_length_ends_with_the_connection)
{
    ASSERT_EQ(this->feed("HTTP/1.1 200 OK\r\n\r\nabc"), read_progress::need_more);
    ASSERT_EQ(this->reader.end_of_stream(), read_progress::complete);
    const auto message = this->reader.take();
    EXPECT_EQ(message.body, "abc");
    EXPECT_FALSE(message.keep_alive);
}

TEST_F(http_reader_of_responses, truncated_body_fails)
{
    ASSERT_EQ(this->feed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc"), read_progress::need_more);
    EXPECT_EQ(this->reader.end_of_stream(), read_progress::failed);
}

TEST_F(http_reader_of_responses, truncated_header_fails)
{
    ASSERT_EQ(this->feed("HTTP/1.1 200 OK\r\nCont"), read_progress::need_more);
    EXPECT_EQ(this->reader.end_of_stream(), read_progress::failed);
}

TEST_F(http_reader_of_responses, malformed_start_line_fails)
{
    EXPECT_EQ(this->feed("\x01\x02invalid\r\n\r\n"), read_progress::failed);
}

class http_reader_of_status : public http_reader_of_responses,
                              public testing::WithParamInterface<const char*> {};

// Guards against a status that no client can interpret.
TEST_P(http_reader_of_status, outside_100_to_599_fails)
{
    EXPECT_EQ(this->feed("HTTP/1.1 " + std::string{GetParam()} + " OK\r\nContent-Length: 0\r\n\r\n"),
              read_progress::failed);
}

INSTANTIATE_TEST_SUITE_P(codes, http_reader_of_status, testing::Values("000", "001", "099", "600", "999"));

class http_reader_of_coding : public http_reader_of_responses,
                              public testing::WithParamInterface<const char*> {};

// Guards against a body that is passed on coded, or with the framing of its chunks.
TEST_P(http_reader_of_coding, other_than_chunked_in_http_1_1_fails)
{
    EXPECT_EQ(this->feed(std::string{GetParam()} + "\r\n\r\n2\r\nok\r\n0\r\n\r\n"), read_progress::failed);
}

INSTANTIATE_TEST_SUITE_P(
    heads, http_reader_of_coding,
    testing::Values("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked"));

TEST_F(http_reader_of_responses, coding_in_capitals_is_parsed)
{
    ASSERT_EQ(this->feed("HTTP/1.1 200 OK\r\ntransfer-encoding: CHUNKED\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
              read_progress::complete);
    EXPECT_EQ(this->reader.take().body, "ok");
}

TEST_F(http_reader_of_responses, lowest_and_highest_status_are_parsed)
{
    ASSERT_EQ(this->feed("HTTP/1.1 100 X\r\n\r\n"), read_progress::complete);
    EXPECT_EQ(this->reader.take().status, 100U);
    ASSERT_EQ(this->feed("HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n"), read_progress::complete);
    EXPECT_EQ(this->reader.take().status, 599U);
}

TEST(forwarded_fields, hop_by_hop_fields_are_omitted)
{
    const http_fields fields{{"Connection", "close, X-Hop"}, {"X-Hop", "1"},   {"Keep-Alive", "timeout=5"},
                             {"Content-Length", "3"},        {"X-Own", "old"}, {"Accept", "*/*"}};
    EXPECT_EQ(end_to_end_lines(fields, {"x-own"}), "Accept: */*\r\n");
}

TEST(serialized_response, length_matches_body)
{
    EXPECT_EQ(serialize_response({503, "", "Retry-After: 0.200\r\n", "no"}, true, false),
              "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.200\r\nContent-Length: 2\r\nConnection: "
              "close\r\n\r\nno");
}

TEST_F(http_reader_of_requests, body_over_the_limit_is_rejected_although_bytes_of_it_follow_the_header)
{
    EXPECT_EQ(this->feed("POST / HTTP/1.1\r\nContent-Length: 99999999999999\r\n\r\nx"),
              read_progress::failed);
}

TEST_F(http_reader_of_responses, body_over_the_limit_is_rejected_although_bytes_of_it_follow_the_header)
{
    EXPECT_EQ(this->feed("HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\nx"),
              read_progress::failed);
}

TEST_F(http_reader_of_responses, chunks_of_one_byte_are_not_taken_for_excessive_framing)
{
    std::string buffer{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};
    for (int count = 0; count < 900; ++count) {
        buffer += "1\r\nx\r\n";
        ASSERT_EQ(this->reader.feed(buffer), read_progress::need_more);
    }
    buffer += "0\r\n\r\n";
    EXPECT_EQ(this->reader.feed(buffer), read_progress::complete);
}

} // namespace
} // namespace kumquatdrift
