#include <kumquatdrift/config/state.hpp>

#include <utility>

#include "json.hpp"
#include "validation.hpp"

namespace kumquatdrift {

namespace {

result<internal::object_ptr> merged_object(const config_state& state, std::string_view data_centre)
{
    const auto* const base = find_document(state, base_document);
    if (base == nullptr) {
        return failure{"no base configuration has been accepted yet; publish one"};
    }
    const auto* const overlay = find_document(state, overlay_name(data_centre));
    const auto& object = base->content.tree().object;
    return overlay != nullptr ? internal::apply_patch(object, overlay->content.tree().object) : object;
}

} // namespace

const document_state* find_document(const config_state& state, std::string_view document)
{
    const auto found = state.documents.find(std::string{document});
    return found != state.documents.end() ? &found->second : nullptr;
}

result<effective_config> merge_effective(const config_state& state, std::string_view data_centre)
{
    const auto object = merged_object(state, data_centre);
    if (!object) {
        return failure{object.last_reason()};
    }
    auto config = internal::read_config(*object, internal::validation_mode::complete);
    if (config) {
        config->version = state.version;
        config->data_centre = data_centre;
    }
    return config;
}

result<json_document> merge_document(const config_state& state, std::string_view data_centre)
{
    auto object = merged_object(state, data_centre);
    if (!object) {
        return failure{object.last_reason()};
    }
    return internal::to_document(*object);
}

} // namespace kumquatdrift
