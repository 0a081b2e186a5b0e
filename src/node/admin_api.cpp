#include "node/admin_api.hpp"

#include <algorithm>
#include <set>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/membership/announcements.hpp>

namespace kumquatdrift::internal {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::int64_t max_slots = 100'000;

std::string stringify_object(const Object::Ptr& object)
{
    std::ostringstream text;
    object->stringify(text);
    return text.str();
}

/*! @brief Reads a required member that must be a non-empty string. */
result<std::string> required_string(const Object& object, const std::string& name)
{
    const auto value = object.get(name);
    if (!value.isString() || value.toString().empty()) {
        return failure{"member \"" + name + "\" must be a text that is not empty"};
    }
    return value.toString();
}

/*! @brief Reads a required member that must be an integer from `minimum` to `maximum`. */
result<std::int64_t> required_integer(const Object& object, const std::string& name, std::int64_t minimum,
                                      std::int64_t maximum)
{
    const auto value = object.get(name);
    const failure invalid{"member \"" + name + "\" must be a whole number from " + std::to_string(minimum) +
                          " to " + std::to_string(maximum)};
    if (value.isEmpty() || !value.isInteger() || value.isBoolean()) {
        return invalid;
    }
    const auto number = value.convert<std::int64_t>();
    if (number < minimum || number > maximum) {
        return invalid;
    }
    return number;
}

result<announcement> announcement_from(const Object& object)
{
    static const std::set<std::string> member_names{"id", "service", "address", "slots", "state", "ttl_ms"};
    for (const auto& [name, value] : object) {
        if (!member_names.contains(name)) {
            return failure{"member \"" + name + "\" is not known"};
        }
    }
    const auto id = required_string(object, "id");
    const auto service = required_string(object, "service");
    const auto address = required_string(object, "address");
    const auto state_name = required_string(object, "state");
    const auto slots = required_integer(object, "slots", 1, max_slots);
    const auto ttl =
        required_integer(object, "ttl_ms", min_announcement_ttl.count(), max_announcement_ttl.count());
    for (const auto& reason : {id.last_reason(), service.last_reason(), address.last_reason(),
                               state_name.last_reason(), slots.last_reason(), ttl.last_reason()}) {
        if (!reason.empty()) {
            return failure{reason};
        }
    }
    const auto state = from_name<target_state>(*state_name);
    if (!state) {
        return failure{"member \"state\" must be cold, ready or draining"};
    }
    return announcement{{*id, *service, *address, static_cast<std::uint32_t>(*slots), *state},
                        milliseconds{*ttl}};
}

Object::Ptr target_object(const target_record& target)
{
    Object::Ptr object{new Object};
    object->set("id", target.id);
    object->set("service", target.service);
    object->set("state", std::string{to_name(target.state)});
    object->set("slots", target.slots);
    return object;
}

/*! @brief Returns the time since the start of a member in milliseconds; 0 if the start lies in the future by
 * the clock of this node. */
std::uint64_t process_age_ms(const member_record& record, std::uint64_t epoch_us)
{
    constexpr std::uint64_t us_per_ms = 1'000;
    return epoch_us > record.start_time ? (epoch_us - record.start_time) / us_per_ms : 0;
}

Object::Ptr member_object(const member_entry& entry, bool is_self, const node_status& status)
{
    Object::Ptr object{new Object};
    object->set("node", entry.record.node);
    object->set("data_centre", entry.record.data_centre);
    object->set("status", std::string{to_name(entry.status)});
    object->set("state", std::string{to_name(entry.record.state)});
    object->set("version", is_self ? status.in_force : entry.record.version);
    object->set("age_ms", process_age_ms(entry.record, status.epoch_us));
    Array::Ptr targets{new Array};
    for (const auto& target : entry.record.targets) {
        targets->add(target_object(target));
    }
    object->set("targets", targets);
    return object;
}

Object::Ptr config_object(const distribution_status& distribution)
{
    Object::Ptr object{new Object};
    object->set("next_offset", distribution.next_offset);
    object->set("source", std::string{to_name(distribution.source)});
    object->set("version_floor", distribution.version_floor);
    object->set("upgrade_needed", distribution.upgrade_needed);
    object->set("age_ms", distribution.age.count());
    object->set("children", distribution.children);
    object->set("last_reason", distribution.last_reason);
    Array::Ptr parents{new Array};
    for (const auto& parent : distribution.parents) {
        parents->add(parent);
    }
    object->set("parents", parents);
    Array::Ptr outcomes{new Array};
    for (const auto& record : distribution.recent) {
        Object::Ptr outcome{new Object};
        outcome->set("offset", record.offset);
        outcome->set("kind", record.outcome);
        outcome->set("reason", record.reason);
        outcome->set("edit_id", record.edit_id);
        outcomes->add(outcome);
    }
    object->set("last_outcomes", outcomes);
    return object;
}

/*! @brief Returns the data centres in which every member is unreachable. */
std::vector<std::string> unreachable_data_centres(const member_view& view)
{
    std::set<std::string> unreachable;
    std::set<std::string> reachable;
    for (const auto& [name, entry] : view.members) {
        auto& matching_names = entry.status == member_status::unreachable ? unreachable : reachable;
        matching_names.insert(entry.record.data_centre);
    }
    std::vector<std::string> names;
    std::set_difference(unreachable.begin(), unreachable.end(), reachable.begin(), reachable.end(),
                        std::back_inserter(names));
    return names;
}

Array::Ptr condition_array(const readiness& current)
{
    Array::Ptr conditions{new Array};
    for (const auto& condition : current.conditions) {
        conditions->add(condition);
    }
    return conditions;
}

} // namespace

result<announcement> parse_announcement(std::string_view body)
{
    try {
        Poco::JSON::Parser parser;
        const auto parsed = parser.parse(std::string{body});
        if (parsed.type() != typeid(Object::Ptr)) {
            return failure{"the body must be a JSON object"};
        }
        return announcement_from(*parsed.extract<Object::Ptr>());
    }
    catch (const Poco::Exception& error) {
        return failure{"the body is not valid JSON: " + error.message()};
    }
}

readiness evaluate_readiness(const node_status& status)
{
    readiness current{true, {}};
    const auto add_blocking_condition = [&](std::string reason) {
        current.ready = false;
        current.conditions.push_back(std::move(reason));
    };
    if (status.draining) {
        add_blocking_condition("the node is draining");
    }
    if (status.in_force == 0) {
        add_blocking_condition("no configuration version is in force yet");
    }
    if (status.in_force < status.distribution.version_floor) {
        add_blocking_condition("the node held version " + std::to_string(status.distribution.version_floor) +
                               " before its restart and has not reached it again");
    }
    if (status.distribution.upgrade_needed) {
        current.conditions.emplace_back(
            "the log holds a record of a newer format; upgrade this node to receive newer versions");
    }
    if (!status.distribution.last_reason.empty()) {
        current.conditions.push_back("configuration source: " + status.distribution.last_reason);
    }
    for (const auto& data_centre : unreachable_data_centres(*status.view)) {
        current.conditions.push_back("data centre " + data_centre + " is unreachable");
    }
    return current;
}

std::string to_json(const readiness& current)
{
    Object::Ptr object{new Object};
    object->set("ready", current.ready);
    object->set("conditions", condition_array(current));
    return stringify_object(object);
}

std::string to_json(const node_status& status)
{
    const auto current = evaluate_readiness(status);
    Object::Ptr object{new Object};
    object->set("node", status.view->self);
    object->set("version", status.in_force);
    object->set("in_force_since_us", status.in_force_since_us);
    object->set("ready", current.ready);
    object->set("conditions", condition_array(current));
    object->set("source", std::string{to_name(status.distribution.source)});
    object->set("config", config_object(status.distribution));
    Array::Ptr members{new Array};
    for (const auto& [name, entry] : status.view->members) {
        const bool is_self = name == status.view->self;
        members->add(member_object(entry, is_self, status));
        if (is_self) {
            object->set("data_centre", entry.record.data_centre);
        }
    }
    object->set("members", members);
    return stringify_object(object);
}

} // namespace kumquatdrift::internal
