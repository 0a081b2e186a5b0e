#include <kumquatdrift/claims/state.hpp>

#include <algorithm>
#include <cassert>
#include <unordered_set>

#include "claims/fold.hpp"

namespace kumquatdrift {
namespace {

using internal::claim_key_name;

std::string key_name_of(const queued_claim& claim)
{
    return claim_key_name(claim.request.route, claim.request.key);
}

void decide_unavailable(claim_partition& partition, const queued_claim& claim, std::string reason)
{
    claim_result result;
    result.reason = std::move(reason);
    partition.decisions.push_back({claim.ticket, std::move(result), claim.recorded});
}

void decide_expired(claim_partition& partition, const queued_claim& claim)
{
    auto reason = partition.last_log_error.empty()
                      ? std::string{"the claim was not decided before its deadline"}
                      : "the claim was not decided before its deadline: " + partition.last_log_error;
    decide_unavailable(partition, claim, std::move(reason));
}

bool has_unsupported_record(const claim_partition& partition)
{
    return partition.unsupported_end > partition.earliest_offset;
}

/*! @brief Decides a claim from the folded state. Returns false if the claim has to be appended first. */
bool decide(claim_partition& partition, const queued_claim& claim)
{
    if (partition.released_attempts.contains(claim.request.attempt)) {
        decide_unavailable(partition, claim, "the attempt was released");
        return true;
    }
    const auto found = partition.keys.find(key_name_of(claim));
    if (found == partition.keys.end()) {
        return false;
    }
    const auto& state = found->second;
    if (state.response) {
        claim_result result{claim_outcome::completed, state.response};
        partition.decisions.push_back({claim.ticket, std::move(result), claim.recorded});
        return true;
    }
    const auto own =
        std::find_if(state.holders.begin(), state.holders.end(),
                     [&](const claim_holder& holder) { return holder.attempt == claim.request.attempt; });
    const auto granted = own != state.holders.end() && own->is_first;
    const auto recorded = claim.recorded || own != state.holders.end();
    if (!granted && own != state.holders.end() && state.holders.size() == 1) {
        decide_unavailable(partition, claim, "records that may precede the claim were not read");
        partition.decisions.back().recorded = true;
        return true;
    }
    claim_result result;
    result.outcome = granted ? claim_outcome::granted : claim_outcome::claimed;
    partition.decisions.push_back({claim.ticket, std::move(result), recorded});
    return true;
}

void decide_queued_claims(claim_partition& partition, timestamp now)
{
    expire_queued_claims(partition, now);
    if (!partition.synchronised) {
        return;
    }
    std::erase_if(partition.queued_claims,
                  [&](const queued_claim& claim) { return decide(partition, claim); });
}

void reject_queued_claims(claim_partition& partition, const std::string& reason)
{
    for (const auto& claim : partition.queued_claims) {
        decide_unavailable(partition, claim, reason);
    }
    partition.queued_claims.clear();
}

void on_log_failure(claim_partition& partition, std::string reason, timestamp now, random_engine& rng)
{
    partition.last_log_error = std::move(reason);
    partition.retry_at = now + backoff_delay(partition.limits.retry, partition.consecutive_failures, rng);
    ++partition.consecutive_failures;
    // The failure may be a rejection by a log at its rate limit, so the tokens for a burst are discarded.
    (void)partition.append_limiter.try_take(partition.append_limiter.available(now), now);
}

void on_log_success(claim_partition& partition)
{
    partition.consecutive_failures = 0;
    partition.last_log_error.clear();
}

microseconds batch_wait(claim_partition& partition, timestamp now)
{
    const auto& limits = partition.limits;
    const auto used_share = 1.0 - partition.append_limiter.available(now) / limits.append_burst;
    const auto range = static_cast<double>((limits.max_batch_wait - limits.min_batch_wait).count());
    return limits.min_batch_wait + microseconds{static_cast<std::int64_t>(used_share * range)};
}

std::optional<timestamp> batch_due_at(claim_partition& partition, timestamp now)
{
    const auto entries = partition.queued_claims.size() + partition.queued_follow_ups.size();
    if (entries == 0) {
        return std::nullopt;
    }
    if (entries >= partition.limits.max_batch_entries) {
        return now;
    }
    std::optional<timestamp> due;
    if (!partition.queued_claims.empty()) {
        due = partition.queued_claims.front().arrived_at + batch_wait(partition, now);
    }
    if (!partition.queued_follow_ups.empty()) {
        const auto follow_up_due =
            partition.queued_follow_ups.front().first + partition.limits.follow_up_batch_wait;
        due = std::min(due.value_or(follow_up_due), follow_up_due);
    }
    return due;
}

claim_record build_batch(claim_partition& partition)
{
    claim_record record;
    record.read_to = partition.next_offset;
    partition.follow_ups_in_flight = 0;
    const auto limit = partition.limits.max_batch_entries;
    // Releases precede claims, so that a key that is released and claimed again in one batch is granted.
    for (const auto& [arrived_at, entry] : partition.queued_follow_ups) {
        if (record.entries.size() >= limit) {
            break;
        }
        record.entries.push_back(entry);
        ++partition.follow_ups_in_flight;
    }
    std::unordered_set<std::string> names;
    for (auto& claim : partition.queued_claims) {
        if (record.entries.size() >= limit) {
            break;
        }
        if (!names.insert(key_name_of(claim)).second) {
            continue;
        }
        claim.in_flight = true;
        record.entries.push_back({claim_entry_kind::claim, claim.request.route, claim.request.key,
                                  claim.request.attempt, std::nullopt});
    }
    return record;
}

claim_step wait_until(timestamp wake_at, const claim_partition& partition)
{
    for (const auto& claim : partition.queued_claims) {
        wake_at = std::min(wake_at, claim.request.deadline);
    }
    claim_step step;
    step.wake_at = wake_at;
    return step;
}

claim_step read_step(claim_partition& partition)
{
    ++partition.counters.reads;
    claim_step step;
    step.kind = claim_step_kind::read;
    step.from = partition.next_offset;
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
    partition.append_limiter = token_bucket{limits.appends_per_second, limits.append_burst};
    return partition;
}

void submit_claim(claim_partition& partition, std::uint64_t ticket, claim_request request, timestamp now)
{
    queued_claim claim{ticket, std::move(request), now};
    claim.request.deadline = std::min(claim.request.deadline, now + partition.limits.max_queue_time);
    if (now >= claim.request.deadline) {
        decide_expired(partition, claim);
        return;
    }
    if (!is_valid_claim_key(claim.request.key)) {
        decide_unavailable(partition, claim, "an idempotency key has 1 to 256 printable ASCII characters");
        return;
    }
    if (partition.synchronised && decide(partition, claim)) {
        return;
    }
    if (partition.queued_claims.size() >= partition.limits.max_queued_claims) {
        decide_unavailable(partition, claim, "too many claims wait for the log");
        return;
    }
    if (partition.keys.size() >= partition.limits.max_keys) {
        decide_unavailable(partition, claim,
                           "the partition holds its limit of keys; records must expire first");
        return;
    }
    partition.queued_claims.push_back(std::move(claim));
}

bool submit_follow_up(claim_partition& partition, claim_entry entry, timestamp now)
{
    assert(entry.kind != claim_entry_kind::claim);
    if (partition.queued_follow_ups.size() >= partition.limits.max_queued_follow_ups) {
        ++partition.counters.discarded_follow_ups;
        return false;
    }
    if (entry.response && entry.response->body && entry.response->body->size() > max_stored_body_bytes) {
        entry.response->body.reset();
    }
    partition.queued_follow_ups.emplace_back(now, std::move(entry));
    return true;
}

claim_step next_claim_step(claim_partition& partition, timestamp now)
{
    assert(!partition.in_flight);
    expire_queued_claims(partition, now);
    if (now < partition.retry_at) {
        return wait_until(partition.retry_at, partition);
    }
    const auto tail_read_at = partition.last_read.value_or(now) + partition.limits.tail_interval;
    if (!partition.synchronised || now >= tail_read_at) {
        return read_step(partition);
    }
    if (has_unsupported_record(partition)) {
        reject_queued_claims(partition, "the stream has a record of a newer format; upgrade this node");
    }
    const auto due = batch_due_at(partition, now);
    if (!due || *due > now) {
        return wait_until(std::min(due.value_or(tail_read_at), tail_read_at), partition);
    }
    if (!partition.append_limiter.try_take(1.0, now)) {
        const auto missing_tokens = 1.0 - partition.append_limiter.available(now);
        const auto delay_us = missing_tokens / std::max(partition.limits.appends_per_second, 0.001) * 1e6;
        return wait_until(now + microseconds{static_cast<std::int64_t>(delay_us) + 1}, partition);
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
    if (batch->bounds.end < partition.next_offset) {
        partition.synchronised = false;
        on_log_failure(partition, "the end of the claim stream went back", now, rng);
        return;
    }
    internal::expire_claim_records(partition, batch->bounds.earliest);
    partition.next_offset = std::max(partition.next_offset, batch->bounds.earliest);
    for (const auto& record : batch->records) {
        if (record.offset == partition.next_offset) {
            internal::fold_claim_payload(partition, record.payload);
        }
    }
    partition.synchronised = partition.next_offset >= batch->bounds.end;
    decide_queued_claims(partition, now);
}

void on_claim_append(claim_partition& partition, const append_result& outcome, timestamp now,
                     random_engine& rng)
{
    assert(partition.in_flight);
    const auto record = std::exchange(partition.in_flight, std::nullopt);
    for (auto& claim : partition.queued_claims) {
        const auto appended = std::exchange(claim.in_flight, false);
        claim.recorded = claim.recorded || (appended && outcome.effect != verdict::not_run);
    }
    if (outcome.effect == verdict::may_have_run) {
        ++partition.counters.lost_responses;
        partition.synchronised = false;
    }
    if (outcome.effect != verdict::ran) {
        on_log_failure(partition, outcome.reason, now, rng);
        return;
    }
    on_log_success(partition);
    const auto written = static_cast<std::ptrdiff_t>(partition.follow_ups_in_flight);
    partition.queued_follow_ups.erase(partition.queued_follow_ups.begin(),
                                      partition.queued_follow_ups.begin() + written);
    if (outcome.offset != partition.next_offset) {
        partition.synchronised = false;
        return;
    }
    internal::fold_claim_record(partition, *record);
    decide_queued_claims(partition, now);
}

void expire_queued_claims(claim_partition& partition, timestamp now)
{
    const auto expire = [&](const queued_claim& claim) {
        if (now < claim.request.deadline) {
            return false;
        }
        decide_expired(partition, claim);
        // An append in progress may still write the claim to the log.
        partition.decisions.back().recorded = claim.recorded || claim.in_flight;
        return true;
    };
    std::erase_if(partition.queued_claims, expire);
}

std::vector<claim_decision> take_claim_decisions(claim_partition& partition)
{
    return std::exchange(partition.decisions, {});
}

} // namespace kumquatdrift
