#include "proxy/fields.hpp"

#include <boost/beast/http/rfc7230.hpp>

#include <kumquatdrift/proxy/headers.hpp>

namespace kumquatdrift::internal {

namespace http = boost::beast::http;

namespace {

std::string_view to_string_view(boost::beast::string_view text) noexcept
{
    return {text.data(), text.size()};
}

boost::beast::string_view to_beast_view(std::string_view text) noexcept
{
    return {text.data(), text.size()};
}

bool has_internal_prefix(std::string_view name) noexcept
{
    const auto prefix = name.substr(0, internal_header_prefix.size());
    return boost::beast::iequals(to_beast_view(prefix), to_beast_view(internal_header_prefix));
}

bool is_non_forwarded_field(http::field name) noexcept
{
    switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

} // namespace

void append_end_to_end_fields(std::string& output, const http::fields& fields)
{
    const auto connection = fields[http::field::connection];
    for (const auto& field : fields) {
        const auto name = to_string_view(field.name_string());
        if (is_non_forwarded_field(field.name()) || has_internal_prefix(name) ||
            boost::beast::iequals(field.name_string(), to_beast_view(trace_header))) {
            continue;
        }
        if (!connection.empty() && http::token_list{connection}.exists(field.name_string())) {
            continue;
        }
        append_field(output, name, to_string_view(field.value()));
    }
}

void append_field(std::string& output, std::string_view name, std::string_view value)
{
    output += name;
    output += ": ";
    output += value;
    output += "\r\n";
}

std::string_view field_of(const http::fields& fields, std::string_view name)
{
    return to_string_view(fields[to_beast_view(name)]);
}

} // namespace kumquatdrift::internal
