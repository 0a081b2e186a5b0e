#ifndef KUMQUATDRIFT_PROXY_MESSAGE_READER_HPP
#define KUMQUATDRIFT_PROXY_MESSAGE_READER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/proxy/tcp_connection.hpp>

namespace kumquatdrift::internal {

/*! @brief Outcome of reading a head or a part of a body. */
enum class read_status : std::uint8_t {
    /*! @brief A head, or a part of a body, was read. */
    ok,
    /*! @brief The body is complete. */
    end,
    /*! @brief The connection was closed before the first byte. */
    closed,
    /*! @brief The connection was closed or failed before the end of the message. */
    truncated,
    /*! @brief The message is not valid HTTP. */
    malformed,
    /*! @brief The head is larger than the limit. */
    header_too_large,
    /*! @brief The body is larger than the limit. */
    body_too_large,
    /*! @brief The deadline has passed. */
    timed_out,
    /*! @brief The peer of the watched connection closed it. */
    watched_closed,
};

/*! @brief Part of a body. */
struct body_block {
    /*! @brief Outcome; bytes were read only if it is `ok`. */
    read_status status{read_status::end};
    /*! @brief Number of bytes read. */
    std::size_t bytes{};
};

/**
 * @brief Reads one HTTP/1 message from a connection.
 *
 * Uses Beast's parser on POCO's sockets, because POCO's message streams report a truncated chunked body as
 * complete and accept a head without its end.
 *
 * @tparam is_request True for requests, false for responses.
 */
template<bool is_request>
class message_reader {
public:
    /*! @brief Type of the head. */
    using head_type = boost::beast::http::header<is_request, boost::beast::http::fields>;

    /**
     * @brief Constructs a reader at the start of a message.
     * @param io Connection. Its input buffer must be larger than `header_bytes`.
     * @param header_bytes Maximum size of the head in bytes.
     * @param without_body True if the message has no body whatever its head says, like a response to HEAD.
     */
    message_reader(tcp_connection& io, std::uint32_t header_bytes, bool without_body = false);

    /**
     * @brief Reads the head.
     * @param until Deadline.
     * @param watched Connection whose closure ends the wait; may be null.
     * @return `ok`, or the reason why there is no head.
     */
    [[nodiscard]] read_status read_head(timestamp until, const tcp_connection* watched = nullptr);

    /**
     * @brief Reads a part of the body.
     * @param data Buffer for the bytes.
     * @param size Size of the buffer, at least one.
     * @param until Deadline.
     * @param watched Connection whose closure ends the wait; may be null.
     * @return The outcome and the number of bytes.
     */
    [[nodiscard]] body_block read_body(char* data, std::size_t size, timestamp until,
                                       const tcp_connection* watched = nullptr);

    /*! @brief Returns the head. */
    [[nodiscard]] const head_type& head() const noexcept
    {
        return this->parser.get().base();
    }

    /*! @brief Checks whether the message was read to its end. */
    [[nodiscard]] bool is_done() const noexcept
    {
        return this->parser.is_done();
    }

    /*! @brief Checks whether the body has the chunked transfer coding. */
    [[nodiscard]] bool is_chunked() const noexcept
    {
        return this->parser.chunked();
    }

    /*! @brief Checks whether the body ends where the connection is closed. */
    [[nodiscard]] bool ends_with_connection() const noexcept
    {
        return this->parser.need_eof();
    }

    /*! @brief Checks whether the connection may carry another message. */
    [[nodiscard]] bool keeps_alive() const noexcept
    {
        return this->parser.is_header_done() && this->parser.keep_alive();
    }

    /*! @brief Returns the value of Content-Length, if the head has one. */
    [[nodiscard]] std::optional<std::uint64_t> content_length() const
    {
        const auto length = this->parser.content_length();
        return length ? std::optional<std::uint64_t>{*length} : std::nullopt;
    }

private:
    // Parses the buffered bytes once. Returns `ok` on progress, and nothing if more bytes are needed.
    [[nodiscard]] std::optional<read_status> parse();
    // Receives more bytes. Returns `end` if the connection was closed after the first byte of the message.
    [[nodiscard]] read_status receive(timestamp until, const tcp_connection* watched);

    tcp_connection& connection;
    boost::beast::http::parser<is_request, boost::beast::http::buffer_body> parser{};
    bool started{};
};

/*! @brief Reader of requests. */
using request_reader = message_reader<true>;

/*! @brief Reader of responses. */
using response_reader = message_reader<false>;

/**
 * @brief Checks what Beast does not: exactly one Host field (HTTP/1.0: at most one), and no transfer coding
 *        other than `chunked` (HTTP/1.0: none).
 * @param head Head of the request.
 * @return True if the request is valid.
 */
[[nodiscard]] bool is_valid_request(const request_reader::head_type& head);

/**
 * @brief Checks what Beast does not: a status code from 100 to 599 (RFC 9110, 15), and no transfer coding
 * other than `chunked` (HTTP/1.0: none).
 * @param head Head of the response.
 * @return True if the response is valid.
 */
[[nodiscard]] bool is_valid_response(const response_reader::head_type& head);

} // namespace kumquatdrift::internal

#endif
