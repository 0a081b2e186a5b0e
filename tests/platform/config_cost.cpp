#include <algorithm>
#include <ctime>
#include <limits>
#include <string>

#include <gtest/gtest.h>

#include <kumquatdrift/mesh/document_delta.hpp>
#include <kumquatdrift/mesh/route_index.hpp>

#include <platform/decode.hpp>

#include "support/config_documents.hpp"

namespace kumquatdrift::platform {
namespace {

double thread_milliseconds()
{
    std::timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

class version_that_changes_one_of_1500_routes : public testing::Test {
protected:
    /*! @brief Stated for a core of its own; a node has a tenth of a core. */
    static constexpr double max_milliseconds = 1.0;
    static constexpr int repetitions = 30;

    std::string before{config_document(7, 1'500)};
    std::string after{config_document(8, 1'500, 700)};
};

// Guards against nodes that serve nothing for a tenth of a second each time a version arrives.
TEST_F(version_that_changes_one_of_1500_routes, is_applied_within_a_millisecond_of_processor_time)
{
    const auto known = decode_config(this->before);
    ASSERT_TRUE(known);
    const auto difference = compress_document(this->after, this->before);
    ASSERT_TRUE(difference);
    auto shortest = std::numeric_limits<double>::infinity();
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        const auto began = thread_milliseconds();
        const auto document = decompress_document(*difference, this->before);
        const auto config = decode_config(*document, known->get());
        const route_index index{*config};
        shortest = std::min(shortest, thread_milliseconds() - began);
        ASSERT_EQ(index.config().routes.size(), 1'500U);
    }
    RecordProperty("milliseconds", std::to_string(shortest));
    EXPECT_LE(shortest, max_milliseconds);
}

} // namespace
} // namespace kumquatdrift::platform
