#include "node_status.hpp"

#include <utility>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace kumquatdrift::internal {

namespace {

using Poco::JSON::Object;

/*! @brief Calls a function for each object in an array member. An absent array is treated as empty. */
template<typename Function>
void for_each_object(const Object& parent, const std::string& name, const Function& function)
{
    const auto array = parent.getArray(name);
    if (array.isNull()) {
        return;
    }
    for (const auto& element : *array) {
        function(*element.extract<Object::Ptr>());
    }
}

status_target decode_target(const Object& object)
{
    return {object.getValue<std::string>("id"), object.getValue<std::string>("service"),
            object.getValue<std::string>("state"), object.optValue<std::uint64_t>("slots", 0)};
}

status_member decode_member(const Object& object)
{
    status_member member;
    member.node = object.getValue<std::string>("node");
    member.data_centre = object.getValue<std::string>("data_centre");
    member.status = object.getValue<std::string>("status");
    member.state = object.getValue<std::string>("state");
    member.version = object.getValue<std::uint64_t>("version");
    member.age_ms = object.optValue<std::uint64_t>("age_ms", 0);
    for_each_object(object, "targets",
                    [&](const Object& target) { member.targets.push_back(decode_target(target)); });
    return member;
}

node_status decode(const Object& object)
{
    node_status status;
    status.node = object.getValue<std::string>("node");
    status.data_centre = object.getValue<std::string>("data_centre");
    status.version = object.getValue<std::uint64_t>("version");
    status.ready = object.getValue<bool>("ready");
    status.source = object.optValue<std::string>("source", "");
    for_each_object(object, "members",
                    [&](const Object& member) { status.members.push_back(decode_member(member)); });
    const auto config = object.getObject("config");
    if (!config.isNull()) {
        status.next_offset = config->optValue<std::uint64_t>("next_offset", 0);
        status.config_source = config->optValue<std::string>("source", "");
        for_each_object(*config, "last_outcomes", [&](const Object& outcome) {
            status.last_outcomes.push_back({outcome.getValue<std::uint64_t>("offset"),
                                            outcome.getValue<std::string>("kind"),
                                            outcome.optValue<std::string>("reason", "")});
        });
    }
    return status;
}

} // namespace

result<node_status> decode_status(const std::string& body)
{
    try {
        return decode(*Poco::JSON::Parser{}.parse(body).extract<Object::Ptr>());
    }
    catch (const Poco::Exception& error) {
        return failure{"the status of the node cannot be decoded: " + error.displayText()};
    }
}

bool is_live(const status_member& member)
{
    return (member.status == "alive" || member.status == "suspect") && member.state != "left";
}

} // namespace kumquatdrift::internal
