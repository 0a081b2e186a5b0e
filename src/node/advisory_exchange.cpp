#include "node/advisory_exchange.hpp"

#include <utility>

#include <kumquatdrift/core/digest.hpp>

#include "node/advisory_codec.hpp"

namespace kumquatdrift::internal {

namespace {

constexpr milliseconds receive_interval{200};

// As long as a suspect without news is remembered by the quarantine.
constexpr milliseconds advisory_lifetime{300'000};

} // namespace

advisory_exchange::advisory_exchange(membership_service& members, proxy_service& traffic,
                                     const std::string& node)
    : membership{members}, proxy{traffic},
      own_key_suffix{'/' + to_hex(digest(node))}, receiver{receive_interval, [this] { this->receive(); }}
{
}

void advisory_exchange::share(membership_service& membership, const std::string& node,
                              const crash_advisory& advisory)
{
    auto entry = encode_crash_advisory(advisory, node);
    membership.add_advisory(std::move(entry.key), std::move(entry.value), advisory_lifetime);
}

void advisory_exchange::receive()
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
