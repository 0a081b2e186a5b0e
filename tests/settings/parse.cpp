#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

#include <kumquatdrift/settings/parse.hpp>

namespace kumquatdrift {
namespace {

class settings_parse : public testing::Test {
protected:
    static std::string with(const std::string& members)
    {
        return R"({ // a comment
            "node": "alfama-1", "data_centre": "alfama", "ip": "127.1.0.1",
            "log": {"url": "http://127.0.0.1:7500"})" +
               members + "}";
    }

    static bool has_fault(const settings_outcome& outcome, const std::string& place, const std::string& text)
    {
        return std::any_of(outcome.faults.begin(), outcome.faults.end(), [&](const auto& fault) {
            return fault.place == place && fault.reason.find(text) != std::string::npos;
        });
    }
};

// Guards against required settings that grow unnoticed.
TEST_F(settings_parse, minimal_file_with_comments_has_no_fault_and_gets_defaults)
{
    const auto outcome = parse_settings(with(""));
    ASSERT_TRUE(outcome.faults.empty()) << outcome.faults.front().place << outcome.faults.front().reason;
    EXPECT_EQ(outcome.settings.caller.port, 7400);
    EXPECT_EQ(outcome.settings.distribution_source, "relays");
}

// Guards against a file that is mended one fault per start of the daemon.
TEST_F(settings_parse, file_with_several_faults_reports_each_with_its_place_and_range)
{
    const auto outcome =
        parse_settings(with(R"(, "listeners": {"caller": {"port": 70000, "max_connections": "many"}},
                  "membership": {"seeds": ["127.0.0.1:1", "localhost:2", 3]}, "drain": 1, "telemetry": 5)"));
    EXPECT_TRUE(has_fault(outcome, "listeners.caller.port", "1 to 65535"));
    EXPECT_TRUE(has_fault(outcome, "listeners.caller.max_connections", "whole number from 1"));
    EXPECT_TRUE(has_fault(outcome, "membership.seeds[1]", "IP:PORT"));
    EXPECT_TRUE(has_fault(outcome, "membership.seeds[2]", "IP:PORT"));
    EXPECT_TRUE(has_fault(outcome, "drain", "not a known setting"));
    EXPECT_TRUE(has_fault(outcome, "telemetry", "must be an object"));
}

// Guards against a daemon that starts with another node's identity or none.
TEST_F(settings_parse, empty_object_names_every_required_setting)
{
    const auto outcome = parse_settings("{}");
    for (const auto* place : {"node", "data_centre", "ip", "log.url"}) {
        EXPECT_TRUE(has_fault(outcome, place, "is required")) << place;
    }
}

// Guards against a crash or silent defaults on a damaged file.
TEST_F(settings_parse, text_that_is_not_json_is_one_fault)
{
    for (const auto* text : {"", "{", "[]", "nonsense", R"({"node": )", "\x01\x02"}) {
        const auto outcome = parse_settings(text);
        EXPECT_FALSE(outcome.faults.empty()) << text;
    }
}

// Guards against a second member of the same name that silently replaces the first.
TEST_F(settings_parse, member_that_appears_twice_is_a_fault)
{
    const auto outcome = parse_settings(with(R"(, "node": "belem-1")"));
    EXPECT_FALSE(outcome.faults.empty());
}

// Guards against two listeners that would fight for one port at start.
TEST_F(settings_parse, equal_ports_on_one_address_are_a_fault)
{
    const auto outcome = parse_settings(with(R"(, "listeners": {"peer": {"port": 7400}})"));
    EXPECT_TRUE(has_fault(outcome, "listeners.peer.port", "used by another listener"));
}

// Guards against numbers that overflow or are fractions.
TEST_F(settings_parse, fractions_and_huge_numbers_are_faults)
{
    const auto outcome = parse_settings(
        with(R"(, "drain_timeout_ms": 1.5, "membership": {"probe_interval_ms": 9223372036854775807})"));
    EXPECT_TRUE(has_fault(outcome, "drain_timeout_ms", "whole number"));
    EXPECT_TRUE(has_fault(outcome, "membership.probe_interval_ms", "whole number"));
    const auto overflow = parse_settings(with(R"(, "drain_timeout_ms": 99999999999999999999)"));
    EXPECT_TRUE(has_fault(overflow, "file", "99999999999999999999"));
}

// Guards against a daemon that passes --check and then fails to start, because two values exclude each other.
TEST_F(settings_parse, values_that_exclude_each_other_are_faults)
{
    const auto outcome =
        parse_settings(with(R"(, "membership": {"probe_interval_ms": 300, "probe_timeout_ms": 300},
                                 "distribution": {"heartbeat_interval_ms": 6000})"));
    EXPECT_TRUE(has_fault(outcome, "membership.probe_timeout_ms", "below membership.probe_interval_ms"));
    EXPECT_TRUE(has_fault(outcome, "distribution.silence_timeout_ms", "above"));
}

// Guards against a settings page that no longer matches the program.
TEST_F(settings_parse, settings_page_holds_the_current_table)
{
    const std::ifstream file{std::string{KUMQUATDRIFT_SOURCE_DIR} + "/docs/settings.md"};
    std::ostringstream page;
    page << file.rdbuf();
    EXPECT_NE(page.str().find(describe_settings()), std::string::npos)
        << "replace the table in docs/settings.md by the output of kumquatdriftd --describe-settings";
}

} // namespace
} // namespace kumquatdrift
