#include <kumquatdrift/log/http.hpp>

#include <atomic>
#include <thread>

#include <gtest/gtest.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <support/log_service.hpp>

namespace kumquatdrift {
namespace {

log_port connect_log(const std::string& address, milliseconds response_timeout = milliseconds{2'000})
{
    const auto port = make_http_log_port({.url = "http://" + address, .response_timeout = response_timeout});
    EXPECT_TRUE(port) << port.last_reason();
    return *port;
}

class http_log : public testing::Test {
protected:
    log_service service{};
    log_port log{connect_log(this->service.address())};
};

// Guards against a payload that the log or its client changes, after which digests do not match.
TEST_F(http_log, appended_text_is_read_unchanged)
{
    const std::string text{"{\"a\":\"\\\"/\\u0001 \xc3\xa9 \xf0\x9f\x98\x80\"}\n\t\x01"};
    const auto appended = this->log.append("config", text);
    ASSERT_EQ(appended.effect, verdict::ran) << appended.reason;
    const auto batch = this->log.read("config", 0, 10, milliseconds{0});
    ASSERT_TRUE(batch) << batch.last_reason();
    ASSERT_EQ(batch->records.size(), 1U);
    EXPECT_EQ(batch->records[0].payload, text);
    EXPECT_EQ(batch->bounds.end, 1U);
    EXPECT_EQ(this->log.bounds("claims-07")->end, 0U);
}

// Guards against an append that took effect but is reported as not run, so that its caller retries it.
TEST_F(http_log, lost_response_is_may_have_run_although_the_record_is_in_the_log)
{
    ASSERT_EQ(this->log.append("config", "first").effect, verdict::ran);
    ASSERT_EQ(this->service.control(R"({"lose_answers":1})").first, 200);
    EXPECT_EQ(this->log.append("config", "second").effect, verdict::may_have_run);
    EXPECT_EQ(this->log.bounds("config")->end, 2U);
    const auto third = this->log.append("config", "third");
    EXPECT_EQ(third.effect, verdict::ran);
    EXPECT_EQ(third.offset, 2U);
}

// Guards against an append that is reported as not run because its response arrives after the timeout.
TEST_F(http_log, late_response_is_may_have_run)
{
    const auto client_with_short_timeout = connect_log(this->service.address(), milliseconds{100});
    ASSERT_EQ(this->service.control(R"({"delay_ms":1000})").first, 200);
    EXPECT_EQ(client_with_short_timeout.append("config", "text").effect, verdict::may_have_run);
    ASSERT_EQ(this->service.control(R"({"delay_ms":0})").first, 200);
    EXPECT_EQ(this->log.bounds("config")->end, 1U);
}

// Guards against an append rejected in an outage that is reported as `may_have_run`. The caller would then
// have to read the log to learn the outcome, which fails in an outage.
TEST_F(http_log, append_in_an_outage_is_not_run)
{
    ASSERT_EQ(this->service.control(R"({"outage":true})").first, 200);
    const auto appended = this->log.append("config", "text");
    EXPECT_EQ(appended.effect, verdict::not_run);
    EXPECT_NE(appended.reason.find("503"), std::string::npos) << appended.reason;
    EXPECT_FALSE(this->log.read("config", 0, 1, milliseconds{0}));
    ASSERT_EQ(this->service.control(R"({"outage":false})").first, 200);
    EXPECT_EQ(this->log.bounds("config")->end, 0U);
}

// Guards against long polls that stay blocked when an outage starts while they wait.
TEST_F(http_log, outage_ends_a_long_poll)
{
    std::thread outage_thread{[this] {
        std::this_thread::sleep_for(milliseconds{100});
        this->service.control(R"({"outage":true})");
    }};
    const auto start = steady_now();
    EXPECT_FALSE(this->log.read("config", 0, 1, milliseconds{10'000}));
    EXPECT_LT(steady_now() - start, milliseconds{5'000});
    outage_thread.join();
}

// Guards against a rate limit that discards appends without an error or that looks like an outage to clients.
TEST_F(http_log, append_above_the_rate_is_rejected_with_a_time_to_retry)
{
    ASSERT_EQ(this->service.control(R"({"appends_per_s":4})").first, 200);
    ASSERT_EQ(this->log.append("config", "first").effect, verdict::ran);
    const auto rejected = this->log.append("config", "second");
    EXPECT_EQ(rejected.effect, verdict::not_run);
    EXPECT_NE(rejected.reason.find("429, retry after 1 s"), std::string::npos) << rejected.reason;
    EXPECT_EQ(this->log.bounds("config")->end, 1U);
}

// Guards against an append to a stopped log service that is reported as `may_have_run`, also if the client
// has an idle connection.
TEST_F(http_log, refused_connection_is_not_run)
{
    ASSERT_EQ(this->log.append("config", "first").effect, verdict::ran);
    this->service.process.signal(SIGKILL);
    this->service.process.wait();
    EXPECT_EQ(this->log.append("config", "second").effect, verdict::not_run);
    EXPECT_FALSE(this->log.bounds("config"));
}

// Guards against a client that keeps using its old connections after a restart of the service.
TEST_F(http_log, restarted_service_is_used_again)
{
    ASSERT_EQ(this->log.append("config", "first").effect, verdict::ran);
    this->service.process.signal(SIGTERM);
    EXPECT_EQ(this->service.process.wait(), 0);
    const log_service restarted{this->service.address()};
    EXPECT_EQ(this->log.append("config", "second").effect, verdict::ran);
    EXPECT_TRUE(this->log.bounds("config"));
}

// Guards against a truncated response that is accepted as complete.
TEST(http_log_client, truncated_response_is_may_have_run)
{
    Poco::Net::ServerSocket listener{Poco::Net::SocketAddress{"127.0.0.1:0"}};
    std::thread server{[listener]() mutable {
        auto connection = listener.acceptConnection();
        std::string request(4096, ' ');
        connection.receiveBytes(request.data(), static_cast<int>(request.size()));
        const std::string_view response = "HTTP/1.1 201 Created\r\nContent-Length: 30\r\n\r\n{\"offset\":1}";
        connection.sendBytes(response.data(), static_cast<int>(response.size()));
        connection.close();
    }};
    const auto log = connect_log(listener.address().toString());
    EXPECT_EQ(log.append("config", "text").effect, verdict::may_have_run);
    server.join();
}

// Guards against a read that waits for expired records, or that reports a stream with expired records as
// empty.
TEST_F(http_log, expired_records_are_skipped)
{
    ASSERT_EQ(this->service.control(R"({"retention_records":2})").first, 200);
    for (const auto* const text : {"a", "b", "c", "d"}) {
        ASSERT_EQ(this->log.append("config", text).effect, verdict::ran);
    }
    const auto batch = this->log.read("config", 0, 10, milliseconds{5'000});
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch->bounds.earliest, 2U);
    EXPECT_EQ(batch->bounds.end, 4U);
    ASSERT_EQ(batch->records.size(), 2U);
    EXPECT_EQ(batch->records[0].payload, "c");
    ASSERT_EQ(this->service.control(R"({"retention_ms":1})").first, 200);
    std::this_thread::sleep_for(milliseconds{20});
    EXPECT_EQ(this->log.bounds("config")->earliest, 4U);
}

// Guards against a log service that serves its readers one after the other. Relays of all data centres
// long-poll at the same time, and each append must reach them within the 4 s limit of section 1.5 of the
// design.
TEST_F(http_log, append_wakes_several_hundred_waiting_readers)
{
    constexpr int readers = 300;
    std::atomic<int> complete_reads{0};
    std::vector<std::thread> threads;
    threads.reserve(readers);
    for (int number = 0; number < readers; ++number) {
        threads.emplace_back([&] {
            const auto client = connect_log(this->service.address());
            const auto batch = client.read("config", 0, 1, milliseconds{20'000});
            complete_reads += batch && batch->records.size() == 1 ? 1 : 0;
        });
    }
    const auto all_readers_waiting = "\"waiting\":" + std::to_string(readers);
    const auto deadline = steady_now() + milliseconds{10'000};
    while (this->service.control().second.find(all_readers_waiting) == std::string::npos &&
           steady_now() < deadline) {
        std::this_thread::sleep_for(milliseconds{10});
    }
    const auto start = steady_now();
    ASSERT_EQ(this->log.append("config", "text").effect, verdict::ran);
    for (auto& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(complete_reads, readers);
    EXPECT_LT(steady_now() - start, milliseconds{4'000});
}

// Guards against an invalid address that is reported only at the first request.
TEST(http_log_client, invalid_address_is_rejected_with_the_accepted_formats)
{
    for (const auto* const url :
         {"", "localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "https://127.0.0.1:1"}) {
        const auto port = make_http_log_port({.url = url});
        ASSERT_FALSE(port) << url;
        EXPECT_NE(port.last_reason().find("accepted are http://IP:PORT and IP:PORT"), std::string::npos);
    }
}

} // namespace
} // namespace kumquatdrift
