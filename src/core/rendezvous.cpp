#include <kumquatdrift/core/rendezvous.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

#include <kumquatdrift/core/digest.hpp>

namespace kumquatdrift {

std::vector<std::string> rendezvous_rank(std::string_view key, std::vector<std::string> members,
                                         std::size_t count)
{
    const auto seed = digest(key);
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(members.size());
    for (auto& member : members) {
        const auto weight = digest(member, seed);
        weighted.emplace_back(weight, std::move(member));
    }
    const auto taken = std::min(count, weighted.size());
    const auto middle = weighted.begin() + static_cast<std::ptrdiff_t>(taken);
    std::partial_sort(weighted.begin(), middle, weighted.end(), std::greater<>{});
    std::vector<std::string> ranked;
    ranked.reserve(taken);
    std::transform(weighted.begin(), middle, std::back_inserter(ranked),
                   [](auto& entry) { return std::move(entry.second); });
    return ranked;
}

} // namespace kumquatdrift
