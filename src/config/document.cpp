#include <kumquatdrift/config/document.hpp>
#include <kumquatdrift/core/json_comments.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

#include "json.hpp"
#include "names.hpp"

namespace kumquatdrift {

namespace {

using namespace internal;

/*! @brief Checks whether an object has a null member at any depth. Null in arrays is ignored, because a merge
 * patch replaces an array as a whole. */
bool has_null_member(const object_ptr& object)
{
    return std::any_of(std::as_const(*object).begin(), std::as_const(*object).end(), [](const auto& member) {
        const auto* const nested = as_object(member.second);
        return member.second.isEmpty() || (nested != nullptr && has_null_member(*nested));
    });
}

object_ptr patch_between(const object_ptr& from, const object_ptr& to)
{
    object_ptr patch{new Poco::JSON::Object};
    for (const auto& [name, value] : std::as_const(*from)) {
        if (!to->has(name)) {
            patch->set(name, json_value{});
        }
    }
    for (const auto& [name, value] : std::as_const(*to)) {
        const auto before = from->get(name);
        const auto* const object_before = as_object(before);
        const auto* const object_after = as_object(value);
        if (object_before != nullptr && object_after != nullptr) {
            auto member_patch = patch_between(*object_before, *object_after);
            if (member_patch->size() > 0) {
                patch->set(name, member_patch);
            }
        }
        else if (!from->has(name) || to_text(before) != to_text(value)) {
            patch->set(name, value);
        }
    }
    return patch;
}

} // namespace

json_document::json_document()
    : shared_tree{[] {
          static const auto empty = std::make_shared<const json_tree>(object_ptr{new Poco::JSON::Object});
          return empty;
      }()}
{
}

json_document::json_document(std::shared_ptr<const json_tree> tree) noexcept : shared_tree{std::move(tree)} {}

result<json_document> json_document::parse(std::string_view text)
{
    auto object = parse_object(strip_json_comments(text), duplicate_member_policy::error);
    if (!object) {
        return failure{object.last_reason()};
    }
    return to_document(*object);
}

const std::string& json_document::text() const noexcept
{
    return this->shared_tree->text();
}

std::string json_document::pretty() const
{
    constexpr unsigned int indentation = 2;
    std::ostringstream text;
    this->shared_tree->object->stringify(text, indentation);
    return std::move(text).str();
}

const json_tree& json_document::tree() const noexcept
{
    return *this->shared_tree;
}

json_document merge_patch(const json_document& target, const json_document& patch)
{
    return to_document(apply_patch(target.tree().object, patch.tree().object));
}

result<json_document> make_patch(const json_document& from, const json_document& to)
{
    if (has_null_member(to.tree().object)) {
        return failure{"a merge patch cannot set a member to null; send the whole content"};
    }
    return to_document(patch_between(from.tree().object, to.tree().object));
}

std::string overlay_name(std::string_view data_centre)
{
    return std::string{overlay_prefix}.append(data_centre);
}

std::optional<std::string> overlay_data_centre(std::string_view document)
{
    if (!document.starts_with(overlay_prefix)) {
        return std::nullopt;
    }
    return std::string{document.substr(overlay_prefix.size())};
}

result<std::string> validate_document_name(std::string_view document)
{
    if (document == base_document) {
        return std::string{document};
    }
    const auto data_centre = overlay_data_centre(document);
    if (data_centre && is_valid_name(*data_centre)) {
        return std::string{document};
    }
    return failure{"document \"" + std::string{document} +
                   "\" is unknown; accepted are base and overlay/<data centre>, where the data centre is " +
                   std::string{name_requirements}};
}

} // namespace kumquatdrift
