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

using internal::integer_field;
using internal::list_field;
using internal::setting_field;
using internal::settings_table;
using internal::text_field;

std::string describe_range(const integer_field& type)
{
    return "a whole number from " + std::to_string(type.minimum) + " to " + std::to_string(type.maximum);
}

/*! @brief Returns the value at a dotted path, or an empty value if a parent is absent or not an object. */
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

void read_integer(const setting_field& field, const integer_field& type, const Poco::Dynamic::Var& value,
                  parsed_settings& parsed)
{
    auto& setting_value = type.access(parsed.settings);
    setting_value = type.default_value;
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
            // The number does not fit into std::int64_t, so it is reported as out of range.
            number = type.minimum - 1;
        }
    }
    if (!whole || number < type.minimum || number > type.maximum) {
        parsed.errors.push_back(
            {field.path, "must be " + describe_range(type) + ", found " + value.toString()});
        return;
    }
    setting_value = number;
}

void read_text(const setting_field& field, const text_field& type, const Poco::Dynamic::Var& value,
               parsed_settings& parsed)
{
    auto& setting_value = type.access(parsed.settings);
    setting_value = type.default_value;
    if (value.isEmpty()) {
        if (type.required) {
            parsed.errors.push_back({field.path, "is required: " + type.accepted});
        }
        return;
    }
    if (!value.isString() || !type.is_valid(value.toString())) {
        parsed.errors.push_back({field.path, "must be " + type.accepted + ", found " + value.toString()});
        return;
    }
    setting_value = value.toString();
}

void read_list(const setting_field& field, const list_field& type, const Poco::Dynamic::Var& value,
               parsed_settings& parsed)
{
    if (value.isEmpty()) {
        return;
    }
    if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
        parsed.errors.push_back({field.path, "must be a list of " + type.accepted});
        return;
    }
    auto& setting_value = type.access(parsed.settings);
    const auto& array = *value.extract<Poco::JSON::Array::Ptr>();
    for (std::size_t index = 0; index < array.size(); ++index) {
        const auto element = array.get(static_cast<unsigned int>(index));
        if (!element.isString() || !type.is_valid(element.toString())) {
            parsed.errors.push_back({field.path + "[" + std::to_string(index) + "]",
                                     "must be " + type.accepted + ", found " + element.toString()});
            continue;
        }
        setting_value.push_back(element.toString());
    }
}

void read_field(const setting_field& field, const Poco::JSON::Object::Ptr& root, parsed_settings& parsed)
{
    const auto value = find_value(root, field.path);
    if (const auto* integer = std::get_if<integer_field>(&field.type)) {
        read_integer(field, *integer, value, parsed);
    }
    else if (const auto* text = std::get_if<text_field>(&field.type)) {
        read_text(field, *text, value, parsed);
    }
    else {
        read_list(field, std::get<list_field>(field.type), value, parsed);
    }
}

/*! @brief Reports members that are not settings, and values of another type where an object is expected. */
void report_unknown_settings(const Poco::JSON::Object& object, const std::string& prefix,
                             parsed_settings& parsed)
{
    for (const auto& [name, value] : object) {
        const auto path = prefix + name;
        const auto& table = settings_table();
        const bool is_leaf =
            std::any_of(table.begin(), table.end(), [&](const auto& field) { return field.path == path; });
        if (is_leaf) {
            continue;
        }
        const bool is_group = std::any_of(table.begin(), table.end(), [&](const auto& field) {
            return field.path.starts_with(path + ".");
        });
        if (!is_group) {
            parsed.errors.push_back({path, "is not a known setting"});
        }
        else if (value.type() != typeid(Poco::JSON::Object::Ptr)) {
            parsed.errors.push_back({path, "must be an object"});
        }
        else {
            report_unknown_settings(*value.extract<Poco::JSON::Object::Ptr>(), path + ".", parsed);
        }
    }
}

/*! @brief Checks that no two TCP listeners share an address and port. Gossip uses UDP and cannot conflict. */
void check_ports(parsed_settings& parsed)
{
    const auto& settings = parsed.settings;
    const auto admin_ip = settings.admin_ip.empty() ? settings.ip : settings.admin_ip;
    std::set<std::pair<std::string, std::int64_t>> reserved;
    const auto reserve_port = [&](const std::string& location, const std::string& ip, std::int64_t port) {
        if (!reserved.emplace(ip, port).second) {
            parsed.errors.push_back(
                {location, "port " + std::to_string(port) + " is used by another listener"});
        }
    };
    reserve_port("listeners.caller.port", settings.ip, settings.caller.port);
    reserve_port("listeners.peer.port", settings.ip, settings.peer.port);
    reserve_port("listeners.admin.port", admin_ip, settings.admin.port);
    reserve_port("listeners.control.port", settings.ip, settings.control_port);
}

/*! @brief Checks timeouts and intervals that limit each other. */
void check_conflicts(parsed_settings& parsed)
{
    const auto& settings = parsed.settings;
    if (settings.probe_timeout_ms >= settings.probe_interval_ms) {
        parsed.errors.push_back(
            {"membership.probe_timeout_ms", "must be below membership.probe_interval_ms, which is " +
                                                std::to_string(settings.probe_interval_ms)});
    }
    if (settings.silence_timeout_ms <= settings.heartbeat_interval_ms) {
        parsed.errors.push_back({"distribution.silence_timeout_ms",
                                 "must be above distribution.heartbeat_interval_ms, which is " +
                                     std::to_string(settings.heartbeat_interval_ms)});
    }
}

} // namespace

parsed_settings parse_settings(std::string_view text)
{
    parsed_settings parsed;
    const auto root =
        internal::parse_object(strip_json_comments(text), internal::duplicate_member_policy::error);
    if (!root) {
        parsed.errors.push_back({"file", root.last_reason()});
        return parsed;
    }
    report_unknown_settings(**root, "", parsed);
    for (const auto& field : settings_table()) {
        read_field(field, *root, parsed);
    }
    check_ports(parsed);
    check_conflicts(parsed);
    return parsed;
}

result<daemon_settings> load_settings(const std::string& path)
{
    const std::ifstream file{path};
    if (!file) {
        return failure{path + ": cannot be read; pass the path of a settings file with --config"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto parsed = parse_settings(text.str());
    if (parsed.errors.empty()) {
        return std::move(parsed.settings);
    }
    std::string reason;
    for (const auto& error : parsed.errors) {
        reason += (reason.empty() ? "" : "\n") + path + ": " + error.location + ": " + error.reason;
    }
    return failure{reason};
}

std::string describe_settings()
{
    std::ostringstream page;
    page << "| setting | unit | accepted | default | meaning |\n|---|---|---|---|---|\n";
    for (const auto& field : settings_table()) {
        page << "| `" << field.path << "` | " << field.unit << " | ";
        if (const auto* integer = std::get_if<integer_field>(&field.type)) {
            page << integer->minimum << " to " << integer->maximum << " | " << integer->default_value;
        }
        else if (const auto* text = std::get_if<text_field>(&field.type)) {
            page << text->accepted << " | "
                 << (text->required ? "required" : '`' + text->default_value + '`');
        }
        else {
            page << "list of " << std::get<list_field>(field.type).accepted << " | `[]`";
        }
        page << " | " << field.description << " |\n";
    }
    return page.str();
}

} // namespace kumquatdrift
