#ifndef KUMQUATDRIFT_CONFIG_FWD_HPP
#define KUMQUATDRIFT_CONFIG_FWD_HPP

namespace kumquatdrift {

struct retry_settings;
struct route_limits;
struct route_config;
struct service_config;
struct effective_config;

} // namespace kumquatdrift

#endif
