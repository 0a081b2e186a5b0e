#include <kumquatdrift/config/recovery.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

#include <kumquatdrift/config/records.hpp>

namespace kumquatdrift {

namespace {

/*! @brief A checkpoint that may be used. */
struct candidate {
    log_offset offset{};
    config_state state{};
};

bool has_gap(const log_batch& batch)
{
    auto expected = batch.bounds.earliest;
    return std::any_of(batch.records.begin(), batch.records.end(),
                       [&](const log_record& record) { return record.offset != expected++; });
}

/*! @brief Loads the checkpoint of a record if the state that it leads to is that of the whole log. */
std::optional<candidate> load_candidate(const log_record& record, log_offset earliest)
{
    // Spares the parsing of most records; an edit with this word fails in load_checkpoint.
    if (record.payload.find("\"checkpoint\"") == std::string::npos) {
        return std::nullopt;
    }
    auto state = load_checkpoint(record.payload);
    if (!state || state->next_offset < earliest || state->next_offset > record.offset) {
        return std::nullopt;
    }
    return candidate{record.offset, std::move(*state)};
}

std::optional<candidate> choose_start(const log_batch& batch, recovery_start start)
{
    std::optional<candidate> best;
    for (const auto& record : batch.records) {
        auto found = load_candidate(record, batch.bounds.earliest);
        const auto better = found && (!best || (start == recovery_start::latest
                                                    ? found->state.next_offset > best->state.next_offset
                                                    : found->state.next_offset < best->state.next_offset));
        if (better) {
            best = std::move(found);
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
        auto chosen = choose_start(batch, start);
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
