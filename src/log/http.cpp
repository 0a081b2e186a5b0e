#include <kumquatdrift/log/http.hpp>

#include <memory>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "http_client.hpp"

namespace kumquatdrift {

namespace {

using namespace internal;

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_unavailable = 503;

std::string stream_path(std::string_view stream)
{
    return std::string{"/streams/"}.append(stream);
}

/*! @brief Describes a response with an error status. */
std::string describe_error_response(const http_response& response)
{
    constexpr std::size_t max_excerpt_bytes = 200;
    auto text = "the log answered with status " + std::to_string(response.status);
    if (!response.retry_after.empty()) {
        text += ", retry after " + response.retry_after + " s";
    }
    return response.body.empty() ? text : text + ": " + response.body.substr(0, max_excerpt_bytes);
}

Poco::JSON::Object::Ptr parse_response(const std::string& body)
{
    return Poco::JSON::Parser{}.parse(body).extract<Poco::JSON::Object::Ptr>();
}

append_result to_append_result(const http_exchange& exchange)
{
    if (exchange.effect != verdict::ran) {
        return {exchange.effect, 0, exchange.reason};
    }
    const auto status = exchange.response.status;
    if (status != status_created) {
        constexpr int first_client_error = 400;
        constexpr int first_server_error = 500;
        const auto rejected =
            (status >= first_client_error && status < first_server_error) || status == status_unavailable;
        return {rejected ? verdict::not_run : verdict::may_have_run, 0,
                describe_error_response(exchange.response)};
    }
    try {
        return {verdict::ran, parse_response(exchange.response.body)->getValue<log_offset>("offset"), {}};
    }
    catch (const Poco::Exception& error) {
        return {verdict::may_have_run, 0, "the log sent an unusable answer: " + error.displayText()};
    }
}

log_bounds to_bounds(const Poco::JSON::Object& response)
{
    return {response.getValue<log_offset>("earliest"), response.getValue<log_offset>("end")};
}

log_batch to_batch(const Poco::JSON::Object& response)
{
    log_batch batch;
    batch.bounds = to_bounds(response);
    const auto records = response.getArray("records");
    if (records.isNull()) {
        throw Poco::DataFormatException{"records are missing"};
    }
    batch.records.reserve(records->size());
    for (const auto& element : *records) {
        const auto& record = *element.extract<Poco::JSON::Object::Ptr>();
        batch.records.push_back(
            {record.getValue<log_offset>("offset"), record.get("payload").extract<std::string>()});
    }
    return batch;
}

/*! @brief Sends a read and converts the response. */
template<typename Type, typename Convert>
result<Type> fetch(http_client& client, const http_request& request, const Convert& convert)
{
    const auto exchange = client.send_safe(request);
    if (exchange.effect != verdict::ran) {
        return failure{exchange.reason};
    }
    if (exchange.response.status != status_ok) {
        return failure{describe_error_response(exchange.response)};
    }
    try {
        return convert(*parse_response(exchange.response.body));
    }
    catch (const Poco::Exception& error) {
        return failure{"the log sent an unusable answer: " + error.displayText()};
    }
}

} // namespace

result<log_port> make_http_log_port(const http_log_settings& settings)
{
    const auto address = parse_service_address(settings.url);
    if (!address) {
        return failure{address.last_reason()};
    }
    const http_client_limits limits{settings.connect_timeout, settings.response_timeout,
                                    settings.max_idle_connections, settings.idle_timeout,
                                    settings.max_response_bytes};
    const auto client = std::make_shared<http_client>(*address, limits);
    log_port port;
    port.append = [client](std::string_view stream, std::string payload) {
        return to_append_result(client->send(
            {.method = "POST", .path = stream_path(stream) + "/records", .body = std::move(payload)}));
    };
    port.read = [client](std::string_view stream, log_offset from, std::size_t limit, milliseconds wait) {
        const auto query = "/records?from=" + std::to_string(from) + "&limit=" + std::to_string(limit) +
                           "&wait_ms=" + std::to_string(wait.count());
        return fetch<log_batch>(*client, {.path = stream_path(stream) + query, .wait = wait}, to_batch);
    };
    port.bounds = [client](std::string_view stream) {
        return fetch<log_bounds>(*client, {.path = stream_path(stream)}, to_bounds);
    };
    return port;
}

} // namespace kumquatdrift
