#include "rollout_exchange.hpp"

#include <algorithm>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Time for which other versions get no requests after a roll-out is completed: their targets stop,
 * and it takes some time until all nodes know. */
constexpr microseconds completed_restriction{10'000'000};

bool has_free_slot(const placement_candidate& candidate) noexcept
{
    return !candidate.ejected &&
           candidate.load.running + candidate.load.queued + candidate.sent_since_load < candidate.load.slots;
}

/*! @brief Keeps the candidates for which `keep` is true. */
template<typename Predicate>
void keep_if(std::vector<placement_candidate>& candidates, Predicate keep)
{
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                    [&keep](const auto& candidate) { return !keep(candidate); }),
                     candidates.end());
}

} // namespace

void rollout_exchange::on_request(std::string_view service)
{
    if (const auto part = this->parts.find(service); part != this->parts.end()) {
        part->second.exposure.on_request();
    }
}

void rollout_exchange::hold_new_versions(std::string_view service,
                                         std::vector<placement_candidate>& candidates)
{
    const auto seen = this->versions.find(service);
    const auto now = boot_now();
    if (seen == this->versions.end() || seen->second.all_usable_from <= now) {
        return;
    }
    const auto ordered = this->rollouts.find(service);
    const auto& members = this->shared.peer_nodes.members();
    keep_if(candidates, [&](const auto& candidate) {
        const auto member = members.all().find(candidate.node);
        if (member == members.all().end()) {
            return true;
        }
        const auto& version = member->second.record.version;
        const auto usable_from = seen->second.usable_from.find(version);
        return usable_from == seen->second.usable_from.end() || usable_from->second <= now ||
               (ordered != this->rollouts.end() && ordered->second.order.version == version);
    });
}

bool rollout_exchange::restrict_targets(std::string_view service, bool may_try_new,
                                        std::vector<placement_candidate>& candidates)
{
    if (!this->enabled()) {
        return false;
    }
    this->hold_new_versions(service, candidates);
    const auto known = this->rollouts.find(service);
    if (known == this->rollouts.end()) {
        return false;
    }
    const auto& part = this->parts[known->first];
    const auto& [order, ordered_at, phase, phase_since] = known->second;
    const auto role_of = [&part](const placement_candidate& candidate) {
        const auto found = part.targets.roles.find(candidate.node);
        return found != part.targets.roles.end() ? found->second.first : target_role::unknown;
    };
    const auto is_target = [&role_of](const placement_candidate& candidate) {
        return role_of(candidate) == target_role::target || role_of(candidate) == target_role::trial_target;
    };
    const auto keep_any = [&candidates](auto wanted) {
        const auto any = std::any_of(candidates.begin(), candidates.end(), wanted);
        if (any) {
            keep_if(candidates, wanted);
        }
        return any;
    };
    if (phase == rollout_phase::moving || phase == rollout_phase::completed) {
        // Later, other versions may replace this one without an order.
        if (phase == rollout_phase::moving || boot_now() - phase_since < completed_restriction) {
            keep_any(is_target);
        }
        return false;
    }
    if (phase == rollout_phase::announced || phase == rollout_phase::trial) {
        const auto& limits = this->shared.settings.rollouts;
        const exposure_bound bound{limits.exposure_share, limits.exposure_slack};
        if (phase == rollout_phase::trial && may_try_new &&
            is_trial_time(bound, part.target_count, boot_now() - ordered_at) &&
            part.exposure.allows(bound, part.targets.nodes) &&
            keep_any([&role_of](const placement_candidate& candidate) {
                return role_of(candidate) == target_role::trial_target && has_free_slot(candidate);
            })) {
            return true;
        }
        // A service whose only targets are of the new version is not refused for that.
        if (part.targets.previous_slots == 0 && !part.targets.has_other_version) {
            keep_if(candidates, is_target);
            return false;
        }
    }
    // The version of a target is not known until its first report, also after a restart of its node.
    keep_if(candidates, [&role_of](const placement_candidate& candidate) {
        return role_of(candidate) == target_role::previous;
    });
    return false;
}

void rollout_exchange::on_sent(std::string_view service, std::string_view node)
{
    const auto part = this->parts.find(service);
    if (part == this->parts.end()) {
        return;
    }
    const auto role = part->second.targets.roles.find(node);
    if (role != part->second.targets.roles.end() &&
        (role->second.first == target_role::target || role->second.first == target_role::trial_target)) {
        part->second.exposure.on_sent();
    }
}

void rollout_exchange::on_outcome(std::string_view service, const std::string& route, std::string_view node,
                                  std::optional<microseconds> service_time, bool cold)
{
    const auto part = this->parts.find(service);
    const auto state = this->rollouts.find(service);
    if (part == this->parts.end() || state == this->rollouts.end() || !is_live(state->second.phase)) {
        return;
    }
    const auto found = part->second.targets.roles.find(node);
    if (found == part->second.targets.roles.end() || found->second.first == target_role::unknown) {
        return;
    }
    const auto [role, group] = found->second;
    auto& counts = part->second.outcomes[route];
    auto& outcome = role == target_role::previous ? counts.previous : counts.target.at(group);
    if (service_time) {
        record_success(outcome, *service_time, cold);
    }
    else {
        ++outcome.failed;
    }
    part->second.outcomes_changed = true;
}

} // namespace kumquatdrift
