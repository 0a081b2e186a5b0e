#include <kumquatdrift/config/records.hpp>

#include <cassert>
#include <utility>

#include <kumquatdrift/core/digest.hpp>

#include "decode.hpp"
#include "json.hpp"

namespace kumquatdrift {

namespace {

using namespace internal;

object_ptr make_record(const char* kind)
{
    object_ptr record{new Poco::JSON::Object};
    record->set("format", record_format);
    record->set("kind", std::string{kind});
    return record;
}

object_ptr encode_document(const document_state& document)
{
    object_ptr object{new Poco::JSON::Object};
    object->set("content", document.content.tree().object);
    object->set("offset", document.offset);
    object->set("edit_id", document.edit_id);
    object->set("author", document.author);
    return object;
}

object_ptr encode_state(const config_state& state)
{
    object_ptr documents{new Poco::JSON::Object};
    for (const auto& [name, document] : state.documents) {
        documents->set(name, encode_document(document));
    }
    array_ptr edits{new Poco::JSON::Array};
    for (const auto& edit : state.recent_edits) {
        object_ptr object{new Poco::JSON::Object};
        object->set("offset", edit.offset);
        object->set("edit_id", edit.edit_id);
        edits->add(object);
    }
    object_ptr stored{new Poco::JSON::Object};
    stored->set("version", state.version);
    stored->set("documents", documents);
    stored->set("edits", edits);
    return stored;
}

} // namespace

std::string make_edit_record(const edit_record& edit)
{
    assert(edit.content.has_value() != edit.patch.has_value());
    auto record = make_record("edit");
    record->set("document", edit.document);
    record->set("parent", edit.parent ? static_cast<std::int64_t>(*edit.parent) : std::int64_t{-1});
    record->set("edit_id", edit.edit_id);
    record->set("author", edit.author);
    if (edit.content) {
        record->set("content", edit.content->tree().object);
    }
    if (edit.patch) {
        record->set("patch", edit.patch->tree().object);
    }
    return to_text(record);
}

std::string make_checkpoint_record(const config_state& state)
{
    auto stored = encode_state(state);
    auto record = make_record("checkpoint");
    record->set("covers", state.next_offset);
    record->set("digest", to_hex(digest(to_text(stored), state.next_offset)));
    record->set("state", stored);
    return to_text(record);
}

result<config_state> load_checkpoint(std::string_view payload)
{
    auto envelope = parse_record(payload);
    if (envelope.kind == record_kind::checkpoint) {
        return decode_checkpoint(envelope.object);
    }
    if (envelope.kind == record_kind::edit) {
        return failure{"the record is an edit"};
    }
    return failure{std::move(envelope.reason)};
}

} // namespace kumquatdrift
