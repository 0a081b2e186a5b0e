#include <kumquatdrift/routing/choose.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <string>
#include <unordered_set>

namespace kumquatdrift {
namespace {

// The first ejection is no longer than the default probe period of the membership module; after that, the
// verified state of the membership view applies. Each further ejection is twice as long, so that an
// unreachable node costs at most one attempt every 30 s.
constexpr microseconds first_ejection{1'000'000};
constexpr microseconds max_ejection{30'000'000};
constexpr std::uint32_t max_doublings = 5;

// A failure within this time after the end of an ejection still doubles the next ejection.
constexpr microseconds ejection_retention{60'000'000};

microseconds ejection_duration(std::uint32_t failures) noexcept
{
    const auto doublings = std::min(failures - 1, max_doublings);
    return std::min(first_ejection * (std::int64_t{1} << doublings), max_ejection);
}

} // namespace

std::optional<load_report> parse_load(std::string_view text) noexcept
{
    std::array<std::uint32_t, 3> numbers{};
    const char* position = text.data();
    const char* const end = text.data() + text.size();
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        if (index > 0 && (position == end || *position++ != '/')) {
            return std::nullopt;
        }
        const auto parsed = std::from_chars(position, end, numbers.at(index));
        if (parsed.ec != std::errc{}) {
            return std::nullopt;
        }
        position = parsed.ptr;
    }
    if (position != end || numbers[2] == 0) {
        return std::nullopt;
    }
    return load_report{.in_use = numbers[0], .queued = numbers[1], .slots = numbers[2]};
}

std::string format_load(const load_report& report)
{
    return std::to_string(report.in_use) + '/' + std::to_string(report.queued) + '/' +
           std::to_string(report.slots);
}

void load_table::update_endpoints(const routing_snapshot& snapshot, timestamp now)
{
    const auto is_first = this->loads.empty();
    std::unordered_set<std::string_view> present;
    for (const auto& service : snapshot.services) {
        for (const auto& candidate : service.endpoints) {
            const auto [position, is_new] = this->loads.try_emplace(candidate.key);
            if (is_new && (!is_first || candidate.state == target_state::cold)) {
                position->second.first_seen = now;
            }
            present.insert(candidate.key);
        }
    }
    std::erase_if(this->loads, [&present](const auto& entry) {
        return entry.second.own_in_flight == 0 && !present.contains(entry.first);
    });
    std::erase_if(this->ejections,
                  [now](const auto& entry) { return now - entry.second.until > ejection_retention; });
}

void load_table::on_sent(std::string_view key, timestamp now)
{
    ++this->find_or_add(key, now).own_in_flight;
}

void load_table::on_done(std::string_view key)
{
    const auto found = this->loads.find(key);
    assert(found != this->loads.end() && found->second.own_in_flight > 0);
    if (found != this->loads.end() && found->second.own_in_flight > 0) {
        --found->second.own_in_flight;
    }
}

void load_table::on_response(const endpoint& from, const std::optional<load_report>& report, timestamp now)
{
    if (!this->ejections.empty()) {
        this->ejections.erase(from.key);
        this->ejections.erase(from.node);
    }
    auto& load = this->find_or_add(from.key, now);
    if (report) {
        load.reported = *report;
        load.reported_at = now;
        load.own_at_report = load.own_in_flight;
    }
}

void load_table::on_target_failed(std::string_view key, timestamp now)
{
    this->eject(key, now);
}

void load_table::on_node_failed(std::string_view node, timestamp now)
{
    this->eject(node, now);
}

bool load_table::is_ejected(const endpoint& candidate, timestamp now) const
{
    const auto is_active = [this, now](std::string_view name) {
        const auto found = this->ejections.find(name);
        return found != this->ejections.end() && now < found->second.until;
    };
    return !this->ejections.empty() && (is_active(candidate.key) || is_active(candidate.node));
}

const endpoint_load* load_table::find(std::string_view key) const
{
    const auto found = this->loads.find(key);
    return found == this->loads.end() ? nullptr : &found->second;
}

std::size_t load_table::size() const noexcept
{
    return this->loads.size();
}

void load_table::eject(std::string_view name, timestamp now)
{
    auto& entry = this->ejections[std::string{name}];
    // Requests in flight that fail during an ejection count as the failure that caused it.
    if (entry.failures > 0 && now < entry.until) {
        return;
    }
    ++entry.failures;
    entry.until = now + ejection_duration(entry.failures);
}

endpoint_load& load_table::find_or_add(std::string_view key, timestamp now)
{
    const auto found = this->loads.find(key);
    if (found != this->loads.end()) {
        return found->second;
    }
    auto& added = this->loads[std::string{key}];
    added.first_seen = now;
    return added;
}

} // namespace kumquatdrift
