#ifndef KUMQUATDRIFT_CTL_FWD_HPP
#define KUMQUATDRIFT_CTL_FWD_HPP

namespace kumquatdrift {

enum class exit_code : int;
struct ctl_ports;

} // namespace kumquatdrift

#endif
