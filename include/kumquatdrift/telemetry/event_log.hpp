#ifndef KUMQUATDRIFT_TELEMETRY_EVENT_LOG_HPP
#define KUMQUATDRIFT_TELEMETRY_EVENT_LOG_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/core/token_bucket.hpp>
#include <kumquatdrift/telemetry/fwd.hpp>
#include <kumquatdrift/telemetry/log_level.hpp>

namespace kumquatdrift {

/*! @brief Class of log lines that share a rate limit. */
enum class event_class : std::uint8_t {
    /*! @brief Changes of state, without a rate limit; written unless the buffer is full. */
    state,
    /*! @brief Requests that were rejected or failed. */
    failed_request,
    /*! @brief Steps of requests that succeed. */
    request,
};

/*! @brief Formats a field value, quoted if empty or with a space, quote, backslash or control character. */
[[nodiscard]] std::string log_value(std::string_view text);

/**
 * @brief Writer of structured log lines: `time= level= part= event=` and further fields.
 *
 * Lines are buffered until `flush`, which writes without blocking. A line that exceeds the buffer limit or
 * the rate limit of its class is dropped, and a `lines_dropped` line reports the number of dropped lines.
 * Not thread-safe.
 */
class event_log {
public:
    /*! @brief Buffer size in bytes from which on lines are dropped. */
    static constexpr std::size_t buffer_limit = 1'048'576;
    /*! @brief Lines per second for rejected and failed requests, so that a reader of the log keeps up. */
    static constexpr double failed_request_rate = 200.0;
    /*! @brief Lines per second for steps of requests that succeed, which are sampled at high load. */
    static constexpr double request_rate = 20.0;
    /*! @brief Largest burst, in seconds of the rate. */
    static constexpr double burst_s = 3.0;

    /**
     * @brief Constructs a log that writes to a file descriptor.
     * @param descriptor Open file descriptor; the constructor sets it to non-blocking.
     * @param level Lowest level that is written.
     */
    event_log(int descriptor, log_level level);

    /**
     * @brief Sets the lowest level that is written.
     * @param level The level.
     */
    void set_level(log_level level) noexcept
    {
        this->min_level = level;
    }

    /**
     * @brief Writes a line.
     * @param level Severity.
     * @param rate_class Class whose rate limit applies.
     * @param part Component that writes the line.
     * @param event Name of the event in snake case.
     * @param format Further fields, `name={}` separated by spaces.
     * @param values Values of the fields.
     */
    template<typename... Values>
    void write(log_level level, event_class rate_class, std::string_view part, std::string_view event,
               fmt::format_string<Values...> format, Values&&... values)
    {
        if (this->admit_line(level, rate_class)) {
            this->append(level, part, event, fmt::format(format, std::forward<Values>(values)...));
        }
    }

    /*! @brief Writes buffered lines until the buffer is empty or the descriptor accepts no more. */
    void flush();

    /*! @brief Returns the number of lines dropped since construction. */
    [[nodiscard]] std::uint64_t dropped() const noexcept
    {
        return this->dropped_lines;
    }

private:
    [[nodiscard]] bool admit_line(log_level level, event_class rate_class);
    void append(log_level level, std::string_view part, std::string_view event, const std::string& fields);
    void report_dropped();

    int output;
    log_level min_level;
    std::string buffer{};
    token_bucket failed_request_bucket{failed_request_rate, failed_request_rate* burst_s};
    token_bucket request_bucket{request_rate, request_rate* burst_s};
    std::uint64_t dropped_lines{};
    std::uint64_t reported_dropped_lines{};
    timestamp reported_at{};
};

} // namespace kumquatdrift

#endif
