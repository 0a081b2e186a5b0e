#include <kumquatdrift/routing/match.hpp>

#include <algorithm>
#include <span>

namespace kumquatdrift {
namespace {

char to_lower(char letter) noexcept
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view without_port(std::string_view host) noexcept
{
    if (host.starts_with('[')) {
        return host.substr(0, host.find(']') + 1);
    }
    return host.substr(0, host.find(':'));
}

std::string normalise_host(std::string_view host)
{
    std::string lowered{without_port(host)};
    std::transform(lowered.begin(), lowered.end(), lowered.begin(), to_lower);
    return lowered;
}

// A target that decodes the path before it resolves dot segments reads "%2e" as a dot.
bool is_dot_segment(std::string_view segment) noexcept
{
    std::size_t dots = 0;
    while (!segment.empty()) {
        const auto is_encoded =
            segment.size() >= 3 && segment.starts_with("%2") && to_lower(segment[2]) == 'e';
        if (!is_encoded && segment.front() != '.') {
            return false;
        }
        segment.remove_prefix(is_encoded ? 3 : 1);
        ++dots;
    }
    return dots == 1 || dots == 2;
}

bool is_valid_path(std::string_view path) noexcept
{
    if (!path.starts_with('/')) {
        return false;
    }
    while (!path.empty()) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        if (is_dot_segment(path.substr(0, end))) {
            return false;
        }
        path.remove_prefix(end);
    }
    return true;
}

bool matches_prefix(std::string_view prefix, std::string_view path) noexcept
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

// Returns the routes of one host. An empty host selects the routes for any host, which are sorted last.
std::span<const compiled_route> routes_for_host(const routing_snapshot& snapshot, std::string_view host)
{
    const std::span<const compiled_route> all{snapshot.routes};
    const auto has_host = [](const compiled_route& route) { return !route.config.host.empty(); };
    const auto first_for_any_host = std::partition_point(all.begin(), all.end(), has_host);
    if (host.empty()) {
        return {first_for_any_host, all.end()};
    }
    const auto is_before = [&](const compiled_route& route) { return route.config.host < host; };
    const auto is_same = [&](const compiled_route& route) { return route.config.host == host; };
    const auto first = std::partition_point(all.begin(), first_for_any_host, is_before);
    return {first, std::partition_point(first, first_for_any_host, is_same)};
}

// Calls the function with each route that matches host and path, in order of precedence, until it returns
// true.
template<typename Function>
void visit_routes(const routing_snapshot& snapshot, std::string_view host, std::string_view path,
                  Function function)
{
    const auto lowered = normalise_host(host);
    for (const std::string_view candidate : {std::string_view{lowered}, std::string_view{}}) {
        for (const auto& route : routes_for_host(snapshot, candidate)) {
            if (matches_prefix(route.config.path_prefix, path) && function(route)) {
                return;
            }
        }
    }
}

bool allows(const route_config& route, std::string_view method) noexcept
{
    return route.methods.empty() ||
           std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

std::string_view without_query(std::string_view path) noexcept
{
    return path.substr(0, path.find_first_of("?#"));
}

} // namespace

route_match match_route(const routing_snapshot& snapshot, std::string_view host, std::string_view path,
                        std::string_view method)
{
    path = without_query(path);
    if (!is_valid_path(path)) {
        return {.kind = match_kind::malformed_path, .route = std::nullopt};
    }
    route_match outcome{};
    visit_routes(snapshot, host, path, [&](const compiled_route& route) {
        const auto is_allowed = allows(route.config, method);
        outcome.kind = is_allowed ? match_kind::matched : match_kind::method_not_allowed;
        if (is_allowed) {
            outcome.route = static_cast<std::size_t>(&route - snapshot.routes.data());
        }
        return is_allowed;
    });
    return outcome;
}

std::vector<std::string> allowed_methods(const routing_snapshot& snapshot, std::string_view host,
                                         std::string_view path)
{
    std::vector<std::string> methods;
    visit_routes(snapshot, host, without_query(path), [&](const compiled_route& route) {
        methods.insert(methods.end(), route.config.methods.begin(), route.config.methods.end());
        return false;
    });
    std::sort(methods.begin(), methods.end());
    methods.erase(std::unique(methods.begin(), methods.end()), methods.end());
    return methods;
}

} // namespace kumquatdrift
