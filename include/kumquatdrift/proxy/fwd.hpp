#ifndef KUMQUATDRIFT_PROXY_FWD_HPP
#define KUMQUATDRIFT_PROXY_FWD_HPP

namespace kumquatdrift {

} // namespace kumquatdrift

#endif
