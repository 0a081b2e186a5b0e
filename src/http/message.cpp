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

/*! @brief Fields that concern one connection only (RFC 9110, 7.6.1), and those that state the length. */
constexpr std::array<std::string_view, 9> connection_fields{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",    "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect"};

std::string_view view(boost::beast::string_view text) noexcept
{
    return {text.data(), text.size()};
}

template<bool IsRequest>
class message_parser final : public http::basic_parser<IsRequest> {
public:
    http_message message{};
    bool no_body{};

private:
    void on_request_impl(http::verb, boost::beast::string_view method, boost::beast::string_view target, int,
                         error_code&) override
    {
        this->message.method = view(method);
        this->message.target = view(target);
    }

    void on_response_impl(int status, boost::beast::string_view reason, int, error_code&) override
    {
        this->message.status = static_cast<unsigned>(status);
        this->message.reason = view(reason);
    }

    void on_field_impl(http::field, boost::beast::string_view name, boost::beast::string_view value,
                       error_code&) override
    {
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

    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code&) override
    {
        if (length) {
            // Bounded by the body limit, which the parser has checked.
            this->message.body.reserve(static_cast<std::size_t>(*length));
        }
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
};

template<typename Parser>
read_progress feed_parser(Parser& parser, std::string& buffer, error_code& error)
{
    std::size_t used{};
    while (used < buffer.size() && !parser.is_done()) {
        const auto taken =
            parser.put(boost::asio::const_buffer{buffer.data() + used, buffer.size() - used}, error);
        used += taken;
        if (error == http::error::need_more) {
            error = {};
            if (taken == 0) {
                break;
            }
        }
        if (error) {
            return read_progress::failed;
        }
    }
    buffer.erase(0, used);
    return parser.is_done() ? read_progress::complete : read_progress::need_more;
}

} // namespace

class http_reader::parser {
public:
    parser(kind message_kind, std::size_t header_limit, std::size_t body_limit, bool no_body)
    {
        const auto prepare = [&](auto& one) {
            one.eager(true);
            one.header_limit(static_cast<std::uint32_t>(header_limit));
            one.body_limit(body_limit);
            one.no_body = no_body;
        };
        if (message_kind == kind::request) {
            prepare(this->request.emplace());
        }
        else {
            prepare(this->answer.emplace());
        }
    }

    template<typename Function>
    auto visit(Function function)
    {
        return this->request ? function(*this->request) : function(*this->answer);
    }

private:
    std::optional<message_parser<true>> request{};
    std::optional<message_parser<false>> answer{};
};

const std::string* find_field(const http_fields& fields, std::string_view name) noexcept
{
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&](const http_field& one) { return same_name(one.name, name); });
    return found == fields.end() ? nullptr : &found->value;
}

bool same_name(std::string_view left, std::string_view right) noexcept
{
    return iequals({left.data(), left.size()}, {right.data(), right.size()});
}

std::string end_to_end_lines(const http_fields& fields, const std::vector<std::string>& without)
{
    const auto* connection = find_field(fields, "Connection");
    const auto named_by_connection = [&](const std::string& name) {
        return connection != nullptr && name.size() > 1 &&
               boost::beast::http::token_list{*connection}.exists(name);
    };
    std::string lines{};
    for (const auto& field : fields) {
        const auto is_this = [&](std::string_view other) { return same_name(other, field.name); };
        if (std::none_of(connection_fields.begin(), connection_fields.end(), is_this) &&
            std::none_of(without.begin(), without.end(), is_this) && !named_by_connection(field.name)) {
            lines.append(field.name).append(": ").append(field.value).append("\r\n");
        }
    }
    return lines;
}

http_reader::http_reader(kind message_kind, std::size_t header_limit, std::size_t body_limit)
    : what{message_kind}, max_header{header_limit}, max_body{body_limit}, state{std::make_unique<parser>(
                                                                              message_kind, header_limit,
                                                                              body_limit, false)}
{
}

http_reader::~http_reader() = default;
http_reader::http_reader(http_reader&&) noexcept = default;
http_reader& http_reader::operator=(http_reader&&) noexcept = default;

read_progress http_reader::feed(std::string& buffer)
{
    error_code error{};
    const auto progress = this->state->visit([&](auto& one) { return feed_parser(one, buffer, error); });
    if (progress == read_progress::failed) {
        this->status = error == http::error::header_limit ? 431U
                       : error == http::error::body_limit ? 413U
                                                          : 400U;
        this->reason = error.message();
    }
    return progress;
}

read_progress http_reader::end_of_stream()
{
    return this->state->visit([&](auto& one) {
        if (!one.is_header_done()) {
            return read_progress::failed;
        }
        error_code error{};
        one.put_eof(error);
        if (error) {
            this->status = 400;
            this->reason = error.message();
            return read_progress::failed;
        }
        one.message.keep_alive = false;
        return read_progress::complete;
    });
}

http_message http_reader::take()
{
    auto message = this->state->visit([](auto& one) { return std::move(one.message); });
    this->reset();
    return message;
}

void http_reader::reset(bool no_body)
{
    this->skip_body = no_body;
    this->state = std::make_unique<parser>(this->what, this->max_header, this->max_body, no_body);
}

unsigned http_reader::failure_status() const noexcept
{
    return this->status;
}

const std::string& http_reader::failure_reason() const noexcept
{
    return this->reason;
}

bool http_reader::head_done() const noexcept
{
    return this->state->visit([](auto& one) { return one.is_header_done(); });
}

const http_message& http_reader::partial() const noexcept
{
    return *this->state->visit([](auto& one) { return &one.message; });
}

std::string write_answer(const http_answer& answer, bool close, bool without_body)
{
    const auto reason = answer.reason.empty()
                            ? std::string{view(http::obsolete_reason(http::status{answer.status}))}
                            : answer.reason;
    std::string bytes{};
    bytes.reserve(answer.lines.size() + answer.body.size() + 128);
    bytes.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ").append(reason).append("\r\n");
    bytes.append(answer.lines);
    if (answer.status != 204 && answer.status != 304) {
        bytes.append("Content-Length: ").append(std::to_string(answer.body.size())).append("\r\n");
    }
    if (close) {
        bytes.append("Connection: close\r\n");
    }
    bytes.append("\r\n");
    if (!without_body) {
        bytes.append(answer.body);
    }
    return bytes;
}

std::string write_request(std::string_view method, std::string_view target, std::string_view lines,
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
