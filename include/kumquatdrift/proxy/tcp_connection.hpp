#ifndef KUMQUATDRIFT_PROXY_TCP_CONNECTION_HPP
#define KUMQUATDRIFT_PROXY_TCP_CONNECTION_HPP

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string_view>
#include <vector>

#include <Poco/Net/StreamSocket.h>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/proxy/fwd.hpp>

namespace kumquatdrift {

/*! @brief Outcome of an operation on a connection. */
enum class io_status : std::uint8_t {
    /*! @brief The operation succeeded. */
    ok,
    /*! @brief The peer has closed its sending direction. */
    closed,
    /*! @brief The deadline has passed. */
    timed_out,
    /*! @brief The connection failed. */
    failed,
    /*! @brief The peer of the watched connection closed it. */
    watched_closed,
    /*! @brief The peer has sent bytes, or has closed, while it accepted no more. */
    input_pending,
};

/*! @brief A TCP connection with an input buffer. Used by one thread at a time, except for `shutdown`. */
class tcp_connection {
public:
    /**
     * @brief Constructs a connection on a connected socket.
     * @param connected Connected socket.
     * @param input_bytes Capacity of the input buffer in bytes.
     */
    tcp_connection(const Poco::Net::StreamSocket& connected, std::size_t input_bytes);

    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;
    ~tcp_connection();

    /**
     * @brief Waits until there are bytes to read or the peer has closed.
     * @param until Deadline.
     * @param watched Connection whose closure ends the wait; may be null.
     * @return `ok`, `timed_out` or `watched_closed`.
     */
    [[nodiscard]] io_status wait_input(timestamp until,
                                       const tcp_connection* watched = nullptr) const noexcept;

    /**
     * @brief Receives bytes into the input buffer, which must not be full.
     * @param until Deadline.
     * @param watched Connection whose closure ends the wait; may be null.
     * @return `ok` if at least one byte was received, or the reason why not; not `closed` after a send that
     *         failed.
     */
    [[nodiscard]] io_status receive(timestamp until, const tcp_connection* watched = nullptr);

    /**
     * @brief Returns the received bytes that were not consumed yet.
     * @return The bytes; valid until the next `receive`.
     */
    [[nodiscard]] std::string_view input() const noexcept;

    /**
     * @brief Checks whether the input buffer is full.
     * @return True if the unconsumed bytes fill its capacity.
     */
    [[nodiscard]] bool is_full() const noexcept;

    /**
     * @brief Removes bytes from the front of the input buffer.
     * @param count Number of bytes, at most the size of `input`.
     */
    void consume(std::size_t count) noexcept;

    /**
     * @brief Sends all bytes.
     * @param bytes Bytes to send.
     * @param until Deadline.
     * @return `ok`, `timed_out` or `failed`. After a failure, the part that the peer received is unknown.
     */
    [[nodiscard]] io_status send(std::string_view bytes, timestamp until);

    /**
     * @brief Sends bytes, but stops waiting for the peer to accept more of them when it has sent some itself.
     * @param bytes Bytes to send; on return those that were not written to the socket.
     * @param until Deadline.
     * @return `ok`, `input_pending`, `timed_out` or `failed`.
     */
    [[nodiscard]] io_status send_until_input(std::string_view& bytes, timestamp until);

    /**
     * @brief Returns the number of bytes written to the socket since construction.
     * @return Number of bytes.
     */
    [[nodiscard]] std::uint64_t sent_bytes() const noexcept
    {
        return this->sent;
    }

    /**
     * @brief Checks whether the connection is open and has no unread input.
     * @return False if the peer has sent bytes or closed, or if the connection failed.
     */
    [[nodiscard]] bool is_idle() const noexcept;

    /**
     * @brief Checks whether the peer has closed its sending direction or reset the connection.
     * @return True if so. A peer that has closed only its sending direction counts as disconnected too; its
     *         requests need not be run any more.
     */
    [[nodiscard]] bool is_closed_by_peer() const noexcept;

    /**
     * @brief Returns the time for which the user of the connection has waited for the peer since the last
     * call of `reset_waited`, including a wait in progress. Thread-safe.
     * @return Time.
     */
    [[nodiscard]] microseconds waited() const noexcept;

    /*! @brief Sets the time that `waited` returns to zero. */
    void reset_waited() noexcept
    {
        this->past_wait_us = 0;
    }

    /**
     * @brief Limits the bytes that the kernel holds beyond those on the way to the peer; without a limit it
     *        holds up to megabytes for each connection.
     * @param bytes Number of bytes.
     */
    void limit_send_queue(int bytes) noexcept;

    /*! @brief Frees the memory of the input buffer if it is empty; the next `receive` allocates it again. */
    void release_buffer() noexcept;

    /*! @brief Returns the descriptor of the socket, for polling; -1 after `abort`. */
    [[nodiscard]] int handle() const noexcept
    {
        return this->descriptor;
    }

    /*! @brief Returns the socket. */
    [[nodiscard]] const Poco::Net::StreamSocket& stream() const noexcept
    {
        return this->socket;
    }

    /*! @brief Shuts down the sending direction; the peer then reads the end of the stream. */
    void shutdown_send() noexcept;

    /*! @brief Shuts down both directions without closing the socket. Thread-safe. */
    void shutdown() noexcept;

    /*! @brief Closes with a reset, so that the peer cannot take a truncated message for complete. */
    void abort() noexcept;

private:
    class wait_scope;

    [[nodiscard]] io_status send(std::string_view& bytes, timestamp until, short events);

    Poco::Net::StreamSocket socket;
    // Keeps `shutdown` from the descriptor of another connection that is opened after this one has closed.
    std::mutex close_mutex{};
    int descriptor;
    std::size_t capacity;
    std::vector<char> buffer{};
    // Range of the buffer that holds the unconsumed bytes.
    std::size_t begin{};
    std::size_t end{};
    std::uint64_t sent{};
    bool send_failed{};
    // Read by another thread. The start is 0 while there is no wait.
    mutable std::atomic<std::int64_t> wait_start_us{};
    mutable std::atomic<std::int64_t> past_wait_us{};
};

} // namespace kumquatdrift

#endif
