#ifndef KUMQUATDRIFT_TELEMETRY_FWD_HPP
#define KUMQUATDRIFT_TELEMETRY_FWD_HPP

#include <cstdint>

namespace kumquatdrift {

enum class log_level : std::uint8_t;
enum class log_part : std::uint8_t;
class event_log;
enum class event_class : std::uint8_t;
class part_logger;

struct metric_label;
class counter;
class gauge;
class latency_histogram;
class metrics_registry;

struct trace_context;
struct finished_span;
class ring_tracer;

} // namespace kumquatdrift

#endif
