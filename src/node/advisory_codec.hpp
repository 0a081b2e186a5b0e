#ifndef KUMQUATDRIFT_NODE_ADVISORY_CODEC_HPP
#define KUMQUATDRIFT_NODE_ADVISORY_CODEC_HPP

#include <string>
#include <string_view>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/membership/state.hpp>
#include <kumquatdrift/traffic/quarantine.hpp>

namespace kumquatdrift::internal {

/*! @brief Gossip entry that carries a crash advisory. */
struct encoded_advisory {
    /*! @brief Key, unique for each fingerprint and node, so that each entry has a single writer. */
    std::string key{};
    /*! @brief Evidence as JSON. */
    std::string value{};
};

/**
 * @brief Encodes a crash advisory for gossip. Truncates the evidence to the size limit of an entry and omits
 * the age.
 * @param advisory The advisory.
 * @param node Name of this node.
 * @return The gossip entry.
 */
[[nodiscard]] encoded_advisory encode_crash_advisory(const crash_advisory& advisory, std::string_view node);

/**
 * @brief Decodes a crash advisory.
 * @param key Key of the gossip entry.
 * @param value Value of the gossip entry.
 * @return The advisory with age 0, or why the entry is invalid.
 */
[[nodiscard]] result<crash_advisory> decode_crash_advisory(std::string_view key, std::string_view value);

} // namespace kumquatdrift::internal

#endif
