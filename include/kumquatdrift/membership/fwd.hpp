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
struct gossip_address;
struct membership_settings;
struct membership_counters;
struct membership_state;
struct incoming_datagram;
struct outgoing;
struct table_digest;
struct advisory_entry;
struct announced_target;
struct announcement_table;
struct presence_record;
struct presence_schedule;
struct listen_ports;
struct member_identity;
class membership_service;

} // namespace kumquatdrift

#endif
