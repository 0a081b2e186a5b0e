#include <gtest/gtest.h>

#include <thread>

#include <Poco/Exception.h>

#include "proxy/mesh.hpp"
#include "proxy/raw_target.hpp"

namespace kumquatdrift {
namespace {

class target_with_broken_response : public mesh_test {
protected:
    /*! @brief Starts the nodes with a target at one of them. */
    void start_with(mesh_node& host, const raw_target& broken)
    {
        this->route.deadline = milliseconds{500};
        this->start();
        this->add_target(host, "t", broken.address());
        this->publish();
    }
};

/*! @brief Bytes that are no valid response, and the host of the target that sends them. */
struct broken_case {
    std::string name{};
    raw_answer answer{};
};

std::ostream& operator<<(std::ostream& output, const broken_case& tested)
{
    return output << tested.name;
}

class target_with_malformed_response : public target_with_broken_response,
                                       public testing::WithParamInterface<broken_case> {
protected:
    void check(mesh_node& host)
    {
        const raw_target broken{this->GetParam().answer};
        this->start_with(host, broken);
        const auto response = this->call("x", "body");
        EXPECT_EQ(response.status, 502U) << response.head << response.body;
        EXPECT_EQ(response.verdict(), "may_have_run") << response.head;
    }
};

// Guards against a malformed response that the caller gets as an answer.
TEST_P(target_with_malformed_response, of_peer_node_leads_to_502)
{
    this->check(this->peer);
}

// Guards against the same when the target is on the entry node itself.
TEST_P(target_with_malformed_response, of_entry_node_leads_to_502)
{
    this->check(this->entry);
}

raw_answer with_status(const std::string& status)
{
    return {"HTTP/1.1 " + status + " OK\r\nContent-Length: 0\r\n\r\n", {}};
}

raw_answer with_field(const std::string& field)
{
    return {"HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok", {}};
}

raw_answer with_framing(const std::string& fields, const std::string& body)
{
    return {"HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body, {}};
}

std::string name_of(const testing::TestParamInfo<broken_case>& tested)
{
    return tested.param.name;
}

INSTANTIATE_TEST_SUITE_P(statuses, target_with_malformed_response,
                         testing::Values(broken_case{"status_000", with_status("000")},
                                         broken_case{"status_099", with_status("099")},
                                         broken_case{"status_600", with_status("600")},
                                         broken_case{"status_999", with_status("999")},
                                         broken_case{
                                             "status_000_before_a_response",
                                             {"HTTP/1.1 000 X\r\n\r\n" + with_status("200").start, {}}}),
                         name_of);

INSTANTIATE_TEST_SUITE_P(
    field_names, target_with_malformed_response,
    testing::Values(broken_case{"blank_inside", with_field("X Y: 1")},
                    broken_case{"blank_at_the_end", with_field("X : 1")},
                    broken_case{"tab", with_field("X\tY: 1")},
                    broken_case{"control_byte", with_field("X\x01: 1")},
                    broken_case{"nul", with_field(std::string{"X\0Y: 1", 6})},
                    broken_case{"delete", with_field("X\x7f: 1")}, broken_case{"empty", with_field(": 1")},
                    broken_case{"length_with_blank", with_framing("Content-Length : 2\r\n", "ok")},
                    broken_case{"coding_with_blank",
                                with_framing("Transfer-Encoding : chunked\r\n", "2\r\nok\r\n0\r\n\r\n")}),
    name_of);

INSTANTIATE_TEST_SUITE_P(
    truncated_heads, target_with_malformed_response,
    testing::Values(broken_case{"closed_in_the_status_line", {"HTTP/1.1 200", {}}},
                    broken_case{"closed_after_the_status_line", {"HTTP/1.1 200 OK\r\n", {}}},
                    broken_case{"closed_in_a_field", {"HTTP/1.1 200 OK\r\nContent-Length: 5", {}}},
                    broken_case{"closed_before_the_blank_line",
                                {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", {}}},
                    broken_case{"reset_before_the_blank_line",
                                {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", {}, raw_ending::reset}}),
    name_of);

INSTANTIATE_TEST_SUITE_P(verdicts, target_with_malformed_response,
                         testing::Values(broken_case{
                             "not_run_and_ran",
                             {"HTTP/1.1 503 Busy\r\nx-kumquatdrift-verdict: not_run\r\n"
                              "x-kumquatdrift-verdict: ran\r\nContent-Length: 0\r\n\r\n",
                              {}}}),
                         name_of);

INSTANTIATE_TEST_SUITE_P(
    codings, target_with_malformed_response,
    testing::Values(broken_case{"unknown_coding", with_framing("Transfer-Encoding: gzip\r\n", "coded")},
                    broken_case{"coding_before_chunked",
                                with_framing("Transfer-Encoding: gzip, chunked\r\n", "2\r\nok\r\n0\r\n\r\n")},
                    broken_case{"coding_after_chunked",
                                with_framing("Transfer-Encoding: chunked, gzip\r\n", "2\r\nok\r\n0\r\n\r\n")},
                    broken_case{"two_fields",
                                with_framing("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                                             "2\r\nok\r\n0\r\n\r\n")},
                    broken_case{"chunked_in_http_1_0",
                                {"HTTP/1.0 200 OK\r\nTransfer-Encoding: "
                                 "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                                 {}}}),
    name_of);

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
    endless_heads, target_with_malformed_response,
    testing::Values(broken_case{"endless_line", {"", repeat("x")}},
                    broken_case{"endless_status_line", {"HTTP/1.1 200 ", repeat("x")}},
                    broken_case{"endless_field", {"HTTP/1.1 200 OK\r\nA: ", repeat("x")}},
                    broken_case{"endless_fields", {"HTTP/1.1 200 OK\r\n", repeat("A: b\r\n")}},
                    broken_case{"endless_interim_responses", {"", repeat("HTTP/1.1 100 Continue\r\n\r\n")}}),
    name_of);

/*! @brief A target whose response has a body without end. */
class target_with_endless_body : public target_with_broken_response,
                                 public testing::WithParamInterface<broken_case> {
protected:
    void check(mesh_node& host)
    {
        const raw_target broken{this->GetParam().answer};
        this->start_with(host, broken);
        raw_client client{this->entry.proxy->ports().caller};
        client.send(request("x", "body", "Connection: close\r\n"));
        EXPECT_TRUE(client.is_closed_within(milliseconds{2'000})) << "the deadline of the route is 500 ms";
    }
};

// Guards against a body that is relayed after the deadline to a caller that keeps reading.
TEST_P(target_with_endless_body, of_peer_node_is_cut_at_the_deadline)
{
    this->check(this->peer);
}

// Guards against the same when the target is on the entry node itself.
TEST_P(target_with_endless_body, of_entry_node_is_cut_at_the_deadline)
{
    this->check(this->entry);
}

const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    bodies, target_with_endless_body,
    testing::Values(broken_case{"until_close", {"HTTP/1.1 200 OK\r\n\r\n", repeat("x")}},
                    broken_case{"great_length",
                                {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\n", repeat("x")}},
                    broken_case{"chunks", {chunked_head, repeat("4\r\nabcd\r\n")}},
                    broken_case{"chunk_size", {chunked_head, repeat("0")}},
                    broken_case{"chunk_extension", {chunked_head + "4;a=", repeat("x")}},
                    broken_case{"chunk_extensions", {chunked_head, repeat("1;a=bbbbbbbb\r\nc\r\n")}},
                    broken_case{"trailers", {chunked_head + "0\r\n", repeat("A: b\r\n")}}),
    name_of);

class target_that_answers_an_upload_early : public target_with_broken_response {
protected:
    // Each half fits into the buffers of the connection to the target.
    static constexpr std::size_t body_bytes = 400'000;

    /*! @brief Sends half of an upload, waits until the target has answered, and sends the rest. */
    client_response upload(mesh_node& host)
    {
        const raw_target broken{{"HTTP/1.1 200 OK\r\n\r\npart", {}, raw_ending::reset, milliseconds{100}}};
        this->start_with(host, broken);
        const std::string half(body_bytes / 2, 'b');
        raw_client client{this->entry.proxy->ports().caller};
        client.send("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body_bytes) +
                    "\r\n\r\n" + half);
        const auto give_up = steady_now() + milliseconds{400};
        while (broken.answers() == 0 && steady_now() < give_up) {
            std::this_thread::sleep_for(milliseconds{1});
        }
        EXPECT_EQ(broken.answers(), 1U);
        std::this_thread::sleep_for(milliseconds{20});
        try {
            client.send(half);
        }
        catch (const Poco::Exception&) {
            // The node has closed the connection.
        }
        return client.receive();
    }
};

// Guards against a part of a body that looks complete because a failed send has consumed the reset.
TEST_F(target_that_answers_an_upload_early, and_resets_at_peer_node_gives_no_complete_response)
{
    const auto response = this->upload(this->peer);
    EXPECT_FALSE(response.status == 200U && response.complete) << response.head << response.body;
}

// Guards against the same when the target is on the entry node itself.
TEST_F(target_that_answers_an_upload_early, and_resets_at_entry_node_gives_no_complete_response)
{
    const auto response = this->upload(this->entry);
    EXPECT_FALSE(response.status == 200U && response.complete) << response.head << response.body;
}

} // namespace
} // namespace kumquatdrift
