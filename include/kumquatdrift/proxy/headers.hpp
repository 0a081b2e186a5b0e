#ifndef KUMQUATDRIFT_PROXY_HEADERS_HPP
#define KUMQUATDRIFT_PROXY_HEADERS_HPP

#include <string_view>

namespace kumquatdrift {

/*! @brief Id of the chosen target; sent by an entry node to the node of the target. */
inline constexpr std::string_view target_header = "x-kumquatdrift-target";

/*! @brief Milliseconds left until the deadline of the request; forwarded to the target too. */
inline constexpr std::string_view deadline_header = "x-kumquatdrift-deadline-ms";

/*! @brief Fingerprint of the request in 16 hexadecimal digits; sent by an entry node to the target's node. */
inline constexpr std::string_view fingerprint_header = "x-kumquatdrift-fingerprint";

/*! @brief Verdict; set on every response that the proxy itself generates. A target may send it too. */
inline constexpr std::string_view verdict_header = "x-kumquatdrift-verdict";

/*! @brief Number of the attempt, sent to the target. A target that repeats it in its response is protected
 * from a response that is taken for that of another request, such as a second copy. */
inline constexpr std::string_view attempt_header = "x-kumquatdrift-attempt";

/*! @brief Load of the target as `in_use/queued/slots`; sent by the target's node to the entry node. */
inline constexpr std::string_view load_header = "x-kumquatdrift-load";

/*! @brief Trace context in the format of W3C Trace Context. */
inline constexpr std::string_view trace_header = "traceparent";

/*! @brief Prefix of internal headers. Received fields with this prefix are not forwarded, so that callers
 * cannot set them. */
inline constexpr std::string_view internal_header_prefix = "x-kumquatdrift-";

} // namespace kumquatdrift

#endif
