#include <kumquatdrift/traffic/quarantine.hpp>

#include <algorithm>
#include <cassert>
#include <tuple>

#include <kumquatdrift/core/digest.hpp>

namespace kumquatdrift {
namespace {

constexpr std::size_t fingerprinted_body_bytes = 64UL * 1024;

constexpr std::uint32_t crashes_to_quarantine = 2;

// Maximum number of targets in the evidence on a suspect. A crashing request that each node quarantines in
// turn crashes few targets, and more evidence changes no decision.
constexpr std::size_t max_evidence_targets = 16;

// Time within which a suspect that runs alone usually ends.
constexpr milliseconds retry_after_busy{100};

constexpr std::uint32_t max_doublings = 10;

} // namespace

crash_quarantine::crash_quarantine(quarantine_settings times) : settings{times}
{
    assert(this->settings.max_fingerprints > 0);
}

std::uint64_t crash_quarantine::fingerprint(std::string_view route, std::string_view method,
                                            std::string_view path, std::string_view body) noexcept
{
    auto value = digest(route);
    value = digest(method, value);
    value = digest(path, value);
    return digest(body.substr(0, fingerprinted_body_bytes), value);
}

quarantine_decision crash_quarantine::check(std::uint64_t fingerprint, std::string_view target, timestamp now)
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() || uncleared_crashes(found->second) == 0) {
        return {.action = quarantine_action::run, .retry_after = {}};
    }
    if (now < found->second.quarantined_until) {
        const auto left = found->second.quarantined_until - now;
        return {.action = quarantine_action::reject, .retry_after = std::chrono::ceil<milliseconds>(left)};
    }
    if (this->is_busy(fingerprint, target)) {
        return {.action = quarantine_action::reject_busy, .retry_after = retry_after_busy};
    }
    this->running_alone.emplace(target, fingerprint);
    return {.action = quarantine_action::run_alone, .retry_after = {}};
}

void crash_quarantine::on_target_crashed(std::span<const std::uint64_t> in_flight, std::string_view target,
                                         timestamp now)
{
    for (const auto fingerprint : in_flight) {
        auto& record = this->suspect_of(fingerprint, now);
        auto& entry = this->evidence_of(record, target);
        if (entry.last_crash && now - *entry.last_crash < this->settings.crash_merge_window) {
            continue;
        }
        ++entry.counts.crashes;
        entry.last_crash = now;
        record.changed = now;
    }
    this->running_alone.erase(std::string{target});
    for (const auto fingerprint : in_flight) {
        this->update_quarantine(fingerprint, now);
    }
}

void crash_quarantine::on_crash_reported(std::uint64_t fingerprint, std::string_view target, timestamp now)
{
    auto& record = this->suspect_of(fingerprint, now);
    const auto& entry = this->evidence_of(record, target);
    const auto is_known =
        entry.counts.crashes > 0 && now - record.changed < this->settings.reported_crash_merge_window;
    if (!is_known) {
        this->on_target_crashed(std::span{&fingerprint, 1}, target, now);
    }
}

std::optional<milliseconds> crash_quarantine::quarantined_for(std::uint64_t fingerprint, timestamp now) const
{
    const auto found = this->suspects.find(fingerprint);
    const auto is_quarantined = found != this->suspects.end() && uncleared_crashes(found->second) > 0 &&
                                now < found->second.quarantined_until;
    if (!is_quarantined) {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(found->second.quarantined_until - now);
}

void crash_quarantine::on_success(std::uint64_t fingerprint, std::string_view target, timestamp now)
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end()) {
        return;
    }
    this->release_target(fingerprint, target);
    const auto crashes = uncleared_crashes(found->second);
    if (crashes == 0) {
        return;
    }
    for (auto& entry : found->second.evidence) {
        entry.counts.cleared = entry.counts.crashes;
    }
    found->second.changed = now;
    lift_quarantine(found->second);
    if (crashes >= crashes_to_quarantine) {
        this->update_all_quarantines(now);
    }
}

void crash_quarantine::on_inconclusive_end(std::uint64_t fingerprint, std::string_view target)
{
    this->release_target(fingerprint, target);
}

void crash_quarantine::on_advisory(const crash_advisory& advisory, timestamp now)
{
    // An old advisory adds no suspect. Otherwise nodes whose suspects expire at slightly different times
    // would restore them from each other's advisories forever. For the same reason an advisory without new
    // evidence does not extend the lifetime of a suspect.
    const auto is_known = this->suspects.contains(advisory.fingerprint);
    const auto is_old = advisory.age >= this->settings.suspect_lifetime / 2;
    if (advisory.evidence.empty() || (is_old && !is_known)) {
        return;
    }
    auto& record = this->suspect_of(advisory.fingerprint, now);
    const auto changed = now - std::max(advisory.age, milliseconds{0});
    record.changed = is_known ? record.changed : changed;
    const auto crashes_before = uncleared_crashes(record);
    for (const auto& remote : advisory.evidence) {
        auto& entry = this->evidence_of(record, remote.target);
        if (remote.crashes > entry.counts.crashes) {
            // This node may report the same crash later; `last_crash` keeps it from being counted twice.
            entry.counts.crashes = remote.crashes;
            entry.last_crash = std::max(entry.last_crash.value_or(changed), changed);
            record.changed = std::max(record.changed, changed);
        }
        const auto cleared = std::min(remote.cleared, remote.crashes);
        if (cleared > entry.counts.cleared) {
            entry.counts.cleared = cleared;
            record.changed = std::max(record.changed, changed);
        }
    }
    this->update_after_merge(advisory.fingerprint, crashes_before, now);
}

// Updates the quarantines after a merge. An advisory that names another suspect of the same crashes makes an
// earlier quarantine ambiguous, and one that clears a suspect may resolve an ambiguity.
void crash_quarantine::update_after_merge(std::uint64_t fingerprint, std::uint32_t crashes_before,
                                          timestamp now)
{
    auto& record = this->suspects.at(fingerprint);
    const auto crashes = uncleared_crashes(record);
    if (crashes == 0) {
        lift_quarantine(record);
    }
    if (crashes < crashes_before) {
        this->update_all_quarantines(now);
        return;
    }
    this->update_quarantine(fingerprint, now);
    if (crashes < crashes_to_quarantine) {
        return;
    }
    for (auto& [other, candidate] : this->suspects) {
        const auto is_other_quarantined = candidate.crashes_at_quarantine > 0 && other != fingerprint;
        if (is_other_quarantined && may_explain(record, candidate)) {
            lift_quarantine(candidate);
        }
    }
}

std::vector<crash_advisory> crash_quarantine::advisories(timestamp now) const
{
    std::vector<crash_advisory> listed;
    listed.reserve(this->suspects.size());
    for (const auto& [fingerprint, record] : this->suspects) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - record.changed);
        crash_advisory advisory{.fingerprint = fingerprint, .age = age, .evidence = {}};
        for (const auto& entry : record.evidence) {
            advisory.evidence.push_back(entry.counts);
        }
        listed.push_back(std::move(advisory));
    }
    std::sort(listed.begin(), listed.end(), [](const crash_advisory& left, const crash_advisory& right) {
        return std::tie(left.age, left.fingerprint) < std::tie(right.age, right.fingerprint);
    });
    return listed;
}

void crash_quarantine::expire(timestamp now)
{
    const auto removed = std::erase_if(this->suspects, [&](const auto& entry) {
        const auto last_use = std::max(entry.second.changed, entry.second.quarantined_until);
        return now - last_use >= this->settings.suspect_lifetime;
    });
    if (removed == 0) {
        return;
    }
    std::erase_if(this->running_alone,
                  [this](const auto& entry) { return !this->suspects.contains(entry.second); });
    this->update_all_quarantines(now);
}

std::size_t crash_quarantine::size() const noexcept
{
    return this->suspects.size();
}

std::uint32_t crash_quarantine::uncleared_crashes(const suspect& candidate) noexcept
{
    std::uint32_t crashes = 0;
    for (const auto& entry : candidate.evidence) {
        crashes += entry.counts.crashes - entry.counts.cleared;
    }
    return crashes;
}

// Returns true if `other` was in flight at all crashes of the candidate, so that either may have caused them.
bool crash_quarantine::may_explain(const suspect& other, const suspect& candidate)
{
    return std::all_of(
        candidate.evidence.begin(), candidate.evidence.end(), [&](const evidence_entry& entry) {
            const auto crashes = entry.counts.crashes - entry.counts.cleared;
            const auto same = std::find_if(other.evidence.begin(), other.evidence.end(),
                                           [&](const evidence_entry& other_entry) {
                                               return other_entry.counts.target == entry.counts.target;
                                           });
            return crashes == 0 ||
                   (same != other.evidence.end() && same->counts.crashes - same->counts.cleared >= crashes);
        });
}

bool crash_quarantine::is_ambiguous(std::uint64_t fingerprint, const suspect& candidate) const
{
    return std::any_of(this->suspects.begin(), this->suspects.end(), [&](const auto& other) {
        return other.first != fingerprint && may_explain(other.second, candidate);
    });
}

bool crash_quarantine::is_busy(std::uint64_t fingerprint, std::string_view target) const
{
    return std::any_of(this->running_alone.begin(), this->running_alone.end(), [&](const auto& entry) {
        return entry.first == target || entry.second == fingerprint;
    });
}

crash_quarantine::evidence_entry& crash_quarantine::evidence_of(suspect& candidate, std::string_view target)
{
    const auto found =
        std::find_if(candidate.evidence.begin(), candidate.evidence.end(),
                     [&](const evidence_entry& entry) { return entry.counts.target == target; });
    if (found != candidate.evidence.end()) {
        return *found;
    }
    if (candidate.evidence.size() >= max_evidence_targets) {
        candidate.evidence.erase(candidate.evidence.begin());
    }
    auto& added = candidate.evidence.emplace_back();
    added.counts.target = target;
    return added;
}

crash_quarantine::suspect& crash_quarantine::suspect_of(std::uint64_t fingerprint, timestamp now)
{
    const auto found = this->suspects.find(fingerprint);
    if (found != this->suspects.end()) {
        return found->second;
    }
    if (this->suspects.size() >= this->settings.max_fingerprints) {
        const auto evicted_first = [](const auto& left, const auto& right) {
            const auto rank = [](const suspect& record) {
                return std::make_tuple(uncleared_crashes(record), record.changed);
            };
            return rank(left.second) < rank(right.second);
        };
        this->suspects.erase(std::min_element(this->suspects.begin(), this->suspects.end(), evicted_first));
    }
    auto& added = this->suspects[fingerprint];
    added.changed = now;
    return added;
}

void crash_quarantine::update_quarantine(std::uint64_t fingerprint, timestamp now)
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end()) {
        return;
    }
    auto& record = found->second;
    const auto crashes = uncleared_crashes(record);
    const auto is_enough = crashes >= crashes_to_quarantine && crashes > record.crashes_at_quarantine;
    if (!is_enough || this->is_ambiguous(fingerprint, record)) {
        return;
    }
    const auto doublings = std::min(record.quarantines, max_doublings);
    const auto doubled = this->settings.quarantine_time * (std::int64_t{1} << doublings);
    record.quarantined_until = now + std::min(doubled, this->settings.longest_quarantine);
    record.crashes_at_quarantine = crashes;
    ++record.quarantines;
}

void crash_quarantine::update_all_quarantines(timestamp now)
{
    for (const auto& entry : this->suspects) {
        this->update_quarantine(entry.first, now);
    }
}

void crash_quarantine::lift_quarantine(suspect& record) noexcept
{
    record.quarantined_until = timestamp{};
    record.crashes_at_quarantine = 0;
    record.quarantines = 0;
}

void crash_quarantine::release_target(std::uint64_t fingerprint, std::string_view target)
{
    const auto found = this->running_alone.find(std::string{target});
    if (found != this->running_alone.end() && found->second == fingerprint) {
        this->running_alone.erase(found);
    }
}

} // namespace kumquatdrift
