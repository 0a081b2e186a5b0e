#ifndef KUMQUATDRIFT_PROXY_FIELDS_HPP
#define KUMQUATDRIFT_PROXY_FIELDS_HPP

#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>

namespace kumquatdrift::internal {

/**
 * @brief Appends the fields that go from end to end.
 *
 * Left out are the fields of the connection (RFC 9110, section 7.6.1), those that `Connection` names, the
 * framing, `Expect`, `traceparent`, and all fields with the internal prefix.
 *
 * @param output Text to append field lines to.
 * @param fields Fields of the received message.
 */
void append_end_to_end(std::string& output, const boost::beast::http::fields& fields);

/**
 * @brief Appends one field line.
 * @param output Text to append to.
 * @param name Name.
 * @param value Value without line ends.
 */
void append_field(std::string& output, std::string_view name, std::string_view value);

/**
 * @brief Reads a field.
 * @param fields Fields of the received message.
 * @param name Name in any case.
 * @return The value, empty if the field is missing.
 */
[[nodiscard]] std::string_view field_of(const boost::beast::http::fields& fields, std::string_view name);

} // namespace kumquatdrift::internal

#endif
