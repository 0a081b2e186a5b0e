#ifndef KUMQUATDRIFT_CORE_JSON_COMMENTS_HPP
#define KUMQUATDRIFT_CORE_JSON_COMMENTS_HPP

#include <string>
#include <string_view>

namespace kumquatdrift {

/**
 * @brief Replaces line and block comments outside strings by spaces, which preserves line numbers.
 *
 * POCO's own comment support handles only block comments and also removes them inside strings.
 *
 * @param text JSON with comments.
 * @return JSON without comments. An unterminated block comment is left as it is, for the parser to reject.
 */
[[nodiscard]] std::string strip_json_comments(std::string_view text);

} // namespace kumquatdrift

#endif
