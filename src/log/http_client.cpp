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

/*! @brief Longer than any run, because the pool decides on reuse and the session must not reconnect. */
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
        auto reusable = this->take_idle();
        outcome.reused = reusable.has_value();
        auto used = reusable ? std::move(*reusable) : this->connect();
        outcome.effect = verdict::may_have_run;
        bool keep{};
        outcome.answer = this->exchange(*used.session, request, keep);
        outcome.effect = verdict::ran;
        if (keep) {
            this->give_back(std::move(used));
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
        const auto fresh = steady_now() - candidate.used < this->limits.idle_timeout;
        // An idle connection that is readable has been closed by the service.
        if (fresh && !candidate.session->socket().poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ)) {
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

void http_client::give_back(connection idle_connection)
{
    idle_connection.used = steady_now();
    const std::lock_guard lock{this->mutex};
    if (this->idle.size() < this->limits.max_idle_connections) {
        this->idle.push_back(std::move(idle_connection));
    }
}

http_answer http_client::exchange(HTTPClientSession& session, const http_request& request, bool& keep) const
{
    const auto patience = request.wait + this->limits.answer_timeout;
    session.socket().setSendTimeout(to_timespan(this->limits.answer_timeout));
    session.socket().setReceiveTimeout(to_timespan(patience));
    Poco::Net::HTTPRequest head{request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1};
    head.setHost(this->address.toString());
    head.setKeepAlive(true);
    if (request.method == Poco::Net::HTTPRequest::HTTP_POST) {
        head.setContentType("text/plain; charset=utf-8");
        head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    }
    session.sendRequest(head) << request.body << std::flush;
    Poco::Net::HTTPResponse response;
    auto& stream = session.receiveResponse(response);
    http_answer answer;
    answer.status = response.getStatus();
    answer.retry_after = response.get("Retry-After", "");
    answer.body = this->read_body(stream, steady_now() + this->limits.answer_timeout);
    const auto length = response.getContentLength64();
    if (length >= 0 && static_cast<std::size_t>(length) != answer.body.size()) {
        throw Poco::Net::MessageException{"the answer is truncated"};
    }
    keep = response.getKeepAlive();
    return answer;
}

std::string http_client::read_body(std::istream& stream, timestamp deadline) const
{
    constexpr std::size_t chunk_bytes = 16 * 1024;
    std::array<char, chunk_bytes> chunk{};
    std::string body;
    do {
        stream.read(chunk.data(), chunk.size());
        body.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > this->limits.max_answer_bytes) {
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
