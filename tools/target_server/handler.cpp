#include "handler.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <istream>
#include <optional>
#include <ostream>
#include <thread>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include <kumquatdrift/core/digest.hpp>
#include <kumquatdrift/core/verdict.hpp>
#include <kumquatdrift/proxy/headers.hpp>

namespace target_server {
namespace {

using kumquatdrift::milliseconds;
using kumquatdrift::verdict;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::size_t buffer_bytes = 16 * 1024;

std::uint64_t query_number(const HTTPServerRequest& request, const std::string& name, std::uint64_t fallback)
{
    for (const auto& [key, value] : Poco::URI{request.getURI()}.getQueryParameters()) {
        Poco::UInt64 number{};
        if (key == name && Poco::NumberParser::tryParseUnsigned64(value, number)) {
            return number;
        }
    }
    return fallback;
}

void send_json(HTTPServerResponse& response, const Poco::JSON::Object& object)
{
    response.setContentType("application/json");
    std::ostringstream text;
    object.stringify(text);
    const auto body = text.str();
    response.sendBuffer(body.data(), body.size());
}

void send_rejection(HTTPServerResponse& response, HTTPResponse::HTTPStatus status, verdict execution)
{
    response.setStatusAndReason(status);
    response.set(std::string{kumquatdrift::verdict_header}, std::string{to_name(execution)});
    response.set("Retry-After", "1");
    const std::string body{"refused\n"};
    response.sendBuffer(body.data(), body.size());
}

struct received_body {
    std::uint64_t bytes{};
    std::uint64_t digest{};
    bool complete{};
};

received_body read_body(HTTPServerRequest& request)
{
    received_body received;
    if (!request.hasContentLength() && !request.getChunkedTransferEncoding()) {
        received.complete = true;
        return received;
    }
    std::array<char, buffer_bytes> buffer{};
    auto& input = request.stream();
    while (input.read(buffer.data(), buffer.size()), input.gcount() > 0) {
        const auto count = static_cast<std::size_t>(input.gcount());
        received.digest = kumquatdrift::digest({buffer.data(), count}, received.digest);
        received.bytes += count;
    }
    auto& session = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).session();
    const auto expected = request.hasContentLength()
                              ? static_cast<std::uint64_t>(request.getContentLength64())
                              : received.bytes;
    received.complete = session.networkException() == nullptr && received.bytes == expected;
    return received;
}

void send_bytes(std::ostream& output, std::uint64_t count)
{
    std::array<char, buffer_bytes> buffer{};
    buffer.fill('x');
    while (count > 0 && output.good()) {
        const auto size = std::min<std::uint64_t>(count, buffer.size());
        output.write(buffer.data(), static_cast<std::streamsize>(size));
        count -= size;
    }
    output.flush();
}

class request_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit request_handler(state& shared) noexcept : target{shared} {}

    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override
    {
        this->target.start_request();
        const std::string attempt{kumquatdrift::attempt_header};
        if (request.has(attempt)) {
            response.set(attempt, request.get(attempt));
        }
        try {
            this->serve(request, response);
        }
        catch (const Poco::Exception&) {
            // The connection has failed, so no response can be sent on it.
            response.setKeepAlive(false);
        }
        this->target.end_request();
    }

private:
    void serve(HTTPServerRequest& request, HTTPServerResponse& response)
    {
        const auto path = Poco::URI{request.getURI()}.getPath();
        if (path == "/health" || path == "/load") {
            this->send_health(response);
        }
        else if (path == "/ledger") {
            this->send_ledger(request, response);
        }
        else if (this->target.current() == kumquatdrift::target_state::draining ||
                 !this->target.try_acquire_slot()) {
            // The request body is unread, so the connection cannot be reused.
            response.setKeepAlive(false);
            send_rejection(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, verdict::not_run);
        }
        else {
            this->execute_in_slot(path, request, response);
        }
    }

    void execute_in_slot(const std::string& path, HTTPServerRequest& request, HTTPServerResponse& response)
    {
        try {
            this->execute(path, request, response);
        }
        catch (const Poco::Exception&) {
            this->target.release_slot();
            throw;
        }
        this->target.release_slot();
    }

    void execute(const std::string& path, HTTPServerRequest& request, HTTPServerResponse& response)
    {
        const auto body = read_body(request);
        if (!body.complete) {
            response.setKeepAlive(false);
            send_rejection(response, HTTPResponse::HTTP_BAD_REQUEST, verdict::not_run);
            return;
        }
        const auto deadline = remaining_time(request);
        if (deadline && *deadline <= milliseconds{0}) {
            send_rejection(response, HTTPResponse::HTTP_GATEWAY_TIMEOUT, verdict::not_run);
            return;
        }
        this->target.record_execution(request.get(request_id_header, ""));
        if (path == "/crash" || request.has(crash_header)) {
            constexpr int crash_exit_code = 70;
            std::_Exit(crash_exit_code);
        }
        const auto processing = this->processing_time(path, request);
        if (deadline && *deadline < processing) {
            std::this_thread::sleep_for(*deadline);
            send_rejection(response, HTTPResponse::HTTP_GATEWAY_TIMEOUT, verdict::may_have_run);
            return;
        }
        std::this_thread::sleep_for(processing);
        send_response(path, request, response, body);
    }

    static void send_response(const std::string& path, HTTPServerRequest& request,
                              HTTPServerResponse& response, const received_body& body)
    {
        constexpr std::uint64_t default_stream_bytes = 1024 * 1024;
        if (path == "/stream") {
            response.setChunkedTransferEncoding(true);
            send_bytes(response.send(), query_number(request, "bytes", default_stream_bytes));
            return;
        }
        if (path == "/cut") {
            send_truncated(request, response, query_number(request, "bytes", default_stream_bytes));
            return;
        }
        Poco::JSON::Object object;
        object.set("bytes", body.bytes);
        object.set("digest", kumquatdrift::to_hex(body.digest));
        object.set("method", request.getMethod());
        object.set("id", request.get(request_id_header, ""));
        send_json(response, object);
    }

    // Sends a truncated response: declares a Content-Length of twice the bytes (or, with `chunked=1`, a
    // chunked body) and closes the connection after sending the bytes.
    static void send_truncated(HTTPServerRequest& request, HTTPServerResponse& response, std::uint64_t bytes)
    {
        if (query_number(request, "chunked", 0) != 0) {
            response.setChunkedTransferEncoding(true);
        }
        else {
            response.setContentLength64(static_cast<Poco::Int64>(bytes) * 2);
        }
        response.setKeepAlive(false);
        send_bytes(response.send(), bytes);
        // The destructor of the chunked stream writes the final chunk, so the socket is shut down first.
        dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
    }

    [[nodiscard]] static std::optional<milliseconds> remaining_time(const HTTPServerRequest& request)
    {
        int remaining_ms{};
        const auto& text = request.get(std::string{kumquatdrift::deadline_header}, "");
        if (!Poco::NumberParser::tryParse(text, remaining_ms)) {
            return std::nullopt;
        }
        return milliseconds{remaining_ms};
    }

    [[nodiscard]] milliseconds processing_time(const std::string& path,
                                               const HTTPServerRequest& request) const
    {
        constexpr std::uint64_t default_slow_ms = 1'000;
        const auto& settings = this->target.settings();
        if (path == "/slow") {
            return milliseconds{query_number(request, "ms", default_slow_ms)};
        }
        const auto cold = this->target.current() == kumquatdrift::target_state::cold;
        return settings.work * (cold ? settings.cold_factor : 1);
    }

    void send_health(HTTPServerResponse& response)
    {
        const auto& settings = this->target.settings();
        std::this_thread::sleep_for(settings.health_lag);
        const auto reported = settings.lie ? kumquatdrift::target_state::ready : this->target.current();
        Poco::JSON::Object object;
        object.set("state", std::string{to_name(reported)});
        object.set("in_use", settings.lie ? 0 : this->target.in_use());
        object.set("slots", settings.slots);
        send_json(response, object);
    }

    void send_ledger(const HTTPServerRequest& request, HTTPServerResponse& response)
    {
        if (request.getMethod() == "DELETE") {
            this->target.clear_ledger();
        }
        Poco::JSON::Object object;
        for (const auto& [id, count] : this->target.ledger()) {
            object.set(id, count);
        }
        send_json(response, object);
    }

    state& target;
};

} // namespace

Poco::Net::HTTPRequestHandler* handler_factory::createRequestHandler(const HTTPServerRequest& /*request*/)
{
    return new request_handler{this->target};
}

} // namespace target_server
