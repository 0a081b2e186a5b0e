#include "proxy/exchange.hpp"

#include <array>
#include <cassert>
#include <charconv>

#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>

#include <kumquatdrift/proxy/headers.hpp>

namespace kumquatdrift::internal {

namespace http = boost::beast::http;

namespace {

// If the buffered output and the data together do not exceed this size, the data is appended to the output
// and one system call sends both. Larger blocks are sent on their own, without a copy.
constexpr std::size_t max_joined_bytes = 16 * 1024;

std::string format_seconds(milliseconds time)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(time).count());
}

} // namespace

void append_chunk(std::string& output, std::string_view data)
{
    assert(!data.empty());
    constexpr std::size_t max_size_digits = 16;
    constexpr int base = 16;
    std::array<char, max_size_digits> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), data.size(), base).ptr;
    output.append(size.data(), end);
    output += "\r\n";
    output += data;
    output += "\r\n";
}

exchange::exchange(tcp_connection& connection_of_client, request_reader& request_of_client,
                   const listener_limits& listener_settings)
    : connection{connection_of_client}, reader{request_of_client}, settings{listener_settings},
      closing{!listener_settings.keep_alive || !request_of_client.keeps_alive()}
{
    const auto& head = this->reader.head();
    // HTTP/1.0 has no chunked coding: a response of unknown length ends with the connection. Every HTTP/1.0
    // connection is therefore closed after its response.
    this->closing = this->closing || head.version() < 11;
    this->is_head_request = head.method() == http::verb::head;
    const auto expects_continue = boost::beast::iequals(head[http::field::expect], "100-continue");
    this->awaiting_continue = expects_continue && head.version() >= 11 && !this->reader.is_done();
}

bool exchange::send_continue()
{
    if (!this->awaiting_continue) {
        return true;
    }
    this->awaiting_continue = false;
    const auto until = steady_now() + this->settings.body_stall_timeout;
    return this->connection.send("HTTP/1.1 100 Continue\r\n\r\n", until) == io_status::ok;
}

void exchange::start_response(const response_head& head)
{
    assert(!this->started);
    this->started = true;
    this->response_status = head.status;
    this->framing = head.framing;
    const auto is_http_1_0 = this->reader.head().version() < 11;
    const auto reason = http::obsolete_reason(static_cast<http::status>(head.status));
    this->output = "HTTP/1.1 " + std::to_string(head.status) + ' ';
    this->output.append(reason.data(), reason.size());
    this->output += "\r\n" + head.fields;
    if (head.framing == body_framing::length) {
        this->output += "Content-Length: " + std::to_string(head.length) + "\r\n";
    }
    else if (head.framing == body_framing::chunked && !is_http_1_0) {
        this->output += "Transfer-Encoding: chunked\r\n";
    }
    // A client that waits for 100 may or may not send the body after a final response, so that the next bytes
    // cannot be interpreted.
    this->closing = this->closing || this->awaiting_continue;
    this->output += this->closing ? "Connection: close\r\n\r\n" : "\r\n";
    if (this->framing == body_framing::chunked && is_http_1_0) {
        // The blocks are then sent without chunk headers; the end of the connection ends the body.
        this->framing = body_framing::length;
    }
}

io_status exchange::send_block(std::string_view data, timestamp until)
{
    assert(this->started && !this->finished);
    if (this->framing == body_framing::none) {
        return io_status::ok;
    }
    if (this->framing == body_framing::chunked) {
        append_chunk(this->output, data);
        return this->flush(until);
    }
    if (this->output.size() + data.size() <= max_joined_bytes) {
        this->output += data;
        return this->flush(until);
    }
    const auto flushed = this->flush(until);
    return flushed == io_status::ok ? this->connection.send(data, until) : flushed;
}

io_status exchange::finish_response(timestamp until)
{
    assert(this->started);
    if (this->framing == body_framing::chunked) {
        this->output += final_chunk;
    }
    const auto flushed = this->flush(until);
    this->finished = flushed == io_status::ok;
    this->closing = this->closing || !this->finished;
    return flushed;
}

void exchange::abort_response() noexcept
{
    this->closing = true;
    this->connection.abort();
}

void exchange::send_error(const error_response& response)
{
    if (this->started) {
        return;
    }
    response_head head{response.status, response.fields, body_framing::length, response.reason.size() + 1};
    head.fields += "Content-Type: text/plain\r\n";
    head.fields += std::string{verdict_header} + ": " + std::string{to_name(response.effect)} + "\r\n";
    if (response.retry_after.count() > 0) {
        head.fields += "Retry-After: " + format_seconds(response.retry_after) + "\r\n";
    }
    this->start_response(head);
    if (!this->is_head_request) {
        this->output += response.reason + '\n';
    }
    // If sending fails, finish_response marks the connection to be closed; nothing else can be done.
    static_cast<void>(this->finish_response(steady_now() + this->settings.body_stall_timeout));
}

io_status exchange::flush(timestamp until)
{
    const auto sent = this->connection.send(this->output, until);
    this->output.clear();
    return sent;
}

} // namespace kumquatdrift::internal
