#include <kumquatdrift/traffic/retry_share.hpp>

#include <algorithm>
#include <chrono>

namespace kumquatdrift {

token_bucket& retry_share::bucket_of(std::string_view service, std::size_t nodes)
{
    const auto found = this->buckets.find(service);
    if (found != this->buckets.end()) {
        return found->second;
    }
    // In any window a node takes at most the capacity of its bucket and the refill: half of its share each,
    // but the capacity is at least one token.
    const auto share =
        this->total_bound.extra * used_fraction / static_cast<double>(std::max<std::size_t>(nodes, 1));
    const auto window = std::chrono::duration<double>{this->total_bound.window}.count();
    return this->buckets
        .emplace(std::string{service}, token_bucket{share / 2 / window, std::max(share / 2, 1.0)})
        .first->second;
}

void retry_share::on_request(std::string_view service, std::size_t nodes)
{
    this->bucket_of(service, nodes).add(this->total_bound.ratio * used_fraction);
}

bool retry_share::try_take(std::string_view service, std::size_t nodes, timestamp now)
{
    return this->bucket_of(service, nodes).try_take(1.0, now);
}

} // namespace kumquatdrift
