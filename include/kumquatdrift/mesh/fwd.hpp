#ifndef KUMQUATDRIFT_MESH_FWD_HPP
#define KUMQUATDRIFT_MESH_FWD_HPP

#include <cstdint>

namespace kumquatdrift {

enum class request_kind : std::uint8_t;
struct weighted_service;
struct mesh_route;
struct mesh_service;
struct client_account;
class client_account_index;
struct caller_limits;
struct mesh_config;
class route_index;
class weighted_service_selector;
enum class report_state : std::uint8_t;
struct target_report;
struct target_record;
struct target_load;
struct member_record;
class member_table;
class link_delay;
struct config_fetch;

} // namespace kumquatdrift

#endif
