#include <kumquatdrift/membership/announcements.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquatdrift {
namespace {

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_address_bytes = 64;
constexpr std::uint32_t max_slots = 100'000;

// Accepts the same characters as the check of records from other nodes.
bool is_printable_text(std::string_view text, std::size_t limit) noexcept
{
    return !text.empty() && text.size() <= limit && std::all_of(text.begin(), text.end(), [](char character) {
        return character > ' ' && character <= '~';
    });
}

std::optional<failure> check_announcement(const target_record& target, milliseconds ttl)
{
    if (!is_printable_text(target.id, max_name_bytes) || !is_printable_text(target.service, max_name_bytes)) {
        return failure{"id and service must have 1 to 64 printable characters"};
    }
    if (!is_printable_text(target.address, max_address_bytes)) {
        return failure{"address must have 1 to 64 printable characters"};
    }
    if (target.slots < 1 || target.slots > max_slots) {
        return failure{"slots must be between 1 and 100000"};
    }
    if (ttl < min_announcement_ttl || ttl > max_announcement_ttl) {
        return failure{"ttl_ms must be between 500 and 60000"};
    }
    return std::nullopt;
}

} // namespace

result<bool> announce(announcement_table& table, target_record target, milliseconds ttl, timestamp now)
{
    if (auto problem = check_announcement(target, ttl)) {
        return *problem;
    }
    const auto found = table.targets.find(target.id);
    if (found == table.targets.end() && table.targets.size() >= max_targets) {
        return failure{"this host has 16 targets already; withdraw one first"};
    }
    if (found != table.targets.end() && found->second.record == target) {
        found->second.expires_at = now + ttl;
        return false;
    }
    const auto id = target.id;
    table.targets.insert_or_assign(id, announced_target{std::move(target), now + ttl});
    return true;
}

std::vector<std::string> remove_expired_announcements(announcement_table& table, timestamp now)
{
    std::vector<std::string> removed;
    for (auto position = table.targets.begin(); position != table.targets.end();) {
        if (position->second.expires_at > now) {
            ++position;
            continue;
        }
        removed.push_back(position->first);
        position = table.targets.erase(position);
    }
    return removed;
}

bool withdraw(announcement_table& table, std::string_view id)
{
    return table.targets.erase(std::string{id}) > 0;
}

std::vector<target_record> targets_of(const announcement_table& table)
{
    std::vector<target_record> targets;
    targets.reserve(table.targets.size());
    for (const auto& [id, announced] : table.targets) {
        targets.push_back(announced.record);
    }
    return targets;
}

} // namespace kumquatdrift
