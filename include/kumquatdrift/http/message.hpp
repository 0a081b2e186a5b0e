#ifndef KUMQUATDRIFT_HTTP_MESSAGE_HPP
#define KUMQUATDRIFT_HTTP_MESSAGE_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatdrift {

/*! @brief Name and value of a header field. */
struct http_field {
    /*! @brief Name as received. */
    std::string name{};
    /*! @brief Value without surrounding white space. */
    std::string value{};
};

/*! @brief Header fields in the order received. */
using http_fields = std::vector<http_field>;

/*! @brief Complete HTTP/1.1 message. Members of the start line that do not apply are empty. */
struct http_message {
    /*! @brief Method of a request. */
    std::string method{};
    /*! @brief Request target: path with query. */
    std::string target{};
    /*! @brief Status code of a response. */
    unsigned status{};
    /*! @brief Reason phrase of a response. */
    std::string reason{};
    /*! @brief Header fields. */
    http_fields fields{};
    /*! @brief Body, with the transfer coding removed. */
    std::string body{};
    /*! @brief True if the connection is persistent, that is, may carry another message. */
    bool keep_alive{};
};

/**
 * @brief Finds a header field.
 * @param fields Header fields.
 * @param name Name in any case.
 * @return Value of the first field with that name, or null if there is none.
 */
[[nodiscard]] const std::string* find_field(const http_fields& fields, std::string_view name) noexcept;

/**
 * @brief Compares names of header fields without regard to case.
 * @param left Name.
 * @param right Name.
 * @return True if the names are equal.
 */
[[nodiscard]] bool equals_ignore_case(std::string_view left, std::string_view right) noexcept;

/**
 * @brief Serializes the fields to forward: all except hop-by-hop fields, Content-Length and Expect.
 * @param fields Header fields.
 * @param without Names of further fields to omit.
 * @return Field lines, each terminated by CR LF.
 */
[[nodiscard]] std::string end_to_end_lines(const http_fields& fields,
                                           const std::vector<std::string>& without);

/*! @brief Smallest valid status code (RFC 9110, 15). */
inline constexpr unsigned min_status = 100;
/*! @brief Smallest status code of a final response. */
inline constexpr unsigned min_final_status = 200;
/*! @brief Largest valid status code (RFC 9110, 15). */
inline constexpr unsigned max_status = 599;

/*! @brief Progress of parsing a message. */
enum class read_progress : std::uint8_t {
    /*! @brief The message is incomplete; more bytes are needed. */
    need_more,
    /*! @brief The message is complete. */
    complete,
    /*! @brief The message is malformed or exceeds a limit. */
    failed,
};

/*! @brief Incremental parser of the consecutive messages in a byte stream. */
class http_reader {
public:
    /*! @brief Kind of the messages in the stream. */
    enum class kind : std::uint8_t { request, response };

    /**
     * @brief Constructs a reader.
     * @param message_kind Requests or responses.
     * @param header_limit Maximum size of start line and header fields in bytes.
     * @param body_limit Maximum size of a body in bytes.
     */
    http_reader(kind message_kind, std::size_t header_limit, std::size_t body_limit);
    ~http_reader();
    http_reader(http_reader&&) noexcept;
    http_reader& operator=(http_reader&&) noexcept;

    /**
     * @brief Changes the limits, also for a message that has been received in part.
     * @param header_limit Maximum size of start line and header fields in bytes.
     * @param body_limit Maximum size of a body in bytes.
     */
    void set_limits(std::size_t header_limit, std::size_t body_limit);

    /**
     * @brief Parses bytes from a buffer and removes them. Bytes after the message stay in the buffer; if
     *        parsing fails, all bytes stay.
     * @param buffer Received bytes.
     * @return Progress of the current message.
     */
    [[nodiscard]] read_progress feed(std::string& buffer);

    /**
     * @brief Handles an orderly close of the connection by the sender.
     * @return `complete` if the close delimits the body, `failed` if it truncates the message.
     */
    [[nodiscard]] read_progress end_of_stream();

    /**
     * @brief Moves the complete message out of the reader and resets the reader for the next one.
     * @return The message.
     */
    [[nodiscard]] http_message take();

    /**
     * @brief Discards a partial message.
     * @param no_body True if the next message is a response without body, as for HEAD.
     */
    void reset(bool no_body = false);

    /**
     * @brief Returns the status code with which to reject a request that `feed` could not parse.
     * @return 400, 413 or 431; 0 if parsing has not failed.
     */
    [[nodiscard]] unsigned failure_status() const noexcept;

    /**
     * @brief Returns the reason why parsing failed.
     * @return Text for the log; empty if parsing has not failed.
     */
    [[nodiscard]] const std::string& failure_reason() const noexcept;

    /**
     * @brief Checks whether all header fields of the current message have been received.
     * @return True once they have.
     */
    [[nodiscard]] bool header_complete() const noexcept;

    /**
     * @brief Returns the current message as far as it has been parsed.
     * @return The partial message.
     */
    [[nodiscard]] const http_message& partial() const noexcept;

private:
    class parser;

    kind message_kind;
    std::size_t max_header;
    /*! @brief Bytes of the current message that have been parsed. */
    std::size_t consumed{};
    std::size_t max_body;
    bool skip_body{};
    std::unique_ptr<parser> current_parser;
    unsigned error_status{};
    std::string error_reason{};
};

/*! @brief Response to be serialized. */
struct http_response {
    /*! @brief Status code. */
    unsigned status{200};
    /*! @brief Reason phrase; empty for the standard one of the status code. */
    std::string reason{};
    /*! @brief Field lines, each terminated by CR LF, without Content-Length. */
    std::string lines{};
    /*! @brief Body. */
    std::string body{};
};

/**
 * @brief Serializes a response.
 * @param response Response.
 * @param close True if the connection is closed after the response.
 * @param without_body True for a response to HEAD.
 * @return Serialized response.
 */
[[nodiscard]] std::string serialize_response(const http_response& response, bool close, bool without_body);

/**
 * @brief Serializes the head of a response, for a body that is sent on its own.
 * @param response Response.
 * @param close True to announce that the connection closes afterwards.
 * @return Status line, fields and the empty line.
 */
[[nodiscard]] std::string serialize_response_head(const http_response& response, bool close);

/**
 * @brief Serializes a request.
 * @param method Method.
 * @param target Path with query.
 * @param lines Field lines, each terminated by CR LF, without Content-Length.
 * @param body Body.
 * @return Serialized request.
 */
[[nodiscard]] std::string serialize_request(std::string_view method, std::string_view target,
                                            std::string_view lines, std::string_view body);

} // namespace kumquatdrift

#endif
