#include "proxy/message_reader.hpp"

#include <cassert>
#include <limits>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <kumquatdrift/http/message.hpp>

namespace kumquatdrift::internal {

namespace http = boost::beast::http;

template<bool is_request>
message_reader<is_request>::message_reader(tcp_connection& io, std::uint32_t header_bytes, bool without_body)
    : connection{io}
{
    this->parser.header_limit(header_bytes);
    // `request_body` checks the limits of listeners and routes. Beast 1.74 rejects any Content-Length
    // as too large if no limit is set at all.
    this->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if constexpr (!is_request) {
        this->parser.skip(without_body);
    }
}

template<bool is_request>
std::optional<read_status> message_reader<is_request>::parse()
{
    const auto input = this->connection.input();
    if (input.empty()) {
        return std::nullopt;
    }
    this->started = true;
    boost::beast::error_code error;
    const auto used = this->parser.put(boost::asio::buffer(input.data(), input.size()), error);
    this->connection.consume(used);
    if (!error || error == http::error::need_buffer) {
        return read_status::ok;
    }
    if (error == http::error::need_more) {
        return used > 0 ? std::optional{read_status::ok} : std::nullopt;
    }
    return error == http::error::header_limit ? read_status::header_too_large : read_status::malformed;
}

template<bool is_request>
read_status message_reader<is_request>::receive(timestamp until, const tcp_connection* watched)
{
    if (this->connection.is_full()) {
        // A head, a chunk header or a trailer does not fit into the buffer.
        return this->parser.is_header_done() ? read_status::malformed : read_status::header_too_large;
    }
    switch (this->connection.receive(until, watched)) {
    case io_status::ok:
        return read_status::ok;
    case io_status::timed_out:
        return read_status::timed_out;
    case io_status::watched_closed:
        return read_status::watched_closed;
    case io_status::closed:
        return this->started ? read_status::end : read_status::closed;
    case io_status::failed:
    case io_status::input_pending:
        break;
    }
    return this->started ? read_status::truncated : read_status::closed;
}

template<bool is_request>
read_status message_reader<is_request>::read_head(timestamp until, const tcp_connection* watched)
{
    while (!this->parser.is_header_done()) {
        const auto parsed = this->parse();
        if (parsed && *parsed != read_status::ok) {
            return *parsed;
        }
        if (parsed) {
            continue;
        }
        const auto received = this->receive(until, watched);
        if (received == read_status::end) {
            return read_status::truncated;
        }
        if (received != read_status::ok) {
            return received;
        }
    }
    return read_status::ok;
}

template<bool is_request>
body_block message_reader<is_request>::read_body(char* data, std::size_t size, timestamp until,
                                                 const tcp_connection* watched)
{
    assert(size > 0);
    auto& body = this->parser.get().body();
    body.data = data;
    body.size = size;
    while (!this->parser.is_done()) {
        const auto parsed = this->parse();
        if (parsed && *parsed != read_status::ok) {
            return {*parsed, 0};
        }
        if (body.size < size) {
            return {read_status::ok, size - body.size};
        }
        if (parsed) {
            continue;
        }
        const auto received = this->receive(until, watched);
        if (received == read_status::end) {
            boost::beast::error_code error;
            this->parser.put_eof(error);
            return {error ? read_status::truncated : read_status::end, 0};
        }
        if (received != read_status::ok) {
            return {received, 0};
        }
    }
    return {read_status::end, 0};
}

template class message_reader<true>;
template class message_reader<false>;

namespace {

// Checks for no transfer coding other than `chunked` (HTTP/1.0: none). Beast parses a request with an unknown
// coding as one without a body, so that the bytes of its body would be read as the next request. It parses a
// response with an unknown coding as if the coded bytes were the body.
bool has_supported_coding(const http::fields& fields, unsigned version)
{
    constexpr unsigned http_1_1 = 11;
    const auto coding_fields = fields.count(http::field::transfer_encoding);
    return coding_fields == 0 || (coding_fields == 1 && version == http_1_1 &&
                                  boost::beast::iequals(fields[http::field::transfer_encoding], "chunked"));
}

} // namespace

bool is_valid_request(const request_reader::head_type& head)
{
    const auto hosts = head.count(http::field::host);
    const auto is_http_1_1 = head.version() == 11;
    return hosts <= 1 && (hosts == 1 || !is_http_1_1) && has_supported_coding(head, head.version());
}

bool is_valid_response(const response_reader::head_type& head)
{
    return head.result_int() >= min_status && head.result_int() <= max_status &&
           has_supported_coding(head, head.version());
}

} // namespace kumquatdrift::internal
