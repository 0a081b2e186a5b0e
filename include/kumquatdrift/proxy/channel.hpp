#ifndef KUMQUATDRIFT_PROXY_CHANNEL_HPP
#define KUMQUATDRIFT_PROXY_CHANNEL_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include <Poco/Net/StreamSocket.h>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/proxy/fwd.hpp>

namespace kumquatdrift {

/*! @brief Outcome of an operation on a connection. */
enum class io_status : std::uint8_t {
    /*! @brief Done. */
    ok,
    /*! @brief The other side has closed its direction. */
    closed,
    /*! @brief The time is over. */
    timed_out,
    /*! @brief The connection is broken. */
    failed,
    /*! @brief The watched connection was closed by its other side. */
    watched_closed,
};

/*! @brief A TCP connection with an input buffer. Used by one thread at a time, except for `shutdown`. */
class channel {
public:
    /**
     * @brief Takes over a connected socket.
     * @param connected Socket.
     * @param input_bytes Capacity of the input buffer in bytes.
     */
    channel(const Poco::Net::StreamSocket& connected, std::size_t input_bytes);

    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    ~channel();

    /**
     * @brief Waits until there are bytes to read or the other side has closed.
     * @param until Latest time.
     * @param watched Connection whose end stops the wait; may be null.
     * @return `ok`, `timed_out` or `watched_closed`.
     */
    [[nodiscard]] io_status wait_input(timestamp until, const channel* watched = nullptr) const noexcept;

    /**
     * @brief Receives at least one byte into the input buffer, which must not be full.
     * @param until Latest time.
     * @param watched Connection whose end stops the wait; may be null.
     * @return Outcome.
     */
    [[nodiscard]] io_status receive(timestamp until, const channel* watched = nullptr);

    /**
     * @brief Returns the received bytes that were not consumed.
     * @return The bytes; valid until the next `receive`.
     */
    [[nodiscard]] std::string_view input() const noexcept;

    /**
     * @brief Checks whether the input buffer has no room left.
     * @return True if `capacity` bytes wait to be consumed.
     */
    [[nodiscard]] bool is_full() const noexcept;

    /**
     * @brief Drops bytes from the front of the input buffer.
     * @param count Number of bytes, at most the size of `input`.
     */
    void consume(std::size_t count) noexcept;

    /**
     * @brief Sends all bytes.
     * @param bytes The bytes.
     * @param until Latest time.
     * @return Outcome. After a failure an unknown part was sent.
     */
    [[nodiscard]] io_status send(std::string_view bytes, timestamp until);

    /**
     * @brief Returns the number of bytes handed to the socket since the start.
     * @return Number of bytes.
     */
    [[nodiscard]] std::uint64_t sent_bytes() const noexcept
    {
        return this->sent;
    }

    /**
     * @brief Checks whether the other side has neither sent bytes nor closed.
     * @return True if the connection is open and silent.
     */
    [[nodiscard]] bool is_silent() const noexcept;

    /**
     * @brief Checks whether the other side has closed its sending direction or reset the connection.
     * @return True if no request of it is of use any more.
     */
    [[nodiscard]] bool is_cut() const noexcept;

    /*! @brief Frees the memory of the input buffer until the next `receive`, if it is empty. */
    void release_buffer() noexcept;

    /*! @brief Returns the descriptor of the socket, to watch it; -1 after `abort`. */
    [[nodiscard]] int handle() const noexcept
    {
        return this->descriptor;
    }

    /*! @brief Returns the socket. */
    [[nodiscard]] const Poco::Net::StreamSocket& stream() const noexcept
    {
        return this->socket;
    }

    /*! @brief Ends the sending direction; the other side reads an end of stream. */
    void finish_sending() noexcept;

    /*! @brief Ends both directions without releasing the socket. Safe for any thread. */
    void shutdown() noexcept;

    /*! @brief Closes with a reset, so that the other side cannot take the message for complete. */
    void abort() noexcept;

private:
    Poco::Net::StreamSocket socket;
    int descriptor;
    std::size_t capacity;
    std::vector<char> buffer{};
    std::size_t begin{};
    std::size_t end{};
    std::uint64_t sent{};
};

} // namespace kumquatdrift

#endif
