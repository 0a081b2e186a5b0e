#include "overlay_check.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "validation.hpp"

namespace kumquatdrift::internal {

namespace {

/*! @brief A section of a document, `services` or `routes`, before and after the merge. */
struct merged_section {
    /*! @brief Members of the base. Not null. */
    object_ptr base{};
    /*! @brief Members of the overlay. Not null. */
    object_ptr overlay{};
    /*! @brief True if the overlay removes the whole section. */
    bool dropped{};

    /*! @brief Checks whether the merge has a member. */
    [[nodiscard]] bool has(const std::string& name) const
    {
        if (this->overlay->has(name)) {
            return !this->overlay->isNull(name);
        }
        return !this->dropped && this->base->has(name);
    }

    /*! @brief Checks whether the merge lacks a member that the base has. */
    [[nodiscard]] bool removes_any() const
    {
        return this->dropped ||
               std::any_of(std::as_const(*this->overlay).begin(), std::as_const(*this->overlay).end(),
                           [](const auto& member) { return member.second.isEmpty(); });
    }

    /*! @brief Merges the members that the overlay names and does not remove. */
    [[nodiscard]] object_ptr merge_named() const
    {
        object_ptr merged{new Poco::JSON::Object};
        for (const auto& [name, patch] : std::as_const(*this->overlay)) {
            if (const auto* const members = as_object(patch)) {
                const auto before = this->base->get(name);
                const auto* const target = as_object(before);
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

/*! @brief Checks the routes of the base that the overlay leaves as they are. */
bool untouched_routes_keep_their_services(const merged_section& routes, const merged_section& services)
{
    if (routes.dropped || !services.removes_any()) {
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
    object_ptr named{new Poco::JSON::Object};
    named->set("services", services.merge_named());
    named->set("routes", routes.merge_named());
    const auto read = read_config(named, reading_mode::members);
    return read &&
           std::all_of(read->routes.begin(), read->routes.end(),
                       [&](const auto& route) { return services.has(route.second.service); }) &&
           untouched_routes_keep_their_services(routes, services);
}

} // namespace kumquatdrift::internal
