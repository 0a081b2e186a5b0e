#ifndef KUMQUATDRIFT_TESTS_FUZZ_CONFIG_FOLD_MODEL_HPP
#define KUMQUATDRIFT_TESTS_FUZZ_CONFIG_FOLD_MODEL_HPP

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <kumquatdrift/config/fold.hpp>

namespace kumquatdrift::fuzz {

/*! @brief Names of the services and routes that the generated documents use. */
inline constexpr std::array<const char*, 3> service_names{"s0", "s1", "s2"};
inline constexpr std::array<const char*, 2> route_names{"r0", "r1"};
inline constexpr int overlay_count = 3;

/*! @brief Value of a service or route that a document does not contain. */
inline constexpr int absent = -2;
/*! @brief Value of a service or route that is null in a document. */
inline constexpr int removed = -1;

/*! @brief Simplified document or patch. A valid base document has no member that is `removed`. */
struct model_document {
    /*! @brief For each service: `absent`, `removed`, or 0 for present. */
    std::array<int, 3> services{absent, absent, absent};
    /*! @brief For each route: `absent`, `removed`, or the index of its service. */
    std::array<int, 2> routes{absent, absent};

    bool operator==(const model_document&) const = default;
};

/*! @brief Applies a patch member by member. */
inline model_document merge(model_document document, const model_document& patch)
{
    const auto apply = [](auto& into, const auto& changes) {
        for (std::size_t index = 0; index < into.size(); ++index) {
            if (changes[index] != absent) {
                into[index] = changes[index] == removed ? absent : changes[index];
            }
        }
    };
    apply(document.services, patch.services);
    apply(document.routes, patch.routes);
    return document;
}

/*! @brief Checks that a configuration has no null member and that the service of each route is present. */
inline bool is_valid(const model_document& config)
{
    const auto is_valid_route = [&](int route) {
        return route == absent || (route >= 0 && config.services[static_cast<std::size_t>(route)] == 0);
    };
    const auto is_valid_service = [](int service) { return service != removed; };
    return std::all_of(config.services.begin(), config.services.end(), is_valid_service) &&
           std::all_of(config.routes.begin(), config.routes.end(), is_valid_route);
}

/*! @brief Renders the canonical JSON text. */
inline std::string render(const model_document& document)
{
    std::string services;
    std::string routes;
    for (std::size_t index = 0; index < document.services.size(); ++index) {
        if (document.services[index] != absent) {
            services.append(services.empty() ? "\"" : ",\"").append(service_names[index]).append("\":");
            services.append(document.services[index] == removed ? "null" : "{}");
        }
    }
    for (std::size_t index = 0; index < document.routes.size(); ++index) {
        const auto service = document.routes[index];
        if (service != absent) {
            routes.append(routes.empty() ? "\"" : ",\"").append(route_names[index]).append("\":");
            routes.append(service == removed
                              ? "null"
                              : std::string{R"({"service":"s)"} + std::to_string(service) + "\"}");
        }
    }
    return R"({"routes":{)" + routes + R"(},"services":{)" + services + "}}";
}

/*! @brief Content of a log record that the model evaluates. */
struct model_record {
    enum class kind : std::uint8_t { edit, checkpoint, invalid };

    kind type{kind::invalid};
    /*! @brief Document of an edit: 0 for the base, else the number of the overlay. */
    int document{};
    /*! @brief Parent of an edit, -1 for none. */
    std::int64_t parent{-1};
    /*! @brief Id of an edit. */
    int edit_id{};
    /*! @brief Content or patch of an edit. */
    model_document content{};
    /*! @brief True if the content is a patch. */
    bool patch{};
    /*! @brief Offset after the last record that a checkpoint covers. */
    log_offset covers{};
};

/*! @brief Reference implementation of the fold: the outcome of each record and the documents in force. */
class model {
public:
    /*! @brief Applies the next record and returns its outcome. */
    outcome_kind apply(const model_record& record)
    {
        const auto offset = this->next++;
        if (record.type == model_record::kind::invalid) {
            return outcome_kind::invalid;
        }
        if (record.type == model_record::kind::checkpoint) {
            return outcome_kind::checkpoint;
        }
        return this->apply_edit(record, offset);
    }

    /*! @brief Returns the offset of a document's last accepted edit, -1 for none. */
    [[nodiscard]] std::int64_t last_edit(int document) const
    {
        const auto found = this->documents.find(document);
        return found != this->documents.end() ? static_cast<std::int64_t>(found->second.offset) : -1;
    }

    /*! @brief A document in force. */
    struct entry {
        model_document content{};
        log_offset offset{};
    };

    log_offset next{};
    config_version version{};
    std::map<int, entry> documents{};

private:
    outcome_kind apply_edit(const model_record& record, log_offset offset)
    {
        if (std::find(this->recent_edit_ids.begin(), this->recent_edit_ids.end(), record.edit_id) !=
            this->recent_edit_ids.end()) {
            return outcome_kind::duplicate;
        }
        this->recent_edit_ids.push_back(record.edit_id);
        if (this->recent_edit_ids.size() > max_recent_edits) {
            this->recent_edit_ids.erase(this->recent_edit_ids.begin());
        }
        if (record.parent != this->last_edit(record.document)) {
            return outcome_kind::lost_race;
        }
        auto changed = this->documents;
        auto& edited = changed[record.document];
        if (record.patch && record.parent == -1) {
            return outcome_kind::invalid;
        }
        edited = {record.patch ? merge(edited.content, record.content) : record.content, offset};
        if (!all_valid(changed)) {
            return outcome_kind::invalid;
        }
        this->documents = std::move(changed);
        this->version = offset + 1;
        return outcome_kind::accepted;
    }

    static bool all_valid(const std::map<int, entry>& documents)
    {
        const auto base = documents.find(0);
        return base != documents.end() && is_valid(base->second.content) &&
               std::all_of(documents.begin(), documents.end(), [&](const auto& document) {
                   return document.first == 0 ||
                          is_valid(merge(base->second.content, document.second.content));
               });
    }

    std::vector<int> recent_edit_ids{};
};

} // namespace kumquatdrift::fuzz

#endif
