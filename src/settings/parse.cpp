#include <kumquatdrift/settings/parse.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <kumquatdrift/core/json_comments.hpp>

#include "config/json.hpp"
#include "settings/fields.hpp"

namespace kumquatdrift {

namespace {

using internal::field;
using internal::integer_field;
using internal::list_field;
using internal::settings_table;
using internal::text_field;

std::string range_of(const integer_field& kind)
{
    return "a whole number from " + std::to_string(kind.minimum) + " to " + std::to_string(kind.maximum);
}

/*! @brief Finds the value at a dotted path; an absent or non-object parent gives an empty value. */
Poco::Dynamic::Var find_value(const Poco::JSON::Object::Ptr& root, std::string_view path)
{
    auto object = root;
    for (auto dot = path.find('.'); dot != std::string_view::npos; dot = path.find('.')) {
        object = object->getObject(std::string{path.substr(0, dot)});
        if (object.isNull()) {
            return {};
        }
        path.remove_prefix(dot + 1);
    }
    return object->get(std::string{path});
}

void read_integer(const field& row, const integer_field& kind, const Poco::Dynamic::Var& value,
                  settings_outcome& outcome)
{
    auto& member = kind.member(outcome.settings);
    member = kind.fallback;
    if (value.isEmpty()) {
        return;
    }
    std::int64_t number = 0;
    const bool whole = value.isInteger() && !value.isBoolean();
    if (whole) {
        try {
            number = value.convert<std::int64_t>();
        }
        catch (const Poco::Exception&) {
            number = kind.minimum - 1;
        }
    }
    if (!whole || number < kind.minimum || number > kind.maximum) {
        outcome.faults.push_back({row.path, "must be " + range_of(kind) + ", found " + value.toString()});
        return;
    }
    member = number;
}

void read_text(const field& row, const text_field& kind, const Poco::Dynamic::Var& value,
               settings_outcome& outcome)
{
    auto& member = kind.member(outcome.settings);
    member = kind.fallback;
    if (value.isEmpty()) {
        if (kind.required) {
            outcome.faults.push_back({row.path, "is required: " + kind.accepted});
        }
        return;
    }
    if (!value.isString() || !kind.check(value.toString())) {
        outcome.faults.push_back({row.path, "must be " + kind.accepted + ", found " + value.toString()});
        return;
    }
    member = value.toString();
}

void read_list(const field& row, const list_field& kind, const Poco::Dynamic::Var& value,
               settings_outcome& outcome)
{
    if (value.isEmpty()) {
        return;
    }
    if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
        outcome.faults.push_back({row.path, "must be a list of " + kind.accepted});
        return;
    }
    auto& member = kind.member(outcome.settings);
    const auto& array = *value.extract<Poco::JSON::Array::Ptr>();
    for (std::size_t index = 0; index < array.size(); ++index) {
        const auto element = array.get(static_cast<unsigned int>(index));
        if (!element.isString() || !kind.check(element.toString())) {
            outcome.faults.push_back({row.path + "[" + std::to_string(index) + "]",
                                      "must be " + kind.accepted + ", found " + element.toString()});
            continue;
        }
        member.push_back(element.toString());
    }
}

void read_field(const field& row, const Poco::JSON::Object::Ptr& root, settings_outcome& outcome)
{
    const auto value = find_value(root, row.path);
    if (const auto* integer = std::get_if<integer_field>(&row.kind)) {
        read_integer(row, *integer, value, outcome);
    }
    else if (const auto* text = std::get_if<text_field>(&row.kind)) {
        read_text(row, *text, value, outcome);
    }
    else {
        read_list(row, std::get<list_field>(row.kind), value, outcome);
    }
}

/*! @brief Reports members that the table does not know, and scalars where an object is expected. */
void find_unknown(const Poco::JSON::Object& object, const std::string& prefix, settings_outcome& outcome)
{
    for (const auto& [name, value] : object) {
        const auto path = prefix + name;
        const auto& table = settings_table();
        const bool is_leaf =
            std::any_of(table.begin(), table.end(), [&](const auto& row) { return row.path == path; });
        if (is_leaf) {
            continue;
        }
        const bool is_group = std::any_of(table.begin(), table.end(),
                                          [&](const auto& row) { return row.path.starts_with(path + "."); });
        if (!is_group) {
            outcome.faults.push_back({path, "is not a known setting"});
        }
        else if (value.type() != typeid(Poco::JSON::Object::Ptr)) {
            outcome.faults.push_back({path, "must be an object"});
        }
        else {
            find_unknown(*value.extract<Poco::JSON::Object::Ptr>(), path + ".", outcome);
        }
    }
}

void check_ports(settings_outcome& outcome)
{
    const auto& settings = outcome.settings;
    const auto admin_ip = settings.admin_ip.empty() ? settings.ip : settings.admin_ip;
    std::set<std::pair<std::string, std::int64_t>> used;
    const auto claim = [&](const std::string& place, const std::string& ip, std::int64_t port) {
        if (!used.emplace(ip, port).second) {
            outcome.faults.push_back(
                {place, "port " + std::to_string(port) + " is used by another listener"});
        }
    };
    claim("listeners.caller.port", settings.ip, settings.caller.port);
    claim("listeners.peer.port", settings.ip, settings.peer.port);
    claim("listeners.admin.port", admin_ip, settings.admin.port);
    claim("listeners.control.port", settings.ip, settings.control_port);
}

/*! @brief Checks values that depend on each other. */
void check_relations(settings_outcome& outcome)
{
    const auto& settings = outcome.settings;
    if (settings.probe_timeout_ms >= settings.probe_interval_ms) {
        outcome.faults.push_back(
            {"membership.probe_timeout_ms", "must be below membership.probe_interval_ms, which is " +
                                                std::to_string(settings.probe_interval_ms)});
    }
    if (settings.silence_timeout_ms <= settings.heartbeat_interval_ms) {
        outcome.faults.push_back({"distribution.silence_timeout_ms",
                                  "must be above distribution.heartbeat_interval_ms, which is " +
                                      std::to_string(settings.heartbeat_interval_ms)});
    }
}

} // namespace

settings_outcome parse_settings(std::string_view text)
{
    settings_outcome outcome;
    const auto root = internal::parse_object(blank_json_comments(text), internal::repeated_members::error);
    if (!root) {
        outcome.faults.push_back({"file", root.last_reason()});
        return outcome;
    }
    find_unknown(**root, "", outcome);
    for (const auto& row : settings_table()) {
        read_field(row, *root, outcome);
    }
    check_ports(outcome);
    check_relations(outcome);
    return outcome;
}

result<daemon_settings> load_settings(const std::string& path)
{
    const std::ifstream file{path};
    if (!file) {
        return failure{path + ": cannot be read; pass the path of a settings file with --config"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto outcome = parse_settings(text.str());
    if (outcome.faults.empty()) {
        return std::move(outcome.settings);
    }
    std::string reason;
    for (const auto& fault : outcome.faults) {
        reason += (reason.empty() ? "" : "\n") + path + ": " + fault.place + ": " + fault.reason;
    }
    return failure{reason};
}

std::string describe_settings()
{
    std::ostringstream page;
    page << "| setting | unit | accepted | default | meaning |\n|---|---|---|---|---|\n";
    for (const auto& row : settings_table()) {
        page << "| `" << row.path << "` | " << row.unit << " | ";
        if (const auto* integer = std::get_if<integer_field>(&row.kind)) {
            page << integer->minimum << " to " << integer->maximum << " | " << integer->fallback;
        }
        else if (const auto* text = std::get_if<text_field>(&row.kind)) {
            page << text->accepted << " | " << (text->required ? "required" : '`' + text->fallback + '`');
        }
        else {
            page << "list of " << std::get<list_field>(row.kind).accepted << " | `[]`";
        }
        page << " | " << row.description << " |\n";
    }
    return page.str();
}

} // namespace kumquatdrift
