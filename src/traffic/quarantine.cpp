#include <kumquatdrift/traffic/quarantine.hpp>

#include <algorithm>
#include <cassert>
#include <tuple>

#include <kumquatdrift/core/digest.hpp>

namespace kumquatdrift {
namespace {

constexpr std::size_t fingerprinted_body_bytes = 64UL * 1024;

constexpr std::uint32_t deaths_to_quarantine = 2;

// A killer that is quarantined on each node in turn dies at few targets; more evidence changes no decision.
constexpr std::size_t max_evidence = 16;

// Time in which a suspect that runs alone usually ends.
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
    if (found == this->suspects.end() || live_deaths(found->second) == 0) {
        return {.action = quarantine_action::run, .retry_after = {}};
    }
    if (now < found->second.quarantined_until) {
        const auto left = found->second.quarantined_until - now;
        return {.action = quarantine_action::refuse, .retry_after = std::chrono::ceil<milliseconds>(left)};
    }
    if (this->is_busy(fingerprint, target)) {
        return {.action = quarantine_action::refuse_busy, .retry_after = retry_after_busy};
    }
    this->running_alone.emplace(target, fingerprint);
    return {.action = quarantine_action::run_alone, .retry_after = {}};
}

void crash_quarantine::on_target_died(std::span<const std::uint64_t> in_flight, std::string_view target,
                                      timestamp now)
{
    for (const auto fingerprint : in_flight) {
        auto& record = this->record_of(fingerprint, now);
        auto& entry = this->evidence_of(record, target);
        if (entry.last_death && now - *entry.last_death < this->settings.same_death) {
            continue;
        }
        ++entry.counts.deaths;
        entry.last_death = now;
        record.changed = now;
    }
    this->running_alone.erase(std::string{target});
    for (const auto fingerprint : in_flight) {
        this->judge(fingerprint, now);
    }
}

void crash_quarantine::on_success(std::uint64_t fingerprint, std::string_view target, timestamp now)
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end()) {
        return;
    }
    this->release(fingerprint, target);
    const auto deaths = live_deaths(found->second);
    if (deaths == 0) {
        return;
    }
    for (auto& entry : found->second.evidence) {
        entry.counts.cleared = entry.counts.deaths;
    }
    found->second.changed = now;
    lift(found->second);
    if (deaths >= deaths_to_quarantine) {
        this->judge_all(now);
    }
}

void crash_quarantine::on_ended(std::uint64_t fingerprint, std::string_view target)
{
    this->release(fingerprint, target);
}

void crash_quarantine::on_remote(const crash_advisory& advisory, timestamp now)
{
    // An old advisory adds no record: nodes that forget at slightly different times would remind each other
    // for ever. It does not renew a record either, unless it brings news.
    const auto is_known = this->suspects.contains(advisory.fingerprint);
    const auto is_old = advisory.age >= this->settings.suspect_time / 2;
    if (advisory.evidence.empty() || (is_old && !is_known)) {
        return;
    }
    auto& record = this->record_of(advisory.fingerprint, now);
    const auto changed = now - std::max(advisory.age, milliseconds{0});
    record.changed = is_known ? record.changed : changed;
    const auto deaths_before = live_deaths(record);
    for (const auto& remote : advisory.evidence) {
        auto& entry = this->evidence_of(record, remote.target);
        if (remote.deaths > entry.counts.deaths) {
            // The own report of the same death may follow.
            entry.counts.deaths = remote.deaths;
            entry.last_death = std::max(entry.last_death.value_or(changed), changed);
            record.changed = std::max(record.changed, changed);
        }
        const auto cleared = std::min(remote.cleared, remote.deaths);
        if (cleared > entry.counts.cleared) {
            entry.counts.cleared = cleared;
            record.changed = std::max(record.changed, changed);
        }
    }
    this->on_merged(advisory.fingerprint, deaths_before, now);
}

// Advisories arrive one by one. One that names another suspect of the same deaths makes an earlier
// judgement ambiguous, and one that clears a suspect may resolve an ambiguity.
void crash_quarantine::on_merged(std::uint64_t fingerprint, std::uint32_t deaths_before, timestamp now)
{
    auto& record = this->suspects.at(fingerprint);
    const auto deaths = live_deaths(record);
    if (deaths == 0) {
        lift(record);
    }
    if (deaths < deaths_before) {
        this->judge_all(now);
        return;
    }
    this->judge(fingerprint, now);
    if (deaths < deaths_to_quarantine) {
        return;
    }
    for (auto& [other, candidate] : this->suspects) {
        const auto is_judged = candidate.judged_deaths > 0 && other != fingerprint;
        if (is_judged && explains(record, candidate)) {
            lift(candidate);
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
    const auto erased = std::erase_if(this->suspects, [&](const auto& entry) {
        const auto last_use = std::max(entry.second.changed, entry.second.quarantined_until);
        return now - last_use >= this->settings.suspect_time;
    });
    if (erased == 0) {
        return;
    }
    std::erase_if(this->running_alone,
                  [this](const auto& entry) { return !this->suspects.contains(entry.second); });
    this->judge_all(now);
}

std::size_t crash_quarantine::size() const noexcept
{
    return this->suspects.size();
}

std::uint32_t crash_quarantine::live_deaths(const suspect& candidate) noexcept
{
    std::uint32_t deaths = 0;
    for (const auto& entry : candidate.evidence) {
        deaths += entry.counts.deaths - entry.counts.cleared;
    }
    return deaths;
}

// True if `other` was in flight at all deaths of the candidate, so that either may have caused them.
bool crash_quarantine::explains(const suspect& other, const suspect& candidate)
{
    return std::all_of(
        candidate.evidence.begin(), candidate.evidence.end(), [&](const evidence_entry& entry) {
            const auto deaths = entry.counts.deaths - entry.counts.cleared;
            const auto same =
                std::find_if(other.evidence.begin(), other.evidence.end(), [&](const evidence_entry& theirs) {
                    return theirs.counts.target == entry.counts.target;
                });
            return deaths == 0 ||
                   (same != other.evidence.end() && same->counts.deaths - same->counts.cleared >= deaths);
        });
}

bool crash_quarantine::is_ambiguous(std::uint64_t fingerprint, const suspect& candidate) const
{
    return std::any_of(this->suspects.begin(), this->suspects.end(), [&](const auto& other) {
        return other.first != fingerprint && explains(other.second, candidate);
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
    if (candidate.evidence.size() >= max_evidence) {
        candidate.evidence.erase(candidate.evidence.begin());
    }
    auto& added = candidate.evidence.emplace_back();
    added.counts.target = target;
    return added;
}

crash_quarantine::suspect& crash_quarantine::record_of(std::uint64_t fingerprint, timestamp now)
{
    const auto found = this->suspects.find(fingerprint);
    if (found != this->suspects.end()) {
        return found->second;
    }
    if (this->suspects.size() >= this->settings.max_fingerprints) {
        const auto age_order = [](const auto& left, const auto& right) {
            const auto rank = [](const suspect& record) {
                return std::make_tuple(live_deaths(record), record.changed);
            };
            return rank(left.second) < rank(right.second);
        };
        this->suspects.erase(std::min_element(this->suspects.begin(), this->suspects.end(), age_order));
    }
    auto& added = this->suspects[fingerprint];
    added.changed = now;
    return added;
}

void crash_quarantine::judge(std::uint64_t fingerprint, timestamp now)
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end()) {
        return;
    }
    auto& record = found->second;
    const auto deaths = live_deaths(record);
    const auto is_enough = deaths >= deaths_to_quarantine && deaths > record.judged_deaths;
    if (!is_enough || this->is_ambiguous(fingerprint, record)) {
        return;
    }
    const auto doublings = std::min(record.quarantines, max_doublings);
    const auto doubled = this->settings.quarantine_time * (std::int64_t{1} << doublings);
    record.quarantined_until = now + std::min(doubled, this->settings.longest_quarantine);
    record.judged_deaths = deaths;
    ++record.quarantines;
}

void crash_quarantine::judge_all(timestamp now)
{
    for (const auto& entry : this->suspects) {
        this->judge(entry.first, now);
    }
}

void crash_quarantine::lift(suspect& record) noexcept
{
    record.quarantined_until = timestamp{};
    record.judged_deaths = 0;
    record.quarantines = 0;
}

void crash_quarantine::release(std::uint64_t fingerprint, std::string_view target)
{
    const auto found = this->running_alone.find(std::string{target});
    if (found != this->running_alone.end() && found->second == fingerprint) {
        this->running_alone.erase(found);
    }
}

} // namespace kumquatdrift
