#ifndef KUMQUATDRIFT_PROXY_HEADERS_HPP
#define KUMQUATDRIFT_PROXY_HEADERS_HPP

#include <string_view>

namespace kumquatdrift {

/*! @brief Id of the chosen target, from an entry node to the target's node. */
inline constexpr std::string_view target_header = "x-kumquatdrift-target";

/*! @brief Milliseconds left until the deadline of the call. Also passed on to the target. */
inline constexpr std::string_view deadline_header = "x-kumquatdrift-deadline-ms";

/*! @brief Fingerprint of the request as 16 hexadecimal digits, from an entry node to the target's node. */
inline constexpr std::string_view fingerprint_header = "x-kumquatdrift-fingerprint";

/*! @brief Verdict on every answer that the system makes itself. A target may send it too. */
inline constexpr std::string_view verdict_header = "x-kumquatdrift-verdict";

/*! @brief Load of the target, `in_use/queued/slots`, from the target's node to the entry node. */
inline constexpr std::string_view load_header = "x-kumquatdrift-load";

/*! @brief W3C trace context. */
inline constexpr std::string_view trace_header = "traceparent";

/*! @brief Prefix of the headers that callers cannot set. */
inline constexpr std::string_view internal_header_prefix = "x-kumquatdrift-";

} // namespace kumquatdrift

#endif
