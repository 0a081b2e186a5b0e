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

constexpr std::size_t block_bytes = 16 * 1024;

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

void send_refusal(HTTPServerResponse& response, HTTPResponse::HTTPStatus status, verdict effect)
{
    response.setStatusAndReason(status);
    response.set(std::string{kumquatdrift::verdict_header}, std::string{to_name(effect)});
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
    std::array<char, block_bytes> block{};
    auto& input = request.stream();
    while (input.read(block.data(), block.size()), input.gcount() > 0) {
        const auto count = static_cast<std::size_t>(input.gcount());
        received.digest = kumquatdrift::digest({block.data(), count}, received.digest);
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
    std::array<char, block_bytes> block{};
    block.fill('x');
    while (count > 0 && output.good()) {
        const auto step = std::min<std::uint64_t>(count, block.size());
        output.write(block.data(), static_cast<std::streamsize>(step));
        count -= step;
    }
    output.flush();
}

class request_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit request_handler(state& shared) noexcept : target{shared} {}

    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override
    {
        this->target.enter();
        try {
            this->serve(request, response);
        }
        catch (const Poco::Exception&) {
            // The connection is gone; closing it is all that is left.
            response.setKeepAlive(false);
        }
        this->target.leave();
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
                 !this->target.try_take_slot()) {
            // The body is left unread, so the connection cannot be used again.
            response.setKeepAlive(false);
            send_refusal(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, verdict::not_run);
        }
        else {
            this->run_in_slot(path, request, response);
        }
    }

    void run_in_slot(const std::string& path, HTTPServerRequest& request, HTTPServerResponse& response)
    {
        try {
            this->run(path, request, response);
        }
        catch (const Poco::Exception&) {
            this->target.give_slot();
            throw;
        }
        this->target.give_slot();
    }

    void run(const std::string& path, HTTPServerRequest& request, HTTPServerResponse& response)
    {
        const auto body = read_body(request);
        if (!body.complete) {
            response.setKeepAlive(false);
            send_refusal(response, HTTPResponse::HTTP_BAD_REQUEST, verdict::not_run);
            return;
        }
        const auto deadline = deadline_of(request);
        if (deadline && *deadline <= milliseconds{0}) {
            send_refusal(response, HTTPResponse::HTTP_GATEWAY_TIMEOUT, verdict::not_run);
            return;
        }
        this->target.note_run(request.get(request_id_header, ""));
        if (path == "/crash" || request.has(crash_header)) {
            constexpr int crash_code = 70;
            std::_Exit(crash_code);
        }
        const auto work = this->work_time(path, request);
        if (deadline && *deadline < work) {
            std::this_thread::sleep_for(*deadline);
            send_refusal(response, HTTPResponse::HTTP_GATEWAY_TIMEOUT, verdict::may_have_run);
            return;
        }
        std::this_thread::sleep_for(work);
        answer(path, request, response, body);
    }

    static void answer(const std::string& path, HTTPServerRequest& request, HTTPServerResponse& response,
                       const received_body& body)
    {
        constexpr std::uint64_t default_stream_bytes = 1024 * 1024;
        if (path == "/stream") {
            response.setChunkedTransferEncoding(true);
            send_bytes(response.send(), query_number(request, "bytes", default_stream_bytes));
            return;
        }
        if (path == "/cut") {
            send_cut(request, response, query_number(request, "bytes", default_stream_bytes));
            return;
        }
        Poco::JSON::Object object;
        object.set("bytes", body.bytes);
        object.set("digest", kumquatdrift::to_hex(body.digest));
        object.set("method", request.getMethod());
        object.set("id", request.get(request_id_header, ""));
        send_json(response, object);
    }

    // Announces twice the bytes (or a chunked body, with `chunked=1`) and closes after half of them.
    static void send_cut(HTTPServerRequest& request, HTTPServerResponse& response, std::uint64_t bytes)
    {
        if (query_number(request, "chunked", 0) != 0) {
            response.setChunkedTransferEncoding(true);
        }
        else {
            response.setContentLength64(static_cast<Poco::Int64>(bytes) * 2);
        }
        response.setKeepAlive(false);
        send_bytes(response.send(), bytes);
        // The destructor of a chunked stream writes the final chunk; the socket must be closed first.
        dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
    }

    [[nodiscard]] static std::optional<milliseconds> deadline_of(const HTTPServerRequest& request)
    {
        int left{};
        const auto& text = request.get(std::string{kumquatdrift::deadline_header}, "");
        if (!Poco::NumberParser::tryParse(text, left)) {
            return std::nullopt;
        }
        return milliseconds{left};
    }

    [[nodiscard]] milliseconds work_time(const std::string& path, const HTTPServerRequest& request) const
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
        const auto now = settings.lie ? kumquatdrift::target_state::ready : this->target.current();
        Poco::JSON::Object object;
        object.set("state", std::string{to_name(now)});
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
