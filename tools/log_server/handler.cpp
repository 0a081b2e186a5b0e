#include "handler.hpp"

#include <algorithm>
#include <optional>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/TextIterator.h>
#include <Poco/URI.h>
#include <Poco/UTF8Encoding.h>

namespace kumquatdrift::log_server {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::size_t max_payload_bytes = 8 * 1024 * 1024;
constexpr std::uint64_t default_limit = 100;
constexpr std::uint64_t max_limit = 10'000;
constexpr std::uint64_t max_wait_ms = 60'000;

/*! @brief Response that the handler sends; with `lose_response`, the connection is closed instead. */
struct response_content {
    HTTPResponse::HTTPStatus status{HTTPResponse::HTTP_OK};
    std::string body{};
    bool lose_response{};
};

response_content make_error(HTTPResponse::HTTPStatus status, const std::string& reason)
{
    Poco::JSON::Object object;
    object.set("error", reason);
    std::ostringstream text;
    object.stringify(text);
    return {status, std::move(text).str()};
}

response_content make_error(store_status status)
{
    return status == store_status::outage
               ? make_error(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "the log is down; nothing was written")
               : make_error(HTTPResponse::HTTP_TOO_MANY_REQUESTS,
                            "too many appends; nothing was written, send it again later");
}

bool is_stream_name(const std::string& name)
{
    constexpr std::size_t max_length = 64;
    return !name.empty() && name.size() <= max_length && std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    });
}

bool is_utf8(const std::string& text)
{
    const Poco::UTF8Encoding encoding;
    const Poco::TextIterator end{text};
    for (Poco::TextIterator position{text, encoding}; position != end; ++position) {
        if (*position < 0) {
            return false;
        }
    }
    return true;
}

/*! @brief Reads the body; returns nothing if it exceeds the limit or is not as long as Content-Length. */
std::optional<std::string> read_body(HTTPServerRequest& request)
{
    std::string body;
    std::vector<char> chunk(64 * 1024);
    auto& stream = request.stream();
    do {
        stream.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
        body.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
    } while (stream.good() && body.size() <= max_payload_bytes);
    const auto length = request.getContentLength64();
    const auto complete = length < 0 || static_cast<std::size_t>(length) == body.size();
    return complete && body.size() <= max_payload_bytes ? std::optional{std::move(body)} : std::nullopt;
}

std::string encode_batch(const log_batch& batch, bool with_records)
{
    std::ostringstream text;
    text << "{\"earliest\":" << batch.bounds.earliest << ",\"end\":" << batch.bounds.end;
    if (with_records) {
        text << ",\"records\":[";
        const auto* separator = "";
        for (const auto& record : batch.records) {
            text << separator << "{\"offset\":" << record.offset << ",\"payload\":";
            Poco::JSON::Stringifier::formatString(record.payload, text);
            text << '}';
            separator = ",";
        }
        text << ']';
    }
    text << '}';
    return std::move(text).str();
}

std::string encode_control(const fault_settings& settings, const counters& counts)
{
    Poco::JSON::Object object{Poco::JSON_PRESERVE_KEY_ORDER};
    object.set("outage", settings.outage);
    object.set("delay_ms", settings.delay_ms);
    object.set("lose_answers", settings.lose_answers);
    object.set("retention_records", settings.retention_records);
    object.set("retention_ms", settings.retention_ms);
    object.set("appends_per_s", settings.appends_per_s);
    object.set("appends", counts.appends);
    object.set("rate_limited", counts.rate_limited);
    object.set("outage_refusals", counts.outage_refusals);
    object.set("lost_answers", counts.lost_answers);
    object.set("reads", counts.reads);
    object.set("waiting", counts.waiting);
    object.set("bytes_in", counts.bytes_in);
    object.set("bytes_out", counts.bytes_out);
    std::ostringstream text;
    object.stringify(text);
    return std::move(text).str();
}

/*! @brief Applies the body of `POST /control`. Returns the name of the first unknown member, or an empty
 * text. Throws `Poco::Exception` on a value of the wrong type. */
std::string apply_control(const Poco::JSON::Object& body, fault_settings& settings)
{
    for (const auto& [name, value] : body) {
        if (name == "outage") {
            settings.outage = value.extract<bool>();
        }
        else if (name == "delay_ms") {
            settings.delay_ms = value.convert<std::uint64_t>();
        }
        else if (name == "lose_answers") {
            settings.lose_answers = value.convert<std::uint64_t>();
        }
        else if (name == "retention_records") {
            settings.retention_records = value.convert<std::uint64_t>();
        }
        else if (name == "retention_ms") {
            settings.retention_ms = value.convert<std::uint64_t>();
        }
        else if (name == "appends_per_s") {
            settings.appends_per_s = value.convert<std::uint64_t>();
        }
        else {
            return name;
        }
    }
    return {};
}

class handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit handler(std::shared_ptr<store> shared) : streams{std::move(shared)} {}

    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override
    {
        const auto content = this->handle(request);
        if (content.lose_response) {
            dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).detachSocket().close();
            return;
        }
        response.setStatusAndReason(content.status);
        response.setContentType("application/json");
        if (content.status == HTTPResponse::HTTP_TOO_MANY_REQUESTS ||
            content.status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE) {
            response.set("Retry-After", "1");
        }
        else if (content.status >= HTTPResponse::HTTP_BAD_REQUEST) {
            // The rest of the request body may still be unread, so the connection cannot be reused.
            response.setKeepAlive(false);
        }
        response.sendBuffer(content.body.data(), content.body.size());
    }

private:
    response_content handle(HTTPServerRequest& request)
    {
        try {
            const Poco::URI uri{request.getURI()};
            std::vector<std::string> segments;
            uri.getPathSegments(segments);
            if (segments.size() == 1 && segments[0] == "control") {
                return this->control(request);
            }
            const auto records = segments.size() == 3 && segments[2] == "records";
            if (segments.size() < 2 || segments[0] != "streams" || (segments.size() > 2 && !records)) {
                return make_error(HTTPResponse::HTTP_NOT_FOUND,
                                  "accepted paths are /streams/{name}, /streams/{name}/records and /control");
            }
            if (!is_stream_name(segments[1])) {
                return make_error(HTTPResponse::HTTP_BAD_REQUEST,
                                  "a stream name has 1 to 64 lower-case letters, digits or '-'");
            }
            auto content = this->serve_stream(request, uri, segments[1], records);
            std::this_thread::sleep_for(milliseconds{this->streams->settings().delay_ms});
            return content;
        }
        catch (const Poco::Exception& error) {
            return make_error(HTTPResponse::HTTP_BAD_REQUEST, error.displayText());
        }
    }

    response_content serve_stream(HTTPServerRequest& request, const Poco::URI& uri, const std::string& stream,
                                  bool records)
    {
        if (records && request.getMethod() == "POST") {
            return this->append(request, stream);
        }
        if (request.getMethod() == "GET") {
            return this->read(uri, stream, records);
        }
        return make_error(HTTPResponse::HTTP_METHOD_NOT_ALLOWED, "accepted methods are GET and POST");
    }

    response_content append(HTTPServerRequest& request, const std::string& stream)
    {
        auto body = read_body(request);
        if (!body) {
            return make_error(HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE,
                              "the payload is truncated or too large");
        }
        if (!is_utf8(*body)) {
            return make_error(HTTPResponse::HTTP_BAD_REQUEST, "the payload is not UTF-8 text");
        }
        const auto outcome = this->streams->append(stream, std::move(*body));
        if (outcome.status != store_status::ok) {
            return make_error(outcome.status);
        }
        return {HTTPResponse::HTTP_CREATED, "{\"offset\":" + std::to_string(outcome.offset) + "}",
                outcome.lose_response};
    }

    response_content read(const Poco::URI& uri, const std::string& stream, bool records)
    {
        std::uint64_t from{};
        std::uint64_t limit = default_limit;
        std::uint64_t wait_ms{};
        for (const auto& [name, value] : uri.getQueryParameters()) {
            auto* const parameter = name == "from"      ? &from
                                    : name == "limit"   ? &limit
                                    : name == "wait_ms" ? &wait_ms
                                                        : nullptr;
            if (parameter == nullptr || !records) {
                return make_error(HTTPResponse::HTTP_BAD_REQUEST,
                                  "unknown parameter " + name +
                                      "; accepted are from, limit and wait_ms of records");
            }
            *parameter = Poco::NumberParser::parseUnsigned64(value);
        }
        const auto wait = milliseconds{records ? std::min(wait_ms, max_wait_ms) : 0};
        const auto outcome =
            this->streams->read(stream, from, records ? std::min(limit, max_limit) : 0, wait);
        return outcome.status == store_status::ok
                   ? response_content{HTTPResponse::HTTP_OK, encode_batch(outcome.batch, records)}
                   : make_error(outcome.status);
    }

    response_content control(HTTPServerRequest& request)
    {
        if (request.getMethod() == "POST") {
            auto settings = this->streams->settings();
            const auto body = Poco::JSON::Parser{}.parse(request.stream()).extract<Poco::JSON::Object::Ptr>();
            const auto unknown = apply_control(*body, settings);
            if (!unknown.empty()) {
                return make_error(HTTPResponse::HTTP_BAD_REQUEST, "unknown switch " + unknown);
            }
            this->streams->set(settings);
        }
        return {HTTPResponse::HTTP_OK, encode_control(this->streams->settings(), this->streams->counts())};
    }

    std::shared_ptr<store> streams;
};

class factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit factory(std::shared_ptr<store> shared) : streams{std::move(shared)} {}

    Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override
    {
        return new handler{this->streams};
    }

private:
    std::shared_ptr<store> streams;
};

} // namespace

Poco::Net::HTTPRequestHandlerFactory::Ptr make_handler_factory(std::shared_ptr<store> streams)
{
    return new factory{std::move(streams)};
}

} // namespace kumquatdrift::log_server
