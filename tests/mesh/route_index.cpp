#include <kumquatdrift/mesh/route_index.hpp>

#include <map>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

mesh_route_ptr route_of(std::string host, std::string prefix, std::vector<weighted_service> services)
{
    mesh_route route{};
    route.name = host + prefix;
    route.host = std::move(host);
    route.prefix = std::move(prefix);
    route.services = std::move(services);
    return std::make_shared<const mesh_route>(std::move(route));
}

class routes_by_host : public testing::Test {
protected:
    routes_by_host()
    {
        auto config = std::make_shared<mesh_config>();
        config->routes = {route_of("desk.example", "/a/", {{"first", 1.0}}),
                          route_of("desk.example", "/a/b/", {{"second", 1.0}}),
                          route_of("other.example", "/", {{"third", 1.0}})};
        this->index = std::make_unique<route_index>(config);
    }

    [[nodiscard]] std::string find(std::string_view host, std::string_view target) const
    {
        const auto* route = this->index->find(host, target);
        return route == nullptr ? "none" : route->services.front().service;
    }

    std::unique_ptr<route_index> index{};
};

TEST_F(routes_by_host, longest_prefix_wins)
{
    EXPECT_EQ(this->find("desk.example", "/a/b/c"), "second");
    EXPECT_EQ(this->find("desk.example", "/a/bc"), "first");
    EXPECT_EQ(this->find("desk.example", "/a/b/"), "second");
}

TEST_F(routes_by_host, host_ignores_case_and_port)
{
    EXPECT_EQ(this->find("DESK.example:8080", "/a/x"), "first");
}

TEST_F(routes_by_host, path_outside_all_prefixes_has_no_route)
{
    EXPECT_EQ(this->find("desk.example", "/b/"), "none");
    EXPECT_EQ(this->find("desk.example", "/a"), "none");
    EXPECT_EQ(this->find("desk.example", ""), "none");
    EXPECT_EQ(this->find("unknown.example", "/a/"), "none");
}

TEST_F(routes_by_host, query_is_not_part_of_the_path)
{
    EXPECT_EQ(this->find("desk.example", "/a/x?to=/a/b/"), "first");
    EXPECT_EQ(this->find("other.example", "/?x"), "third");
}

TEST(weighted_services, every_hundred_requests_follow_the_weights)
{
    const auto route = route_of("desk.example", "/a/", {{"first", 90.0}, {"second", 10.0}});
    weighted_service_selector selector{};
    for (int round = 0; round < 5; ++round) {
        std::map<std::string, int> selections{};
        for (int request = 0; request < 100; ++request) {
            ++selections[selector.select(*route)];
        }
        EXPECT_EQ(selections["first"], 90);
        EXPECT_EQ(selections["second"], 10);
    }
}

TEST(weighted_services, changed_weights_restart_the_sequence)
{
    weighted_service_selector selector{};
    (void)selector.select(*route_of("desk.example", "/a/", {{"first", 1.0}, {"second", 1.0}}));
    const auto route = route_of("desk.example", "/a/", {{"first", 0.2}, {"third", 0.8}});
    std::map<std::string, int> selections{};
    for (int request = 0; request < 10; ++request) {
        ++selections[selector.select(*route)];
    }
    EXPECT_EQ(selections["first"], 2);
    EXPECT_EQ(selections["third"], 8);
}

} // namespace
} // namespace kumquatdrift
