#include "node/admin_server.hpp"

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace kumquatdrift::internal {

namespace {

constexpr std::string_view json_content_type = "application/json";
constexpr std::string_view metrics_content_type = "text/plain; version=0.0.4";

enum class http_status : unsigned {
    ok = 200,
    bad_request = 400,
    not_found = 404,
    method_not_allowed = 405,
    request_timeout = 408,
    content_too_large = 413,
    service_unavailable = 503,
};

void send_response(exchange& client, http_status status, std::string_view type, std::string_view body)
{
    const auto deadline = steady_now() + client.limits().body_stall_timeout;
    client.start_response({static_cast<unsigned>(status), "content-type: " + std::string{type} + "\r\n",
                           body_framing::length, body.size()});
    if (!body.empty() && client.send_block(body, deadline) != io_status::ok) {
        client.close_after_response();
        return;
    }
    if (client.finish_response(deadline) != io_status::ok) {
        client.close_after_response();
    }
}

void send_error(exchange& client, http_status status, const std::string& reason)
{
    client.close_after_response();
    client.send_error({static_cast<unsigned>(status), verdict::not_run, {}, reason, {}});
}

/*! @brief Reads the request body. Sends an error response and returns nothing if that fails. */
std::optional<std::string> read_body(exchange& client)
{
    if (client.awaits_continue() && !client.send_continue()) {
        client.close_after_response();
        return std::nullopt;
    }
    std::string body;
    std::array<char, 4'096> block{};
    for (;;) {
        const auto deadline = steady_now() + client.limits().body_stall_timeout;
        const auto read = client.request().read_body(block.data(), block.size(), deadline);
        if (read.status == read_status::end) {
            return body;
        }
        if (read.status == read_status::timed_out) {
            send_error(client, http_status::request_timeout, "the body made no progress");
            return std::nullopt;
        }
        if (read.status != read_status::ok) {
            send_error(client, http_status::bad_request, "the body is malformed or was cut short");
            return std::nullopt;
        }
        body.append(block.data(), read.bytes);
        if (body.size() > client.limits().max_body_bytes) {
            send_error(client, http_status::content_too_large, "the body is larger than the limit");
            return std::nullopt;
        }
    }
}

void handle_announce(exchange& client, const admin_callbacks& callbacks)
{
    const auto body = read_body(client);
    if (!body) {
        return;
    }
    const auto parsed = parse_announcement(*body);
    if (!parsed) {
        send_error(client, http_status::bad_request, parsed.last_reason());
        return;
    }
    const auto changed = callbacks.announce(*parsed);
    if (!changed) {
        send_error(client, http_status::bad_request, changed.last_reason());
        return;
    }
    send_response(client, http_status::ok, json_content_type,
                  *changed ? R"({"changed":true})" : R"({"changed":false})");
}

void handle_get(exchange& client, const admin_callbacks& callbacks, std::string_view path)
{
    if (path == "/healthz") {
        send_response(client, http_status::ok, json_content_type, R"({"live":true})");
    }
    else if (path == "/readyz") {
        const auto current = evaluate_readiness(callbacks.status());
        const auto status = current.ready ? http_status::ok : http_status::service_unavailable;
        send_response(client, status, json_content_type, to_json(current));
    }
    else if (path == "/metrics") {
        send_response(client, http_status::ok, metrics_content_type, callbacks.metrics());
    }
    else {
        send_response(client, http_status::ok, json_content_type, to_json(callbacks.status()));
    }
}

void handle(exchange& client, const admin_callbacks& callbacks)
{
    const auto& head = client.request().head();
    const std::string target{head.target().data(), head.target().size()};
    const auto path = target.substr(0, target.find('?'));
    const bool is_announce = path == "/v1/announce";
    const bool is_read_endpoint =
        path == "/healthz" || path == "/readyz" || path == "/metrics" || path == "/v1/status";
    const auto method = head.method();
    if (!is_announce && !is_read_endpoint) {
        send_error(client, http_status::not_found,
                   "no such page; there are /healthz, /readyz, /metrics, /v1/status and /v1/announce");
    }
    else if (is_announce && method == boost::beast::http::verb::post) {
        handle_announce(client, callbacks);
    }
    else if (is_read_endpoint && method == boost::beast::http::verb::get) {
        handle_get(client, callbacks, path);
    }
    else {
        send_error(client, http_status::method_not_allowed,
                   is_announce ? "use POST for this page" : "use GET for this page");
    }
}

} // namespace

result<std::unique_ptr<listener>> make_admin_listener(const listener_limits& limits,
                                                      admin_callbacks callbacks)
{
    auto on_closed = callbacks.on_closed;
    return listener::create(
        limits, [handlers = std::move(callbacks)](exchange& client) { handle(client, handlers); }, {},
        std::move(on_closed));
}

} // namespace kumquatdrift::internal
