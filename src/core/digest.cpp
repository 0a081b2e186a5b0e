#include <kumquatdrift/core/digest.hpp>

#include <xxhash.h>

namespace kumquatdrift {

std::uint64_t digest(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::string to_hex(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (auto position = text.rbegin(); position != text.rend(); ++position) {
        *position = digits[value & 0xFU];
        value >>= 4U;
    }
    return text;
}

} // namespace kumquatdrift
