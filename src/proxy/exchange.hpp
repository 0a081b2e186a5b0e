#ifndef KUMQUATDRIFT_PROXY_EXCHANGE_HPP
#define KUMQUATDRIFT_PROXY_EXCHANGE_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/core/verdict.hpp>
#include <kumquatdrift/proxy/channel.hpp>
#include <kumquatdrift/proxy/settings.hpp>

#include "proxy/message_reader.hpp"

namespace kumquatdrift::internal {

/*! @brief How the length of a body is told. */
enum class body_framing : std::uint8_t {
    /*! @brief There is no body and no length, as in answers to HEAD. */
    none,
    /*! @brief Content-Length. */
    length,
    /*! @brief Chunked transfer coding. */
    chunked,
};

/*! @brief Head of an answer. */
struct answer_head {
    /*! @brief Status code. */
    unsigned status{};
    /*! @brief Field lines with line ends, without those of the connection and the framing. */
    std::string fields{};
    /*! @brief Framing of the body. */
    body_framing framing{body_framing::length};
    /*! @brief Length of the body. Valid only with `body_framing::length`. */
    std::uint64_t length{};
};

/*! @brief An answer that the proxy makes itself. */
struct refusal {
    /*! @brief Status code. */
    unsigned status{503};
    /*! @brief Whether the request may have run. */
    verdict effect{verdict::not_run};
    /*! @brief Suggested time until the next attempt; zero for none. */
    milliseconds retry_after{};
    /*! @brief One short sentence, sent as body. */
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

/*! @brief Chunk that ends a chunked body. */
inline constexpr std::string_view final_chunk = "0\r\n\r\n";

/*! @brief One request on a listener's connection and its answer. */
class exchange {
public:
    /**
     * @brief Constructs an exchange whose request head was read.
     * @param connection Connection.
     * @param reader Reader of the request.
     * @param settings Limits of the listener.
     */
    exchange(channel& connection, request_reader& reader, const listener_limits& settings);

    /*! @brief Returns the connection. */
    [[nodiscard]] channel& io() const noexcept
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

    /*! @brief Checks whether the client waits for an interim answer before it sends the body. */
    [[nodiscard]] bool awaits_continue() const noexcept
    {
        return this->awaiting_continue;
    }

    /*! @brief Asks the client for the body, if it waits for that. @return False if the connection is broken.
     */
    [[nodiscard]] bool send_continue();

    /**
     * @brief Starts the answer. Its head is sent with the first part of the body.
     * @param head Head of the answer.
     */
    void start_answer(const answer_head& head);

    /**
     * @brief Sends a part of the body.
     * @param data Data, not empty.
     * @param until Latest time.
     * @return Outcome.
     */
    [[nodiscard]] io_status send_block(std::string_view data, timestamp until);

    /**
     * @brief Ends the answer.
     * @param until Latest time.
     * @return Outcome.
     */
    [[nodiscard]] io_status finish_answer(timestamp until);

    /**
     * @brief Cuts the answer off, so that it cannot look complete.
     */
    void abort_answer() noexcept;

    /**
     * @brief Sends an answer that the proxy makes itself. Does nothing once an answer was started.
     * @param answer The answer.
     */
    void refuse(const refusal& answer);

    /*! @brief Closes the connection after this answer. */
    void close_after() noexcept
    {
        this->closing = true;
    }

    /*! @brief Checks whether an answer was started. */
    [[nodiscard]] bool is_started() const noexcept
    {
        return this->started;
    }

    /*! @brief Returns the status of the answer, 0 if none was started. */
    [[nodiscard]] unsigned status() const noexcept
    {
        return this->answer_status;
    }

    /*! @brief Checks whether the answer was sent to its end. */
    [[nodiscard]] bool is_finished() const noexcept
    {
        return this->finished;
    }

    /*! @brief Checks whether the connection may carry another request once the request was read. */
    [[nodiscard]] bool keeps_alive() const noexcept
    {
        return this->finished && !this->closing;
    }

private:
    [[nodiscard]] io_status flush(timestamp until);

    channel& connection;
    request_reader& reader;
    const listener_limits& settings;
    std::string output{};
    body_framing framing{body_framing::length};
    unsigned answer_status{};
    bool awaiting_continue{};
    bool is_head{};
    bool started{};
    bool finished{};
    bool closing{};
};

} // namespace kumquatdrift::internal

#endif
