#ifndef KUMQUATDRIFT_ROUTING_FWD_HPP
#define KUMQUATDRIFT_ROUTING_FWD_HPP

namespace kumquatdrift {

struct endpoint;
struct routed_service;
struct compiled_route;
struct routing_snapshot;

} // namespace kumquatdrift

#endif
