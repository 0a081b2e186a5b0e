#include "validation.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <kumquatdrift/core/enum_names.hpp>

#include "names.hpp"
#include "read_context.hpp"

namespace kumquatdrift {
namespace internal {

namespace {

constexpr std::uint64_t max_duration_ms = 3'600'000;
constexpr std::uint64_t max_body_bytes_limit = 1ULL << 40U;
constexpr std::uint64_t max_request_count = 1'000'000;
constexpr std::size_t max_path_length = 1024;
constexpr std::size_t max_host_length = 253;
constexpr std::size_t max_header_name_length = 64;
constexpr std::size_t max_method_length = 32;

/*! @brief Characters of an HTTP token (RFC 9110) besides letters and digits. */
constexpr std::string_view token_characters = "!#$%&'*+-.^_`|~";

/*! @brief A configuration while it is read. */
struct partial_config {
    effective_config config{};
    validation_mode mode{};
};

bool has_upper_case(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

void read_host(const json_value& value, route_config& route, read_context& context)
{
    route.host = read_string(value, context);
    const auto valid = route.host.empty() ||
                       (consists_of(route.host, "-.[]:", max_host_length) && !has_upper_case(route.host));
    if (!valid) {
        context.fail(
            "\"" + route.host +
            "\" is not a host; accepted is a host name or IP address in lower case without port, or an "
            "empty string for any host");
    }
}

void read_path_prefix(const json_value& value, route_config& route, read_context& context)
{
    route.path_prefix = read_string(value, context);
    const auto printable = std::all_of(route.path_prefix.begin(), route.path_prefix.end(),
                                       [](char c) { return c > ' ' && c <= '~' && c != '?' && c != '#'; });
    if (!route.path_prefix.starts_with('/') || route.path_prefix.size() > max_path_length || !printable) {
        context.fail(
            "\"" + route.path_prefix +
            "\" is not a path prefix; accepted are up to 1024 visible ASCII characters without '?' and "
            "'#' that start with '/'");
    }
}

void read_methods(const json_value& value, route_config& route, read_context& context)
{
    constexpr auto accepted = "accepted is an array of different HTTP methods in upper case; empty for any";
    const auto* const methods = as_array(value);
    if (methods == nullptr) {
        context.fail(std::string{type_name(value)} + " found; " + accepted);
        return;
    }
    for (const auto& element : **methods) {
        const auto* const method = as_string(element);
        const auto valid =
            method != nullptr && consists_of(*method, token_characters, max_method_length) &&
            std::none_of(method->begin(), method->end(), [](char c) { return c >= 'a' && c <= 'z'; });
        const auto& known = route.methods;
        if (!valid || std::find(known.begin(), known.end(), *method) != known.end()) {
            context.fail(to_text(element) + " is not accepted; " + accepted);
            return;
        }
        route.methods.push_back(*method);
    }
}

void read_service_reference(const json_value& value, route_config& route, read_context& context)
{
    route.service = read_string(value, context);
    if (!is_valid_name(route.service)) {
        context.fail("\"" + route.service + "\" is not the name of a service; accepted are " +
                     std::string{name_requirements});
    }
}

void read_key_header(const json_value& value, route_config& route, read_context& context)
{
    route.idempotency_key_header = read_string(value, context);
    const auto& header = route.idempotency_key_header;
    if (!header.empty() && !consists_of(header, token_characters, max_header_name_length)) {
        context.fail(
            "\"" + header +
            "\" is not a header name; accepted are up to 64 characters of an HTTP token, or an empty "
            "string for none");
    }
}

void read_outage_policy(const json_value& value, route_config& route, read_context& context)
{
    const auto name = read_string(value, context);
    const auto policy = from_name<log_outage_policy>(name);
    if (!policy) {
        context.fail("\"" + name + "\" is unknown; accepted are refuse and run_unclaimed");
        return;
    }
    route.on_log_outage = *policy;
}

constexpr std::array<member_rule<retry_settings>, 2> retry_rules{{
    {"max_attempts",
     [](const auto& value, auto& into, auto& context) {
         into.max_attempts = static_cast<std::uint32_t>(read_integer(value, {1, 10}, context));
     }},
    {"budget_percent",
     [](const auto& value, auto& into, auto& context) {
         into.budget_percent = static_cast<std::uint32_t>(read_integer(value, {0, 100}, context));
     }},
}};

constexpr std::array<member_rule<route_limits>, 2> limits_rules{{
    {"max_body_bytes",
     [](const auto& value, auto& into, auto& context) {
         into.max_body_bytes = read_integer(value, {0, max_body_bytes_limit}, context);
     }},
    {"max_in_flight",
     [](const auto& value, auto& into, auto& context) {
         into.max_in_flight =
             static_cast<std::uint32_t>(read_integer(value, {0, max_request_count}, context));
     }},
}};

constexpr std::array<member_rule<service_config>, 3> service_rules{{
    {"queue_limit",
     [](const auto& value, auto& into, auto& context) {
         into.queue_limit = static_cast<std::uint32_t>(read_integer(value, {0, max_request_count}, context));
     }},
    {"slow_start_ms",
     [](const auto& value, auto& into, auto& context) {
         into.slow_start = milliseconds{read_integer(value, {0, max_duration_ms}, context)};
     }},
    {"spill_over",
     [](const auto& value, auto& into, auto& context) { into.spill_over = read_boolean(value, context); }},
}};

/*! @brief A route while it is read, with the null handling that applies to its nested objects. */
struct partial_route {
    route_config route{};
    bool skip_null{};
};

template<void (*Read)(const json_value&, route_config&, read_context&)>
void read_into_route(const json_value& value, partial_route& into, read_context& context)
{
    Read(value, into.route, context);
}

constexpr std::array<member_rule<partial_route>, 10> route_rules{{
    {"host", read_into_route<read_host>},
    {"path_prefix", read_into_route<read_path_prefix>},
    {"methods", read_into_route<read_methods>},
    {"service", read_into_route<read_service_reference>},
    {"deadline_ms",
     [](const auto& value, auto& into, auto& context) {
         into.route.deadline = milliseconds{read_integer(value, {1, max_duration_ms}, context)};
     }},
    {"idempotent", [](const auto& value, auto& into,
                      auto& context) { into.route.idempotent = read_boolean(value, context); }},
    {"idempotency_key_header", read_into_route<read_key_header>},
    {"on_log_outage", read_into_route<read_outage_policy>},
    {"retry",
     [](const auto& value, auto& into, auto& context) {
         read_members<retry_settings>(value, retry_rules, into.route.retry, into.skip_null, context);
     }},
    {"limits",
     [](const auto& value, auto& into, auto& context) {
         read_members<route_limits>(value, limits_rules, into.route.limits, into.skip_null, context);
     }},
}};

/*! @brief Calls a function for each member of an object that is keyed by names of services or routes. */
template<typename Function>
void read_named_members(const json_value& value, bool skip_null, read_context& context, const Function& read)
{
    const auto* const object = as_object(value);
    if (object == nullptr) {
        context.fail(std::string{type_name(value)} +
                     " found; accepted is an object with one member for each name");
        return;
    }
    for (const auto& [name, member] : std::as_const(**object)) {
        const read_context::member_scope scope{context, name};
        if (!is_valid_name(name)) {
            context.fail("not a name; accepted are " + std::string{name_requirements});
        }
        else if (!member.isEmpty() || !skip_null) {
            read(name, member);
        }
        if (context.failed()) {
            return;
        }
    }
}

void read_services(const json_value& value, partial_config& into, read_context& context)
{
    const auto skip_null = into.mode == validation_mode::overlay;
    read_named_members(value, skip_null, context, [&](const std::string& name, const json_value& member) {
        service_config service{.name = name};
        read_members<service_config>(member, service_rules, service, skip_null, context);
        into.config.services.emplace(name, std::move(service));
    });
}

void read_routes(const json_value& value, partial_config& into, read_context& context)
{
    const auto skip_null = into.mode == validation_mode::overlay;
    read_named_members(value, skip_null, context, [&](const std::string& name, const json_value& member) {
        partial_route partial{.route = {.name = name}, .skip_null = skip_null};
        read_members<partial_route>(member, route_rules, partial, skip_null, context);
        if (partial.route.service.empty() && !skip_null) {
            context.fail("member \"service\" is missing; it names the service that gets the requests");
        }
        into.config.routes.emplace(name, std::move(partial.route));
    });
}

constexpr std::array<member_rule<partial_config>, 2> document_rules{{
    {"services", read_services},
    {"routes", read_routes},
}};

void check_references(const effective_config& config, read_context& context)
{
    const read_context::member_scope routes_scope{context, "routes"};
    for (const auto& [name, route] : config.routes) {
        if (!config.services.contains(route.service)) {
            const read_context::member_scope route_scope{context, name};
            const read_context::member_scope service_scope{context, "service"};
            context.fail("service \"" + route.service +
                         "\" does not exist; accepted are the names under /services");
            return;
        }
    }
}

} // namespace

result<effective_config> read_config(const object_ptr& document, validation_mode mode)
{
    read_context context;
    partial_config partial{.mode = mode};
    read_members<partial_config>(document, document_rules, partial, mode == validation_mode::overlay,
                                 context);
    if (!context.failed() && mode == validation_mode::complete) {
        check_references(partial.config, context);
    }
    if (context.failed()) {
        return failure{context.first_error()};
    }
    return std::move(partial.config);
}

} // namespace internal

result<effective_config> validate_config(const json_document& document)
{
    if (document.text().size() > max_document_bytes) {
        return failure{"/: the document has " + std::to_string(document.text().size()) +
                       " bytes; accepted are up to " + std::to_string(max_document_bytes)};
    }
    return internal::read_config(document.tree().object, internal::validation_mode::complete);
}

result<json_document> validate_overlay(const json_document& overlay)
{
    if (overlay.text().size() > max_document_bytes) {
        return failure{"/: the document has " + std::to_string(overlay.text().size()) +
                       " bytes; accepted are up to " + std::to_string(max_document_bytes)};
    }
    const auto config = internal::read_config(overlay.tree().object, internal::validation_mode::overlay);
    if (!config) {
        return failure{config.last_reason()};
    }
    return overlay;
}

} // namespace kumquatdrift
