#include <kumquatdrift/mesh/members.hpp>

#include <algorithm>
#include <tuple>

namespace kumquatdrift {
namespace {

/*! @brief Adds what the record and load of a node state about its target to what is remembered. */
void remember(target_memory& memory, const member_record& record)
{
    if (record.instance.empty()) {
        return;
    }
    if (!is_same_incarnation(memory.instance, memory.started_ms, record.instance, record.target_started_ms)) {
        memory = {record.instance, false, 0, 0.0, record.target_started_ms};
    }
    memory.started_ms = std::max(memory.started_ms, record.target_started_ms);
    memory.sequence = std::max(memory.sequence, record.target_sequence);
    const auto left =
        record.load.left || record.state == report_state::draining || record.state == report_state::gone;
    // A restarted process may not know that the target has left. The process that stated it may know of a
    // later incarnation with the same id.
    const auto is_later_incarnation = record.started_ms == memory.left_stated_by_ms &&
                                      record.process_nonce == memory.left_stated_by_nonce &&
                                      record.load.slots > 0 && record.state == report_state::ready;
    if (left || is_later_incarnation) {
        memory.left = left;
        memory.left_stated_by_ms = record.started_ms;
        memory.left_stated_by_nonce = record.process_nonce;
    }
    if (record.load.limit) {
        memory.limit = *record.load.limit;
    }
}

} // namespace

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
    const auto target_replaced = !is_same_incarnation(known.record.instance, known.record.target_started_ms,
                                                      record.instance, record.target_started_ms) ||
                                 known.record.started_ms != record.started_ms;
    known.record = record;
    known.cold_until = now + record.cold_left;
    if (target_replaced) {
        known.consecutive_failures = 0;
        known.ejected_until = {};
        known.failure_rate = {};
        known.request_sent = false;
    }
    if (from != origin::store) {
        remember(known.memory, record);
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
        remember(known->memory, known->record);
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
