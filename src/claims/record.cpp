#include <kumquatdrift/claims/state.hpp>

#include <algorithm>
#include <sstream>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/StreamCopier.h>

#include <kumquatdrift/core/digest.hpp>

namespace kumquatdrift {
namespace {

constexpr int record_format = 1;

using json_object = Poco::JSON::Object;

std::string to_base64(const std::string& bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder{text};
    // A line length of 0 disables line breaks.
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::string from_base64(const std::string& text)
{
    std::istringstream source{text};
    Poco::Base64Decoder decoder{source};
    std::string bytes;
    Poco::StreamCopier::copyToString(decoder, bytes);
    return bytes;
}

json_object::Ptr encode_entry(const claim_entry& entry)
{
    json_object::Ptr object{new json_object{Poco::JSON_PRESERVE_KEY_ORDER}};
    object->set("kind", std::string{to_name(entry.kind)});
    object->set("route", entry.route);
    object->set("key", entry.key);
    object->set("attempt", entry.attempt);
    if (entry.response) {
        object->set("status", entry.response->status);
        object->set("type", entry.response->content_type);
    }
    if (entry.response && entry.response->body) {
        object->set("body", to_base64(*entry.response->body));
    }
    return object;
}

stored_response decode_response(const json_object& object)
{
    stored_response response;
    response.status = object.getValue<std::uint16_t>("status");
    response.content_type = object.getValue<std::string>("type");
    if (object.has("body")) {
        response.body = from_base64(object.getValue<std::string>("body"));
    }
    return response;
}

std::optional<claim_entry> decode_entry(const json_object& object)
{
    const auto kind = from_name<claim_entry_kind>(object.getValue<std::string>("kind"));
    if (!kind) {
        return std::nullopt;
    }
    claim_entry entry;
    entry.kind = *kind;
    entry.route = object.getValue<std::string>("route");
    entry.key = object.getValue<std::string>("key");
    entry.attempt = object.getValue<std::string>("attempt");
    if (entry.kind == claim_entry_kind::completed) {
        entry.response = decode_response(object);
    }
    return entry;
}

decoded_claim_record decode_object(const json_object& object)
{
    if (object.getValue<int>("format") > record_format) {
        return {std::nullopt, claim_decode_error::unsupported};
    }
    claim_record record;
    record.read_to = object.getValue<Poco::UInt64>("read_to");
    const auto entries = object.getArray("entries");
    if (!entries) {
        return {};
    }
    for (unsigned index = 0; index < entries->size(); ++index) {
        const auto element = entries->getObject(index);
        auto entry = element ? decode_entry(*element) : std::nullopt;
        if (!entry) {
            return {};
        }
        record.entries.push_back(std::move(*entry));
    }
    return {std::move(record), {}};
}

} // namespace

bool is_valid_claim_key(std::string_view key) noexcept
{
    constexpr auto printable = [](char character) { return character >= ' ' && character <= '~'; };
    return !key.empty() && key.size() <= max_claim_key_bytes &&
           std::all_of(key.begin(), key.end(), printable);
}

std::size_t claim_partition_of(std::string_view route, std::string_view key) noexcept
{
    return digest(key, digest(route)) % claim_partitions;
}

std::string claim_stream(std::size_t partition)
{
    const auto number = std::to_string(partition);
    return (number.size() < 2 ? "claims-0" : "claims-") + number;
}

std::string encode_claim_record(const claim_record& record)
{
    Poco::JSON::Array::Ptr entries{new Poco::JSON::Array};
    for (const auto& entry : record.entries) {
        entries->add(encode_entry(entry));
    }
    json_object object{Poco::JSON_PRESERVE_KEY_ORDER};
    object.set("format", record_format);
    object.set("read_to", Poco::UInt64{record.read_to});
    object.set("entries", entries);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

decoded_claim_record decode_claim_record(std::string_view payload)
{
    try {
        Poco::JSON::Parser parser;
        const auto parsed = parser.parse(std::string{payload});
        if (parsed.type() != typeid(json_object::Ptr)) {
            return {};
        }
        return decode_object(*parsed.extract<json_object::Ptr>());
    }
    catch (const Poco::Exception&) {
        return {};
    }
}

} // namespace kumquatdrift
