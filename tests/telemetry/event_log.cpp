#include <kumquatdrift/telemetry/event_log.hpp>

#include <array>

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace kumquatdrift {
namespace {

class event_log_on_pipe : public testing::Test {
protected:
    event_log_on_pipe()
    {
        EXPECT_EQ(::pipe2(this->pipe_ends.data(), O_NONBLOCK), 0);
    }

    void TearDown() override
    {
        ::close(this->pipe_ends[0]);
        ::close(this->pipe_ends[1]);
    }

    [[nodiscard]] std::string read_all() const
    {
        std::string text(4'194'304, '\0');
        const auto count = ::read(this->pipe_ends[0], text.data(), text.size());
        text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return text;
    }

    std::array<int, 2> pipe_ends{};
};

TEST_F(event_log_on_pipe, line_has_fields_in_order)
{
    event_log log{this->pipe_ends[1], log_level::info};
    log.write(log_level::warn, event_class::state, "part", "event", "id={} cause={}", 7,
              log_value("a \"b\"\n"));
    log.flush();
    const auto text = this->read_all();
    EXPECT_NE(text.find(" level=warn part=part event=event id=7 cause=\"a \\\"b\\\"\\x0a\"\n"),
              std::string::npos)
        << text;
}

TEST_F(event_log_on_pipe, level_below_lowest_is_not_written)
{
    event_log log{this->pipe_ends[1], log_level::warn};
    log.write(log_level::info, event_class::state, "part", "event", "");
    log.flush();
    EXPECT_EQ(this->read_all(), "");
    EXPECT_EQ(log.dropped(), 0U);
}

TEST_F(event_log_on_pipe, request_lines_beyond_rate_are_dropped_and_counted)
{
    event_log log{this->pipe_ends[1], log_level::info};
    for (int line = 0; line < 1'000; ++line) {
        log.write(log_level::info, event_class::request, "part", "event", "");
    }
    log.flush();
    EXPECT_GE(log.dropped(), 900U);
    EXPECT_NE(this->read_all().find("event=lines_dropped count=" + std::to_string(log.dropped())),
              std::string::npos);
}

TEST_F(event_log_on_pipe, stalled_reader_neither_blocks_nor_grows_memory)
{
    event_log log{this->pipe_ends[1], log_level::info};
    const std::string filler(1'000, 'x');
    for (int line = 0; line < 5'000; ++line) {
        log.write(log_level::info, event_class::state, "part", "event", "{}", filler);
        log.flush();
    }
    EXPECT_GT(log.dropped(), 3'000U);
}

} // namespace
} // namespace kumquatdrift
