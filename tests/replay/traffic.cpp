#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "replay/traffic_replayer.hpp"

namespace kumquatdrift {
namespace {

class traffic_replay : public testing::TestWithParam<std::filesystem::path> {};

// Guards against a change of the stated outcome of each failure in section 1.4 and 4 of the design page.
TEST_P(traffic_replay, trace_has_its_stated_outcome)
{
    std::ifstream file{this->GetParam()};
    ASSERT_TRUE(file);
    traffic_replayer replayer{};
    std::size_t number = 0;
    std::size_t expectations = 0;
    for (std::string line; std::getline(file, line);) {
        ++number;
        expectations += line.starts_with("expect") ? 1 : 0;
        const auto wrong = replayer.run(line);
        EXPECT_FALSE(wrong) << this->GetParam().filename().string() << ':' << number << ": " << *wrong;
    }
    EXPECT_GT(expectations, 0U);
}

std::vector<std::filesystem::path> traces()
{
    std::vector<std::filesystem::path> found;
    const auto folder = std::filesystem::path{KUMQUATDRIFT_SOURCE_DIR} / "tests" / "traces";
    for (const auto& entry : std::filesystem::directory_iterator{folder}) {
        if (entry.path().filename().string().starts_with("traffic_")) {
            found.push_back(entry.path());
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

std::string trace_name(const testing::TestParamInfo<std::filesystem::path>& parameter)
{
    return parameter.param.stem().string();
}

INSTANTIATE_TEST_SUITE_P(traces, traffic_replay, testing::ValuesIn(traces()), trace_name);

} // namespace
} // namespace kumquatdrift
