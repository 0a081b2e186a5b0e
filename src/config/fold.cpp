#include <kumquatdrift/config/fold.hpp>

#include <algorithm>
#include <utility>

#include "decode.hpp"

namespace kumquatdrift {

namespace {

using namespace internal;

fold_outcome make_outcome(outcome_kind kind, const log_record& record, std::string reason)
{
    fold_outcome outcome;
    outcome.kind = kind;
    outcome.offset = record.offset;
    outcome.reason = std::move(reason);
    return outcome;
}

fold_outcome& set_outcome(fold_outcome& outcome, outcome_kind kind, std::string reason)
{
    outcome.kind = kind;
    outcome.reason = std::move(reason);
    return outcome;
}

void add_recent_edit(config_state& state, const fold_outcome& outcome)
{
    state.recent_edits.push_back({outcome.offset, outcome.edit_id});
    if (state.recent_edits.size() > max_recent_edits) {
        state.recent_edits.pop_front();
    }
}

const recent_edit* find_recent_edit(const config_state& state, const std::string& edit_id)
{
    const auto found = std::find_if(state.recent_edits.begin(), state.recent_edits.end(),
                                    [&](const auto& edit) { return edit.edit_id == edit_id; });
    return found != state.recent_edits.end() ? &*found : nullptr;
}

std::string describe_parent(std::optional<log_offset> parent)
{
    return parent ? std::to_string(*parent) : "-1";
}

/*! @brief Returns the content of the document after an edit, or the reason why the edit cannot be applied. */
result<json_document> content_after(const document_state* current, const edit_record& edit)
{
    if (edit.content) {
        return *edit.content;
    }
    if (current == nullptr) {
        return failure{"a patch needs an existing document; send the content"};
    }
    return merge_patch(current->content, *edit.patch);
}

/*! @brief Checks the documents after a change of one overlay. The base and the other overlays were
 * validated when they were accepted. */
std::string check_changed_overlay(const std::map<std::string, document_state>& documents,
                                  const std::string& name)
{
    auto error = check_document_set(documents);
    const auto base = documents.find(std::string{base_document});
    return error.empty() ? check_overlay(base->second.content, name, documents.at(name).content) : error;
}

/*! @brief Checks an edit in the context of all documents and applies it if it is valid. Returns an empty
 * string or the reason why it is invalid. */
std::string apply_edit(config_state& state, const edit_record& edit, log_offset offset)
{
    const auto content = content_after(find_document(state, edit.document), edit);
    if (!content) {
        return content.last_reason();
    }
    if (edit.document != base_document) {
        const auto overlay = validate_overlay(*content);
        if (!overlay) {
            return edit.document + ": " + overlay.last_reason();
        }
    }
    auto documents = state.documents;
    documents[edit.document] = {*content, offset, edit.edit_id, edit.author};
    auto error = edit.document == base_document ? check_documents(documents)
                                                : check_changed_overlay(documents, edit.document);
    if (error.empty()) {
        state.documents = std::move(documents);
        state.version = offset + 1;
    }
    return error;
}

fold_outcome fold_edit(config_state& state, const log_record& record, const edit_record& edit)
{
    auto outcome = make_outcome(outcome_kind::accepted, record, {});
    outcome.document = edit.document;
    outcome.edit_id = edit.edit_id;
    outcome.author = edit.author;
    outcome.parent = edit.parent;
    if (const auto* const earlier = find_recent_edit(state, edit.edit_id)) {
        return set_outcome(outcome, outcome_kind::duplicate,
                           "a copy of the record at offset " + std::to_string(earlier->offset));
    }
    add_recent_edit(state, outcome);
    const auto* const current = find_document(state, edit.document);
    const auto expected = current != nullptr ? std::optional{current->offset} : std::nullopt;
    if (edit.parent != expected) {
        return set_outcome(outcome, outcome_kind::lost_race,
                           "the edit is based on offset " + describe_parent(edit.parent) + " of " +
                               edit.document + ", but the last accepted edit is at offset " +
                               describe_parent(expected));
    }
    auto error = apply_edit(state, edit, record.offset);
    return error.empty() ? outcome : set_outcome(outcome, outcome_kind::invalid, std::move(error));
}

fold_outcome fold_checkpoint(const log_record& record, const object_ptr& object)
{
    const auto checkpoint = decode_checkpoint(object);
    if (!checkpoint) {
        return make_outcome(outcome_kind::invalid, record, checkpoint.last_reason());
    }
    if (checkpoint->next_offset > record.offset) {
        return make_outcome(outcome_kind::invalid, record,
                            "the checkpoint claims to cover records after itself");
    }
    return make_outcome(outcome_kind::checkpoint, record, {});
}

fold_outcome fold_envelope(config_state& state, const log_record& record, const record_envelope& envelope)
{
    if (envelope.kind == record_kind::edit) {
        const auto edit = decode_edit(envelope.object);
        return edit ? fold_edit(state, record, *edit)
                    : make_outcome(outcome_kind::invalid, record, edit.last_reason());
    }
    if (envelope.kind == record_kind::checkpoint) {
        return fold_checkpoint(record, envelope.object);
    }
    return make_outcome(outcome_kind::invalid, record, envelope.reason);
}

} // namespace

fold_outcome fold(config_state& state, const log_record& record)
{
    if (record.offset != state.next_offset) {
        return make_outcome(outcome_kind::invalid, record,
                            "the record is out of order; the next offset is " +
                                std::to_string(state.next_offset));
    }
    const auto envelope = parse_record(record.payload);
    if (envelope.kind == record_kind::newer_format) {
        return make_outcome(outcome_kind::unsupported, record, envelope.reason);
    }
    auto outcome = fold_envelope(state, record, envelope);
    ++state.next_offset;
    return outcome;
}

} // namespace kumquatdrift
