#include <kumquatdrift/membership/relays.hpp>

#include <algorithm>
#include <utility>

#include <kumquatdrift/core/rendezvous.hpp>

namespace kumquatdrift {
namespace {

constexpr std::size_t members_per_relay = 100;
constexpr std::size_t min_relays = 2;

} // namespace

std::size_t relay_count(std::size_t members) noexcept
{
    return std::max(min_relays, (members + members_per_relay - 1) / members_per_relay);
}

bool can_relay(member_state state, member_status status) noexcept
{
    const bool running = state == member_state::joining || state == member_state::alive;
    return running && status != member_status::dead;
}

std::vector<std::string> rank_relays(std::string_view data_centre, std::vector<std::string> members)
{
    const auto count = relay_count(members.size());
    return rendezvous_rank(data_centre, std::move(members), count);
}

std::vector<std::string> relays_of(const member_view& view, std::string_view data_centre)
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : view.members) {
        if (entry.record.data_centre == data_centre && can_relay(entry.record.state, entry.status)) {
            names.push_back(name);
        }
    }
    return rank_relays(data_centre, std::move(names));
}

} // namespace kumquatdrift
