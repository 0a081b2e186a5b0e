#include <kumquatdrift/http/message.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace kumquatdrift {
namespace {

namespace http = boost::beast::http;

using boost::beast::error_code;
using boost::beast::iequals;

/*! @brief Fields that are not forwarded: hop-by-hop fields (RFC 9110, 7.6.1), Content-Length and Expect. */
constexpr std::array<std::string_view, 9> non_forwarded_fields{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",    "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect"};

/*! @brief Largest part of a stated body length for which memory is reserved before the body arrives. */
constexpr std::uint64_t max_reserved_bytes = 65'536;

/*! @brief Bytes of chunk sizes, extensions and line ends that are accepted for each byte of a body; chunks of
 * one byte have five. They are also accepted up to the header limit. */
constexpr std::size_t framing_per_body_byte = 8;

std::string_view view(boost::beast::string_view text) noexcept
{
    return {text.data(), text.size()};
}

template<bool IsRequest>
class message_parser final : public http::basic_parser<IsRequest> {
public:
    http_message message{};
    bool no_body{};
    std::size_t max_body{};

private:
    void on_request_impl(http::verb, boost::beast::string_view method, boost::beast::string_view target, int,
                         error_code&) override
    {
        this->message.method = view(method);
        this->message.target = view(target);
    }

    void on_response_impl(int status, boost::beast::string_view reason, int version,
                          error_code& error) override
    {
        this->is_http_1_1 = version == 11;
        this->message.status = static_cast<unsigned>(status);
        // Beast accepts any three digits.
        if (this->message.status < min_status || this->message.status > max_status) {
            error = http::error::bad_status;
        }
        this->message.reason = view(reason);
    }

    void on_field_impl(http::field field, boost::beast::string_view name, boost::beast::string_view value,
                       error_code& error) override
    {
        // Beast parses a response with an unknown coding as if the coded bytes were the body.
        if (!IsRequest && field == http::field::transfer_encoding &&
            (std::exchange(this->has_coding, true) || !this->is_http_1_1 || !iequals(value, "chunked"))) {
            error = http::error::bad_transfer_encoding;
            return;
        }
        if (!this->is_header_done()) {
            this->message.fields.push_back({std::string{view(name)}, std::string{view(value)}});
        }
    }

    void on_header_impl(error_code&) override
    {
        this->message.keep_alive = this->keep_alive();
        if (this->no_body) {
            this->skip(true);
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& error) override
    {
        if (!length) {
            return;
        }
        // Beast checks the length too, but goes on to the body if bytes of it are in the same buffer.
        if (*length > this->max_body) {
            error = http::error::body_limit;
            return;
        }
        this->message.body.reserve(static_cast<std::size_t>(std::min(*length, max_reserved_bytes)));
    }

    std::size_t on_body_impl(boost::beast::string_view text, error_code&) override
    {
        this->message.body.append(text.data(), text.size());
        return text.size();
    }

    void on_chunk_header_impl(std::uint64_t, boost::beast::string_view, error_code&) override {}

    std::size_t on_chunk_body_impl(std::uint64_t, boost::beast::string_view text, error_code&) override
    {
        this->message.body.append(text.data(), text.size());
        return text.size();
    }

    void on_finish_impl(error_code&) override {}

    bool is_http_1_1{};
    bool has_coding{};
};

template<typename Parser>
read_progress feed_parser(Parser& parser, std::string& buffer, error_code& error)
{
    std::size_t consumed{};
    while (consumed < buffer.size() && !parser.is_done()) {
        const auto accepted =
            parser.put(boost::asio::const_buffer{buffer.data() + consumed, buffer.size() - consumed}, error);
        consumed += accepted;
        if (error == http::error::need_more) {
            error = {};
            if (accepted == 0) {
                break;
            }
        }
        if (error) {
            return read_progress::failed;
        }
    }
    buffer.erase(0, consumed);
    return parser.is_done() ? read_progress::complete : read_progress::need_more;
}

} // namespace

class http_reader::parser {
public:
    parser(kind of_message, std::size_t header_limit, std::size_t body_limit, bool no_body)
    {
        const auto configure = [&](auto& active) {
            active.eager(true);
            active.header_limit(static_cast<std::uint32_t>(header_limit));
            active.body_limit(body_limit);
            active.no_body = no_body;
            active.max_body = body_limit;
        };
        if (of_message == kind::request) {
            configure(this->request.emplace());
        }
        else {
            configure(this->response.emplace());
        }
    }

    template<typename Function>
    auto visit(Function function)
    {
        return this->request ? function(*this->request) : function(*this->response);
    }

    void set_limits(std::size_t header_limit, std::size_t body_limit)
    {
        this->visit([&](auto& active) {
            active.header_limit(static_cast<std::uint32_t>(header_limit));
            active.body_limit(body_limit);
            active.max_body = body_limit;
        });
    }

private:
    std::optional<message_parser<true>> request{};
    std::optional<message_parser<false>> response{};
};

const std::string* find_field(const http_fields& fields, std::string_view name) noexcept
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const http_field& field) {
        return equals_ignore_case(field.name, name);
    });
    return found == fields.end() ? nullptr : &found->value;
}

bool equals_ignore_case(std::string_view left, std::string_view right) noexcept
{
    return iequals({left.data(), left.size()}, {right.data(), right.size()});
}

std::string end_to_end_lines(const http_fields& fields, const std::vector<std::string>& without)
{
    const auto* connection = find_field(fields, "Connection");
    const auto listed_in_connection = [&](const std::string& name) {
        return connection != nullptr && name.size() > 1 &&
               boost::beast::http::token_list{*connection}.exists(name);
    };
    std::string lines{};
    for (const auto& field : fields) {
        const auto has_this_name = [&](std::string_view other) {
            return equals_ignore_case(other, field.name);
        };
        if (std::none_of(non_forwarded_fields.begin(), non_forwarded_fields.end(), has_this_name) &&
            std::none_of(without.begin(), without.end(), has_this_name) &&
            !listed_in_connection(field.name)) {
            lines.append(field.name).append(": ").append(field.value).append("\r\n");
        }
    }
    return lines;
}

http_reader::http_reader(kind of_messages, std::size_t header_limit, std::size_t body_limit)
    : message_kind{of_messages}, max_header{header_limit}, max_body{body_limit},
      current_parser{std::make_unique<parser>(of_messages, header_limit, body_limit, false)}
{
}

http_reader::~http_reader() = default;
http_reader::http_reader(http_reader&&) noexcept = default;
http_reader& http_reader::operator=(http_reader&&) noexcept = default;

void http_reader::set_limits(std::size_t header_limit, std::size_t body_limit)
{
    if (header_limit != this->max_header || body_limit != this->max_body) {
        this->max_header = header_limit;
        this->max_body = body_limit;
        this->current_parser->set_limits(header_limit, body_limit);
    }
}

read_progress http_reader::feed(std::string& buffer)
{
    error_code error{};
    const auto size_before = buffer.size();
    auto progress =
        this->current_parser->visit([&](auto& active) { return feed_parser(active, buffer, error); });
    this->consumed += size_before - buffer.size();
    if (progress == read_progress::need_more && this->header_complete()) {
        const auto body_size = this->partial().body.size();
        const auto framing = this->consumed - std::min(this->consumed, body_size);
        // An unfinished chunk header or trailer stays in the buffer.
        if (buffer.size() > this->max_header ||
            framing > 2 * this->max_header + framing_per_body_byte * body_size) {
            this->error_status = 400U;
            this->error_reason = "chunk framing exceeds the limit";
            return read_progress::failed;
        }
    }
    if (progress == read_progress::failed) {
        this->error_status = error == http::error::header_limit ? 431U
                             : error == http::error::body_limit ? 413U
                                                                : 400U;
        this->error_reason = error.message();
    }
    return progress;
}

read_progress http_reader::end_of_stream()
{
    return this->current_parser->visit([&](auto& active) {
        if (!active.is_header_done()) {
            return read_progress::failed;
        }
        error_code error{};
        active.put_eof(error);
        if (error) {
            this->error_status = 400;
            this->error_reason = error.message();
            return read_progress::failed;
        }
        active.message.keep_alive = false;
        return read_progress::complete;
    });
}

http_message http_reader::take()
{
    auto message = this->current_parser->visit([](auto& active) { return std::move(active.message); });
    this->reset();
    return message;
}

void http_reader::reset(bool no_body)
{
    this->skip_body = no_body;
    this->consumed = 0;
    this->current_parser =
        std::make_unique<parser>(this->message_kind, this->max_header, this->max_body, no_body);
}

unsigned http_reader::failure_status() const noexcept
{
    return this->error_status;
}

const std::string& http_reader::failure_reason() const noexcept
{
    return this->error_reason;
}

bool http_reader::header_complete() const noexcept
{
    return this->current_parser->visit([](auto& active) { return active.is_header_done(); });
}

const http_message& http_reader::partial() const noexcept
{
    return *this->current_parser->visit([](auto& active) { return &active.message; });
}

std::string serialize_response(const http_response& response, bool close, bool without_body)
{
    auto bytes = serialize_response_head(response, close);
    if (!without_body) {
        bytes.append(response.body);
    }
    return bytes;
}

std::string serialize_response_head(const http_response& response, bool close)
{
    const auto reason = response.reason.empty()
                            ? std::string{view(http::obsolete_reason(http::status{response.status}))}
                            : response.reason;
    std::string bytes{};
    bytes.reserve(response.lines.size() + 128);
    bytes.append("HTTP/1.1 ")
        .append(std::to_string(response.status))
        .append(" ")
        .append(reason)
        .append("\r\n");
    bytes.append(response.lines);
    if (response.status != 204 && response.status != 304) {
        bytes.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    }
    if (close) {
        bytes.append("Connection: close\r\n");
    }
    return bytes.append("\r\n");
}

std::string serialize_request(std::string_view method, std::string_view target, std::string_view lines,
                              std::string_view body)
{
    std::string bytes{};
    bytes.reserve(method.size() + target.size() + lines.size() + body.size() + 64);
    bytes.append(method).append(" ").append(target).append(" HTTP/1.1\r\n").append(lines);
    if (!body.empty() || (method != "GET" && method != "HEAD" && method != "DELETE")) {
        bytes.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    }
    bytes.append("\r\n").append(body);
    return bytes;
}

} // namespace kumquatdrift
