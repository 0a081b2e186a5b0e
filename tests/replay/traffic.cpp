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

// Guards against changes to the outcomes that sections 1.4 and 4 of the design page state for each failure.
TEST_P(traffic_replay, trace_has_its_stated_outcome)
{
    std::ifstream file{this->GetParam()};
    ASSERT_TRUE(file);
    traffic_replayer replayer{};
    std::size_t line_number = 0;
    std::size_t expectations = 0;
    for (std::string line; std::getline(file, line);) {
        ++line_number;
        expectations += line.starts_with("expect") ? 1 : 0;
        const auto failure = replayer.run(line);
        EXPECT_FALSE(failure) << this->GetParam().filename().string() << ':' << line_number << ": "
                              << *failure;
    }
    EXPECT_GT(expectations, 0U);
}

std::vector<std::filesystem::path> find_traces()
{
    std::vector<std::filesystem::path> paths;
    const auto folder = std::filesystem::path{KUMQUATDRIFT_SOURCE_DIR} / "tests" / "traces";
    for (const auto& entry : std::filesystem::directory_iterator{folder}) {
        if (entry.path().filename().string().starts_with("traffic_")) {
            paths.push_back(entry.path());
        }
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

std::string trace_name(const testing::TestParamInfo<std::filesystem::path>& parameter)
{
    return parameter.param.stem().string();
}

INSTANTIATE_TEST_SUITE_P(traces, traffic_replay, testing::ValuesIn(find_traces()), trace_name);

} // namespace
} // namespace kumquatdrift
