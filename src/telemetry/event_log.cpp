#include <kumquatdrift/telemetry/event_log.hpp>

#include <algorithm>
#include <cerrno>
#include <ctime>

#include <fcntl.h>
#include <unistd.h>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Shortest time between two `lines_dropped` lines. */
constexpr microseconds report_interval{1'000'000};

} // namespace

std::string log_value(std::string_view text)
{
    const auto needs_no_quotes = [](unsigned char character) {
        return character > ' ' && character != '"' && character != '\\';
    };
    if (!text.empty() && std::all_of(text.begin(), text.end(), needs_no_quotes)) {
        return std::string{text};
    }
    std::string quoted{"\""};
    for (const char character : text) {
        if (static_cast<unsigned char>(character) < ' ') {
            quoted += fmt::format("\\x{:02x}", static_cast<unsigned char>(character));
            continue;
        }
        if (character == '"' || character == '\\') {
            quoted += '\\';
        }
        quoted += character;
    }
    return quoted + '"';
}

event_log::event_log(int descriptor, log_level level) : output{descriptor}, min_level{level}
{
    const auto flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

bool event_log::admit_line(log_level level, event_class rate_class)
{
    if (level < this->min_level) {
        return false;
    }
    const auto now = boot_now();
    const auto allowed =
        this->buffer.size() < buffer_limit &&
        (rate_class == event_class::state ||
         (rate_class == event_class::failed_request ? this->failed_request_bucket : this->request_bucket)
             .try_take(1.0, now));
    if (!allowed) {
        ++this->dropped_lines;
    }
    return allowed;
}

void event_log::append(log_level level, std::string_view part, std::string_view event,
                       const std::string& fields)
{
    std::timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    fmt::format_to(std::back_inserter(this->buffer), "time={}.{:06} level={} part={} event={} {}\n",
                   now.tv_sec, now.tv_nsec / 1'000, to_name(level), part, event, fields);
}

void event_log::report_dropped()
{
    const auto now = boot_now();
    if (this->dropped_lines != this->reported_dropped_lines && now - this->reported_at >= report_interval) {
        this->append(log_level::warn, "log", "lines_dropped",
                     fmt::format("count={}", this->dropped_lines - this->reported_dropped_lines));
        this->reported_dropped_lines = this->dropped_lines;
        this->reported_at = now;
    }
}

void event_log::flush()
{
    this->report_dropped();
    while (!this->buffer.empty()) {
        const auto count = ::write(this->output, this->buffer.data(), this->buffer.size());
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return;
        }
        this->buffer.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace kumquatdrift
