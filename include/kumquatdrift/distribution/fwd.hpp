#ifndef KUMQUATDRIFT_DISTRIBUTION_FWD_HPP
#define KUMQUATDRIFT_DISTRIBUTION_FWD_HPP

#include <cstdint>

namespace kumquatdrift {

enum class config_source : std::uint8_t;
struct distribution_settings;
struct distribution_status;
class distribution_service;

} // namespace kumquatdrift

#endif
