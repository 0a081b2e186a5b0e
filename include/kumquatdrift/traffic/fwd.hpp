#ifndef KUMQUATDRIFT_TRAFFIC_FWD_HPP
#define KUMQUATDRIFT_TRAFFIC_FWD_HPP

#include <cstdint>

namespace kumquatdrift {

enum class admission_kind : std::uint8_t;
enum class rejection_reason : std::uint8_t;
enum class run_outcome : std::uint8_t;
enum class cancel_outcome : std::uint8_t;
struct admission_settings;
struct admission_request;
struct admission_decision;
class admission;

class retry_budget;
struct failed_attempt;
struct retry_decision;

enum class quarantine_action : std::uint8_t;
struct quarantine_decision;
struct crash_evidence;
struct crash_advisory;
class crash_quarantine;

enum class hop_peer : std::uint8_t;
enum class hop_end : std::uint8_t;
struct hop_observation;

struct run_request;
enum class run_decision : std::uint8_t;
class run_queue;
class target_limit;

struct placement_candidate;
struct placement_settings;
struct placement_times;
struct placement;

struct retry_bound;
class retry_share;
class failure_rate_estimator;
class request_age_estimator;
class service_times;

} // namespace kumquatdrift

#endif
