#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <kumquatdrift/core/random.hpp>

#include <platform/decode.hpp>

namespace kumquatdrift::platform {
namespace {

struct route_text {
    std::string text{};
    std::string host{};
};

std::string make_route(std::uint64_t number, const std::string& service)
{
    return R"({"name":"r)" + std::to_string(number) + R"(","path_prefix":"/p)" + std::to_string(number) +
           R"(/","kind":"idempotent","timeout_s":1.5,"priority":)" + std::to_string(number % 3) +
           R"(,"service":")" + service + R"("})";
}

std::string make_document(const std::vector<route_text>& routes, const std::string& services)
{
    std::string hosts{};
    for (std::size_t index = 0; index < routes.size(); ++index) {
        if (index == 0 || routes[index].host != routes[index - 1].host) {
            hosts += (hosts.empty() ? "" : "]},") + (R"({"host":")" + routes[index].host) + R"(","paths":[)";
        }
        else {
            hosts += ',';
        }
        hosts += routes[index].text;
    }
    hosts += hosts.empty() ? "" : "]}";
    return R"({"version":"0000000c","services":[)" + services + R"(],"virtual_hosts":[)" + hosts + "]}";
}

std::string describe(const result<mesh_config_ptr>& config)
{
    if (!config) {
        return "refused: " + config.last_reason();
    }
    std::string text{};
    for (const auto& route : (*config)->routes) {
        text += route->host + ' ' + route->name + ' ' + route->prefix + ' ' + std::to_string(route->priority);
        for (const auto& part : route->services) {
            text += ' ' + part.service + ':' + std::to_string(part.weight);
        }
        text += '\n';
    }
    return text;
}

constexpr const char* both_services = R"({"name":"s1"},{"name":"s2"})";

class configuration_with_known_routes : public testing::Test {
protected:
    configuration_with_known_routes()
    {
        for (std::uint64_t number = 0; number < 12; ++number) {
            this->routes.push_back({make_route(number, "s1"), "host" + std::to_string(number / 4)});
        }
        const auto decoded = decode_config(make_document(this->routes, both_services));
        this->known = decoded ? *decoded : nullptr;
    }

    /*! @brief Returns the number of routes that the decoded document shares with the known configuration. */
    [[nodiscard]] std::size_t count_shared(const mesh_config& config) const
    {
        return static_cast<std::size_t>(
            std::count_if(config.routes.begin(), config.routes.end(), [this](const auto& route) {
                return std::find(this->known->routes.begin(), this->known->routes.end(), route) !=
                       this->known->routes.end();
            }));
    }

    std::vector<route_text> routes{};
    mesh_config_ptr known{};
};

TEST_F(configuration_with_known_routes, changed_route_alone_is_decoded)
{
    this->routes[5].text = make_route(99, "s2");
    const auto config = decode_config(make_document(this->routes, both_services), this->known.get());
    ASSERT_TRUE(config) << config.last_reason();
    EXPECT_EQ(this->count_shared(**config), 11U);
    EXPECT_EQ((*config)->routes[5]->name, "r99");
}

TEST_F(configuration_with_known_routes, routes_that_move_are_found_again)
{
    this->routes.insert(this->routes.begin(), {make_route(50, "s1"), "host0"});
    this->routes.insert(this->routes.begin(), {make_route(51, "s1"), "host0"});
    const auto config = decode_config(make_document(this->routes, both_services), this->known.get());
    ASSERT_TRUE(config) << config.last_reason();
    EXPECT_GE(this->count_shared(**config), 11U);
}

TEST_F(configuration_with_known_routes, known_route_under_another_host_is_decoded_for_that_host)
{
    this->routes[0].host = "other";
    const auto config = decode_config(make_document(this->routes, both_services), this->known.get());
    ASSERT_TRUE(config) << config.last_reason();
    EXPECT_EQ((*config)->routes[0]->host, "other");
}

TEST_F(configuration_with_known_routes, known_route_to_a_service_that_is_gone_is_refused)
{
    const auto config = decode_config(make_document(this->routes, R"({"name":"s2"})"), this->known.get());
    ASSERT_FALSE(config);
    EXPECT_NE(config.last_reason().find("unknown service 's1'"), std::string::npos);
}

TEST_F(configuration_with_known_routes, document_that_is_damaged_outside_its_routes_is_refused)
{
    const auto document = make_document(this->routes, both_services);
    for (std::size_t at = 0; at < document.size(); ++at) {
        const auto cut = document.substr(0, at);
        EXPECT_FALSE(decode_config(cut, this->known.get())) << cut;
    }
    EXPECT_FALSE(decode_config(document + "x", this->known.get()));
    EXPECT_FALSE(decode_config("x" + document, this->known.get()));
}

// Guards against texts of routes that are taken for those of other routes, or of none.
TEST_F(configuration_with_known_routes, document_with_two_lists_of_routes_for_a_host_is_refused)
{
    const auto config =
        decode_config(R"({"version":"0000000c","services":[)" + std::string{both_services} +
                      R"(],"virtual_hosts":[{"paths":[)" + make_route(1, "s1") + ',' + make_route(2, "s1") +
                      R"(],"host":"h","paths":[)" + make_route(3, "s1") + "]}]}");
    ASSERT_FALSE(config);
    EXPECT_NE(config.last_reason().find("occurs twice"), std::string::npos) << config.last_reason();
}

/*! @brief Documents with changes that a seed selects. */
class changed_document : public testing::TestWithParam<std::uint64_t> {
protected:
    [[nodiscard]] std::size_t draw(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>{0, bound - 1}(this->rng);
    }

    void change(std::vector<route_text>& routes)
    {
        const auto at = routes.empty() ? 0 : this->draw(routes.size());
        const auto position = routes.begin() + static_cast<std::ptrdiff_t>(at);
        switch (this->draw(routes.empty() ? 1 : 5)) {
        case 0:
            routes.insert(position, {make_route(this->draw(100), this->draw(2) == 0 ? "s1" : "s2"),
                                     "host" + std::to_string(this->draw(3))});
            break;
        case 1:
            routes.erase(position);
            break;
        case 2:
            std::swap(routes[at], routes[this->draw(routes.size())]);
            break;
        case 3:
            position->text = make_route(this->draw(100), "s1");
            break;
        default:
            position->host = "Host" + std::to_string(this->draw(3));
            break;
        }
    }

    /*! @brief Replaces one byte, which mostly makes the document invalid. */
    void damage(std::string& document)
    {
        document[this->draw(document.size())] = "{}[]\",:x0\\\xff"[this->draw(11)];
    }

    random_engine rng{GetParam()};
};

// Guards against a configuration that depends on the one before it.
TEST_P(changed_document, decodes_the_same_with_and_without_known_routes)
{
    std::vector<route_text> routes{};
    mesh_config_ptr known{};
    for (int step = 0; step < 300; ++step) {
        for (auto changes = this->draw(4); changes > 0; --changes) {
            this->change(routes);
        }
        auto document = make_document(routes, this->draw(8) == 0 ? R"({"name":"s1"})" : both_services);
        if (this->draw(3) == 0) {
            this->damage(document);
        }
        const auto alone = decode_config(document);
        const auto with_known = decode_config(document, known.get());
        ASSERT_EQ(describe(with_known), describe(alone)) << document;
        ASSERT_TRUE(!alone || nlohmann::json::accept(document)) << document;
        if (with_known) {
            known = *with_known;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, changed_document, testing::Range<std::uint64_t>(1, 21));

} // namespace
} // namespace kumquatdrift::platform
