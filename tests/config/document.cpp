#include <kumquatdrift/config/document.hpp>

#include <array>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <kumquatdrift/config/state.hpp>

#include "config/overlay_check.hpp"
#include "support.hpp"

namespace kumquatdrift {
namespace {

using testing_support::lisbon_base;
using testing_support::parse;

class config_document : public testing::Test {};

// Guards against the digest of a checkpoint depending on the order in which an operator wrote the members.
TEST_F(config_document, member_order_and_white_space_do_not_change_the_canonical_text)
{
    EXPECT_EQ(parse("{ \"b\" : 1,\n \"a\" : [ 1 , null ] }").text(), R"({"a":[1,null],"b":1})");
    EXPECT_EQ(parse(R"({"b":1,"a":2})"), parse(R"({"a":2,"b":1})"));
}

// Guards against one of two routes with the same name being discarded silently.
TEST_F(config_document, member_that_appears_twice_is_an_error)
{
    const auto document = json_document::parse(R"({"routes":{"a":{"host":"x"},"a":{}}})");
    ASSERT_FALSE(document);
    EXPECT_NE(document.last_reason().find("member \"a\" appears twice"), std::string::npos)
        << document.last_reason();
    EXPECT_TRUE(json_document::parse(R"({"a":{"b":{"a":1}},"b":[{"c":1},{"c":2}]})"));
}

// Guards against accepting text that is not a single JSON object.
TEST_F(config_document, text_that_is_not_an_object_is_an_error)
{
    for (const auto* const text :
         {"", "[]", "1", "null", "{", "{} {}", "{\"a\":1,}", "{/*}", "{\"a\":1e999}"}) {
        EXPECT_FALSE(json_document::parse(text) && validate_config(*json_document::parse(text))) << text;
    }
}

struct invalid_case {
    std::string_view text;
    std::string_view error;
};

// Guards against an invalid setting that is ignored, truncated or reported without its JSON pointer.
TEST_F(config_document, error_has_the_json_pointer_and_what_is_accepted)
{
    for (const auto& [text, error] : std::vector<invalid_case>{
             {R"({"rutes":{}})", "/rutes: unknown member; accepted are services, routes"},
             {R"({"services":[]})",
              "/services: an array found; accepted is an object with one member for each name"},
             {R"({"services":{"a/b~":{}}})",
              "/services/a~1b~0: not a name; accepted are 1 to 64 letters, digits, '-', '_' or '.'"},
             {R"({"services":{"a":null}})", "/services/a: null found; accepted is an object"},
             {R"({"services":{"a":{"queue":1}}})",
              "/services/a/queue: unknown member; accepted are queue_limit, slow_start_ms, spill_over"},
             {R"({"services":{"a":{"queue_limit":-1}}})",
              "/services/a/queue_limit: -1 is out of range; accepted are integers from 0 to 1000000"},
             {R"({"services":{"a":{"queue_limit":18446744073709551615}}})",
              "/services/a/queue_limit: 18446744073709551615 is out of range; accepted are integers from 0 "
              "to "
              "1000000"},
             {R"({"services":{"a":{"queue_limit":"5"}}})",
              "/services/a/queue_limit: a string found; accepted are integers from 0 to 1000000"},
             {R"({"services":{"a":{"queue_limit":1.5}}})",
              "/services/a/queue_limit: a fraction found; accepted are integers from 0 to 1000000"},
             {R"({"services":{"a":{"queue_limit":true}}})",
              "/services/a/queue_limit: a boolean found; accepted are integers from 0 to 1000000"},
             {R"({"services":{"a":{"spill_over":1}}})",
              "/services/a/spill_over: an integer found; accepted are true and false"},
             {R"({"services":{"a":{}},"routes":{"r":{}}})",
              "/routes/r: member \"service\" is missing; it names the service that gets the requests"},
             {R"({"services":{"a":{}},"routes":{"r":{"service":"b"}}})",
              "/routes/r/service: service \"b\" does not exist; accepted are the names under /services"},
             {R"({"routes":{"r":{"retry":{"max_attempts":11}}}})",
              "/routes/r/retry/max_attempts: 11 is out of range; accepted are integers from 1 to 10"},
             {R"({"routes":{"r":{"on_log_outage":"run"}}})",
              "/routes/r/on_log_outage: \"run\" is unknown; accepted are refuse and run_unclaimed"},
             {R"({"routes":{"r":{"deadline_ms":0}}})",
              "/routes/r/deadline_ms: 0 is out of range; accepted are integers from 1 to 3600000"}}) {
        const auto config = validate_config(parse(text));
        EXPECT_FALSE(config) << text;
        EXPECT_EQ(config.last_reason(), error);
    }
}

// Guards against accepting routes that can never match, which no caller would report.
TEST_F(config_document, route_that_cannot_match_is_an_error)
{
    const std::string start = R"({"services":{"a":{}},"routes":{"r":{"service":"a")";
    ASSERT_TRUE(validate_config(parse(start + "}}}")));
    for (const auto* const member :
         {R"("host":"Example.org")", R"("host":"a b")", R"("path_prefix":"catalogue")",
          R"("path_prefix":"/a?b")", R"("methods":["get"])", R"("methods":["GET","GET"])",
          R"("methods":"GET")", R"("methods":[1])", R"("idempotency_key_header":"a b")"}) {
        EXPECT_FALSE(validate_config(parse(start + "," + member + "}}}"))) << member;
    }
}

// Guards against members that are accepted and then ignored.
TEST_F(config_document, valid_configuration_is_read_completely)
{
    const auto config = validate_config(parse(lisbon_base));
    ASSERT_TRUE(config) << config.last_reason();
    const auto& reserve = config->routes.at("reserve");
    EXPECT_EQ(reserve.name, "reserve");
    EXPECT_EQ(reserve.methods, std::vector<std::string>{"POST"});
    EXPECT_EQ(reserve.idempotency_key_header, "Idempotency-Key");
    EXPECT_EQ(reserve.limits.max_body_bytes, 65536U);
    EXPECT_EQ(reserve.limits.max_in_flight, 100U);
    EXPECT_EQ(config->routes.at("catalogue").retry.budget_percent, 20U);
    EXPECT_EQ(config->services.at("balcao").slow_start, milliseconds{5000});
    EXPECT_FALSE(config->services.at("atelier").spill_over);
}

// Guards against an error in an overlay that the merge hides, such as null for an unknown member.
TEST_F(config_document, overlay_is_checked_by_itself)
{
    EXPECT_TRUE(
        validate_overlay(parse(R"({"routes":{"a":null,"b":{"retry":null,"host":null}},"services":null})")));
    EXPECT_FALSE(validate_overlay(parse(R"({"rutes":null})")));
    EXPECT_FALSE(validate_overlay(parse(R"({"routes":{"a":{"hots":null}}})")));
    EXPECT_FALSE(validate_overlay(parse(R"({"routes":{"a":{"deadline_ms":0}}})")));
}

// Guards against deviations from the examples in RFC 7396, appendix A.
TEST_F(config_document, merge_patch_follows_the_examples_of_the_standard)
{
    const std::vector<std::array<std::string_view, 3>> examples{
        {R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})"},
        {R"({"a":"b"})", R"({"b":"c"})", R"({"a":"b","b":"c"})"},
        {R"({"a":"b"})", R"({"a":null})", R"({})"},
        {R"({"a":"b","b":"c"})", R"({"a":null})", R"({"b":"c"})"},
        {R"({"a":["b"]})", R"({"a":"c"})", R"({"a":"c"})"},
        {R"({"a":"c"})", R"({"a":["b"]})", R"({"a":["b"]})"},
        {R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})", R"({"a":{"b":"d"}})"},
        {R"({"a":[{"b":"c"}]})", R"({"a":[1]})", R"({"a":[1]})"},
        {R"({"e":null})", R"({"a":1})", R"({"a":1,"e":null})"},
        {R"({})", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})"}};
    for (const auto& [target, patch, merged] : examples) {
        EXPECT_EQ(merge_patch(parse(target), parse(patch)).text(), merged) << target << ' ' << patch;
    }
}

/*! @brief Generates the text of a JSON object without null members. An empty value omits its member. */
rc::Gen<std::string> gen_object(int depth)
{
    constexpr std::string_view names = "abcd";
    const auto leaf =
        rc::gen::element<std::string>("", "", "1", "true", "\"x\"", "{}", "[]", "[null]", "[{\"a\":null}]");
    const auto value = depth == 0 ? leaf : rc::gen::oneOf(leaf, gen_object(depth - 1));
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(names.size(), value),
                        [names](const auto& values) {
                            std::string text;
                            for (std::size_t index = 0; index < names.size(); ++index) {
                                if (!values[index].empty()) {
                                    text.append(text.empty() ? "\"" : ",\"")
                                        .append(1, names[index])
                                        .append("\":")
                                        .append(values[index]);
                                }
                            }
                            return "{" + text + "}";
                        });
}

// Guards against a published patch that results in other content than the operator's file.
RC_GTEST_FIXTURE_PROP(config_document, patch_between_two_documents_leads_from_one_to_the_other, ())
{
    const auto from = parse(*gen_object(3));
    const auto to = parse(*gen_object(3));
    const auto patch = make_patch(from, to);
    RC_ASSERT(patch.has_value());
    RC_ASSERT(merge_patch(from, *patch) == to);
    RC_ASSERT((patch->text() == "{}") == (from == to));
}

/*! @brief Generates a base or an overlay from a few services and routes. An overlay may have null members and
 * lack required ones. */
rc::Gen<std::string> gen_config(bool overlay)
{
    const auto section = [overlay](const std::string& name, const std::string& first,
                                   const std::string& second) {
        const auto member = [overlay](const std::string& key, const std::vector<std::string>& values) {
            auto choices = values;
            choices.emplace_back();
            if (overlay) {
                choices.emplace_back("null");
            }
            return rc::gen::map(rc::gen::elementOf(choices), [key](const std::string& value) {
                return value.empty() ? value : "\"" + key + "\":" + value;
            });
        };
        const auto values = name == "services" ? std::vector<std::string>{"{}", R"({"queue_limit":1})"}
                            : overlay
                                ? std::vector<std::string>{R"({"service":"a"})", R"({"service":"b"})",
                                                           R"({"service":null})", R"({"host":"h"})", "{}"}
                                : std::vector<std::string>{R"({"service":"a"})", R"({"service":"b"})"};
        return rc::gen::map(
            rc::gen::pair(member(first, values), member(second, values)), [name](const auto& members) {
                const auto* const separator = members.first.empty() || members.second.empty() ? "" : ",";
                return "\"" + name + "\":{" + members.first + separator + members.second + "}";
            });
    };
    const auto section_or_null = [overlay](rc::Gen<std::string> section_text, const std::string& null) {
        return overlay ? rc::gen::weightedOneOf<std::string>({{8, section_text}, {1, rc::gen::just(null)}})
                       : section_text;
    };
    return rc::gen::map(
        rc::gen::pair(section_or_null(section("services", "a", "b"), "\"services\":null"),
                      section_or_null(section("routes", "r", "s"), "\"routes\":null")),
        [](const auto& sections) { return "{" + sections.first + "," + sections.second + "}"; });
}

// Guards against `is_valid_merge`, which reads only the members that the overlay contains, disagreeing with
// a complete validation of the merge.
RC_GTEST_FIXTURE_PROP(config_document, overlay_check_agrees_with_a_complete_validation_of_the_merge, ())
{
    const auto base = parse(*gen_config(false));
    const auto overlay = parse(*gen_config(true));
    RC_PRE(validate_config(base).has_value());
    RC_ASSERT(validate_overlay(overlay).has_value());
    const auto valid = internal::is_valid_merge(base.tree().object, overlay.tree().object);
    RC_ASSERT(valid == validate_config(merge_patch(base, overlay)).has_value());
    RC_CLASSIFY(valid);
}

// Guards against a patch for content with null members, which a merge patch cannot set.
TEST_F(config_document, patch_to_a_null_member_is_an_error)
{
    EXPECT_FALSE(make_patch(parse("{}"), parse(R"({"a":{"b":null}})")));
}

// Guards against accepting document names that no data centre reads.
TEST_F(config_document, unknown_document_name_is_an_error)
{
    EXPECT_TRUE(validate_document_name("base"));
    EXPECT_TRUE(validate_document_name("overlay/recife-centro"));
    for (const auto* const name :
         {"", "Base", "overlay", "overlay/", "overlay/a/b", "overlay/a b", "base/a"}) {
        EXPECT_FALSE(validate_document_name(name)) << name;
    }
}

// Guards against an effective configuration without a base, which would have no services.
TEST_F(config_document, effective_configuration_needs_a_base)
{
    EXPECT_FALSE(merge_effective(config_state{}, "belem"));
}

} // namespace
} // namespace kumquatdrift
