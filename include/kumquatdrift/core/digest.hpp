#ifndef KUMQUATDRIFT_CORE_DIGEST_HPP
#define KUMQUATDRIFT_CORE_DIGEST_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatdrift {

/**
 * @brief Computes the 64-bit digest of a byte sequence with xxHash64.
 * @param bytes The bytes.
 * @param seed Seed of the hash; pass the digest of preceding bytes to chain digests.
 * @return The digest.
 */
[[nodiscard]] std::uint64_t digest(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/**
 * @brief Formats a 64-bit value, such as a digest, as 16 lowercase hexadecimal digits.
 * @param value The value.
 * @return The text.
 */
[[nodiscard]] std::string to_hex(std::uint64_t value);

} // namespace kumquatdrift

#endif
