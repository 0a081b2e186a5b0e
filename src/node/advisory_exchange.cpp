#include "node/advisory_exchange.hpp"

#include <utility>

#include <kumquatdrift/core/digest.hpp>

#include "node/advisory_codec.hpp"

namespace kumquatdrift::internal {

namespace {

constexpr milliseconds poll_interval{200};

// Equal to the default of `quarantine_settings::suspect_lifetime`, after which a suspect without new evidence
// expires.
constexpr milliseconds advisory_lifetime{300'000};

} // namespace

advisory_exchange::advisory_exchange(membership_service& node_membership, proxy_service& node_proxy,
                                     const std::string& node)
    : membership{node_membership}, proxy{node_proxy},
      own_key_suffix{'/' + to_hex(digest(node))}, poll_task{poll_interval, [this] { this->poll(); }}
{
}

void advisory_exchange::publish(membership_service& membership, const std::string& node,
                                const crash_advisory& advisory)
{
    auto entry = encode_crash_advisory(advisory, node);
    membership.add_advisory(std::move(entry.key), std::move(entry.value), advisory_lifetime);
}

void advisory_exchange::poll()
{
    for (const auto& entry : this->membership.advisories()) {
        if (entry.key.ends_with(this->own_key_suffix)) {
            continue;
        }
        const auto advisory = decode_crash_advisory(entry.key, entry.value);
        if (advisory) {
            this->proxy.offer_advisory(*advisory);
        }
    }
}

} // namespace kumquatdrift::internal
