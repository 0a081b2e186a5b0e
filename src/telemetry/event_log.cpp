#include <kumquatdrift/telemetry/event_log.hpp>

#include <algorithm>
#include <cerrno>
#include <ctime>

#include <fcntl.h>
#include <unistd.h>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Time between two lines that count the dropped lines. */
constexpr microseconds report_interval{1'000'000};

} // namespace

std::string log_value(std::string_view text)
{
    const auto plain = [](unsigned char letter) { return letter > ' ' && letter != '"' && letter != '\\'; };
    if (!text.empty() && std::all_of(text.begin(), text.end(), plain)) {
        return std::string{text};
    }
    std::string quoted{"\""};
    for (const char letter : text) {
        if (static_cast<unsigned char>(letter) < ' ') {
            quoted += fmt::format("\\x{:02x}", static_cast<unsigned char>(letter));
            continue;
        }
        if (letter == '"' || letter == '\\') {
            quoted += '\\';
        }
        quoted += letter;
    }
    return quoted + '"';
}

event_log::event_log(int descriptor, log_level level) : output{descriptor}, lowest{level}
{
    const auto flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

bool event_log::admit(log_level level, event_class kind)
{
    if (level < this->lowest) {
        return false;
    }
    const auto now = boot_now();
    const auto allowed =
        this->waiting.size() < buffer_limit &&
        (kind == event_class::state ||
         (kind == event_class::failed_request ? this->failed_requests : this->requests).try_take(1.0, now));
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
    fmt::format_to(std::back_inserter(this->waiting), "time={}.{:06} level={} part={} event={} {}\n",
                   now.tv_sec, now.tv_nsec / 1'000, to_name(level), part, event, fields);
}

void event_log::report_dropped()
{
    const auto now = boot_now();
    if (this->dropped_lines != this->reported_lines && now - this->reported_at >= report_interval) {
        this->append(log_level::warn, "log", "lines_dropped",
                     fmt::format("count={}", this->dropped_lines - this->reported_lines));
        this->reported_lines = this->dropped_lines;
        this->reported_at = now;
    }
}

void event_log::flush()
{
    this->report_dropped();
    while (!this->waiting.empty()) {
        const auto count = ::write(this->output, this->waiting.data(), this->waiting.size());
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return;
        }
        this->waiting.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace kumquatdrift
