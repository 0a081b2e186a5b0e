#include <kumquatdrift/mesh/members.hpp>

#include <algorithm>
#include <tuple>

namespace kumquatdrift {

bool member_table::merge(const member_record& record, origin from, timestamp now)
{
    const auto [entry, added] = this->members.try_emplace(record.node);
    auto& known = entry->second;
    const auto recency = [](const member_record& value) {
        return std::tie(value.started_ms, value.revision);
    };
    if (!added && from == origin::store) {
        // The store holds only addresses. The target's state received over a link is newer.
        const auto address_changed = known.record.ip != record.ip || known.record.port != record.port;
        if (address_changed && !known.reachable) {
            known.record = record;
            return true;
        }
        return false;
    }
    if (!added && from == origin::third_party &&
        (known.reachable || recency(record) <= recency(known.record))) {
        return false;
    }
    const auto address_changed = added || known.record.ip != record.ip || known.record.port != record.port;
    const auto target_replaced =
        known.record.instance != record.instance || known.record.started_ms != record.started_ms;
    known.record = record;
    known.cold_until = now + record.cold_left;
    if (target_replaced) {
        known.consecutive_failures = 0;
        known.ejected_until = {};
        known.failure_rate = {};
        known.request_sent = false;
    }
    // A record does not state which requests its load includes, so the count of those in transit stays.
    known.load_received_at = now;
    return address_changed;
}

void member_table::update_load(std::string_view node, const target_load& load,
                               std::optional<std::uint64_t> requests_arrived, timestamp now)
{
    if (auto* known = this->find(node)) {
        known->record.load = load;
        known->load_received_at = now;
        known->requests_arrived =
            std::min(requests_arrived.value_or(known->requests_sent), known->requests_sent);
    }
}

member* member_table::find(std::string_view node)
{
    const auto found = this->members.find(node);
    return found == this->members.end() ? nullptr : &found->second;
}

} // namespace kumquatdrift
