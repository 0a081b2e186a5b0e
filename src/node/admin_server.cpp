#include "node/admin_server.hpp"

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace kumquatdrift::internal {

namespace {

constexpr std::string_view json_type = "application/json";
constexpr std::string_view metrics_type = "text/plain; version=0.0.4";

enum class http_status : unsigned {
    ok = 200,
    bad_request = 400,
    not_found = 404,
    method_not_allowed = 405,
    request_timeout = 408,
    content_too_large = 413,
    service_unavailable = 503,
};

void send(exchange& client, http_status status, std::string_view type, std::string_view body)
{
    const auto until = steady_now() + client.limits().body_stall_timeout;
    client.start_response({static_cast<unsigned>(status), "content-type: " + std::string{type} + "\r\n",
                           body_framing::length, body.size()});
    if (!body.empty() && client.send_block(body, until) != io_status::ok) {
        client.close_after_response();
        return;
    }
    if (client.finish_response(until) != io_status::ok) {
        client.close_after_response();
    }
}

void send_error(exchange& client, http_status status, const std::string& reason)
{
    client.close_after_response();
    client.send_error({static_cast<unsigned>(status), verdict::not_run, {}, reason, {}});
}

/*! @brief Reads the body of a request; answers the request itself if that fails. */
std::optional<std::string> read_body(exchange& client)
{
    if (client.awaits_continue() && !client.send_continue()) {
        client.close_after_response();
        return std::nullopt;
    }
    std::string body;
    std::array<char, 4'096> block{};
    for (;;) {
        const auto until = steady_now() + client.limits().body_stall_timeout;
        const auto read = client.request().read_body(block.data(), block.size(), until);
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

void handle_announce(exchange& client, const admin_port& port)
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
    const auto changed = port.announce(*parsed);
    if (!changed) {
        send_error(client, http_status::bad_request, changed.last_reason());
        return;
    }
    send(client, http_status::ok, json_type, *changed ? R"({"changed":true})" : R"({"changed":false})");
}

void handle_get(exchange& client, const admin_port& port, std::string_view path)
{
    if (path == "/healthz") {
        send(client, http_status::ok, json_type, R"({"live":true})");
    }
    else if (path == "/readyz") {
        const auto judgement = judge_readiness(port.status());
        const auto status = judgement.ready ? http_status::ok : http_status::service_unavailable;
        send(client, status, json_type, to_json(judgement));
    }
    else if (path == "/metrics") {
        send(client, http_status::ok, metrics_type, port.metrics());
    }
    else {
        send(client, http_status::ok, json_type, to_json(port.status()));
    }
}

void handle(exchange& client, const admin_port& port)
{
    const auto& head = client.request().head();
    const std::string target{head.target().data(), head.target().size()};
    const auto path = target.substr(0, target.find('?'));
    const bool is_announce = path == "/v1/announce";
    const bool is_page =
        path == "/healthz" || path == "/readyz" || path == "/metrics" || path == "/v1/status";
    const auto method = head.method();
    if (!is_announce && !is_page) {
        send_error(client, http_status::not_found,
                   "no such page; there are /healthz, /readyz, /metrics, /v1/status and /v1/announce");
    }
    else if (is_announce && method == boost::beast::http::verb::post) {
        handle_announce(client, port);
    }
    else if (is_page && method == boost::beast::http::verb::get) {
        handle_get(client, port, path);
    }
    else {
        send_error(client, http_status::method_not_allowed,
                   is_announce ? "use POST for this page" : "use GET for this page");
    }
}

} // namespace

result<std::unique_ptr<listener>> make_admin_listener(const listener_limits& limits, admin_port port)
{
    return listener::create(limits, [needs = std::move(port)](exchange& client) { handle(client, needs); },
                            {});
}

} // namespace kumquatdrift::internal
