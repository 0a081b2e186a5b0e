#include "json.hpp"

#include <set>
#include <sstream>
#include <utility>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/JSON/JSONException.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>

namespace kumquatdrift::internal {

namespace {

template<typename Type>
const Type* get_if(const json_value& value) noexcept
{
    return !value.isEmpty() && value.type() == typeid(Type) ? &value.extract<Type>() : nullptr;
}

/*! @brief Rejects duplicate member names in an object. Otherwise one of two routes with the same name would
 * be discarded silently. */
class unique_member_handler : public Poco::JSON::ParseHandler {
public:
    void startObject() override
    {
        this->names.emplace_back();
        ParseHandler::startObject();
    }

    void endObject() override
    {
        this->names.pop_back();
        ParseHandler::endObject();
    }

    void key(const std::string& name) override
    {
        if (!this->names.back().insert(name).second) {
            throw Poco::JSON::JSONException{"member \"" + name + "\" appears twice in one object"};
        }
        ParseHandler::key(name);
    }

private:
    std::vector<std::set<std::string>> names{};
};

} // namespace

result<object_ptr> parse_object(std::string_view text, duplicate_member_policy duplicates)
{
    try {
        Poco::JSON::Parser parser;
        if (duplicates == duplicate_member_policy::error) {
            parser.setHandler(new unique_member_handler);
        }
        const auto value = parser.parse(std::string{text});
        if (const auto* const object = as_object(value)) {
            return *object;
        }
        return failure{"not a JSON object"};
    }
    catch (const Poco::Exception& error) {
        return failure{"not valid JSON: " +
                       (error.message().empty() ? error.displayText() : error.message())};
    }
}

const std::string& json_tree::text() const
{
    std::call_once(this->formatted, [this] { this->canonical_text = to_text(this->object); });
    return this->canonical_text;
}

std::string to_text(const json_value& value)
{
    std::ostringstream text;
    Poco::JSON::Stringifier::condense(value, text);
    return std::move(text).str();
}

json_document to_document(object_ptr object)
{
    return json_document{std::make_shared<const json_tree>(std::move(object))};
}

const object_ptr* as_object(const json_value& value) noexcept
{
    return get_if<object_ptr>(value);
}

const array_ptr* as_array(const json_value& value) noexcept
{
    return get_if<array_ptr>(value);
}

const std::string* as_string(const json_value& value) noexcept
{
    return get_if<std::string>(value);
}

object_ptr apply_patch(const object_ptr& target, const object_ptr& patch)
{
    object_ptr merged{new Poco::JSON::Object{*target}};
    for (const auto& [name, value] : *patch) {
        if (value.isEmpty()) {
            merged->remove(name);
            continue;
        }
        const auto* const member_patch = as_object(value);
        if (member_patch == nullptr) {
            merged->set(name, value);
            continue;
        }
        const auto member = target->get(name);
        const auto* const object = as_object(member);
        merged->set(name, apply_patch(object != nullptr ? *object : object_ptr{new Poco::JSON::Object},
                                      *member_patch));
    }
    return merged;
}

void append_token(std::string& pointer, std::string_view name)
{
    pointer += '/';
    for (const auto character : name) {
        if (character == '~') {
            pointer += "~0";
        }
        else if (character == '/') {
            pointer += "~1";
        }
        else {
            pointer += character;
        }
    }
}

} // namespace kumquatdrift::internal
