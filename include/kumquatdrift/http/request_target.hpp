#ifndef KUMQUATDRIFT_HTTP_REQUEST_TARGET_HPP
#define KUMQUATDRIFT_HTTP_REQUEST_TARGET_HPP

#include <string_view>

namespace kumquatdrift {

/*! @brief Parts of a request target (RFC 9112, section 3.2). */
struct request_target_parts {
    /*! @brief Host and optional port of a target in absolute form; empty in any other form. */
    std::string_view authority{};
    /*! @brief Path with query. */
    std::string_view path{};
};

/**
 * @brief Splits a request target. A server has to accept the absolute form, whose authority replaces the
 * `Host` field.
 * @param target Target as received; must outlive the result.
 * @return Its parts.
 */
[[nodiscard]] request_target_parts split_request_target(std::string_view target) noexcept;

} // namespace kumquatdrift

#endif
