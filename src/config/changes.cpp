#include <kumquatdrift/config/changes.hpp>

#include <set>
#include <utility>

#include "json.hpp"

namespace kumquatdrift {

namespace {

using namespace internal;

std::set<std::string> member_names(const object_ptr& from, const object_ptr& to)
{
    std::set<std::string> names;
    for (const auto* const object : {&from, &to}) {
        for (const auto& [name, value] : std::as_const(**object)) {
            names.insert(name);
        }
    }
    return names;
}

std::optional<std::string> member_text(const object_ptr& object, const std::string& name)
{
    return object->has(name) ? std::optional{to_text(object->get(name))} : std::nullopt;
}

void collect_changes(const object_ptr& from, const object_ptr& to, const std::string& pointer,
                     std::vector<document_change>& changes)
{
    for (const auto& name : member_names(from, to)) {
        auto member_pointer = pointer;
        append_token(member_pointer, name);
        const auto before = from->get(name);
        const auto after = to->get(name);
        const auto* const object_before = as_object(before);
        const auto* const object_after = as_object(after);
        if (object_before != nullptr && object_after != nullptr) {
            collect_changes(*object_before, *object_after, member_pointer, changes);
            continue;
        }
        auto text_before = member_text(from, name);
        auto text_after = member_text(to, name);
        if (text_before != text_after) {
            changes.push_back({std::move(member_pointer), std::move(text_before), std::move(text_after)});
        }
    }
}

} // namespace

std::vector<document_change> list_changes(const json_document& from, const json_document& to)
{
    std::vector<document_change> changes;
    collect_changes(from.tree().object, to.tree().object, {}, changes);
    return changes;
}

} // namespace kumquatdrift
