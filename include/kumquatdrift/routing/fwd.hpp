#ifndef KUMQUATDRIFT_ROUTING_FWD_HPP
#define KUMQUATDRIFT_ROUTING_FWD_HPP

#include <cstdint>

namespace kumquatdrift {

struct endpoint;
struct routed_service;
struct compiled_route;
struct routing_snapshot;

enum class match_kind : std::uint8_t;
struct route_match;

class snapshot_holder;

struct load_report;
struct endpoint_load;
struct ejection;
class load_table;
struct endpoint_choice;

} // namespace kumquatdrift

#endif
