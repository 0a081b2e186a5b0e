#include "http_client.hpp"

#include <array>
#include <istream>
#include <ostream>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>

namespace kumquatdrift::internal {

namespace {

using Poco::Net::HTTPClientSession;

/*! @brief Longer than any process runs, because the pool decides on reuse and a session must not reconnect by
 * itself. */
const Poco::Timespan session_keep_alive{365, 0, 0, 0, 0};

Poco::Timespan to_timespan(milliseconds duration)
{
    return Poco::Timespan{std::chrono::duration_cast<microseconds>(duration).count()};
}

std::string describe(const Poco::Exception& error)
{
    return error.displayText();
}

} // namespace

result<Poco::Net::SocketAddress> parse_service_address(const std::string& url)
{
    constexpr std::string_view scheme = "http://";
    auto text = url.starts_with(scheme) ? url.substr(scheme.size()) : url;
    if (text.ends_with('/')) {
        text.pop_back();
    }
    const auto colon = text.rfind(':');
    Poco::Net::IPAddress ip;
    unsigned port{};
    constexpr unsigned largest_port = 65'535;
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto valid = colon != std::string::npos && Poco::Net::IPAddress::tryParse(host, ip) &&
                       Poco::NumberParser::tryParseUnsigned(text.substr(colon + 1), port) && port >= 1 &&
                       port <= largest_port;
    if (!valid) {
        return failure{"\"" + url + "\" is not an address; accepted are http://IP:PORT and IP:PORT"};
    }
    return Poco::Net::SocketAddress{ip, static_cast<Poco::UInt16>(port)};
}

http_client::http_client(const Poco::Net::SocketAddress& service_address, http_client_limits client_limits)
    : address{service_address}, limits{client_limits}
{
}

http_exchange http_client::send(const http_request& request)
{
    http_exchange outcome;
    try {
        auto idle_connection = this->take_idle();
        outcome.reused = idle_connection.has_value();
        auto used_connection = idle_connection ? std::move(*idle_connection) : this->connect();
        outcome.effect = verdict::may_have_run;
        bool keep_alive{};
        outcome.response = this->exchange(*used_connection.session, request, keep_alive);
        outcome.effect = verdict::ran;
        if (keep_alive) {
            this->return_to_pool(std::move(used_connection));
        }
    }
    catch (const Poco::Exception& error) {
        outcome.reason = this->address.toString() + ": " + describe(error);
    }
    catch (const std::exception& error) {
        outcome.reason = this->address.toString() + ": " + error.what();
    }
    return outcome;
}

http_exchange http_client::send_safe(const http_request& request)
{
    auto outcome = this->send(request);
    if (outcome.effect == verdict::may_have_run && outcome.reused) {
        {
            const std::lock_guard lock{this->mutex};
            this->idle.clear();
        }
        outcome = this->send(request);
    }
    return outcome;
}

std::optional<http_client::connection> http_client::take_idle()
{
    const std::lock_guard lock{this->mutex};
    while (!this->idle.empty()) {
        auto candidate = std::move(this->idle.back());
        this->idle.pop_back();
        const auto reusable = steady_now() - candidate.last_used < this->limits.idle_timeout;
        // An idle connection with readable data has been closed by the service.
        if (reusable &&
            !candidate.session->socket().poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ)) {
            return candidate;
        }
    }
    return std::nullopt;
}

http_client::connection http_client::connect() const
{
    Poco::Net::StreamSocket socket;
    socket.connect(this->address, to_timespan(this->limits.connect_timeout));
    socket.setNoDelay(true);
    auto session = std::make_unique<HTTPClientSession>(socket);
    session->setKeepAlive(true);
    session->setKeepAliveTimeout(session_keep_alive);
    return {std::move(session), steady_now()};
}

void http_client::return_to_pool(connection idle_connection)
{
    idle_connection.last_used = steady_now();
    const std::lock_guard lock{this->mutex};
    if (this->idle.size() < this->limits.max_idle_connections) {
        this->idle.push_back(std::move(idle_connection));
    }
}

http_response http_client::exchange(HTTPClientSession& session, const http_request& request,
                                    bool& keep_alive) const
{
    const auto receive_timeout = request.wait + this->limits.response_timeout;
    session.socket().setSendTimeout(to_timespan(this->limits.response_timeout));
    session.socket().setReceiveTimeout(to_timespan(receive_timeout));
    Poco::Net::HTTPRequest request_head{request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1};
    request_head.setHost(this->address.toString());
    request_head.setKeepAlive(true);
    if (request.method == Poco::Net::HTTPRequest::HTTP_POST) {
        request_head.setContentType("text/plain; charset=utf-8");
        request_head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    }
    session.sendRequest(request_head) << request.body << std::flush;
    Poco::Net::HTTPResponse response_head;
    auto& stream = session.receiveResponse(response_head);
    http_response response;
    response.status = response_head.getStatus();
    response.retry_after = response_head.get("Retry-After", "");
    response.body = this->read_body(stream, steady_now() + this->limits.response_timeout);
    const auto length = response_head.getContentLength64();
    if (length >= 0 && static_cast<std::size_t>(length) != response.body.size()) {
        throw Poco::Net::MessageException{"the answer is truncated"};
    }
    keep_alive = response_head.getKeepAlive();
    return response;
}

std::string http_client::read_body(std::istream& stream, timestamp deadline) const
{
    constexpr std::size_t chunk_bytes = 16 * 1024;
    std::array<char, chunk_bytes> chunk{};
    std::string body;
    do {
        stream.read(chunk.data(), chunk.size());
        body.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > this->limits.max_response_bytes) {
            throw Poco::Net::MessageException{"the answer is too large"};
        }
        if (stream.good() && steady_now() > deadline) {
            throw Poco::TimeoutException{"the answer takes too long"};
        }
    } while (stream.good());
    if (stream.bad()) {
        throw Poco::Net::MessageException{"the connection failed while reading the answer"};
    }
    return body;
}

} // namespace kumquatdrift::internal
