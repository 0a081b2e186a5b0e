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
    /*! @brief Value without surrounding space. */
    std::string value{};
};

/*! @brief Header fields in the order received. */
using http_fields = std::vector<http_field>;

/*! @brief A whole HTTP/1.1 message. Start line members that do not apply stay empty. */
struct http_message {
    /*! @brief Method of a request. */
    std::string method{};
    /*! @brief Path with query of a request. */
    std::string target{};
    /*! @brief Status of an answer. */
    unsigned status{};
    /*! @brief Reason phrase of an answer. */
    std::string reason{};
    /*! @brief Header fields. */
    http_fields fields{};
    /*! @brief Body without transfer coding. */
    std::string body{};
    /*! @brief True if the connection may carry another message. */
    bool keep_alive{};
};

/**
 * @brief Finds a header field.
 * @param fields Header fields.
 * @param name Name in any case.
 * @return Value of the first field with that name, null if there is none.
 */
[[nodiscard]] const std::string* find_field(const http_fields& fields, std::string_view name) noexcept;

/**
 * @brief Compares header names.
 * @param left Name.
 * @param right Name.
 * @return True if they differ only in case.
 */
[[nodiscard]] bool same_name(std::string_view left, std::string_view right) noexcept;

/**
 * @brief Writes the fields that are meant for the other end, without those of one connection.
 * @param fields Header fields.
 * @param without Further names that are left out.
 * @return Lines that end in CR LF.
 */
[[nodiscard]] std::string end_to_end_lines(const http_fields& fields,
                                           const std::vector<std::string>& without);

/*! @brief How far a message has been read. */
enum class read_progress : std::uint8_t {
    /*! @brief More bytes are needed. */
    need_more,
    /*! @brief The message is whole. */
    complete,
    /*! @brief The bytes are not a valid message, or exceed a limit. */
    failed,
};

/*! @brief Reads one message after the other from a stream of bytes. */
class http_reader {
public:
    /*! @brief What is read. */
    enum class kind : std::uint8_t { request, answer };

    /**
     * @brief Constructs a reader.
     * @param message_kind Requests or answers.
     * @param header_limit Largest head in bytes.
     * @param body_limit Largest body in bytes.
     */
    http_reader(kind message_kind, std::size_t header_limit, std::size_t body_limit);
    ~http_reader();
    http_reader(http_reader&&) noexcept;
    http_reader& operator=(http_reader&&) noexcept;

    /**
     * @brief Reads from a buffer and removes what was used. Bytes behind the message stay.
     * @param buffer Received bytes.
     * @return How far the message has been read.
     */
    [[nodiscard]] read_progress feed(std::string& buffer);

    /**
     * @brief Says that the sender has closed the connection in order.
     * @return `complete` if that ends the message.
     */
    [[nodiscard]] read_progress end_of_stream();

    /**
     * @brief Returns the message, and prepares for the next one.
     * @return The message.
     */
    [[nodiscard]] http_message take();

    /**
     * @brief Forgets a message that has been read in part.
     * @param no_body True if the next answer has no body, as for HEAD.
     */
    void reset(bool no_body = false);

    /**
     * @brief Returns the status to answer a failed request with.
     * @return 400, 413 or 431.
     */
    [[nodiscard]] unsigned failure_status() const noexcept;

    /**
     * @brief Returns what is wrong with a failed message.
     * @return Text for the log.
     */
    [[nodiscard]] const std::string& failure_reason() const noexcept;

    /**
     * @brief Checks whether the head of the present message is complete.
     * @return True once it is.
     */
    [[nodiscard]] bool head_done() const noexcept;

    /**
     * @brief Returns the message as far as it has been read.
     * @return The message.
     */
    [[nodiscard]] const http_message& partial() const noexcept;

private:
    class parser;

    kind what;
    std::size_t max_header;
    std::size_t max_body;
    bool skip_body{};
    std::unique_ptr<parser> state;
    unsigned status{};
    std::string reason{};
};

/*! @brief Parts of an answer that this program writes. */
struct http_answer {
    /*! @brief Status. */
    unsigned status{200};
    /*! @brief Reason phrase; empty for the usual one. */
    std::string reason{};
    /*! @brief Header lines that end in CR LF, without length. */
    std::string lines{};
    /*! @brief Body. */
    std::string body{};
};

/**
 * @brief Writes an answer.
 * @param answer Answer.
 * @param close True if the connection ends with it.
 * @param without_body True for an answer to HEAD.
 * @return Bytes of the answer.
 */
[[nodiscard]] std::string write_answer(const http_answer& answer, bool close, bool without_body);

/**
 * @brief Writes a request.
 * @param method Method.
 * @param target Path with query.
 * @param lines Header lines that end in CR LF, without length.
 * @param body Body.
 * @return Bytes of the request.
 */
[[nodiscard]] std::string write_request(std::string_view method, std::string_view target,
                                        std::string_view lines, std::string_view body);

} // namespace kumquatdrift

#endif
