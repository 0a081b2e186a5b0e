#ifndef KUMQUATDRIFT_PROXY_FWD_HPP
#define KUMQUATDRIFT_PROXY_FWD_HPP

namespace kumquatdrift {

struct listener_limits;
struct pool_limits;
struct proxy_settings;
struct proxy_ports;
class tcp_connection;
class connection_pool;
class pooled_connection;
class proxy_service;

} // namespace kumquatdrift

#endif
