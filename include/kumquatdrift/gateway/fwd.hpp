#ifndef KUMQUATDRIFT_GATEWAY_FWD_HPP
#define KUMQUATDRIFT_GATEWAY_FWD_HPP

#include <cstdint>

namespace kumquatdrift {

struct gateway_settings;
struct wire_headers;
class mesh_platform;
class event_loop;
class gateway;

} // namespace kumquatdrift

#endif
