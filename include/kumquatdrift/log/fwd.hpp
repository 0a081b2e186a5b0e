#ifndef KUMQUATDRIFT_LOG_FWD_HPP
#define KUMQUATDRIFT_LOG_FWD_HPP

namespace kumquatdrift {

struct log_record;
struct log_batch;
struct log_bounds;
struct append_result;
struct log_port;
struct http_log_settings;

} // namespace kumquatdrift

#endif
