#include "node/advisory_codec.hpp"

#include <charconv>
#include <cstdint>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <kumquatdrift/core/digest.hpp>

namespace kumquatdrift::internal {

namespace {

constexpr std::string_view key_prefix = "crash/";
constexpr std::size_t fingerprint_digits = 16;
constexpr int hex_base = 16;

// Maximum size of the value of a gossip entry that the membership module accepts.
constexpr std::size_t max_value_bytes = 256;

std::string stringify_array(const Poco::JSON::Array& array)
{
    std::ostringstream text;
    array.stringify(text);
    return text.str();
}

} // namespace

encoded_advisory encode_crash_advisory(const crash_advisory& advisory, std::string_view node)
{
    std::string value = "[]";
    Poco::JSON::Array entries;
    for (const auto& evidence : advisory.evidence) {
        Poco::JSON::Array entry;
        entry.add(evidence.target);
        entry.add(evidence.crashes);
        entry.add(evidence.cleared);
        entries.add(entry);
        auto extended = stringify_array(entries);
        if (extended.size() > max_value_bytes) {
            break;
        }
        value = std::move(extended);
    }
    return {std::string{key_prefix} + to_hex(advisory.fingerprint) + '/' + to_hex(digest(node)), value};
}

result<crash_advisory> decode_crash_advisory(std::string_view key, std::string_view value)
{
    if (!key.starts_with(key_prefix) || key.size() < key_prefix.size() + fingerprint_digits) {
        return failure{"not the key of a crash advisory"};
    }
    crash_advisory advisory;
    const auto digits = key.substr(key_prefix.size(), fingerprint_digits);
    const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), advisory.fingerprint, hex_base);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size()) {
        return failure{"the fingerprint is not a hexadecimal number"};
    }
    try {
        Poco::JSON::Parser parser;
        const auto entries = parser.parse(std::string{value}).extract<Poco::JSON::Array::Ptr>();
        for (unsigned index = 0; index < entries->size(); ++index) {
            const auto entry = entries->getArray(index);
            if (entry.isNull() || entry->size() != 3) {
                return failure{"an entry of the evidence is malformed"};
            }
            advisory.evidence.push_back({entry->getElement<std::string>(0),
                                         entry->getElement<std::uint32_t>(1),
                                         entry->getElement<std::uint32_t>(2)});
        }
    }
    catch (const Poco::Exception& error) {
        return failure{"the evidence is malformed: " + error.message()};
    }
    return advisory;
}

} // namespace kumquatdrift::internal
