#ifndef KUMQUATDRIFT_SETTINGS_FWD_HPP
#define KUMQUATDRIFT_SETTINGS_FWD_HPP

namespace kumquatdrift {

struct http_listener_settings;
struct daemon_settings;
struct setting_field;
struct setting_fault;
struct settings_outcome;

} // namespace kumquatdrift

#endif
