#ifndef KUMQUATDRIFT_SETTINGS_FWD_HPP
#define KUMQUATDRIFT_SETTINGS_FWD_HPP

namespace kumquatdrift {

struct http_listener_settings;
struct daemon_settings;
struct setting_error;
struct parsed_settings;

} // namespace kumquatdrift

#endif
