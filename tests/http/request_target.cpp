#include <kumquatdrift/http/request_target.hpp>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

/*! @brief A request target and its expected parts. */
struct target_case {
    std::string_view target{};
    std::string_view authority{};
    std::string_view path{};
};

class split_target : public testing::TestWithParam<target_case> {};

// Guards against proper requests in absolute form that find no route.
TEST_P(split_target, has_the_expected_parts)
{
    const auto parts = split_request_target(GetParam().target);
    EXPECT_EQ(parts.authority, GetParam().authority);
    EXPECT_EQ(parts.path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(cases, split_target,
                         testing::Values(target_case{"/a/b?c=d", "", "/a/b?c=d"},
                                         target_case{"http://desk.example/a/b?c", "desk.example", "/a/b?c"},
                                         target_case{"HTTP://desk.example:80/a", "desk.example:80", "/a"},
                                         target_case{"http://desk.example", "desk.example", "/"},
                                         target_case{"http://desk.example?c", "desk.example", "?c"},
                                         target_case{"/http://desk.example/", "", "/http://desk.example/"},
                                         target_case{"http://", "", "http://"}, target_case{"*", "", "*"},
                                         target_case{"", "", ""}));

} // namespace
} // namespace kumquatdrift
