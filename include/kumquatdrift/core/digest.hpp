#ifndef KUMQUATDRIFT_CORE_DIGEST_HPP
#define KUMQUATDRIFT_CORE_DIGEST_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatdrift {

/**
 * @brief Computes the 64-bit digest of a byte sequence with xxHash64.
 * @param bytes The bytes.
 * @param seed Seed of the hash; chain digests by passing the previous one.
 * @return The digest.
 */
[[nodiscard]] std::uint64_t digest(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/**
 * @brief Formats a digest as 16 lowercase hexadecimal digits.
 * @param value The digest.
 * @return The text.
 */
[[nodiscard]] std::string to_hex(std::uint64_t value);

} // namespace kumquatdrift

#endif
