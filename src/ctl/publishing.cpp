#include "publishing.hpp"

#include <optional>
#include <utility>

#include <kumquatdrift/config/fold.hpp>
#include <kumquatdrift/config/records.hpp>

namespace kumquatdrift::internal {

namespace {

/*! @brief Maximum number of append attempts for one record. */
constexpr int max_append_attempts = 4;
/*! @brief Maximum number of attempts to read the log for one lookup. */
constexpr int max_lookup_attempts = 5;
constexpr milliseconds initial_backoff{200};
constexpr std::size_t lookup_page_size = 500;

milliseconds backoff_delay(int attempt)
{
    return initial_backoff * (1 << attempt);
}

edit_record make_edit(const config_state& state, const publish_request& request, std::string edit_id)
{
    edit_record edit{.document = request.document, .edit_id = std::move(edit_id), .author = request.author};
    const auto* const current = find_document(state, request.document);
    if (current == nullptr) {
        edit.content = request.content;
        return edit;
    }
    edit.parent = current->offset;
    if (request.document == base_document) {
        auto patch = make_patch(current->content, request.content);
        if (patch && patch->text().size() < request.content.text().size()) {
            edit.patch = std::move(*patch);
            return edit;
        }
    }
    edit.content = request.content;
    return edit;
}

/*! @brief Folds the records from `next_offset` on until one has the edit id or the log ends. */
result<std::optional<fold_outcome>> find_edit(const log_port& log, config_state& state,
                                              const std::string& edit_id)
{
    for (;;) {
        const auto batch = log.read(config_stream, state.next_offset, lookup_page_size, milliseconds{0});
        if (!batch) {
            return failure{batch.last_reason()};
        }
        if (batch->bounds.earliest > state.next_offset) {
            return failure{"records have expired while they were read"};
        }
        for (const auto& record : batch->records) {
            auto outcome = fold(state, record);
            if (outcome.kind == outcome_kind::unsupported) {
                return failure{outcome.reason};
            }
            if (outcome.edit_id == edit_id) {
                return std::optional{std::move(outcome)};
            }
        }
        if (batch->records.empty() || state.next_offset >= batch->bounds.end) {
            return std::optional<fold_outcome>{};
        }
    }
}

result<std::optional<fold_outcome>> find_edit_with_retries(const log_port& log, config_state& state,
                                                           const std::string& edit_id, const ctl_ports& ports)
{
    auto found = find_edit(log, state, edit_id);
    for (int attempt = 0; !found && attempt + 1 < max_lookup_attempts; ++attempt) {
        ports.sleep(backoff_delay(attempt));
        found = find_edit(log, state, edit_id);
    }
    return found;
}

std::string describe_conflict(const config_state& state, const std::string& document)
{
    const auto* const winner = find_document(state, document);
    return winner == nullptr ? std::string{}
                             : "version " + std::to_string(winner->offset + 1) + " by " + winner->author +
                                   " (edit " + winner->edit_id + ") was accepted first; ";
}

publish_report report_outcome(publish_report report, const fold_outcome& outcome, const config_state& state)
{
    switch (outcome.kind) {
    case outcome_kind::accepted:
        report.code = exit_code::ok;
        report.changed = true;
        report.version = outcome.offset + 1;
        return report;
    case outcome_kind::lost_race:
        report.code = exit_code::lost_race;
        report.reason = "nothing was changed: " + describe_conflict(state, outcome.document) +
                        "compare with kumquatdriftctl diff, then publish again";
        return report;
    default:
        report.code = exit_code::invalid;
        report.reason = "the edit was refused: " + outcome.reason;
        return report;
    }
}

/*! @brief Folds the edit into a copy of the state, so that an invalid edit is rejected without an append. */
std::optional<publish_report> validate_before_append(const config_state& state, const std::string& payload)
{
    auto copy = state;
    const auto outcome = fold(copy, {state.next_offset, payload});
    if (outcome.kind == outcome_kind::accepted) {
        return std::nullopt;
    }
    return publish_report{.code = exit_code::invalid, .reason = "nothing was published: " + outcome.reason};
}

publish_report report_log_failure(publish_report report, bool may_have_been_appended,
                                  const std::string& reason)
{
    report.code = exit_code::log_unavailable;
    report.reason =
        may_have_been_appended
            ? "it is not known whether the edit was published, because the log failed (" + reason +
                  "); look for edit " + report.edit_id +
                  " in kumquatdriftctl history before you publish again"
            : "nothing was published, because the log refused it (" + reason + "); try again later";
    return report;
}

publish_report append_edit(const log_port& log, config_state& state, const edit_record& edit,
                           const ctl_ports& ports, publish_report report)
{
    const auto payload = make_edit_record(edit);
    auto may_have_been_appended = false;
    std::string reason;
    for (int attempt = 0; attempt < max_append_attempts; ++attempt) {
        const auto appended = log.append(config_stream, payload);
        reason = appended.reason;
        if (appended.effect == verdict::not_run) {
            ports.sleep(backoff_delay(attempt));
            continue;
        }
        may_have_been_appended = true;
        const auto found = find_edit_with_retries(log, state, edit.edit_id, ports);
        if (!found) {
            return report_log_failure(std::move(report), true, found.last_reason());
        }
        if (*found) {
            return report_outcome(std::move(report), **found, state);
        }
    }
    return report_log_failure(std::move(report), may_have_been_appended, reason);
}

} // namespace

publish_report publish_document(const log_port& log, config_state state, const publish_request& request,
                                const ctl_ports& ports)
{
    const auto* const current = find_document(state, request.document);
    if (current != nullptr && current->content == request.content) {
        return {.code = exit_code::ok, .changed = false, .version = current->offset + 1};
    }
    const auto edit = make_edit(state, request, ports.make_edit_id());
    const auto payload = make_edit_record(edit);
    if (auto invalid = validate_before_append(state, payload)) {
        return std::move(*invalid);
    }
    publish_report report{.edit_id = edit.edit_id, .bytes = payload.size(), .patch = edit.patch.has_value()};
    return append_edit(log, state, edit, ports, std::move(report));
}

} // namespace kumquatdrift::internal
