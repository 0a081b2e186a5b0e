#include "proxy/outbound_request.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

#include <boost/beast/http/verb.hpp>

#include <kumquatdrift/http/message.hpp>
#include <kumquatdrift/proxy/headers.hpp>

#include "proxy/fields.hpp"

namespace kumquatdrift::internal {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t buffer_bytes = 16 * 1024;
constexpr unsigned status_continue = 100;

// Buffer for blocks of a body, one per thread. Clearing 16 KB for each request took 2% of the CPU time of an
// entry node.
std::array<char, buffer_bytes>& thread_buffer()
{
    thread_local std::array<char, buffer_bytes> buffer{};
    return buffer;
}

hop_end end_of(read_status status)
{
    switch (status) {
    case read_status::timed_out:
        return hop_end::timed_out;
    case read_status::watched_closed:
        return hop_end::cancelled;
    case read_status::malformed:
    case read_status::header_too_large:
        return hop_end::malformed_answer;
    default:
        return hop_end::connection_lost;
    }
}

} // namespace

std::string deadline_text(timestamp deadline)
{
    constexpr int margin_divisor = 20;
    constexpr microseconds min_margin{2'000};
    constexpr microseconds max_margin{20'000};
    const auto remaining = deadline - steady_now();
    const auto margin = std::clamp(remaining / margin_divisor, min_margin, max_margin);
    const auto peer_time = std::chrono::duration_cast<milliseconds>(remaining - margin);
    return std::to_string(std::max(peer_time, milliseconds{0}).count());
}

outbound_request::outbound_request(pooled_connection acquired, hop_peer peer, const client_request& source,
                                   std::string attempt_number)
    : connection{std::move(acquired)}, request{source}, attempt{std::move(attempt_number)},
      sent_bytes_at_start{this->connection.io().sent_bytes()}, is_chunked{!source.body.length()}
{
    this->observation.peer = peer;
}

bool outbound_request::send_and_receive_head(std::string_view extra_fields, bool expect_continue)
{
    const auto has_response =
        expect_continue ? this->send_after_continue(extra_fields) : this->send_all(extra_fields);
    this->observation.bytes_sent = this->connection
                                       ? this->connection.io().sent_bytes() - this->sent_bytes_at_start
                                       : this->observation.bytes_sent;
    return has_response;
}

std::string outbound_request::request_head(std::string_view extra_fields, bool expect_continue) const
{
    std::string head;
    constexpr std::size_t typical_extra_bytes = 256;
    head.reserve(this->request.fields.size() + extra_fields.size() + typical_extra_bytes);
    head += this->request.method;
    head += ' ';
    head += this->request.path;
    head += " HTTP/1.1\r\n";
    head += this->request.fields;
    if (this->is_chunked && this->request.body.is_present()) {
        head += "Transfer-Encoding: chunked\r\n";
    }
    else if (this->request.body.is_present()) {
        append_field(head, "Content-Length", std::to_string(*this->request.body.length()));
    }
    if (expect_continue) {
        head += "Expect: 100-continue\r\n";
    }
    append_field(head, trace_header, format_traceparent(this->request.trace));
    if (!this->attempt.empty()) {
        append_field(head, attempt_header, this->attempt);
    }
    head += extra_fields;
    head += "\r\n";
    return head;
}

bool outbound_request::send_all(std::string_view extra_fields)
{
    const auto status = this->request.body.read_prefix(this->request.deadline);
    if (status != read_status::ok) {
        this->fail_body_read(status);
        return false;
    }
    this->is_chunked = !this->request.body.length();
    if (!this->send_body(this->request_head(extra_fields, false))) {
        return false;
    }
    return this->receive_final_head();
}

bool outbound_request::send_after_continue(std::string_view extra_fields)
{
    if (!this->send(this->request_head(extra_fields, true))) {
        return false;
    }
    while (!this->has_final_head() && (!this->reader || this->response().result_int() != status_continue)) {
        if (!this->receive_head()) {
            return false;
        }
    }
    if (this->has_final_head()) {
        // The peer did not request the body. The connection cannot be reused, because is_request_complete
        // stays false.
        return true;
    }
    const auto status = this->request.body.read_prefix(this->request.deadline);
    if (status != read_status::ok) {
        this->fail_body_read(status);
        return false;
    }
    return this->send_body({}) && this->receive_final_head();
}

bool outbound_request::send_body(std::string output)
{
    const auto& start = this->request.body.prefix();
    if (this->is_chunked && !start.empty()) {
        append_chunk(output, start);
    }
    else {
        output += start;
    }
    if (this->request.body.is_whole() && this->is_chunked && this->request.body.is_present()) {
        output += final_chunk;
    }
    if (!this->send(output)) {
        return false;
    }
    if (!this->request.body.is_whole() && this->request.body.is_present()) {
        return this->stream_remainder();
    }
    this->is_request_complete = !this->has_final_head();
    return true;
}

bool outbound_request::stream_remainder()
{
    auto& buffer = thread_buffer();
    std::string output;
    while (true) {
        if (!this->has_final_head() && !this->connection.io().is_idle() && !this->receive_head()) {
            return false;
        }
        if (this->has_final_head()) {
            return true;
        }
        const auto read =
            this->request.body.read_remainder(buffer.data(), buffer.size(), this->request.deadline);
        if (read.status == read_status::end) {
            break;
        }
        if (read.status != read_status::ok) {
            this->fail_body_read(read.status);
            return false;
        }
        std::string_view data{buffer.data(), read.bytes};
        if (this->is_chunked) {
            output.clear();
            append_chunk(output, data);
            data = output;
        }
        if (!this->send(data)) {
            return false;
        }
    }
    if (this->is_chunked && !this->send(final_chunk)) {
        return false;
    }
    this->is_request_complete = !this->has_final_head();
    return true;
}

bool outbound_request::send(std::string_view bytes)
{
    auto status = this->connection.io().send_until_input(bytes, this->io_deadline());
    while (status == io_status::input_pending) {
        // A peer that has responded may not read the remainder of the request. The response can be interim.
        if (!this->receive_head()) {
            return false;
        }
        if (this->has_final_head()) {
            return true;
        }
        status = this->connection.io().send_until_input(bytes, this->io_deadline());
    }
    if (status == io_status::ok) {
        return true;
    }
    if (status == io_status::failed && this->connection.io().wait_input(steady_now()) == io_status::ok) {
        // The peer may have responded before it closed the connection.
        return this->receive_final_head();
    }
    this->fail(status == io_status::timed_out ? hop_end::timed_out : hop_end::connection_lost);
    return false;
}

bool outbound_request::has_final_head() const noexcept
{
    return this->reader && this->response().result_int() >= min_final_status;
}

bool outbound_request::receive_final_head()
{
    while (!this->has_final_head()) {
        if (!this->receive_head()) {
            return false;
        }
    }
    return true;
}

bool outbound_request::receive_head()
{
    const auto is_head = this->request.client.request().head().method() == http::verb::head;
    this->reader.emplace(this->connection.io(), max_response_head_bytes, is_head);
    const auto status = this->reader->read_head(this->request.deadline, &this->request.client.io());
    if (status != read_status::ok) {
        this->fail(end_of(status));
        return false;
    }
    constexpr unsigned switching_protocols = 101;
    const auto code = this->response().result_int();
    const boost::beast::string_view verdict_name{verdict_header.data(), verdict_header.size()};
    if (!is_valid_response(this->response()) || code == switching_protocols ||
        this->response().count(verdict_name) > 1 || this->is_response_to_another_attempt()) {
        this->fail(hop_end::malformed_answer);
        return false;
    }
    if (code < min_final_status && ++this->interim_responses > max_interim_responses) {
        this->fail(hop_end::malformed_answer);
        return false;
    }
    if (code >= min_final_status) {
        this->observation.end = hop_end::answered;
        this->observation.status = static_cast<std::uint16_t>(code);
        const auto verdict_field = this->response().find(verdict_name);
        if (verdict_field != this->response().end()) {
            this->observation.verdict_text =
                std::string_view{verdict_field->value().data(), verdict_field->value().size()};
        }
    }
    return true;
}

bool outbound_request::is_response_to_another_attempt() const
{
    const auto numbers =
        this->response().equal_range(boost::beast::string_view{attempt_header.data(), attempt_header.size()});
    return !this->attempt.empty() && std::any_of(numbers.first, numbers.second, [this](const auto& field) {
        return !field.value().empty() && field.value() != this->attempt;
    });
}

response_head outbound_request::make_relayed_head(std::string_view extra_fields) const
{
    const auto& received = this->response();
    response_head head;
    head.status = received.result_int();
    append_end_to_end_fields(head.fields, received);
    head.fields += extra_fields;
    if (this->reader->is_done()) {
        const auto length = this->reader->content_length();
        const auto has_no_body = this->request.client.request().head().method() == http::verb::head ||
                                 head.status == static_cast<unsigned>(http::status::no_content) ||
                                 head.status == static_cast<unsigned>(http::status::not_modified);
        head.framing = has_no_body && !length ? body_framing::none : body_framing::length;
        head.length = length.value_or(0);
    }
    else if (const auto length = this->reader->content_length()) {
        head.length = *length;
    }
    else {
        head.framing = body_framing::chunked;
    }
    return head;
}

bool outbound_request::relay(std::string_view extra_fields, body_copy* copy)
{
    assert(this->reader && this->observation.end == hop_end::answered);
    auto& client = this->request.client;
    client.start_response(this->make_relayed_head(extra_fields));
    const auto end = this->relay_body(copy);
    if (end != hop_end::answered) {
        this->fail(end);
        client.abort_response();
        return false;
    }
    const auto is_delivered = client.finish_response(this->io_deadline()) == io_status::ok;
    this->release_connection();
    return is_delivered;
}

hop_end outbound_request::relay_body(body_copy* copy)
{
    auto& buffer = thread_buffer();
    while (!this->reader->is_done()) {
        // A read doesn't time out while the peer sends faster than the body is relayed.
        if (steady_now() >= this->request.deadline) {
            return hop_end::timed_out;
        }
        const auto read = this->reader->read_body(buffer.data(), buffer.size(), this->io_deadline(),
                                                  &this->request.client.io());
        if (read.status == read_status::end) {
            break;
        }
        if (read.status != read_status::ok) {
            return end_of(read.status);
        }
        const std::string_view data{buffer.data(), read.bytes};
        if (copy != nullptr) {
            copy->overflowed = copy->overflowed || copy->bytes.size() + data.size() > body_copy::max_bytes;
            copy->bytes += copy->overflowed ? std::string_view{} : data;
        }
        if (this->request.client.send_block(data, this->io_deadline()) != io_status::ok) {
            return hop_end::cancelled;
        }
    }
    return hop_end::answered;
}

void outbound_request::discard()
{
    auto& buffer = thread_buffer();
    while (!this->reader->is_done() && !this->connection.io().input().empty()) {
        if (this->reader->read_body(buffer.data(), buffer.size(), steady_now()).status != read_status::ok) {
            break;
        }
    }
    if (this->reader->is_done()) {
        this->release_connection();
    }
    else {
        this->connection.abort();
    }
}

void outbound_request::release_connection()
{
    // A second copy of a refusal without the number of its attempt would pass for the refusal of the next
    // request, which may run.
    const auto may_be_repeated = verdict_of(this->observation) == verdict::not_run &&
                                 field_of(this->response(), attempt_header).empty();
    const auto can_reuse = is_reusable(this->observation) && !may_be_repeated && this->is_request_complete &&
                           this->reader->is_done() && this->reader->keeps_alive() &&
                           !this->reader->ends_with_connection();
    if (can_reuse) {
        this->connection.return_to_pool();
    }
    else {
        this->connection = {};
    }
}

timestamp outbound_request::io_deadline() const
{
    return std::min(this->request.deadline, steady_now() + this->request.client.limits().body_stall_timeout);
}

void outbound_request::fail(hop_end end)
{
    this->observation.end = end;
    this->observation.bytes_sent = this->connection.io().sent_bytes() - this->sent_bytes_at_start;
    this->connection.abort();
}

void outbound_request::fail_body_read(read_status status)
{
    this->body_read_error = status;
    // Resets the connection, because lenient servers take a regular close for the end of the body.
    this->fail(hop_end::cancelled);
}

} // namespace kumquatdrift::internal
