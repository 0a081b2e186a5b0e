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

/*! @brief How often lines of a class may be written. */
enum class event_class : std::uint8_t {
    /*! @brief Changes of what the process believes; always written while the buffer has room. */
    state,
    /*! @brief Requests that were refused or failed. */
    failed_request,
    /*! @brief Steps of requests that succeed. */
    request,
};

/*! @brief Writes one field value, quoted if it has a space, a quote or a control character. */
[[nodiscard]] std::string log_value(std::string_view text);

/**
 * @brief Structured lines on standard output: `time= level= part= event=` and further fields.
 *
 * Lines wait in a buffer until `flush`, which writes what the reader of the output takes at once. What does
 * not fit the buffer or the rate of its class is dropped and counted in a line of its own. Not synchronised.
 */
class event_log {
public:
    /*! @brief Bytes that wait for the reader of the output. */
    static constexpr std::size_t buffer_limit = 1'048'576;
    /*! @brief Lines a second for refused and failed requests; a reader of the log keeps up with it. */
    static constexpr double failed_request_rate = 200.0;
    /*! @brief Lines a second for steps of requests that succeed; a sample at high load. */
    static constexpr double request_rate = 20.0;
    /*! @brief Seconds of the rate that may be written in one burst. */
    static constexpr double burst_s = 3.0;

    /**
     * @brief Constructs a log.
     * @param descriptor Open file descriptor; it is set to non-blocking.
     * @param level Lowest level that is written.
     */
    event_log(int descriptor, log_level level);

    /**
     * @brief Sets the lowest level.
     * @param level Lowest level that is written.
     */
    void set_level(log_level level) noexcept
    {
        this->lowest = level;
    }

    /**
     * @brief Writes a line.
     * @param level Severity.
     * @param kind Class, which bounds the rate.
     * @param part Part of the system.
     * @param event What happened, in snake case.
     * @param format Further fields, `name={}` separated by spaces.
     * @param values Values of the fields.
     */
    template<typename... Values>
    void write(log_level level, event_class kind, std::string_view part, std::string_view event,
               fmt::format_string<Values...> format, Values&&... values)
    {
        if (this->admit(level, kind)) {
            this->append(level, part, event, fmt::format(format, std::forward<Values>(values)...));
        }
    }

    /*! @brief Writes what waits, as far as the descriptor takes it. */
    void flush();

    /*! @brief Returns the number of lines that were dropped. */
    [[nodiscard]] std::uint64_t dropped() const noexcept
    {
        return this->dropped_lines;
    }

private:
    [[nodiscard]] bool admit(log_level level, event_class kind);
    void append(log_level level, std::string_view part, std::string_view event, const std::string& fields);
    void report_dropped();

    int output;
    log_level lowest;
    std::string waiting{};
    token_bucket failed_requests{failed_request_rate, failed_request_rate* burst_s};
    token_bucket requests{request_rate, request_rate* burst_s};
    std::uint64_t dropped_lines{};
    std::uint64_t reported_lines{};
    timestamp reported_at{};
};

} // namespace kumquatdrift

#endif
