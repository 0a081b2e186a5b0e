#include <platform/decode.hpp>

#include <map>

#include <gtest/gtest.h>

namespace kumquatdrift::platform {
namespace {

std::string config_text(const std::string& routes, const std::string& version = "0000000c")
{
    return R"({"version":")" + version +
           R"(","services":[{"name":"s1","health_path":"/health","max_connections":120}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15.5},
        "virtual_hosts":[{"host":"Desk.example","paths":)" +
           routes + "}]}";
}

constexpr const char* plain_route =
    R"([{"name":"r1","path_prefix":"/a/","kind":"idempotent","timeout_s":1.5,"target_latency_s":0.4,)"
    R"("priority":2,"service":"s1","max_attempts":3}])";

TEST(decoded_config, whole_configuration_is_decoded)
{
    const auto config = decode_config(config_text(plain_route));
    ASSERT_TRUE(config) << config.last_reason();
    EXPECT_EQ((*config)->version, 12U);
    ASSERT_EQ((*config)->routes.size(), 1U);
    const auto& route = *(*config)->routes.front();
    EXPECT_EQ(route.host, "desk.example");
    EXPECT_EQ(route.timeout, milliseconds{1'500});
    EXPECT_EQ(route.objective, milliseconds{400});
    EXPECT_EQ(route.kind, request_kind::idempotent);
    EXPECT_EQ(route.max_attempts, 3U);
    EXPECT_EQ(route.priority, 2U);
    EXPECT_EQ((*config)->limits.idle_timeout, milliseconds{15'500});
    EXPECT_EQ((*config)->limits.max_body_bytes, 1'000U);
}

TEST(decoded_config, traffic_split_gives_weighted_services)
{
    const auto config =
        decode_config(config_text(R"([{"name":"r1","path_prefix":"/a/","kind":"upload","timeout_s":1,
            "traffic_split":[{"service":"s1","weight":3},{"service":"s1","weight":0}]}])"));
    ASSERT_TRUE(config) << config.last_reason();
    ASSERT_EQ((*config)->routes.front()->services.size(), 1U);
    EXPECT_EQ((*config)->routes.front()->services.front().weight, 3.0);
}

/*! @brief An invalid document and a part of the expected reason. */
struct invalid_config {
    std::string text{};
    std::string reason{};
};

class decode_invalid_config : public testing::TestWithParam<invalid_config> {};

TEST_P(decode_invalid_config, whole_document_is_rejected)
{
    const auto config = decode_config(GetParam().text);
    ASSERT_FALSE(config);
    EXPECT_NE(config.last_reason().find(GetParam().reason), std::string::npos) << config.last_reason();
}

INSTANTIATE_TEST_SUITE_P(
    cases, decode_invalid_config,
    testing::Values(
        invalid_config{"\xff\x00invalid", "the document is not a JSON object"},
        invalid_config{"[]", "the document is not a JSON object"},
        invalid_config{R"({"version":12})", "version"},
        invalid_config{config_text(plain_route, "00000000"), "version"},
        invalid_config{config_text(plain_route, "xyz"), "version"},
        invalid_config{
            config_text(
                R"([{"name":"r1","path_prefix":"/a/","kind":"idempotent","timeout_s":1,"service":"s9"}])"),
            "unknown service 's9'"},
        invalid_config{
            config_text(
                R"([{"name":"r1","path_prefix":"a","kind":"idempotent","timeout_s":1,"service":"s1"}])"),
            "path_prefix"},
        invalid_config{
            config_text(R"([{"name":"r1","path_prefix":"/a/","kind":"odd","timeout_s":1,"service":"s1"}])"),
            "unknown kind"},
        invalid_config{
            config_text(
                R"([{"name":"r1","path_prefix":"/a/","kind":"idempotent","timeout_s":-1,"service":"s1"}])"),
            "timeout_s"}));

http_message report_request(const std::string& call, std::string body)
{
    http_message request{};
    request.method = "POST";
    request.target = "/rpc?call=instances." + call + "&of=i-7f3a";
    request.body = std::move(body);
    return request;
}

TEST(decoded_report, heartbeat_is_decoded)
{
    const auto report = decode_report(report_request(
        "heartbeat",
        R"({"service":"s1","address":"10.0.0.9:80","slots":12,"state":"draining","cold_left_s":1.5,
        "sequence":4,"born":1768629288033,"new_member":[1]})"));
    ASSERT_TRUE(report) << report.last_reason();
    EXPECT_EQ(report->instance, "i-7f3a");
    EXPECT_EQ(report->state, report_state::draining);
    EXPECT_EQ(report->slots, 12U);
    EXPECT_EQ(report->cold_left, milliseconds{1'500});
    EXPECT_EQ(report->sequence, 4U);
    EXPECT_EQ(report->started_ms, 1'768'629'288'033U);
}

TEST(decoded_report, version_is_decoded_and_empty_if_it_is_missing_or_no_text)
{
    const auto version = [](const std::string& member) {
        const auto report = decode_report(
            report_request("heartbeat", R"({"service":"s1","slots":1,"state":"ready")" + member + "}"));
        return report ? report->version : "rejected";
    };
    EXPECT_EQ(version(R"(,"version":"v2")"), "v2");
    EXPECT_EQ(version(R"(,"version":2)"), "");
    EXPECT_EQ(version(""), "");
}

TEST(decoded_report, deregistration_without_body_means_gone)
{
    const auto report = decode_report(report_request("deregister", ""));
    ASSERT_TRUE(report) << report.last_reason();
    EXPECT_EQ(report->state, report_state::gone);
}

TEST(decoded_report, invalid_reports_are_rejected)
{
    EXPECT_FALSE(
        decode_report(report_request("heartbeat", R"({"service":"s1","slots":"12","state":"ready"})")));
    EXPECT_FALSE(decode_report(report_request("heartbeat", R"({"service":7,"slots":12,"state":"ready"})")));
    EXPECT_FALSE(decode_report(report_request("heartbeat", R"({"service":"s1","slots":12,"state":"odd"})")));
    EXPECT_FALSE(decode_report(report_request("heartbeat", "\xff")));
    EXPECT_FALSE(decode_report(report_request("other", "{}")));
}

// Guards against a report of another writer whose start is taken as unknown and therefore as the known one.
TEST(decoded_report, start_that_is_no_whole_number_is_rejected)
{
    for (const auto* start :
         {R"("1768629288033")", "1768629288033.5", "-1", "0", "null", "[1768629288033]", "1e300"}) {
        const auto end = std::string{R"("born":)"} + start + "}";
        EXPECT_FALSE(decode_report(
            report_request("heartbeat", R"({"service":"s1","slots":12,"state":"ready","sequence":4,)" + end)))
            << start;
        EXPECT_FALSE(decode_report(report_request("deregister", "{" + end))) << start;
    }
}

// Guards against a report of another writer that ends the process when the leave of its target is recorded.
TEST(decoded_report, id_that_is_no_visible_text_is_rejected)
{
    for (const auto* call : {"heartbeat", "deregister"}) {
        for (const std::string id : {"i-\xff\xfe\x80", "i-\xc3\xa9", "i-\x01", "i-\x7f"}) {
            auto request =
                report_request(call, R"({"service":"s1","slots":12,"state":"draining","sequence":4})");
            request.target = std::string{"/rpc?call=instances."} + call + "&of=" + id;
            EXPECT_FALSE(decode_report(request)) << call << " " << id;
        }
    }
    auto request = report_request("deregister", "");
    request.target += std::string(300, 'x');
    EXPECT_FALSE(decode_report(request));
}

// Guards against texts of another writer that get into the log and into other nodes' records.
TEST(decoded_report, service_or_version_with_control_characters_is_rejected)
{
    for (const std::string text : {R"(s\u0000)", R"(s\r\nX: 1)", R"(\u007f)", "\xff"}) {
        EXPECT_FALSE(decode_report(
            report_request("heartbeat", R"({"slots":12,"state":"ready","service":")" + text + "\"}")));
        EXPECT_FALSE(decode_report(report_request(
            "heartbeat", R"({"slots":12,"state":"ready","service":"s1","version":")" + text + "\"}")));
    }
    EXPECT_TRUE(decode_report(
        report_request("heartbeat", R"({"slots":12,"state":"ready","service":"\u017d1","version":"v 2"})")));
}

// Guards against an exception of the encoder, which ends the process.
TEST(encoded_records, bytes_that_are_no_utf8_are_replaced)
{
    EXPECT_TRUE(decode_leave(encode_leave({"i-\xff", true, 0, 0.0, 7})));
    member_record record{};
    record.node = "node-\xff";
    record.ip = "10.0.0.9";
    record.port = 80;
    record.service = "\xfe";
    EXPECT_TRUE(decode_member(encode_member(record)));
}

TEST(decoded_leave, is_as_it_was_encoded)
{
    const auto leave = decode_leave(encode_leave({"i-7", true, 0, 0.0, 1'768'629'288'033, 0, 12}));
    ASSERT_TRUE(leave) << leave.last_reason();
    EXPECT_EQ(leave->instance, "i-7");
    EXPECT_TRUE(leave->left);
    EXPECT_EQ(leave->started_ms, 1'768'629'288'033U);
    EXPECT_EQ(leave->sequence, 12U);
    // Nodes of earlier builds record no sequence number.
    const auto earlier = decode_leave(R"({"instance":"i-7","target_started_ms":7})");
    ASSERT_TRUE(earlier) << earlier.last_reason();
    EXPECT_EQ(earlier->sequence, 0U);
    EXPECT_FALSE(decode_leave("7"));
}

class keyed_records : public testing::Test {
protected:
    [[nodiscard]] record_callback store_record()
    {
        return [this](std::string_view key, std::optional<std::string_view> value) {
            this->records[std::string{key}] = value ? std::string{*value} : "deleted";
        };
    }

    static std::string header(char end)
    {
        std::string bytes(16, '\0');
        bytes[7] = end;
        return bytes;
    }

    std::map<std::string, std::string> records{};
};

TEST_F(keyed_records, records_of_read_are_decoded)
{
    const auto position =
        decode_records(header(5) + encode_record("a", "1") + encode_record("b", ""), 3, this->store_record());
    ASSERT_TRUE(position) << position.last_reason();
    EXPECT_EQ(position->end, 5U);
    EXPECT_EQ(position->next, 5U);
    EXPECT_EQ(this->records, (std::map<std::string, std::string>{{"a", "1"}, {"b", "deleted"}}));
}

TEST_F(keyed_records, truncated_response_is_rejected)
{
    const auto record = encode_record("a", "1");
    EXPECT_FALSE(decode_records(header(1) + record.substr(0, record.size() - 1), 0, this->store_record()));
    EXPECT_FALSE(decode_records("short", 0, this->store_record()));
}

TEST_F(keyed_records, record_without_complete_key_is_skipped)
{
    const std::string incomplete_key{std::string("\0\0\0\2", 4) + "\x09x"};
    const auto position =
        decode_records(header(2) + incomplete_key + encode_record("a", "1"), 0, this->store_record());
    ASSERT_TRUE(position);
    EXPECT_EQ(position->next, 2U);
    EXPECT_EQ(this->records.size(), 1U);
}

TEST_F(keyed_records, newest_page_is_decoded)
{
    const auto page = decode_newest_page(
        R"({"items":[{"key":"a","value":"MTIz","offset":4},{"key":7},{"key":"b","value":"eA=="}],"has_more":true,"end":9})",
        this->store_record());
    ASSERT_TRUE(page) << page.last_reason();
    EXPECT_EQ(page->end, 9U);
    EXPECT_EQ(page->continue_after, "b");
    EXPECT_EQ(this->records, (std::map<std::string, std::string>{{"a", "123"}, {"b", "x"}}));
}

/*! @brief An entry that another writer left among those of the nodes. */
class decode_odd_member : public testing::TestWithParam<std::string> {};

// Guards against a process that ends, or a reader that stops, because of one entry.
TEST_P(decode_odd_member, is_refused)
{
    EXPECT_FALSE(decode_member(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
    cases, decode_odd_member,
    testing::Values(std::string(100'000, '['), std::string(100'000, '[') + std::string(100'000, ']'),
                    R"({"node":"n","ip":"10.0.0.1","port":70000})",
                    R"({"node":"n","ip":"10.0.0.1","port":-1})",
                    R"({"node":"n","ip":"10.0.0.1","port":1e999})",
                    R"({"node":"n","ip":"10.0.0.1","port":1208925819614629174706176})",
                    R"({"node":"n","ip":"999.0.0.1","port":1})", R"({"node":"n","ip":"host","port":1})",
                    R"({"node":["n"],"ip":"10.0.0.1","port":1})", "\xff\xfe", "null", ""));

TEST(newest_page_with_odd_value, is_decoded_without_the_value)
{
    std::map<std::string, std::string> found{};
    const auto page = decode_newest_page(
        R"({"items":[{"key":"a","value":"%%%"},{"key":"b","value":"dg=="}],"has_more":false,"end":2})",
        [&found](std::string_view key, std::optional<std::string_view> value) {
            found[std::string{key}] = std::string{value.value_or("")};
        });
    ASSERT_TRUE(page);
    EXPECT_EQ(found["a"], "");
    EXPECT_EQ(found["b"], "v");
}

TEST(decoded_member, round_trip_keeps_address)
{
    member_record record{};
    record.node = "n1";
    record.data_centre = "dc";
    record.ip = "10.0.0.1";
    record.port = 7'000;
    record.service = "s1";
    record.started_ms = 5;
    const auto decoded = decode_member(encode_member(record));
    ASSERT_TRUE(decoded) << decoded.last_reason();
    EXPECT_EQ(decoded->node, "n1");
    EXPECT_EQ(decoded->port, 7'000);
    EXPECT_FALSE(decode_member(R"({"node":"n1","ip":"x","port":70000})"));
    EXPECT_FALSE(decode_member("\xfe"));
}

/*! @brief Fields of a response, and the expected notice. */
struct notice_case {
    http_fields fields{};
    std::optional<double> limit{};
    bool leaving{};
    std::string malformed{};
};

class decoded_notice : public testing::TestWithParam<notice_case> {};

TEST_P(decoded_notice, limit_and_leaving_flag_are_decoded_or_ignored_as_malformed)
{
    http_message response{};
    response.fields = GetParam().fields;
    const auto notice = decode_notice(response);
    EXPECT_EQ(notice.limit, GetParam().limit);
    EXPECT_EQ(notice.leaving, GetParam().leaving);
    EXPECT_EQ(notice.malformed, GetParam().malformed);
}

INSTANTIATE_TEST_SUITE_P(
    responses, decoded_notice,
    testing::Values(notice_case{}, notice_case{{{"server-limit", "20.9"}}, 20.9, false, ""},
                    notice_case{{{"X-Kumquatdrift-Server-Limit", "12"}}, 12.0, false, ""},
                    notice_case{{{"Server-Limit", "0"}}, 0.0, false, ""},
                    notice_case{{{"Server-Limit", "5"}, {"Server-Leaving", "1"}}, 5.0, true, ""},
                    notice_case{{{"Server-Leaving", "0"}}, {}, false, ""},
                    notice_case{{{"Server-Leaving", "yes"}}, {}, false, "yes"},
                    notice_case{{{"Server-Limit", "-1"}}, {}, false, "-1"},
                    notice_case{{{"Server-Limit", "nan"}}, {}, false, "nan"},
                    notice_case{{{"Server-Limit", "inf"}}, {}, false, "inf"},
                    notice_case{{{"Server-Limit", "1e3"}}, {}, false, "1e3"},
                    notice_case{{{"Server-Limit", "5 a second"}}, {}, false, "5 a second"}));

TEST(target_load_statement, figures_are_decoded_by_position)
{
    const auto three = decode_load("3,0,8");
    ASSERT_TRUE(three);
    EXPECT_EQ(three->slots, 8U);
    EXPECT_FALSE(three->slowness);
    const auto four = decode_load("5,2,6,175");
    ASSERT_TRUE(four);
    EXPECT_EQ(four->running, 5U);
    EXPECT_EQ(four->waiting, 2U);
    EXPECT_EQ(four->slots, 6U);
    EXPECT_DOUBLE_EQ(four->slowness.value_or(0.0), 1.75);
    EXPECT_EQ(decode_load("5,2,6,175,9")->slots, 6U) << "later figures are not known and ignored";
}

TEST(target_load_statement, odd_figures_are_ignored)
{
    for (const auto* text : {"", ",", "3", "3,0", "3,0,0", "3,0,8,", "3,0,8,0", "3,0,8,x", "3,,8", "-1,0,8",
                             "nan,0,8", "3,0,8,1e9", "3 ,0,8", "3,0,99999999"}) {
        EXPECT_FALSE(decode_load(text)) << text;
    }
}

} // namespace
} // namespace kumquatdrift::platform
