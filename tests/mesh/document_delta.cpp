#include <kumquatdrift/mesh/document_delta.hpp>

#include <random>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

/*! @brief A document of 1,600 routes with random names, and one in which the version and one route differ. */
class document_of_1600_routes : public testing::Test {
protected:
    document_of_1600_routes()
    {
        std::mt19937 rng{1};
        std::uniform_int_distribution<int> letter{'a', 'z'};
        for (int route = 0; route < 1'600; ++route) {
            std::string name(8, ' ');
            for (auto& character : name) {
                character = static_cast<char>(letter(rng));
            }
            this->document +=
                R"({"name":"r-)" + name + R"(","path_prefix":"/)" + name +
                R"(/","kind":"idempotent","timeout_s":4,"target_latency_s":1.2,"max_attempts":2},)";
        }
        this->document.back() = ']';
        this->changed = this->document;
        this->changed.replace(this->changed.find("00000007"), 8, "00000009");
        this->changed.insert(this->changed.find("{\"name\"", this->changed.size() / 2),
                             R"({"name":"r-new"},)");
    }

    std::string document{R"({"version":"00000007","paths":[)"};
    std::string changed{};
};

TEST_F(document_of_1600_routes, compressed_without_a_base_is_restored)
{
    const auto compressed = compress_document(this->document, "");
    ASSERT_TRUE(compressed);
    EXPECT_LT(compressed->size(), this->document.size() / 4);
    const auto restored = decompress_document(*compressed, "");
    ASSERT_TRUE(restored) << restored.last_reason();
    EXPECT_EQ(*restored, this->document);
}

TEST_F(document_of_1600_routes, change_of_one_route_costs_less_than_a_hundredth_of_the_document)
{
    const auto compressed = compress_document(this->changed, this->document);
    ASSERT_TRUE(compressed);
    EXPECT_LT(compressed->size(), this->document.size() / 100);
    const auto restored = decompress_document(*compressed, this->document);
    ASSERT_TRUE(restored) << restored.last_reason();
    EXPECT_EQ(*restored, this->changed);
}

TEST_F(document_of_1600_routes, other_base_does_not_restore_the_document)
{
    const auto compressed = compress_document(this->changed, this->document);
    ASSERT_TRUE(compressed);
    const auto restored = decompress_document(*compressed, std::string(this->document.size(), 'x'));
    EXPECT_TRUE(!restored || *restored != this->changed);
    EXPECT_FALSE(decompress_document(*compressed, ""));
}

TEST_F(document_of_1600_routes, malformed_bytes_are_rejected)
{
    const auto compressed = compress_document(this->document, "");
    ASSERT_TRUE(compressed);
    EXPECT_FALSE(decompress_document("no zstd frame", ""));
    EXPECT_FALSE(decompress_document("", ""));
    EXPECT_FALSE(decompress_document(compressed->substr(0, compressed->size() / 2), ""));
}

TEST(document_beyond_the_limit, is_rejected)
{
    const auto compressed = compress_document(std::string(max_document_bytes + 1, 'x'), "");
    ASSERT_TRUE(compressed);
    const auto restored = decompress_document(*compressed, "");
    EXPECT_FALSE(restored);
    EXPECT_NE(restored.last_reason().find("at most"), std::string::npos);
}

TEST(empty_document, is_restored)
{
    const auto compressed = compress_document("", "base");
    ASSERT_TRUE(compressed);
    const auto restored = decompress_document(*compressed, "base");
    ASSERT_TRUE(restored);
    EXPECT_EQ(*restored, "");
}

} // namespace
} // namespace kumquatdrift
