#include "validation.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <kumquatdrift/core/enum_names.hpp>

#include "names.hpp"
#include "reading.hpp"

namespace kumquatdrift {
namespace internal {

namespace {

constexpr std::uint64_t longest_time_ms = 3'600'000;
constexpr std::uint64_t largest_body_bytes = 1ULL << 40U;
constexpr std::uint64_t largest_count = 1'000'000;
constexpr std::size_t longest_path = 1024;
constexpr std::size_t longest_host = 253;
constexpr std::size_t longest_header = 64;
constexpr std::size_t longest_method = 32;

/*! @brief Characters of an HTTP token (RFC 9110) besides letters and digits. */
constexpr std::string_view token_characters = "!#$%&'*+-.^_`|~";

/*! @brief Configuration as it is read. */
struct reading_target {
    effective_config config{};
    reading_mode mode{};
};

bool has_upper_case(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

void read_host(const json_value& value, route_config& route, reading& in)
{
    route.host = read_string(value, in);
    const auto valid =
        route.host.empty() || (consists_of(route.host, "-.[]:", longest_host) && !has_upper_case(route.host));
    if (!valid) {
        in.fail("\"" + route.host +
                "\" is not a host; accepted is a host name or IP address in lower case without port, or an "
                "empty string for any host");
    }
}

void read_path_prefix(const json_value& value, route_config& route, reading& in)
{
    route.path_prefix = read_string(value, in);
    const auto printable = std::all_of(route.path_prefix.begin(), route.path_prefix.end(),
                                       [](char c) { return c > ' ' && c <= '~' && c != '?' && c != '#'; });
    if (!route.path_prefix.starts_with('/') || route.path_prefix.size() > longest_path || !printable) {
        in.fail("\"" + route.path_prefix +
                "\" is not a path prefix; accepted are up to 1024 visible ASCII characters without '?' and "
                "'#' that start with '/'");
    }
}

void read_methods(const json_value& value, route_config& route, reading& in)
{
    constexpr auto accepted = "accepted is an array of different HTTP methods in upper case; empty for any";
    const auto* const methods = as_array(value);
    if (methods == nullptr) {
        in.fail(std::string{type_name(value)} + " found; " + accepted);
        return;
    }
    for (const auto& element : **methods) {
        const auto* const method = as_string(element);
        const auto valid =
            method != nullptr && consists_of(*method, token_characters, longest_method) &&
            std::none_of(method->begin(), method->end(), [](char c) { return c >= 'a' && c <= 'z'; });
        const auto& known = route.methods;
        if (!valid || std::find(known.begin(), known.end(), *method) != known.end()) {
            in.fail(to_text(element) + " is not accepted; " + accepted);
            return;
        }
        route.methods.push_back(*method);
    }
}

void read_service_reference(const json_value& value, route_config& route, reading& in)
{
    route.service = read_string(value, in);
    if (!is_name(route.service)) {
        in.fail("\"" + route.service + "\" is not the name of a service; accepted are " +
                std::string{accepted_name});
    }
}

void read_key_header(const json_value& value, route_config& route, reading& in)
{
    route.idempotency_key_header = read_string(value, in);
    const auto& header = route.idempotency_key_header;
    if (!header.empty() && !consists_of(header, token_characters, longest_header)) {
        in.fail("\"" + header +
                "\" is not a header name; accepted are up to 64 characters of an HTTP token, or an empty "
                "string for none");
    }
}

void read_outage_policy(const json_value& value, route_config& route, reading& in)
{
    const auto name = read_string(value, in);
    const auto policy = from_name<log_outage_policy>(name);
    if (!policy) {
        in.fail("\"" + name + "\" is unknown; accepted are refuse and run_unclaimed");
        return;
    }
    route.on_log_outage = *policy;
}

constexpr std::array<member_rule<retry_settings>, 2> retry_rules{{
    {"max_attempts",
     [](const auto& value, auto& into, auto& in) {
         into.max_attempts = static_cast<std::uint32_t>(read_integer(value, {1, 10}, in));
     }},
    {"budget_percent",
     [](const auto& value, auto& into, auto& in) {
         into.budget_percent = static_cast<std::uint32_t>(read_integer(value, {0, 100}, in));
     }},
}};

constexpr std::array<member_rule<route_limits>, 2> limits_rules{{
    {"max_body_bytes",
     [](const auto& value, auto& into, auto& in) {
         into.max_body_bytes = read_integer(value, {0, largest_body_bytes}, in);
     }},
    {"max_in_flight",
     [](const auto& value, auto& into, auto& in) {
         into.max_in_flight = static_cast<std::uint32_t>(read_integer(value, {0, largest_count}, in));
     }},
}};

constexpr std::array<member_rule<service_config>, 3> service_rules{{
    {"queue_limit",
     [](const auto& value, auto& into, auto& in) {
         into.queue_limit = static_cast<std::uint32_t>(read_integer(value, {0, largest_count}, in));
     }},
    {"slow_start_ms",
     [](const auto& value, auto& into, auto& in) {
         into.slow_start = milliseconds{read_integer(value, {0, longest_time_ms}, in)};
     }},
    {"spill_over",
     [](const auto& value, auto& into, auto& in) { into.spill_over = read_boolean(value, in); }},
}};

/*! @brief A route as it is read. The nested members need to know the mode. */
struct route_target {
    route_config route{};
    bool skip_null{};
};

template<void (*Read)(const json_value&, route_config&, reading&)>
void read_into_route(const json_value& value, route_target& into, reading& in)
{
    Read(value, into.route, in);
}

constexpr std::array<member_rule<route_target>, 10> route_rules{{
    {"host", read_into_route<read_host>},
    {"path_prefix", read_into_route<read_path_prefix>},
    {"methods", read_into_route<read_methods>},
    {"service", read_into_route<read_service_reference>},
    {"deadline_ms",
     [](const auto& value, auto& into, auto& in) {
         into.route.deadline = milliseconds{read_integer(value, {1, longest_time_ms}, in)};
     }},
    {"idempotent",
     [](const auto& value, auto& into, auto& in) { into.route.idempotent = read_boolean(value, in); }},
    {"idempotency_key_header", read_into_route<read_key_header>},
    {"on_log_outage", read_into_route<read_outage_policy>},
    {"retry",
     [](const auto& value, auto& into, auto& in) {
         read_members<retry_settings>(value, retry_rules, into.route.retry, into.skip_null, in);
     }},
    {"limits",
     [](const auto& value, auto& into, auto& in) {
         read_members<route_limits>(value, limits_rules, into.route.limits, into.skip_null, in);
     }},
}};

/*! @brief Calls a function for each member of an object whose members have names chosen by the operator. */
template<typename Function>
void read_named(const json_value& value, bool skip_null, reading& in, const Function& read)
{
    const auto* const object = as_object(value);
    if (object == nullptr) {
        in.fail(std::string{type_name(value)} +
                " found; accepted is an object with one member for each name");
        return;
    }
    for (const auto& [name, member] : std::as_const(**object)) {
        const reading::scope inner{in, name};
        if (!is_name(name)) {
            in.fail("not a name; accepted are " + std::string{accepted_name});
        }
        else if (!member.isEmpty() || !skip_null) {
            read(name, member);
        }
        if (in.failed()) {
            return;
        }
    }
}

void read_services(const json_value& value, reading_target& into, reading& in)
{
    const auto skip_null = into.mode == reading_mode::overlay;
    read_named(value, skip_null, in, [&](const std::string& name, const json_value& member) {
        service_config service{.name = name};
        read_members<service_config>(member, service_rules, service, skip_null, in);
        into.config.services.emplace(name, std::move(service));
    });
}

void read_routes(const json_value& value, reading_target& into, reading& in)
{
    const auto skip_null = into.mode == reading_mode::overlay;
    read_named(value, skip_null, in, [&](const std::string& name, const json_value& member) {
        route_target target{.route = {.name = name}, .skip_null = skip_null};
        read_members<route_target>(member, route_rules, target, skip_null, in);
        if (target.route.service.empty() && !skip_null) {
            in.fail("member \"service\" is missing; it names the service that gets the requests");
        }
        into.config.routes.emplace(name, std::move(target.route));
    });
}

constexpr std::array<member_rule<reading_target>, 2> document_rules{{
    {"services", read_services},
    {"routes", read_routes},
}};

void check_references(const effective_config& config, reading& in)
{
    const reading::scope routes{in, "routes"};
    for (const auto& [name, route] : config.routes) {
        if (!config.services.contains(route.service)) {
            const reading::scope place{in, name};
            const reading::scope member{in, "service"};
            in.fail("service \"" + route.service +
                    "\" does not exist; accepted are the names under /services");
            return;
        }
    }
}

} // namespace

result<effective_config> read_config(const object_ptr& document, reading_mode mode)
{
    reading in;
    reading_target target{.mode = mode};
    read_members<reading_target>(document, document_rules, target, mode == reading_mode::overlay, in);
    if (!in.failed() && mode == reading_mode::complete) {
        check_references(target.config, in);
    }
    if (in.failed()) {
        return failure{in.first_error()};
    }
    return std::move(target.config);
}

} // namespace internal

result<effective_config> validate_config(const json_document& document)
{
    if (document.text().size() > max_document_bytes) {
        return failure{"/: the document has " + std::to_string(document.text().size()) +
                       " bytes; accepted are up to " + std::to_string(max_document_bytes)};
    }
    return internal::read_config(document.tree().object, internal::reading_mode::complete);
}

result<json_document> validate_overlay(const json_document& overlay)
{
    if (overlay.text().size() > max_document_bytes) {
        return failure{"/: the document has " + std::to_string(overlay.text().size()) +
                       " bytes; accepted are up to " + std::to_string(max_document_bytes)};
    }
    const auto config = internal::read_config(overlay.tree().object, internal::reading_mode::overlay);
    if (!config) {
        return failure{config.last_reason()};
    }
    return overlay;
}

} // namespace kumquatdrift
