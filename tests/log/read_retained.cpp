#include <kumquatdrift/log/read_retained.hpp>

#include <gtest/gtest.h>

#include <support/memory_log.hpp>

namespace kumquatdrift {
namespace {

class read_retained_test : public testing::Test {
protected:
    void append(int amount)
    {
        for (int number = 0; number < amount; ++number) {
            this->log.append("config", "text");
        }
    }

    memory_log log{};
};

// Guards against a read that returns only the first page.
TEST_F(read_retained_test, all_pages_are_read_in_order)
{
    this->append(7);
    this->log.expire("config", 2);
    const auto batch = read_retained(this->log.port(), "config", 2);
    ASSERT_TRUE(batch) << batch.last_reason();
    EXPECT_EQ(batch->bounds.earliest, 2U);
    EXPECT_EQ(batch->bounds.end, 7U);
    ASSERT_EQ(batch->records.size(), 5U);
    EXPECT_EQ(batch->records.back().offset, 6U);
}

// Guards against a gap in the records when some expire between two pages.
TEST_F(read_retained_test, expiry_between_two_pages_restarts_the_read)
{
    this->append(6);
    auto port = this->log.port();
    int reads = 0;
    port.read = [&](std::string_view stream, log_offset from, std::size_t limit, milliseconds) {
        if (++reads == 2) {
            this->log.expire("config", 4);
        }
        return this->log.read(stream, from, limit);
    };
    const auto batch = read_retained(port, "config", 2);
    ASSERT_TRUE(batch) << batch.last_reason();
    EXPECT_EQ(batch->bounds.earliest, 4U);
    EXPECT_EQ(batch->records.size(), 2U);
}

// Guards against an endless loop when records expire before every read of a page.
TEST_F(read_retained_test, endless_expiry_is_an_error)
{
    this->append(40);
    auto port = this->log.port();
    log_offset expired = 0;
    port.read = [&](std::string_view stream, log_offset from, std::size_t limit, milliseconds) {
        expired += 3;
        this->log.expire("config", expired);
        return this->log.read(stream, from, limit);
    };
    EXPECT_FALSE(read_retained(port, "config", 2));
}

// Guards against an outage of the log that is reported as an empty stream.
TEST_F(read_retained_test, outage_is_an_error_and_an_empty_stream_is_not)
{
    EXPECT_EQ(read_retained(this->log.port(), "config")->bounds.end, 0U);
    this->log.outage = true;
    EXPECT_FALSE(read_retained(this->log.port(), "config"));
}

} // namespace
} // namespace kumquatdrift
