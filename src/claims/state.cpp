#include <kumquatdrift/claims/state.hpp>

#include <algorithm>
#include <cassert>
#include <unordered_set>

#include "claims/fold.hpp"

namespace kumquatdrift {
namespace {

using internal::claim_key_name;

std::string name_of(const waiting_claim& claim)
{
    return claim_key_name(claim.request.route, claim.request.key);
}

void answer_unavailable(claim_partition& partition, const waiting_claim& claim, std::string reason)
{
    claim_answer answer;
    answer.reason = std::move(reason);
    partition.decisions.push_back({claim.ticket, std::move(answer), claim.recorded});
}

void answer_late(claim_partition& partition, const waiting_claim& claim)
{
    auto reason = partition.last_reason.empty()
                      ? std::string{"the claim was not decided before its deadline"}
                      : "the claim was not decided before its deadline: " + partition.last_reason;
    answer_unavailable(partition, claim, std::move(reason));
}

bool blocked_by_format(const claim_partition& partition)
{
    return partition.unsupported_below > partition.earliest;
}

/*! @brief Decides on a claim from the folded state. Returns false if the claim is to be appended. */
bool decide(claim_partition& partition, const waiting_claim& claim)
{
    if (partition.released.contains(claim.request.attempt)) {
        answer_unavailable(partition, claim, "the attempt was released");
        return true;
    }
    const auto found = partition.keys.find(name_of(claim));
    if (found == partition.keys.end()) {
        return false;
    }
    const auto& state = found->second;
    if (state.answer) {
        claim_answer answer{claim_outcome::completed, state.answer};
        partition.decisions.push_back({claim.ticket, std::move(answer), claim.recorded});
        return true;
    }
    const auto own =
        std::find_if(state.holders.begin(), state.holders.end(),
                     [&](const claim_holder& holder) { return holder.attempt == claim.request.attempt; });
    const auto granted = own != state.holders.end() && own->first;
    const auto recorded = claim.recorded || own != state.holders.end();
    if (!granted && own != state.holders.end() && state.holders.size() == 1) {
        answer_unavailable(partition, claim, "records that may precede the claim were not read");
        partition.decisions.back().recorded = true;
        return true;
    }
    claim_answer answer;
    answer.outcome = granted ? claim_outcome::granted : claim_outcome::claimed;
    partition.decisions.push_back({claim.ticket, std::move(answer), recorded});
    return true;
}

void decide_waiting(claim_partition& partition, timestamp now)
{
    expire_waiting_claims(partition, now);
    if (!partition.synchronised) {
        return;
    }
    std::erase_if(partition.waiting, [&](const waiting_claim& claim) { return decide(partition, claim); });
}

void refuse_waiting(claim_partition& partition, const std::string& reason)
{
    for (const auto& claim : partition.waiting) {
        answer_unavailable(partition, claim, reason);
    }
    partition.waiting.clear();
}

void on_log_failure(claim_partition& partition, std::string reason, timestamp now, random_engine& rng)
{
    partition.last_reason = std::move(reason);
    partition.retry_at = now + backoff_delay(partition.limits.retry, partition.failures, rng);
    ++partition.failures;
    // A log at its limit refuses appends, so the burst is given up.
    (void)partition.appends.try_take(partition.appends.available(now), now);
}

void on_log_success(claim_partition& partition)
{
    partition.failures = 0;
    partition.last_reason.clear();
}

microseconds batch_wait(claim_partition& partition, timestamp now)
{
    const auto& limits = partition.limits;
    const auto used = 1.0 - partition.appends.available(now) / limits.append_burst;
    const auto range = static_cast<double>((limits.max_batch_wait - limits.min_batch_wait).count());
    return limits.min_batch_wait + microseconds{static_cast<std::int64_t>(used * range)};
}

std::optional<timestamp> batch_due(claim_partition& partition, timestamp now)
{
    const auto entries = partition.waiting.size() + partition.follow_ups.size();
    if (entries == 0) {
        return std::nullopt;
    }
    if (entries >= partition.limits.max_batch_entries) {
        return now;
    }
    std::optional<timestamp> due;
    if (!partition.waiting.empty()) {
        due = partition.waiting.front().arrived + batch_wait(partition, now);
    }
    if (!partition.follow_ups.empty()) {
        const auto follow_up_due = partition.follow_ups.front().first + partition.limits.follow_up_wait;
        due = std::min(due.value_or(follow_up_due), follow_up_due);
    }
    return due;
}

claim_record build_batch(claim_partition& partition)
{
    claim_record record;
    record.read_to = partition.next;
    partition.follow_ups_in_flight = 0;
    const auto limit = partition.limits.max_batch_entries;
    // Releases go first, so that a key released and claimed again in one batch is granted.
    for (const auto& [arrived, entry] : partition.follow_ups) {
        if (record.entries.size() >= limit) {
            break;
        }
        record.entries.push_back(entry);
        ++partition.follow_ups_in_flight;
    }
    std::unordered_set<std::string> names;
    for (auto& claim : partition.waiting) {
        if (record.entries.size() >= limit) {
            break;
        }
        if (!names.insert(name_of(claim)).second) {
            continue;
        }
        claim.in_flight = true;
        record.entries.push_back({claim_entry_kind::claim, claim.request.route, claim.request.key,
                                  claim.request.attempt, std::nullopt});
    }
    return record;
}

claim_step wait_until(timestamp wake, const claim_partition& partition)
{
    for (const auto& claim : partition.waiting) {
        wake = std::min(wake, claim.request.deadline);
    }
    claim_step step;
    step.wake = wake;
    return step;
}

claim_step read_step(claim_partition& partition)
{
    ++partition.counters.reads;
    claim_step step;
    step.kind = claim_step_kind::read;
    step.from = partition.next;
    step.limit = partition.limits.read_limit;
    return step;
}

claim_step append_step(claim_partition& partition)
{
    ++partition.counters.appends;
    partition.in_flight = build_batch(partition);
    claim_step step;
    step.kind = claim_step_kind::append;
    step.payload = encode_claim_record(*partition.in_flight);
    return step;
}

} // namespace

claim_partition make_claim_partition(const claim_limits& limits)
{
    claim_partition partition;
    partition.limits = limits;
    partition.appends = token_bucket{limits.appends_per_second, limits.append_burst};
    return partition;
}

void submit_claim(claim_partition& partition, std::uint64_t ticket, claim_request request, timestamp now)
{
    waiting_claim claim{ticket, std::move(request), now};
    claim.request.deadline = std::min(claim.request.deadline, now + partition.limits.max_wait);
    if (now >= claim.request.deadline) {
        answer_late(partition, claim);
        return;
    }
    if (!is_valid_claim_key(claim.request.key)) {
        answer_unavailable(partition, claim, "an idempotency key has 1 to 256 printable ASCII characters");
        return;
    }
    if (partition.synchronised && decide(partition, claim)) {
        return;
    }
    if (partition.waiting.size() >= partition.limits.max_waiting) {
        answer_unavailable(partition, claim, "too many claims wait for the log");
        return;
    }
    if (partition.keys.size() >= partition.limits.max_keys) {
        answer_unavailable(partition, claim,
                           "the partition holds its limit of keys; records must expire first");
        return;
    }
    partition.waiting.push_back(std::move(claim));
}

bool submit_follow_up(claim_partition& partition, claim_entry entry, timestamp now)
{
    assert(entry.kind != claim_entry_kind::claim);
    if (partition.follow_ups.size() >= partition.limits.max_follow_ups) {
        ++partition.counters.dropped_follow_ups;
        return false;
    }
    if (entry.answer && entry.answer->body && entry.answer->body->size() > max_stored_body_bytes) {
        entry.answer->body.reset();
    }
    partition.follow_ups.emplace_back(now, std::move(entry));
    return true;
}

claim_step next_claim_step(claim_partition& partition, timestamp now)
{
    assert(!partition.in_flight);
    expire_waiting_claims(partition, now);
    if (now < partition.retry_at) {
        return wait_until(partition.retry_at, partition);
    }
    const auto tail_due = partition.last_read.value_or(now) + partition.limits.tail_interval;
    if (!partition.synchronised || now >= tail_due) {
        return read_step(partition);
    }
    if (blocked_by_format(partition)) {
        refuse_waiting(partition, "the stream has a record of a newer format; upgrade this node");
    }
    const auto due = batch_due(partition, now);
    if (!due || *due > now) {
        return wait_until(std::min(due.value_or(tail_due), tail_due), partition);
    }
    if (!partition.appends.try_take(1.0, now)) {
        const auto missing = 1.0 - partition.appends.available(now);
        const auto delay = missing / std::max(partition.limits.appends_per_second, 0.001) * 1e6;
        return wait_until(now + microseconds{static_cast<std::int64_t>(delay) + 1}, partition);
    }
    return append_step(partition);
}

void on_claim_read(claim_partition& partition, const result<log_batch>& batch, timestamp now,
                   random_engine& rng)
{
    if (!batch) {
        on_log_failure(partition, batch.last_reason(), now, rng);
        return;
    }
    on_log_success(partition);
    partition.last_read = now;
    if (batch->bounds.end < partition.next) {
        partition.synchronised = false;
        on_log_failure(partition, "the end of the claim stream went back", now, rng);
        return;
    }
    internal::expire_claim_records(partition, batch->bounds.earliest);
    partition.next = std::max(partition.next, batch->bounds.earliest);
    for (const auto& record : batch->records) {
        if (record.offset == partition.next) {
            internal::fold_claim_payload(partition, record.payload);
        }
    }
    partition.synchronised = partition.next >= batch->bounds.end;
    decide_waiting(partition, now);
}

void on_claim_append(claim_partition& partition, const append_result& outcome, timestamp now,
                     random_engine& rng)
{
    assert(partition.in_flight);
    const auto record = std::exchange(partition.in_flight, std::nullopt);
    for (auto& claim : partition.waiting) {
        const auto sent = std::exchange(claim.in_flight, false);
        claim.recorded = claim.recorded || (sent && outcome.effect != verdict::not_run);
    }
    if (outcome.effect == verdict::may_have_run) {
        ++partition.counters.lost_answers;
        partition.synchronised = false;
    }
    if (outcome.effect != verdict::ran) {
        on_log_failure(partition, outcome.reason, now, rng);
        return;
    }
    on_log_success(partition);
    const auto count = static_cast<std::ptrdiff_t>(partition.follow_ups_in_flight);
    partition.follow_ups.erase(partition.follow_ups.begin(), partition.follow_ups.begin() + count);
    if (outcome.offset != partition.next) {
        partition.synchronised = false;
        return;
    }
    internal::fold_claim_record(partition, *record);
    decide_waiting(partition, now);
}

void expire_waiting_claims(claim_partition& partition, timestamp now)
{
    const auto late = [&](const waiting_claim& claim) {
        if (now < claim.request.deadline) {
            return false;
        }
        answer_late(partition, claim);
        // The record of an append in progress may still reach the log.
        partition.decisions.back().recorded = claim.recorded || claim.in_flight;
        return true;
    };
    std::erase_if(partition.waiting, late);
}

std::vector<claim_decision> take_claim_decisions(claim_partition& partition)
{
    return std::exchange(partition.decisions, {});
}

} // namespace kumquatdrift
