#include <gtest/gtest.h>

#include <kumquatdrift/core/json_comments.hpp>

namespace kumquatdrift {
namespace {

class json_comments : public testing::Test {};

// Guards against settings that lose part of a URL or a text that looks like a comment.
TEST_F(json_comments, comments_outside_strings_are_blanked_and_strings_are_kept)
{
    EXPECT_EQ(strip_json_comments("{ // a\n\"u\": \"http://x/*y*/\" /* b\n */ }"),
              "{     \n\"u\": \"http://x/*y*/\"     \n    }");
    EXPECT_EQ(strip_json_comments(R"("a\"//b")"), R"("a\"//b")");
}

// Guards against reading past the end of a damaged file.
TEST_F(json_comments, unterminated_comments_and_strings_are_left_for_the_parser)
{
    EXPECT_EQ(strip_json_comments("{ /* a"), "{ /* a");
    EXPECT_EQ(strip_json_comments("{ \"a\\"), "{ \"a\\");
    EXPECT_EQ(strip_json_comments("{} // end"), "{}       ");
}

} // namespace
} // namespace kumquatdrift
