#include "http_client.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/NetException.h>
#include <Poco/NumberParser.h>

#include <kumquatdrift/http/message.hpp>

namespace kumquatdrift::internal {

namespace {

/*! @brief Maximum size of a response head in bytes. */
constexpr std::size_t max_head_bytes = 65'536;
/*! @brief Maximum number of interim responses before the final one; a service that sends more may go on
 * without end. */
constexpr std::uint32_t max_interim_responses = 16;

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
        this->send_request(used_connection, request);
        auto message = this->receive_response(used_connection, request.wait);
        const auto* const retry_after = find_field(message.fields, "Retry-After");
        outcome.response = {static_cast<int>(message.status), retry_after != nullptr ? *retry_after : "",
                            std::move(message.body)};
        outcome.effect = verdict::ran;
        if (message.keep_alive && !used_connection.send_failed && used_connection.input.empty()) {
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
        if (reusable && !candidate.socket.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ)) {
            return candidate;
        }
    }
    return std::nullopt;
}

http_client::connection http_client::connect() const
{
    connection opened;
    opened.socket.connect(this->address, to_timespan(this->limits.connect_timeout));
    opened.socket.setNoDelay(true);
    return opened;
}

void http_client::return_to_pool(connection idle_connection)
{
    idle_connection.last_used = steady_now();
    const std::lock_guard lock{this->mutex};
    if (this->idle.size() < this->limits.max_idle_connections) {
        this->idle.push_back(std::move(idle_connection));
    }
}

void http_client::send_request(connection& used, const http_request& request) const
{
    auto lines = "Host: " + this->address.toString() + "\r\n";
    if (request.method == "POST") {
        lines += "Content-Type: text/plain; charset=utf-8\r\n";
    }
    const auto bytes = serialize_request(request.method, request.path, lines, request.body);
    used.socket.setSendTimeout(to_timespan(this->limits.response_timeout));
    std::string_view unsent{bytes};
    try {
        while (!unsent.empty()) {
            const auto count = used.socket.sendBytes(unsent.data(), static_cast<int>(unsent.size()));
            unsent.remove_prefix(static_cast<std::size_t>(std::max(count, 0)));
        }
    }
    catch (const Poco::Net::NetException&) {
        // The service may have responded before it closed the connection.
        used.send_failed = true;
    }
}

http_message http_client::receive_response(connection& used, milliseconds wait) const
{
    http_reader reader{http_reader::kind::response, max_head_bytes, this->limits.max_response_bytes};
    auto deadline = steady_now() + wait + this->limits.response_timeout;
    auto in_body = false;
    for (auto interim_responses = 0U; interim_responses <= max_interim_responses;) {
        switch (reader.feed(used.input)) {
        case read_progress::complete: {
            auto message = reader.take();
            if (message.status >= min_final_status) {
                return message;
            }
            ++interim_responses;
            break;
        }
        case read_progress::failed:
            throw Poco::Net::MessageException{"the answer is malformed", reader.failure_reason()};
        case read_progress::need_more:
            if (reader.header_complete() && !std::exchange(in_body, true)) {
                deadline = steady_now() + this->limits.response_timeout;
            }
            if (!receive(used, deadline)) {
                // The kernel reports a reset once. After a send that failed, the end is no orderly close.
                if (used.send_failed || reader.end_of_stream() != read_progress::complete) {
                    throw Poco::Net::MessageException{"the answer is truncated"};
                }
                return reader.take();
            }
            break;
        }
    }
    throw Poco::Net::MessageException{"the answer has too many interim responses"};
}

bool http_client::receive(connection& used, timestamp deadline)
{
    const auto left = std::chrono::ceil<milliseconds>(deadline - steady_now());
    if (left <= milliseconds{0}) {
        throw Poco::TimeoutException{"the answer takes too long"};
    }
    constexpr std::size_t block_bytes = 16 * 1024;
    std::array<char, block_bytes> block{};
    used.socket.setReceiveTimeout(to_timespan(left));
    const auto count = used.socket.receiveBytes(block.data(), static_cast<int>(block.size()));
    used.input.append(block.data(), static_cast<std::size_t>(std::max(count, 0)));
    return count > 0;
}

} // namespace kumquatdrift::internal
