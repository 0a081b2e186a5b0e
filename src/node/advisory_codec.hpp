#ifndef KUMQUATDRIFT_NODE_ADVISORY_CODEC_HPP
#define KUMQUATDRIFT_NODE_ADVISORY_CODEC_HPP

#include <string>
#include <string_view>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/membership/state.hpp>
#include <kumquatdrift/traffic/quarantine.hpp>

namespace kumquatdrift::internal {

/*! @brief A crash advisory as a gossip entry. */
struct encoded_advisory {
    /*! @brief Key; differs for each fingerprint and node, so that each entry has one writer. */
    std::string key{};
    /*! @brief Evidence as JSON. */
    std::string value{};
};

/**
 * @brief Encodes a crash advisory for gossip. Evidence that does not fit the size of an entry is left out.
 * @param advisory The advisory.
 * @param node Name of this node.
 * @return Key and value.
 */
[[nodiscard]] encoded_advisory encode_crash_advisory(const crash_advisory& advisory, std::string_view node);

/**
 * @brief Decodes a crash advisory.
 * @param key Key of the gossip entry.
 * @param value Value of the gossip entry.
 * @return The advisory, or why the entry is none.
 */
[[nodiscard]] result<crash_advisory> decode_crash_advisory(std::string_view key, std::string_view value);

} // namespace kumquatdrift::internal

#endif
