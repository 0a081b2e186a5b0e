#include <kumquatdrift/telemetry/metrics.hpp>

#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <limits>

namespace kumquatdrift {
namespace {

std::string format_number(double value)
{
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    constexpr std::size_t max_number_length = 32;
    std::array<char, max_number_length> text{};
    const auto end =
        std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::general).ptr;
    return {text.data(), end};
}

void append_escaped(std::string& text, std::string_view value, bool escape_quotes)
{
    for (const auto character : value) {
        if (character == '\n') {
            text += "\\n";
            continue;
        }
        if (character == '\\' || (escape_quotes && character == '"')) {
            text += '\\';
        }
        text += character;
    }
}

std::string format_labels(const metrics_registry::labels& series, std::string_view bound = {})
{
    std::string text;
    for (const auto& label : series) {
        text += text.empty() ? "{" : ",";
        text += label.name + "=\"";
        append_escaped(text, label.value, true);
        text += '"';
    }
    if (!bound.empty()) {
        text += text.empty() ? "{le=\"" : ",le=\"";
        text += std::string{bound} + '"';
    }
    return text.empty() ? text : text + '}';
}

void append_header(std::string& text, const std::string& name, std::string_view help, std::string_view type)
{
    text += "# HELP " + name + ' ';
    append_escaped(text, help, false);
    text += "\n# TYPE " + name + ' ' + std::string{type} + '\n';
}

void append_histogram(std::string& text, const std::string& name, const metrics_registry::labels& series,
                      const latency_histogram& histogram)
{
    // The count is that of the last bucket, so that both agree while other threads record durations.
    std::uint64_t count{};
    for (const auto& [bound, cumulative] : histogram.buckets()) {
        text += name + "_bucket" + format_labels(series, format_number(bound)) + ' ';
        text += std::to_string(cumulative) + '\n';
        count = cumulative;
    }
    text += name + "_sum" + format_labels(series) + ' ' + format_number(histogram.sum()) + '\n';
    text += name + "_count" + format_labels(series) + ' ' + std::to_string(count) + '\n';
}

} // namespace

latency_histogram::latency_histogram(const std::vector<double>& bounds)
    : cells{std::make_tuple(axis_type(bounds))}
{
    assert(bounds.size() >= 2 && bounds.front() > 0.0);
}

void latency_histogram::observe(double seconds)
{
    this->cells(seconds);
    this->total.fetch_add(seconds, std::memory_order_relaxed);
}

std::vector<std::pair<double, std::uint64_t>> latency_histogram::buckets() const
{
    const auto& axis = this->cells.axis(0);
    std::vector<std::pair<double, std::uint64_t>> cumulative;
    cumulative.reserve(static_cast<std::size_t>(axis.size()) + 2);
    std::uint64_t count{};
    // Index -1 is the underflow cell, index `size()` the overflow cell.
    for (int index = -1; index <= axis.size(); ++index) {
        count += this->cells.at(index).load(std::memory_order_relaxed);
        const auto is_last = index == axis.size();
        const auto bound = is_last ? std::numeric_limits<double>::infinity() : axis.value(index + 1);
        cumulative.emplace_back(bound, count);
    }
    return cumulative;
}

std::vector<double> latency_bounds()
{
    return {0.00005, 0.0001, 0.00015, 0.0002, 0.0003, 0.0005, 0.00075, 0.0011, 0.002, 0.005,
            0.01,    0.02,   0.05,    0.1,    0.2,    0.5,    1.0,     2.0,    5.0,   10.0};
}

metrics_registry::family& metrics_registry::family_of(std::string_view name, std::string_view help)
{
    auto position = this->families.find(name);
    if (position == this->families.end()) {
        position = this->families.emplace(std::string{name}, family{}).first;
        position->second.help = help;
    }
    return position->second;
}

counter& metrics_registry::counter_of(std::string_view name, std::string_view help, labels series)
{
    const std::lock_guard lock{this->mutex};
    auto& entry = this->family_of(name, help).counters[std::move(series)];
    if (!entry) {
        entry = std::make_unique<counter>();
    }
    return *entry;
}

gauge& metrics_registry::gauge_of(std::string_view name, std::string_view help, labels series)
{
    const std::lock_guard lock{this->mutex};
    auto& entry = this->family_of(name, help).gauges[std::move(series)];
    if (!entry) {
        entry = std::make_unique<gauge>();
    }
    return *entry;
}

latency_histogram& metrics_registry::histogram_of(std::string_view name, std::string_view help, labels series)
{
    const std::lock_guard lock{this->mutex};
    auto& entry = this->family_of(name, help).histograms[std::move(series)];
    if (!entry) {
        entry = std::make_unique<latency_histogram>(latency_bounds());
    }
    return *entry;
}

void metrics_registry::add_gauge_callback(std::string_view name, std::string_view help,
                                          std::function<double()> read)
{
    assert(read);
    const std::lock_guard lock{this->mutex};
    this->family_of(name, help).read = std::move(read);
}

std::string metrics_registry::exposition() const
{
    const std::lock_guard lock{this->mutex};
    std::string text;
    for (const auto& [name, entry] : this->families) {
        const std::string_view type = !entry.counters.empty()     ? "counter"
                                      : !entry.histograms.empty() ? "histogram"
                                                                  : "gauge";
        append_header(text, name, entry.help, type);
        for (const auto& [series, metric] : entry.counters) {
            text += name + format_labels(series) + ' ' + std::to_string(metric->value()) + '\n';
        }
        for (const auto& [series, metric] : entry.gauges) {
            text += name + format_labels(series) + ' ' + std::to_string(metric->value()) + '\n';
        }
        for (const auto& [series, metric] : entry.histograms) {
            append_histogram(text, name, series, *metric);
        }
        if (entry.read) {
            text += name + ' ' + format_number(entry.read()) + '\n';
        }
    }
    return text;
}

} // namespace kumquatdrift
