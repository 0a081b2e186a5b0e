#include "proxy/outbound.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

#include <boost/beast/http/verb.hpp>

#include <kumquatdrift/proxy/headers.hpp>

#include "proxy/fields.hpp"

namespace kumquatdrift::internal {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t block_bytes = 16 * 1024;
constexpr unsigned first_final_status = 200;
constexpr unsigned status_continue = 100;

// Memory for the parts of a body. Clearing 16 KB for each call took 2% of the CPU time of an entry node.
std::array<char, block_bytes>& thread_block()
{
    thread_local std::array<char, block_bytes> block{};
    return block;
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
    constexpr microseconds least_margin{2'000};
    constexpr microseconds largest_margin{20'000};
    const auto left = deadline - steady_now();
    const auto margin = std::clamp(left / margin_divisor, least_margin, largest_margin);
    const auto passed_on = std::chrono::duration_cast<milliseconds>(left - margin);
    return std::to_string(std::max(passed_on, milliseconds{0}).count());
}

outbound::outbound(pooled_connection taken, hop_peer peer, const call& of_client)
    : connection{std::move(taken)}, request{of_client}, sent_before{this->connection.io().sent_bytes()},
      is_chunked{!of_client.body.length()}
{
    this->observation.peer = peer;
}

bool outbound::exchange_heads(std::string_view extra_fields, bool expect_continue)
{
    const auto has_answer =
        expect_continue ? this->send_after_continue(extra_fields) : this->send_all(extra_fields);
    this->observation.bytes_sent = this->connection ? this->connection.io().sent_bytes() - this->sent_before
                                                    : this->observation.bytes_sent;
    return has_answer;
}

std::string outbound::request_head(std::string_view extra_fields, bool expect_continue) const
{
    std::string head;
    constexpr std::size_t usual_extra = 256;
    head.reserve(this->request.fields.size() + extra_fields.size() + usual_extra);
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
    head += extra_fields;
    head += "\r\n";
    return head;
}

bool outbound::send_all(std::string_view extra_fields)
{
    const auto status = this->request.body.read_start(this->request.deadline);
    if (status != read_status::ok) {
        this->fail_body(status);
        return false;
    }
    this->is_chunked = !this->request.body.length();
    if (!this->send_body(this->request_head(extra_fields, false))) {
        return false;
    }
    return this->receive_final_head();
}

bool outbound::send_after_continue(std::string_view extra_fields)
{
    if (!this->send(this->request_head(extra_fields, true)) || !this->receive_head()) {
        return false;
    }
    if (this->answer().result_int() != status_continue) {
        // A final answer before the body; the connection cannot be reused because is_sent stays false.
        return this->answer().result_int() >= first_final_status || this->receive_final_head();
    }
    const auto status = this->request.body.read_start(this->request.deadline);
    if (status != read_status::ok) {
        this->fail_body(status);
        return false;
    }
    return this->send_body({}) && this->receive_final_head();
}

bool outbound::send_body(std::string output)
{
    const auto& start = this->request.body.start();
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
        return this->send_rest();
    }
    this->is_sent = true;
    return true;
}

bool outbound::send_rest()
{
    auto& block = thread_block();
    std::string output;
    while (true) {
        if (!this->connection.io().is_silent()) {
            // The answer came before the end of the body, or the connection was closed.
            return true;
        }
        const auto read = this->request.body.read_rest(block.data(), block.size(), this->request.deadline);
        if (read.status == read_status::end) {
            break;
        }
        if (read.status != read_status::ok) {
            this->fail_body(read.status);
            return false;
        }
        std::string_view data{block.data(), read.bytes};
        if (this->is_chunked) {
            output.clear();
            append_chunk(output, data);
            data = output;
        }
        if (!this->send(data)) {
            return false;
        }
    }
    this->is_sent = !this->is_chunked || this->send(final_chunk);
    return this->is_sent;
}

bool outbound::send(std::string_view bytes)
{
    const auto status = this->connection.io().send(bytes, this->until());
    if (status == io_status::ok) {
        return true;
    }
    if (status == io_status::failed && this->connection.io().wait_input(steady_now()) == io_status::ok) {
        // The other side may have answered before it closed.
        this->is_broken = true;
        return this->receive_final_head();
    }
    this->fail(status == io_status::timed_out ? hop_end::timed_out : hop_end::connection_lost);
    return false;
}

bool outbound::receive_final_head()
{
    while (!this->reader || this->answer().result_int() < first_final_status) {
        if (!this->receive_head()) {
            return false;
        }
    }
    return true;
}

bool outbound::receive_head()
{
    const auto is_head = this->request.client.request().head().method() == http::verb::head;
    this->reader.emplace(this->connection.io(), max_answer_head_bytes, is_head);
    const auto status = this->reader->read_head(this->request.deadline, &this->request.client.io());
    if (status != read_status::ok) {
        this->fail(end_of(status));
        return false;
    }
    constexpr unsigned switching_protocols = 101;
    const auto code = this->answer().result_int();
    if (code == switching_protocols) {
        this->fail(hop_end::malformed_answer);
        return false;
    }
    if (code >= first_final_status) {
        this->observation.end = hop_end::answered;
        this->observation.status = static_cast<std::uint16_t>(code);
        const auto stated =
            this->answer().find(boost::beast::string_view{verdict_header.data(), verdict_header.size()});
        if (stated != this->answer().end()) {
            this->observation.verdict_text = std::string_view{stated->value().data(), stated->value().size()};
        }
    }
    return true;
}

answer_head outbound::relayed_head(std::string_view extra_fields) const
{
    const auto& received = this->answer();
    answer_head head;
    head.status = received.result_int();
    append_end_to_end(head.fields, received);
    head.fields += extra_fields;
    if (this->reader->is_done()) {
        const auto length = this->reader->announced_length();
        const auto is_bodyless = this->request.client.request().head().method() == http::verb::head ||
                                 head.status == static_cast<unsigned>(http::status::no_content) ||
                                 head.status == static_cast<unsigned>(http::status::not_modified);
        head.framing = is_bodyless && !length ? body_framing::none : body_framing::length;
        head.length = length.value_or(0);
    }
    else if (const auto length = this->reader->announced_length()) {
        head.length = *length;
    }
    else {
        head.framing = body_framing::chunked;
    }
    return head;
}

bool outbound::relay(std::string_view extra_fields, body_copy* copy)
{
    assert(this->reader && this->observation.end == hop_end::answered);
    auto& client = this->request.client;
    client.start_answer(this->relayed_head(extra_fields));
    const auto end = this->relay_body(copy);
    if (end != hop_end::answered) {
        this->fail(end);
        client.abort_answer();
        return false;
    }
    const auto is_delivered = client.finish_answer(this->until()) == io_status::ok;
    this->finish();
    return is_delivered;
}

hop_end outbound::relay_body(body_copy* copy)
{
    auto& block = thread_block();
    while (!this->reader->is_done()) {
        const auto read =
            this->reader->read_body(block.data(), block.size(), this->until(), &this->request.client.io());
        if (read.status == read_status::end) {
            break;
        }
        if (read.status != read_status::ok) {
            return end_of(read.status);
        }
        const std::string_view data{block.data(), read.bytes};
        if (copy != nullptr) {
            copy->overflowed = copy->overflowed || copy->bytes.size() + data.size() > body_copy::max_bytes;
            copy->bytes += copy->overflowed ? std::string_view{} : data;
        }
        if (this->request.client.send_block(data, this->until()) != io_status::ok) {
            return hop_end::cancelled;
        }
    }
    return hop_end::answered;
}

void outbound::discard()
{
    auto& block = thread_block();
    while (!this->reader->is_done() && !this->connection.io().input().empty()) {
        if (this->reader->read_body(block.data(), block.size(), steady_now()).status != read_status::ok) {
            break;
        }
    }
    if (this->reader->is_done()) {
        this->finish();
    }
    else {
        this->connection.abort();
    }
}

void outbound::finish()
{
    const auto is_reusable_now = is_reusable(this->observation) && this->is_sent && !this->is_broken &&
                                 this->reader->is_done() && this->reader->keeps_alive() &&
                                 !this->reader->ends_with_connection();
    if (is_reusable_now) {
        this->connection.give_back();
    }
    else {
        this->connection = {};
    }
}

timestamp outbound::until() const
{
    return std::min(this->request.deadline, steady_now() + this->request.client.limits().body_stall_time);
}

void outbound::fail(hop_end end)
{
    this->observation.end = end;
    this->observation.bytes_sent = this->connection.io().sent_bytes() - this->sent_before;
    this->connection.abort();
}

void outbound::fail_body(read_status status)
{
    this->failed_body = status;
    // A reset, because a plain end of stream looks like the end of the body to lenient servers.
    this->fail(hop_end::cancelled);
}

} // namespace kumquatdrift::internal
