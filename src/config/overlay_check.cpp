#include "overlay_check.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "validation.hpp"

namespace kumquatdrift::internal {

namespace {

/*! @brief The section `services` or `routes` of a base and an overlay, and of their merge. */
struct merged_section {
    /*! @brief Members of the base. Not null. */
    object_ptr base{};
    /*! @brief Members of the overlay. Not null. */
    object_ptr overlay{};
    /*! @brief True if the overlay removes the section. */
    bool removed{};

    /*! @brief Checks whether the merged section has a member. */
    [[nodiscard]] bool has(const std::string& name) const
    {
        if (this->overlay->has(name)) {
            return !this->overlay->isNull(name);
        }
        return !this->removed && this->base->has(name);
    }

    /*! @brief Checks whether the overlay removes the section or any of its members. */
    [[nodiscard]] bool removes_members() const
    {
        return this->removed ||
               std::any_of(std::as_const(*this->overlay).begin(), std::as_const(*this->overlay).end(),
                           [](const auto& member) { return member.second.isEmpty(); });
    }

    /*! @brief Merges the members that the overlay sets; leaves out the members that it removes or does not
     * contain. */
    [[nodiscard]] object_ptr merge_overlay_members() const
    {
        object_ptr merged{new Poco::JSON::Object};
        for (const auto& [name, patch] : std::as_const(*this->overlay)) {
            if (const auto* const members = as_object(patch)) {
                const auto member = this->base->get(name);
                const auto* const target = as_object(member);
                merged->set(
                    name,
                    apply_patch(target != nullptr ? *target : object_ptr{new Poco::JSON::Object}, *members));
            }
        }
        return merged;
    }
};

object_ptr section_of(const object_ptr& document, const std::string& name)
{
    const auto value = document->get(name);
    const auto* const section = as_object(value);
    return section != nullptr ? *section : object_ptr{new Poco::JSON::Object};
}

merged_section make_section(const object_ptr& base, const object_ptr& overlay, const std::string& name)
{
    return {section_of(base, name), section_of(overlay, name), overlay->has(name) && overlay->isNull(name)};
}

/*! @brief Checks that the merge keeps the services of all base routes that the overlay does not contain. */
bool unchanged_routes_have_services(const merged_section& routes, const merged_section& services)
{
    if (routes.removed || !services.removes_members()) {
        return true;
    }
    return std::all_of(std::as_const(*routes.base).begin(), std::as_const(*routes.base).end(),
                       [&](const auto& route) {
                           const auto* const members = as_object(route.second);
                           return routes.overlay->has(route.first) ||
                                  services.has((*members)->template getValue<std::string>("service"));
                       });
}

} // namespace

bool is_valid_merge(const object_ptr& base, const object_ptr& overlay)
{
    const auto services = make_section(base, overlay, "services");
    const auto routes = make_section(base, overlay, "routes");
    object_ptr changed{new Poco::JSON::Object};
    changed->set("services", services.merge_overlay_members());
    changed->set("routes", routes.merge_overlay_members());
    const auto config = read_config(changed, validation_mode::no_references);
    return config &&
           std::all_of(config->routes.begin(), config->routes.end(),
                       [&](const auto& route) { return services.has(route.second.service); }) &&
           unchanged_routes_have_services(routes, services);
}

} // namespace kumquatdrift::internal
