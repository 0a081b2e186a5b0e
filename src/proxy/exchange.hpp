#ifndef KUMQUATDRIFT_PROXY_EXCHANGE_HPP
#define KUMQUATDRIFT_PROXY_EXCHANGE_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/core/verdict.hpp>
#include <kumquatdrift/proxy/settings.hpp>
#include <kumquatdrift/proxy/tcp_connection.hpp>

#include "proxy/message_reader.hpp"

namespace kumquatdrift::internal {

/*! @brief Framing of a message body. */
enum class body_framing : std::uint8_t {
    /*! @brief Neither a body nor a length, as in a response to HEAD. */
    none,
    /*! @brief `Content-Length`. */
    length,
    /*! @brief Chunked transfer coding. */
    chunked,
};

/*! @brief Head of a response. */
struct response_head {
    /*! @brief Status code. */
    unsigned status{};
    /*! @brief Field lines with line ends, without connection and framing fields. */
    std::string fields{};
    /*! @brief Framing of the body. */
    body_framing framing{body_framing::length};
    /*! @brief Length of the body. Valid only with `body_framing::length`. */
    std::uint64_t length{};
};

/*! @brief Response that the proxy itself generates instead of relaying one. */
struct error_response {
    /*! @brief Status code. */
    unsigned status{503};
    /*! @brief Whether the request may have run. */
    verdict effect{verdict::not_run};
    /*! @brief Suggested delay before a retry; zero for no suggestion. */
    milliseconds retry_after{};
    /*! @brief One short sentence that is sent as the body. */
    std::string reason{};
    /*! @brief Further field lines with line ends. */
    std::string fields{};
};

/**
 * @brief Appends one chunk of a chunked body.
 * @param output Text to append to.
 * @param data Data, not empty.
 */
void append_chunk(std::string& output, std::string_view data);

/*! @brief Last chunk of a chunked body. */
inline constexpr std::string_view final_chunk = "0\r\n\r\n";

/*! @brief One request on a connection of a listener, and its response. */
class exchange {
public:
    /**
     * @brief Constructs an exchange after the head of its request was read.
     * @param connection Connection to the client.
     * @param reader Reader of the request.
     * @param settings Limits of the listener.
     */
    exchange(tcp_connection& connection, request_reader& reader, const listener_limits& settings);

    /*! @brief Returns the connection to the client. */
    [[nodiscard]] tcp_connection& io() const noexcept
    {
        return this->connection;
    }

    /*! @brief Returns the reader of the request. */
    [[nodiscard]] request_reader& request() const noexcept
    {
        return this->reader;
    }

    /*! @brief Returns the limits of the listener. */
    [[nodiscard]] const listener_limits& limits() const noexcept
    {
        return this->settings;
    }

    /*! @brief Checks whether the client waits for `100 Continue` before it sends the body. */
    [[nodiscard]] bool awaits_continue() const noexcept
    {
        return this->awaiting_continue;
    }

    /*! @brief Sends `100 Continue` if the client waits for it. @return False if the connection failed. */
    [[nodiscard]] bool send_continue();

    /**
     * @brief Starts the response. Its head is buffered and sent with the first part of the body.
     * @param head Head of the response.
     */
    void start_response(const response_head& head);

    /**
     * @brief Sends a part of the body.
     * @param data Data, not empty.
     * @param until Deadline.
     * @return `ok`, `timed_out` or `failed`.
     */
    [[nodiscard]] io_status send_block(std::string_view data, timestamp until);

    /**
     * @brief Ends the response and sends the bytes that are still buffered.
     * @param until Deadline.
     * @return `ok`, `timed_out` or `failed`.
     */
    [[nodiscard]] io_status finish_response(timestamp until);

    /**
     * @brief Resets the connection, so that the client cannot take the response for complete.
     */
    void abort_response() noexcept;

    /**
     * @brief Sends a response that the proxy itself generates. Does nothing if a response was started.
     * @param response The response.
     */
    void send_error(const error_response& response);

    /*! @brief Closes the connection after this response. */
    void close_after_response() noexcept
    {
        this->closing = true;
    }

    /*! @brief Checks whether a response was started. */
    [[nodiscard]] bool is_started() const noexcept
    {
        return this->started;
    }

    /*! @brief Returns the status code of the response, 0 if none was started. */
    [[nodiscard]] unsigned status() const noexcept
    {
        return this->response_status;
    }

    /*! @brief Checks whether the complete response was sent. */
    [[nodiscard]] bool is_finished() const noexcept
    {
        return this->finished;
    }

    /*! @brief Checks whether the connection can be reused once this request was read completely. */
    [[nodiscard]] bool keeps_alive() const noexcept
    {
        return this->finished && !this->closing;
    }

private:
    [[nodiscard]] io_status flush(timestamp until);

    tcp_connection& connection;
    request_reader& reader;
    const listener_limits& settings;
    std::string output{};
    body_framing framing{body_framing::length};
    unsigned response_status{};
    bool awaiting_continue{};
    bool is_head_request{};
    bool started{};
    bool finished{};
    bool closing{};
};

} // namespace kumquatdrift::internal

#endif
