#include <kumquatdrift/mesh/members.hpp>

#include <tuple>

namespace kumquatdrift {

bool member_table::learn(const member_record& record, origin from, timestamp now)
{
    const auto [entry, added] = this->members.try_emplace(record.node);
    auto& known = entry->second;
    const auto age = [](const member_record& of) { return std::tie(of.started_ms, of.revision); };
    if (!added && from == origin::store) {
        // The store holds addresses only; what a link told of the target is newer.
        const auto moved = known.record.ip != record.ip || known.record.port != record.port;
        if (moved && !known.reachable) {
            known.record = record;
            return true;
        }
        return false;
    }
    if (!added && from == origin::hearsay && (known.reachable || age(record) <= age(known.record))) {
        return false;
    }
    const auto moved = added || known.record.ip != record.ip || known.record.port != record.port;
    const auto other_target =
        known.record.instance != record.instance || known.record.started_ms != record.started_ms;
    known.record = record;
    known.cold_until = now + record.cold_left;
    if (other_target) {
        known.failures = 0;
        known.ejected_until = {};
        known.failed = {};
        known.used = false;
    }
    this->on_load(record.node, record.load, now);
    return moved;
}

void member_table::on_load(std::string_view node, const target_load& load, timestamp now)
{
    if (auto* known = this->find(node)) {
        known->record.load = load;
        known->load_at = now;
        known->sent_since_load = 0;
    }
}

member* member_table::find(std::string_view node)
{
    const auto found = this->members.find(node);
    return found == this->members.end() ? nullptr : &found->second;
}

} // namespace kumquatdrift
