#include <kumquatdrift/config/recovery.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

#include <kumquatdrift/config/records.hpp>

namespace kumquatdrift {

namespace {

/*! @brief A checkpoint that a recovery may start from. */
struct checkpoint_candidate {
    log_offset offset{};
    config_state state{};
};

bool has_gap(const log_batch& batch)
{
    auto expected = batch.bounds.earliest;
    return std::any_of(batch.records.begin(), batch.records.end(),
                       [&](const log_record& record) { return record.offset != expected++; });
}

/*! @brief Loads the checkpoint in a record if folding from it results in the state of the whole log. */
std::optional<checkpoint_candidate> load_checkpoint_candidate(const log_record& record, log_offset earliest)
{
    // Avoids parsing most records. An edit that contains this string is rejected by load_checkpoint.
    if (record.payload.find("\"checkpoint\"") == std::string::npos) {
        return std::nullopt;
    }
    auto state = load_checkpoint(record.payload);
    if (!state || state->next_offset < earliest || state->next_offset > record.offset) {
        return std::nullopt;
    }
    return checkpoint_candidate{record.offset, std::move(*state)};
}

std::optional<checkpoint_candidate> choose_checkpoint(const log_batch& batch, recovery_start start)
{
    std::optional<checkpoint_candidate> best;
    for (const auto& record : batch.records) {
        auto loaded = load_checkpoint_candidate(record, batch.bounds.earliest);
        const auto better = loaded && (!best || (start == recovery_start::latest
                                                     ? loaded->state.next_offset > best->state.next_offset
                                                     : loaded->state.next_offset < best->state.next_offset));
        if (better) {
            best = std::move(loaded);
        }
    }
    return best;
}

} // namespace

result<recovered_config> recover(const log_batch& batch, recovery_start start)
{
    if (has_gap(batch)) {
        return failure{"the records of the log are not contiguous; read them again"};
    }
    const auto complete = batch.bounds.earliest == 0;
    recovered_config recovered;
    if (!complete || start == recovery_start::latest) {
        auto chosen = choose_checkpoint(batch, start);
        if (!chosen && !complete) {
            return failure{"records before offset " + std::to_string(batch.bounds.earliest) +
                           " have expired and no usable checkpoint covers them"};
        }
        if (chosen) {
            recovered.state = std::move(chosen->state);
            recovered.checkpoint = chosen->offset;
        }
    }
    for (const auto& record : batch.records) {
        if (record.offset < recovered.state.next_offset) {
            continue;
        }
        recovered.outcomes.push_back(fold(recovered.state, record));
        if (recovered.outcomes.back().kind == outcome_kind::unsupported) {
            break;
        }
    }
    return recovered;
}

} // namespace kumquatdrift
