#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <kumquatdrift/routing/match.hpp>

#include "support/mesh_builders.hpp"

namespace kumquatdrift {
namespace {

class route_matching : public testing::Test {
protected:
    void add(const std::string& name, const std::string& host, const std::string& prefix,
             const std::vector<std::string>& methods = {})
    {
        auto& route = this->config.routes[name];
        route.name = name;
        route.host = host;
        route.path_prefix = prefix;
        route.methods = methods;
        route.service = "balcao";
    }

    [[nodiscard]] std::string match(std::string_view host, std::string_view path,
                                    std::string_view method = "GET")
    {
        const auto snapshot = build_snapshot(this->config, member_view{});
        if (!snapshot) {
            return "invalid";
        }
        const auto found = match_route(**snapshot, host, path, method);
        if (!found.route) {
            return std::string{to_name(found.kind)};
        }
        return (*snapshot)->routes[*found.route].config.name;
    }

    effective_config config{make_config(1, {"balcao"})};
};

// Guards against a request that is routed to the service of a less specific route.
TEST_F(route_matching, exact_host_precedes_longer_prefix_of_any_host)
{
    this->add("any", "", "/fittings/today");
    this->add("exact", "gowns.example", "/fittings");
    EXPECT_EQ(this->match("gowns.example", "/fittings/today"), "exact");
    EXPECT_EQ(this->match("GOWNS.example:8080", "/fittings/today"), "exact");
    EXPECT_EQ(this->match("other.example", "/fittings/today"), "any");
}

// Guards against a prefix that matches part of a path segment.
TEST_F(route_matching, prefix_matches_whole_segments_only)
{
    this->add("short", "", "/gowns");
    this->add("long", "", "/gowns/silk");
    EXPECT_EQ(this->match("h", "/gowns/silk/7?size=3"), "long");
    EXPECT_EQ(this->match("h", "/gowns/silken"), "short");
    EXPECT_EQ(this->match("h", "/gowns?x=/gowns/silk"), "short");
    EXPECT_EQ(this->match("h", "/gownsandmore"), "no_route");
}

// Guards against a 404 response where a 405 response with the allowed methods is required.
TEST_F(route_matching, method_that_no_route_allows_gets_method_not_allowed)
{
    this->add("read", "", "/gowns", {"GET", "HEAD"});
    this->add("write", "", "/gowns", {"POST"});
    EXPECT_EQ(this->match("h", "/gowns", "POST"), "write");
    EXPECT_EQ(this->match("h", "/gowns", "DELETE"), "method_not_allowed");
    const auto snapshot = build_snapshot(this->config, member_view{});
    EXPECT_EQ(allowed_methods(**snapshot, "h", "/gowns"), (std::vector<std::string>{"GET", "HEAD", "POST"}));
}

// Guards against a path that matches one route, but that the target resolves to a path of another route.
TEST_F(route_matching, dot_segments_are_rejected)
{
    this->add("all", "", "/");
    for (const auto* path : {"/gowns/../admin", "/./x", "/x/%2e%2E/admin", "/x/.%2e", "x", ""}) {
        EXPECT_EQ(this->match("h", path), "malformed_path") << path;
    }
    EXPECT_EQ(this->match("h", "/x/.../y.z/.well-known"), "all");
}

// Guards against a snapshot with a route whose service is not defined.
TEST_F(route_matching, configuration_with_a_route_to_a_missing_service_is_rejected)
{
    this->add("broken", "", "/broken");
    this->config.routes["broken"].service = "absent";
    EXPECT_EQ(this->match("h", "/balcao"), "invalid");
}

// Guards against a binary search that violates the order of precedence: exact host, then longest prefix,
// among the routes that allow the method.
RC_GTEST_PROP(route_matching_rule, search_agrees_with_a_scan_of_all_routes, ())
{
    const auto hosts = rc::gen::element<std::string>("", "a.example", "b.example", "c.example");
    const auto prefixes = rc::gen::element<std::string>("/", "/x", "/x/y", "/x/y/", "/xy");
    using method_list = std::vector<std::string>;
    const auto methods = rc::gen::element(method_list{}, method_list{"GET"}, method_list{"PUT"});
    auto config = make_config(1, {"balcao"});
    const auto count = *rc::gen::inRange(0, 12);
    for (int number = 0; number < count; ++number) {
        auto& route = config.routes["r" + std::to_string(number)];
        route = {.name = "r" + std::to_string(number),
                 .host = *hosts,
                 .path_prefix = *prefixes,
                 .methods = *methods,
                 .service = "balcao"};
    }
    const auto snapshot = *build_snapshot(config, member_view{}).value();
    const auto host = *rc::gen::element<std::string>("a.example", "b.example", "z.example", "");
    const auto path = *rc::gen::element<std::string>("/", "/x", "/x/y", "/x/y/z", "/xyz");
    const auto matches = [&](const route_config& route) {
        const auto& prefix = route.path_prefix;
        const auto has_prefix =
            path.starts_with(prefix) &&
            (path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/');
        const auto has_method = route.methods.empty() || route.methods[0] == "GET";
        return has_prefix && has_method && (route.host.empty() || route.host == host);
    };
    const auto rank = [](const route_config& route) {
        return std::pair{!route.host.empty(), route.path_prefix.size()};
    };
    std::optional<std::pair<bool, std::size_t>> best;
    for (const auto& [name, route] : config.routes) {
        if (matches(route)) {
            best = std::max(best.value_or(rank(route)), rank(route));
        }
    }
    const auto found = match_route(*snapshot, host, path, "GET");
    RC_ASSERT(found.route.has_value() == best.has_value());
    if (found.route) {
        const auto& route = snapshot->routes[*found.route].config;
        RC_ASSERT(matches(route));
        RC_ASSERT(rank(route) == *best);
    }
}

} // namespace
} // namespace kumquatdrift
