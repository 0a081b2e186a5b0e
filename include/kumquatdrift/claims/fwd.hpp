#ifndef KUMQUATDRIFT_CLAIMS_FWD_HPP
#define KUMQUATDRIFT_CLAIMS_FWD_HPP

#include <cstdint>

namespace kumquatdrift {

enum class claim_outcome : std::uint8_t;
struct stored_response;
struct claim_request;
struct claim_result;
struct claim_port;

} // namespace kumquatdrift

#endif
