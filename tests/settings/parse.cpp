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
    static std::string minimal_settings_with(const std::string& members)
    {
        return R"({ // a comment
            "node": "alfama-1", "data_centre": "alfama", "ip": "127.1.0.1",
            "log": {"url": "http://127.0.0.1:7500"})" +
               members + "}";
    }

    static bool has_error(const parsed_settings& parsed, const std::string& location, const std::string& text)
    {
        return std::any_of(parsed.errors.begin(), parsed.errors.end(), [&](const auto& error) {
            return error.location == location && error.reason.find(text) != std::string::npos;
        });
    }
};

// Guards against a new setting that is required by accident, which would invalidate existing files.
TEST_F(settings_parse, minimal_file_with_comments_has_no_error_and_gets_defaults)
{
    const auto parsed = parse_settings(minimal_settings_with(""));
    ASSERT_TRUE(parsed.errors.empty()) << parsed.errors.front().location << parsed.errors.front().reason;
    EXPECT_EQ(parsed.settings.caller.port, 7400);
    EXPECT_EQ(parsed.settings.distribution_source, "relays");
}

// Guards against reporting only the first error, so that each start of the daemon reveals another one.
TEST_F(settings_parse, file_with_several_errors_reports_each_with_its_location_and_range)
{
    const auto parsed = parse_settings(
        minimal_settings_with(R"(, "listeners": {"caller": {"port": 70000, "max_connections": "many"}},
                  "membership": {"seeds": ["127.0.0.1:1", "localhost:2", 3]}, "drain": 1, "telemetry": 5)"));
    EXPECT_TRUE(has_error(parsed, "listeners.caller.port", "1 to 65535"));
    EXPECT_TRUE(has_error(parsed, "listeners.caller.max_connections", "whole number from 1"));
    EXPECT_TRUE(has_error(parsed, "membership.seeds[1]", "IP:PORT"));
    EXPECT_TRUE(has_error(parsed, "membership.seeds[2]", "IP:PORT"));
    EXPECT_TRUE(has_error(parsed, "drain", "not a known setting"));
    EXPECT_TRUE(has_error(parsed, "telemetry", "must be an object"));
}

// Guards against a daemon that starts without the settings that identify its node and its log.
TEST_F(settings_parse, empty_object_names_every_required_setting)
{
    const auto parsed = parse_settings("{}");
    for (const auto* location : {"node", "data_centre", "ip", "log.url"}) {
        EXPECT_TRUE(has_error(parsed, location, "is required")) << location;
    }
}

// Guards against a crash, or against the use of defaults, when the file is corrupt.
TEST_F(settings_parse, text_that_is_not_json_is_an_error)
{
    for (const auto* text : {"", "{", "[]", "nonsense", R"({"node": )", "\x01\x02"}) {
        const auto parsed = parse_settings(text);
        EXPECT_FALSE(parsed.errors.empty()) << text;
    }
}

// Guards against a duplicate member that silently replaces the first.
TEST_F(settings_parse, member_that_appears_twice_is_an_error)
{
    const auto parsed = parse_settings(minimal_settings_with(R"(, "node": "belem-1")"));
    EXPECT_FALSE(parsed.errors.empty());
}

// Guards against a configuration in which two listeners bind the same port, which fails only at start.
TEST_F(settings_parse, equal_ports_on_one_address_are_an_error)
{
    const auto parsed = parse_settings(minimal_settings_with(R"(, "listeners": {"peer": {"port": 7400}})"));
    EXPECT_TRUE(has_error(parsed, "listeners.peer.port", "used by another listener"));
}

// Guards against accepting fractions, and numbers that overflow 64 bits or exceed the range.
TEST_F(settings_parse, fractions_and_huge_numbers_are_errors)
{
    const auto parsed = parse_settings(minimal_settings_with(
        R"(, "drain_timeout_ms": 1.5, "membership": {"probe_interval_ms": 9223372036854775807})"));
    EXPECT_TRUE(has_error(parsed, "drain_timeout_ms", "whole number"));
    EXPECT_TRUE(has_error(parsed, "membership.probe_interval_ms", "whole number"));
    const auto overflow =
        parse_settings(minimal_settings_with(R"(, "drain_timeout_ms": 99999999999999999999)"));
    EXPECT_TRUE(has_error(overflow, "file", "99999999999999999999"));
}

// Guards against settings that pass --check although the daemon cannot start with them, because two values
// conflict.
TEST_F(settings_parse, conflicting_values_are_errors)
{
    const auto parsed = parse_settings(
        minimal_settings_with(R"(, "membership": {"probe_interval_ms": 300, "probe_timeout_ms": 300},
                                 "distribution": {"heartbeat_interval_ms": 6000})"));
    EXPECT_TRUE(has_error(parsed, "membership.probe_timeout_ms", "below membership.probe_interval_ms"));
    EXPECT_TRUE(has_error(parsed, "distribution.silence_timeout_ms", "above"));
}

// Guards against a settings page that differs from the table in the program.
TEST_F(settings_parse, settings_page_contains_the_current_table)
{
    const std::ifstream file{std::string{KUMQUATDRIFT_SOURCE_DIR} + "/docs/settings.md"};
    std::ostringstream page;
    page << file.rdbuf();
    EXPECT_NE(page.str().find(describe_settings()), std::string::npos)
        << "replace the table in docs/settings.md by the output of kumquatdriftd --describe-settings";
}

} // namespace
} // namespace kumquatdrift
