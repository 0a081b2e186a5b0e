#include <kumquatdrift/mesh/rollouts.hpp>

#include <algorithm>
#include <set>
#include <vector>

#include <kumquatdrift/core/digest.hpp>
#include <kumquatdrift/core/rendezvous.hpp>
#include <kumquatdrift/mesh/config_fetch.hpp>
#include <kumquatdrift/traffic/exposure.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Part of the duration that is left for moving to the new version, writing the status, and another
 * node that takes over. */
constexpr int moving_divisor = 4;
/*! @brief Minimum of that time, for short durations. */
constexpr microseconds min_moving_time{6'000'000};
/*! @brief The trial lasts at least the duration divided by this, however short that is. */
constexpr int min_trial_divisor = 3;
/*! @brief Time before the end of the duration at which a roll-out that is not complete is stopped. */
constexpr microseconds stop_before_end{1'500'000};
/*! @brief Time until all nodes know of the move and requests on the way have arrived. */
constexpr microseconds min_moving{600'000};
/*! @brief Time after which requests that targets of other versions still run are no longer waited for. */
constexpr microseconds max_moving{3'000'000};
/*! @brief Time before the end of the duration at which they are not waited for either. */
constexpr microseconds write_before_end{300'000};
/*! @brief The new version must have this share of the slots of the others. */
constexpr double required_slots = 0.7;
/*! @brief Difference of the times of two orders, as two nodes know them, below which they are compared by id.
 */
constexpr microseconds order_time_tolerance{200'000};

bool is_later_order(const rollout& stated, const rollout& known) noexcept
{
    const auto difference = stated.ordered_at - known.ordered_at;
    if (difference > order_time_tolerance || difference < -order_time_tolerance) {
        return difference.count() > 0;
    }
    return stated.order.id > known.order.id;
}

/*! @brief Returns true if `phase` replaces `known`. What the store has acknowledged stays. */
bool is_later_phase(rollout_phase phase, rollout_phase known) noexcept
{
    return !is_final(known) && phase > known;
}

} // namespace

bool merge(rollout_table& table, const rollout& stated, bool from_store, timestamp now)
{
    const auto [entry, added] = table.try_emplace(stated.order.service, stated);
    auto& known = entry->second;
    if (added) {
        known.phase_since = now;
        return true;
    }
    if (known.order.id != stated.order.id) {
        if (!from_store && !is_later_order(stated, known)) {
            return false;
        }
        known = stated;
        known.phase_since = now;
        return true;
    }
    // The node that has known the order longest knows its time best.
    known.ordered_at = std::min(known.ordered_at, stated.ordered_at);
    if (!is_later_phase(stated.phase, known.phase)) {
        return false;
    }
    known.phase = stated.phase;
    known.phase_since = now;
    return true;
}

rollout_step next_step(const rollout& state, const rollout_view& view, timestamp now)
{
    const auto end = state.ordered_at + state.order.duration;
    const auto moving_time = std::max(state.order.duration / moving_divisor, min_moving_time);
    const auto move_at =
        std::max(end - moving_time, state.ordered_at + state.order.duration / min_trial_divisor);
    const auto moving_for = now - state.phase_since;
    switch (state.phase) {
    case rollout_phase::announced:
        return rollout_step::write_running;
    case rollout_phase::trial:
        if (view.verdict == version_verdict::bad || now >= end - stop_before_end) {
            return rollout_step::stop;
        }
        return now >= move_at && view.verdict == version_verdict::good && view.target_has_room
                   ? rollout_step::move
                   : rollout_step::wait;
    case rollout_phase::moving:
        if (view.verdict == version_verdict::bad || (!view.target_has_room && now >= end)) {
            return rollout_step::stop;
        }
        return view.target_has_room && ((moving_for >= min_moving && view.others_idle) ||
                                        moving_for >= max_moving || now >= end - write_before_end)
                   ? rollout_step::write_completed
                   : rollout_step::wait;
    case rollout_phase::stopped:
        return rollout_step::write_reverted;
    case rollout_phase::completed:
    case rollout_phase::reverted:
        break;
    }
    return rollout_step::wait;
}

rollout_phase phase_of(rollout_status status) noexcept
{
    switch (status) {
    case rollout_status::running:
        break;
    case rollout_status::completed:
        return rollout_phase::completed;
    case rollout_status::reverted:
        return rollout_phase::reverted;
    }
    return rollout_phase::trial;
}

std::string deciding_node(std::string_view service, const member_record& self, const member_table& members)
{
    std::set<std::string_view> data_centres{self.data_centre};
    for (const auto& [node, member] : members.all()) {
        data_centres.insert(member.record.data_centre);
    }
    std::vector<std::string> candidates{};
    for (const auto data_centre : data_centres) {
        auto followers = store_followers(self, members, data_centre);
        candidates.insert(candidates.end(), followers.begin(), followers.end());
    }
    if (candidates.empty()) {
        // All have lost the store. Nothing can be written, but a bad version can be stopped.
        candidates.push_back(self.node);
        for (const auto& [node, member] : members.all()) {
            if (member.reachable && !member.record.leaving) {
                candidates.push_back(node);
            }
        }
    }
    return rendezvous_rank(service, std::move(candidates), 1).front();
}

rollout_targets find_targets(const rollout_order& order, double exposure_share, const member_record& self,
                             const member_table& members, timestamp now)
{
    rollout_targets found{};
    found.nodes = members.all().size() + 1;
    std::array<std::vector<std::string>, target_groups> targets{};
    const auto key = to_hex(order.id);
    const auto add = [&](const std::string& name, const member_record& record, timestamp load_at) {
        const auto role = record.version.empty()            ? target_role::unknown
                          : record.version == order.version ? target_role::target
                                                            : target_role::previous;
        const auto group = static_cast<std::size_t>(digest(record.node, order.id) % target_groups);
        found.roles[name] = {role, group};
        if (role == target_role::target) {
            found.target_slots += record.load.slots;
            targets.at(group).push_back(record.node);
        }
        else {
            found.previous_slots += record.load.slots;
            found.previous_running += record.load.running + record.load.queued;
            found.previous_load_at = std::min(found.previous_load_at, load_at);
        }
    };
    if (self.service == order.service && self.state == report_state::ready) {
        add("", self, now);
    }
    for (const auto& [node, member] : members.all()) {
        found.has_other_version = found.has_other_version ||
                                  (member.record.service == order.service && member.accepts_requests() &&
                                   !member.record.version.empty() && member.record.version != order.version);
        if (member.reachable && member.record.service == order.service && member.accepts_requests()) {
            add(node, member.record, member.load_received_at);
        }
    }
    const auto total = targets[0].size() + targets[1].size();
    const auto wanted = trial_target_count({exposure_share, 0.0}, total);
    for (auto& group : targets) {
        // Each group takes part, so that a fault of one target shows in one of them only.
        const auto count = std::max<std::size_t>((wanted + 1) / target_groups, 1);
        for (const auto& node : rendezvous_rank(key, std::move(group), count)) {
            found.roles.find(node == self.node ? "" : node)->second.first = target_role::trial_target;
        }
    }
    return found;
}

bool has_room(const rollout_targets& targets) noexcept
{
    return targets.target_slots > 0 &&
           static_cast<double>(targets.target_slots) >= required_slots * targets.previous_slots;
}

} // namespace kumquatdrift
