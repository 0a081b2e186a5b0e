#include <kumquatdrift/membership/presence.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <sstream>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace kumquatdrift {
namespace {

constexpr int presence_format = 1;
constexpr std::size_t max_presence_bytes = 1'024;
constexpr std::size_t max_text_bytes = 64;
constexpr int max_depth = 4;

std::string string_field(const Poco::JSON::Object& object, const std::string& name)
{
    const auto value = object.get(name);
    return value.isString() ? value.extract<std::string>() : std::string{};
}

bool is_valid_string(const std::string& text) noexcept
{
    return !text.empty() && text.size() <= max_text_bytes;
}

result<presence_record> read_presence(const Poco::JSON::Object& object)
{
    if (object.getValue<int>("format") != presence_format) {
        return failure{"the presence record has an unknown format version"};
    }
    presence_record record;
    record.node = string_field(object, "node");
    record.data_centre = string_field(object, "data_centre");
    record.start_time = object.getValue<Poco::UInt64>("start_time");
    record.address.ip = string_field(object, "ip");
    record.address.port = object.getValue<Poco::UInt16>("gossip_port");
    if (!is_valid_string(record.node) || !is_valid_string(record.data_centre) ||
        !is_valid_string(record.address.ip) || record.address.port == 0) {
        return failure{
            "the presence record has a name or an IP address that is not 1 to 64 bytes, or port 0"};
    }
    return record;
}

} // namespace

std::string encode_presence(const presence_record& record)
{
    Poco::JSON::Object object;
    object.set("format", presence_format);
    object.set("node", record.node);
    object.set("data_centre", record.data_centre);
    object.set("start_time", Poco::UInt64{record.start_time});
    object.set("ip", record.address.ip);
    object.set("gossip_port", record.address.port);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

result<presence_record> decode_presence(std::string_view text)
{
    if (text.size() > max_presence_bytes) {
        return failure{"the presence record exceeds 1024 bytes"};
    }
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(max_depth);
        const auto object = parser.parse(std::string{text}).extract<Poco::JSON::Object::Ptr>();
        return read_presence(*object);
    }
    catch (const Poco::Exception& error) {
        return failure{"the presence record is invalid: " + error.displayText()};
    }
}

presence_record presence_of(const member_record& member)
{
    return {member.node, member.data_centre, member.start_time, {member.ip, member.gossip_port}};
}

std::vector<gossip_address> pick_contacts(const std::vector<log_record>& records, std::string_view self,
                                          std::string_view data_centre, std::size_t count, random_engine& rng)
{
    std::map<std::string, presence_record> newest;
    for (const auto& item : records) {
        auto decoded = decode_presence(item.payload);
        if (decoded && decoded->node != self) {
            newest.insert_or_assign(decoded->node, std::move(*decoded));
        }
    }
    std::vector<presence_record> candidates;
    candidates.reserve(newest.size());
    for (auto& [node, record] : newest) {
        candidates.push_back(std::move(record));
    }
    std::shuffle(candidates.begin(), candidates.end(), rng);
    std::stable_partition(candidates.begin(), candidates.end(), [&](const presence_record& candidate) {
        return candidate.data_centre == data_centre;
    });
    std::vector<gossip_address> contacts;
    for (std::size_t index = 0; index < std::min(count, candidates.size()); ++index) {
        contacts.push_back(candidates[index].address);
    }
    return contacts;
}

microseconds presence_delay(const presence_schedule& schedule, std::uint64_t appended, random_engine& rng)
{
    if (appended == 0) {
        return full_jitter(rng, schedule.first);
    }
    return schedule.period / 2 + full_jitter(rng, schedule.period);
}

} // namespace kumquatdrift
