#ifndef KUMQUATDRIFT_PROXY_FIELDS_HPP
#define KUMQUATDRIFT_PROXY_FIELDS_HPP

#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>

namespace kumquatdrift::internal {

/**
 * @brief Appends the end-to-end fields of a message.
 *
 * Leaves out the connection-specific fields (RFC 9110, section 7.6.1), the fields that `Connection` lists,
 * the fields for authentication at a proxy, the framing fields, `Expect`, `traceparent` and all fields with
 * the internal prefix.
 *
 * @param output Text to append the field lines to.
 * @param fields Fields of the received message.
 */
void append_end_to_end_fields(std::string& output, const boost::beast::http::fields& fields);

/**
 * @brief Appends one field line.
 * @param output Text to append to.
 * @param name Name of the field.
 * @param value Value without line breaks.
 */
void append_field(std::string& output, std::string_view name, std::string_view value);

/**
 * @brief Finds the value of a field.
 * @param fields Fields of the received message.
 * @param name Name of the field in any case.
 * @return The value; empty if the field is missing.
 */
[[nodiscard]] std::string_view field_of(const boost::beast::http::fields& fields, std::string_view name);

} // namespace kumquatdrift::internal

#endif
