#include <kumquatdrift/distribution/replica.hpp>

#include <algorithm>

#include <kumquatdrift/config/records.hpp>
#include <kumquatdrift/config/recovery.hpp>
#include <kumquatdrift/core/digest.hpp>

namespace kumquatdrift {
namespace {

void record_outcome(replica& replica, fold_outcome outcome)
{
    replica.outcomes.push_back(std::move(outcome));
    if (replica.outcomes.size() > replica.settings.max_outcomes) {
        replica.outcomes.pop_front();
    }
}

void buffer_record(replica& replica, log_record record)
{
    replica.buffered_bytes += record.payload.size();
    replica.buffer.push_back(std::move(record));
    while (replica.buffer.size() > replica.settings.max_buffered ||
           replica.buffered_bytes > replica.settings.max_buffered_bytes) {
        replica.buffered_bytes -= replica.buffer.front().payload.size();
        replica.buffer.pop_front();
    }
}

void observe_checkpoint(replica& replica, const log_record& record, timestamp now)
{
    const auto state = load_checkpoint(record.payload);
    // A checkpoint that a paused node wrote late may cover less than one seen before; it must not delay the
    // next checkpoint.
    if (!state || state->next_offset > record.offset || state->next_offset < replica.checkpoint_covers) {
        return;
    }
    replica.checkpoint_offset = record.offset;
    replica.checkpoint_covers = state->next_offset;
    replica.checkpoint_seen_at = now;
}

void fold_next(replica& replica, log_record record, replica_change& change, timestamp now)
{
    auto outcome = fold(replica.state, record);
    replica.fold_stopped = outcome.kind == outcome_kind::unsupported;
    if (replica.fold_stopped) {
        replica.last_reason = outcome.reason;
        record_outcome(replica, std::move(outcome));
        return;
    }
    ++change.folded;
    if (!replica.checkpoint_seen_at) {
        replica.checkpoint_seen_at = now;
    }
    if (outcome.kind == outcome_kind::checkpoint) {
        observe_checkpoint(replica, record, now);
    }
    record_outcome(replica, std::move(outcome));
    buffer_record(replica, std::move(record));
}

void fold_contiguous(replica& replica, replica_change& change, timestamp now)
{
    auto next = replica.out_of_order.begin();
    while (next != replica.out_of_order.end() && next->first <= replica.state.next_offset &&
           !replica.fold_stopped) {
        if (next->first == replica.state.next_offset) {
            fold_next(replica, {next->first, next->second}, change, now);
        }
        if (!replica.fold_stopped) {
            next = replica.out_of_order.erase(next);
        }
    }
}

void install(replica& replica, replica_change& change)
{
    if (!replica.may_install || replica.state.version <= replica.gate.in_force()) {
        return;
    }
    auto merged = merge_effective(replica.state, replica.settings.data_centre);
    if (!merged) {
        replica.last_reason = merged.last_reason();
        return;
    }
    const auto installed = replica.gate.install(replica.state.version);
    if (!installed) {
        replica.last_reason = installed.last_reason();
        return;
    }
    change.installed = std::move(*merged);
}

void replace_state(replica& replica, config_state state, replica_change& change)
{
    replica.state = std::move(state);
    replica.buffer.clear();
    replica.buffered_bytes = 0;
    replica.fold_stopped = false;
    replica.has_gap = false;
    change.replaced = true;
}

void update_bounds(replica& replica, const log_bounds& bounds)
{
    replica.bounds.earliest = std::max(replica.bounds.earliest, bounds.earliest);
    replica.bounds.end = std::max(replica.bounds.end, bounds.end);
    replica.has_gap = replica.bounds.earliest > replica.state.next_offset;
}

void store_record(replica& replica, const offered_record& offered, replica_change& change)
{
    const auto& record = offered.record;
    if (record.offset < replica.state.next_offset || replica.out_of_order.contains(record.offset)) {
        return;
    }
    if (offered.digest != record_digest(record)) {
        ++change.rejected;
        replica.last_reason = "record " + std::to_string(record.offset) + " does not match its digest";
        return;
    }
    replica.out_of_order.emplace(record.offset, record.payload);
    // The next record is folded at once, so it does not count towards the limit of out-of-order records.
    if (record.offset != replica.state.next_offset &&
        replica.out_of_order.size() > replica.settings.max_out_of_order) {
        ++change.rejected;
        replica.out_of_order.erase(std::prev(replica.out_of_order.end()));
    }
}

bool needs_checkpoint(const replica& replica, timestamp now)
{
    if (replica.state.next_offset == 0 || replica.fold_stopped || replica.has_gap ||
        !replica.checkpoint_seen_at) {
        return false;
    }
    const auto& bounds = replica.bounds;
    const auto usable = replica.checkpoint_offset && *replica.checkpoint_offset >= bounds.earliest &&
                        replica.checkpoint_covers >= bounds.earliest;
    // Records have expired. Without a usable checkpoint a starting node cannot recover the state from the
    // log.
    if (bounds.earliest > 0 && !usable) {
        return true;
    }
    return now - *replica.checkpoint_seen_at >= replica.settings.log_retention / 4;
}

} // namespace

std::uint64_t record_digest(const log_record& record) noexcept
{
    return digest(record.payload, record.offset);
}

replica_change offer_records(replica& replica, const std::vector<offered_record>& records, timestamp now)
{
    replica_change change;
    for (const auto& offered : records) {
        store_record(replica, offered, change);
        fold_contiguous(replica, change, now);
    }
    install(replica, change);
    return change;
}

replica_change offer_log_batch(replica& replica, const log_batch& batch, timestamp now)
{
    update_bounds(replica, batch.bounds);
    std::vector<offered_record> records;
    records.reserve(batch.records.size());
    for (const auto& record : batch.records) {
        records.push_back({record, record_digest(record)});
    }
    auto change = offer_records(replica, records, now);
    replica.has_gap = replica.bounds.earliest > replica.state.next_offset;
    return change;
}

replica_change offer_retained(replica& replica, const log_batch& batch, timestamp now)
{
    replica_change change;
    update_bounds(replica, batch.bounds);
    auto recovered = recover(batch);
    if (!recovered) {
        replica.last_reason = recovered.last_reason();
        return change;
    }
    const auto& state = recovered->state;
    if (state.next_offset <= replica.state.next_offset || state.version < replica.state.version) {
        return change;
    }
    replace_state(replica, recovered->state, change);
    for (auto& outcome : recovered->outcomes) {
        replica.fold_stopped = replica.fold_stopped || outcome.kind == outcome_kind::unsupported;
        record_outcome(replica, std::move(outcome));
    }
    replica.checkpoint_seen_at = replica.checkpoint_seen_at.value_or(now);
    for (const auto& record : batch.records) {
        if (record.offset == recovered->checkpoint) {
            observe_checkpoint(replica, record, now);
        }
    }
    fold_contiguous(replica, change, now);
    install(replica, change);
    return change;
}

replica_change offer_snapshot(replica& replica, std::string_view state, std::uint64_t state_digest,
                              timestamp now)
{
    replica_change change;
    if (digest(state) != state_digest) {
        ++change.rejected;
        replica.last_reason = "a snapshot does not match its digest";
        return change;
    }
    const auto loaded = load_checkpoint(state);
    if (!loaded) {
        ++change.rejected;
        replica.last_reason = loaded.last_reason();
        return change;
    }
    if (loaded->next_offset <= replica.state.next_offset || loaded->version < replica.state.version) {
        return change;
    }
    replace_state(replica, *loaded, change);
    replica.has_gap = replica.bounds.earliest > replica.state.next_offset;
    replica.checkpoint_seen_at = replica.checkpoint_seen_at.value_or(now);
    fold_contiguous(replica, change, now);
    install(replica, change);
    return change;
}

replica_change allow_install(replica& replica)
{
    replica_change change;
    replica.may_install = true;
    install(replica, change);
    return change;
}

void raise_version_floor(replica& replica, config_version floor)
{
    replica.gate.raise_floor(floor);
}

log_offset next_offset(const replica& replica) noexcept
{
    return replica.state.next_offset;
}

std::optional<std::vector<log_record>> records_since(const replica& replica, log_offset from)
{
    const auto next = replica.state.next_offset;
    if (from >= next) {
        return std::vector<log_record>{};
    }
    const auto first = next - replica.buffer.size();
    if (from < first) {
        return std::nullopt;
    }
    const auto begin = replica.buffer.begin() + static_cast<std::ptrdiff_t>(from - first);
    return std::vector<log_record>{begin, replica.buffer.end()};
}

std::optional<std::string> plan_checkpoint(replica& replica, bool log_current, timestamp now,
                                           random_engine& rng)
{
    const auto at_end = replica.state.next_offset >= replica.bounds.end;
    if (!needs_checkpoint(replica, now) || !log_current || !at_end) {
        replica.checkpoint_due_at.reset();
        return std::nullopt;
    }
    if (!replica.checkpoint_due_at) {
        replica.checkpoint_due_at = now + full_jitter(rng, replica.settings.checkpoint_delay);
    }
    if (now < *replica.checkpoint_due_at) {
        return std::nullopt;
    }
    replica.checkpoint_due_at =
        now + replica.settings.checkpoint_delay + full_jitter(rng, replica.settings.checkpoint_delay);
    return make_checkpoint_record(replica.state);
}

} // namespace kumquatdrift
