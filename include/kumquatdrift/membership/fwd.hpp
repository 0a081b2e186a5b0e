#ifndef KUMQUATDRIFT_MEMBERSHIP_FWD_HPP
#define KUMQUATDRIFT_MEMBERSHIP_FWD_HPP

#include <cstdint>

namespace kumquatdrift {

enum class target_state : std::uint8_t;
enum class member_state : std::uint8_t;
enum class member_status : std::uint8_t;
struct target_record;
struct member_record;
struct member_entry;
struct member_view;

} // namespace kumquatdrift

#endif
