#include "decode.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <kumquatdrift/core/digest.hpp>

#include "names.hpp"
#include "overlay_check.hpp"
#include "read_context.hpp"
#include "validation.hpp"

namespace kumquatdrift::internal {

namespace {

constexpr std::size_t max_edit_id_length = 64;
constexpr std::size_t max_author_length = 128;

/*! @brief Largest offset. An edit stores its parent as a signed 64-bit integer, with -1 for none. */
constexpr std::uint64_t max_offset = (1ULL << 63U) - 1;

/*! @brief An edit while it is read. */
struct partial_edit {
    edit_record edit{};
    bool has_parent{};
};

void ignore(const json_value&, partial_edit&, read_context&) {}

void read_parent(const json_value& value, partial_edit& into, read_context& context)
{
    into.has_parent = true;
    if (!value.isEmpty() && value.isInteger() && value.isSigned() && value.convert<std::int64_t>() == -1) {
        return;
    }
    into.edit.parent = read_integer(value, {0, max_offset}, context);
}

std::optional<json_document> read_document(const json_value& value, read_context& context)
{
    const auto* const object = as_object(value);
    if (object == nullptr) {
        context.fail(std::string{type_name(value)} + " found; accepted is an object");
        return std::nullopt;
    }
    return to_document(*object);
}

constexpr std::array<member_rule<partial_edit>, 8> edit_rules{{
    {"format", ignore},
    {"kind", ignore},
    {"document",
     [](const auto& value, auto& into, auto& context) {
         into.edit.document = read_string(value, context);
         const auto name = validate_document_name(into.edit.document);
         if (!name) {
             context.fail(name.last_reason());
         }
     }},
    {"parent", read_parent},
    {"edit_id",
     [](const auto& value, auto& into, auto& context) {
         into.edit.edit_id = read_string(value, context);
         if (!consists_of(into.edit.edit_id, "-_.", max_edit_id_length)) {
             context.fail("not an edit id; accepted are 1 to 64 letters, digits, '-', '_' or '.'");
         }
     }},
    {"author",
     [](const auto& value, auto& into, auto& context) {
         into.edit.author = read_string(value, context);
         if (into.edit.author.size() > max_author_length) {
             context.fail("too long; accepted are up to 128 bytes");
         }
     }},
    {"content",
     [](const auto& value, auto& into, auto& context) { into.edit.content = read_document(value, context); }},
    {"patch",
     [](const auto& value, auto& into, auto& context) { into.edit.patch = read_document(value, context); }},
}};

/*! @brief Returns an error if members are missing or exclude each other, an empty string otherwise. */
std::string check_edit_members(const partial_edit& partial)
{
    const auto& edit = partial.edit;
    if (edit.document.empty() || edit.edit_id.empty() || !partial.has_parent) {
        return "an edit needs the members document, parent and edit_id";
    }
    if (edit.content.has_value() == edit.patch.has_value()) {
        return "an edit needs exactly one of content and patch";
    }
    if (edit.patch && edit.document != base_document) {
        return "an overlay edit needs content: a merge patch cannot set a member to null";
    }
    return {};
}

std::optional<std::uint64_t> unsigned_member(const object_ptr& object, const std::string& name)
{
    const auto value = object->get(name);
    read_context context;
    const auto number = read_integer(value, {0, max_offset}, context);
    return context.failed() ? std::nullopt : std::optional{number};
}

std::string string_member(const object_ptr& object, const std::string& name)
{
    const auto value = object->get(name);
    const auto* const text = as_string(value);
    return text != nullptr ? *text : std::string{};
}

bool decode_documents(const object_ptr& stored, config_state& state)
{
    const auto value = stored->get("documents");
    const auto* const documents = as_object(value);
    if (documents == nullptr) {
        return false;
    }
    for (const auto& [name, member] : std::as_const(**documents)) {
        const auto* const object = as_object(member);
        if (object == nullptr || !validate_document_name(name)) {
            return false;
        }
        const auto content = (*object)->get("content");
        const auto* const tree = as_object(content);
        const auto offset = unsigned_member(*object, "offset");
        if (tree == nullptr || !offset || *offset >= state.version) {
            return false;
        }
        auto document = to_document(*tree);
        if (name != base_document && !validate_overlay(document)) {
            return false;
        }
        state.documents.emplace(name, document_state{std::move(document), *offset,
                                                     string_member(*object, "edit_id"),
                                                     string_member(*object, "author")});
    }
    return true;
}

bool decode_recent_edits(const object_ptr& stored, config_state& state)
{
    const auto value = stored->get("edits");
    const auto* const edits = as_array(value);
    if (edits == nullptr || (*edits)->size() > max_recent_edits) {
        return false;
    }
    for (const auto& element : **edits) {
        const auto* const object = as_object(element);
        const auto offset = object != nullptr ? unsigned_member(*object, "offset") : std::nullopt;
        const auto ordered = offset && *offset < state.next_offset &&
                             (state.recent_edits.empty() || state.recent_edits.back().offset < *offset);
        if (!ordered) {
            return false;
        }
        state.recent_edits.push_back({*offset, string_member(*object, "edit_id")});
    }
    return true;
}

/*! @brief Checks that the version follows from the newest document and lies within the covered records. */
bool version_matches_documents(const config_state& state)
{
    config_version newest = 0;
    for (const auto& [name, document] : state.documents) {
        newest = std::max(newest, document.offset + 1);
    }
    return newest == state.version && state.version <= state.next_offset;
}

} // namespace

record_envelope parse_record(std::string_view payload)
{
    const auto object = parse_object(payload, duplicate_member_policy::keep_last);
    if (!object) {
        return {record_kind::invalid, {}, object.last_reason()};
    }
    const auto format = unsigned_member(*object, "format");
    if (!format || *format == 0) {
        return {record_kind::invalid, *object, "the record has no valid format number"};
    }
    if (*format > record_format) {
        return {record_kind::newer_format, *object,
                "the record has format " + std::to_string(*format) + "; this release reads up to " +
                    std::to_string(record_format) + ", upgrade it"};
    }
    const auto kind = string_member(*object, "kind");
    if (kind == "edit") {
        return {record_kind::edit, *object, {}};
    }
    if (kind == "checkpoint") {
        return {record_kind::checkpoint, *object, {}};
    }
    return {record_kind::invalid, *object,
            "the record kind is \"" + kind + "\"; accepted are edit and checkpoint"};
}

result<edit_record> decode_edit(const object_ptr& record)
{
    read_context context;
    partial_edit partial;
    read_members<partial_edit>(record, edit_rules, partial, false, context);
    if (context.failed()) {
        return failure{context.first_error()};
    }
    auto missing = check_edit_members(partial);
    if (!missing.empty()) {
        return failure{std::move(missing)};
    }
    return std::move(partial.edit);
}

result<config_state> decode_checkpoint(const object_ptr& record)
{
    const auto covers = unsigned_member(record, "covers");
    const auto value = record->get("state");
    const auto* const stored = as_object(value);
    if (!covers || stored == nullptr) {
        return failure{"the checkpoint lacks covers or state"};
    }
    if (to_hex(digest(to_text(*stored), *covers)) != string_member(record, "digest")) {
        return failure{"the digest of the checkpoint does not match"};
    }
    const auto version = unsigned_member(*stored, "version");
    config_state state{.next_offset = *covers, .version = version.value_or(0)};
    if (!version || !decode_documents(*stored, state) || !decode_recent_edits(*stored, state) ||
        !version_matches_documents(state)) {
        return failure{"the state in the checkpoint is not consistent"};
    }
    auto error = check_documents(state.documents);
    if (!error.empty()) {
        return failure{"the checkpoint is not valid: " + error};
    }
    return state;
}

std::string check_overlay(const json_document& base, const std::string& name, const json_document& overlay)
{
    const auto& base_object = base.tree().object;
    const auto& overlay_object = overlay.tree().object;
    if (is_valid_merge(base_object, overlay_object)) {
        return {};
    }
    const auto config = read_config(apply_patch(base_object, overlay_object), validation_mode::complete);
    return "base merged with " + name + ": " + config.last_reason();
}

std::string check_document_set(const std::map<std::string, document_state>& documents)
{
    if (!documents.empty() && !documents.contains(std::string{base_document})) {
        return "there is no base document yet; publish the base first";
    }
    return documents.size() > max_overlays + 1
               ? "there are too many overlays; accepted are up to " + std::to_string(max_overlays)
               : std::string{};
}

std::string check_documents(const std::map<std::string, document_state>& documents)
{
    auto error = check_document_set(documents);
    if (!error.empty() || documents.empty()) {
        return error;
    }
    const auto& base = documents.at(std::string{base_document}).content;
    const auto alone = validate_config(base);
    if (!alone) {
        return "base: " + alone.last_reason();
    }
    for (const auto& [name, overlay] : documents) {
        error = name == base_document ? std::string{} : check_overlay(base, name, overlay.content);
        if (!error.empty()) {
            return error;
        }
    }
    return {};
}

} // namespace kumquatdrift::internal
