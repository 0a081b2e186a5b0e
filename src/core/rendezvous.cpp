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
    const auto ranked_count = std::min(count, weighted.size());
    const auto ranked_end = weighted.begin() + static_cast<std::ptrdiff_t>(ranked_count);
    std::partial_sort(weighted.begin(), ranked_end, weighted.end(), std::greater<>{});
    std::vector<std::string> ranked;
    ranked.reserve(ranked_count);
    std::transform(weighted.begin(), ranked_end, std::back_inserter(ranked),
                   [](auto& entry) { return std::move(entry.second); });
    return ranked;
}

} // namespace kumquatdrift
