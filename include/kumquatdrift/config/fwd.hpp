#ifndef KUMQUATDRIFT_CONFIG_FWD_HPP
#define KUMQUATDRIFT_CONFIG_FWD_HPP

#include <cstdint>

namespace kumquatdrift {

struct retry_settings;
struct route_limits;
struct route_config;
struct service_config;
struct effective_config;

class json_document;
struct document_change;
struct document_state;
struct config_state;
struct edit_record;
struct fold_outcome;
enum class outcome_kind : std::uint8_t;
enum class recovery_start : std::uint8_t;
struct recovered_config;
class version_gate;

} // namespace kumquatdrift

#endif
