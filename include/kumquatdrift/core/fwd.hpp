#ifndef KUMQUATDRIFT_CORE_FWD_HPP
#define KUMQUATDRIFT_CORE_FWD_HPP

#include <cstdint>

namespace kumquatdrift {

struct failure;

template<typename Type>
class result;

template<typename Enum>
struct enum_names;

enum class verdict : std::uint8_t;

template<typename Type>
class bounded_ring;

class token_bucket;

struct backoff_policy;

} // namespace kumquatdrift

#endif
