#ifndef KUMQUATDRIFT_GATEWAY_SOCKET_STREAM_HPP
#define KUMQUATDRIFT_GATEWAY_SOCKET_STREAM_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <kumquatdrift/core/result.hpp>

#include "loop.hpp"

namespace kumquatdrift {

/*! @brief IPv4 address and port of a socket. */
struct socket_address {
    /*! @brief IPv4 address. */
    std::string ip{};
    /*! @brief Port. */
    std::uint16_t port{};

    [[nodiscard]] bool operator==(const socket_address& other) const noexcept = default;
};

/**
 * @brief Parses `IP:PORT`.
 * @param text Text.
 * @return The address, or an error if the text has another form or the port is 0.
 */
[[nodiscard]] result<socket_address> parse_address(std::string_view text);

/**
 * @brief Non-blocking TCP connection on the event loop; buffers output that the peer does not accept yet.
 *
 * No callback is called after `close`, or from within `send`.
 */
class socket_stream : public std::enable_shared_from_this<socket_stream> {
public:
    /*! @brief Shared pointer; the event loop holds one while an operation is pending. */
    using pointer = std::shared_ptr<socket_stream>;
    /*! @brief Receives the input buffer and removes the bytes that it has consumed. */
    using data_callback = std::function<void(std::string&)>;
    /*! @brief Receives whether the peer closed the connection cleanly, and the cause for the log. */
    using closed_callback = std::function<void(bool, const std::string&)>;

    /*! @brief Default number of unconsumed bytes at which reading pauses. */
    static constexpr std::size_t default_read_limit = 1'048'576;
    /*! @brief Size in bytes of the buffer of the first read after an event. Most requests and responses fit.
     * Each idle connection holds such a buffer. */
    static constexpr std::size_t first_read_size = 2'048;

    /**
     * @brief Wraps an accepted connection.
     * @param loop Event loop.
     * @param socket Connected socket.
     * @return The stream; call `start` to begin reading.
     */
    [[nodiscard]] static pointer adopt(event_loop& loop, boost::asio::ip::tcp::socket socket);

    /**
     * @brief Opens a connection.
     * @param loop Event loop.
     * @param address Address of the peer.
     * @param timeout Time after which the connection attempt fails.
     * @param done Receives an empty string on success, otherwise the cause. Not called after `close`.
     * @return The stream.
     */
    [[nodiscard]] static pointer connect(event_loop& loop, const socket_address& address,
                                         microseconds timeout, std::function<void(const std::string&)> done);

    /*! @brief Constructs a closed stream; use `adopt` or `connect` instead. */
    socket_stream(event_loop& loop, boost::asio::ip::tcp::socket socket);

    /**
     * @brief Begins reading.
     * @param data Receives the input.
     * @param closed Called once when the peer closes the connection or the connection fails. The close isn't
     *        orderly after a `send` that failed.
     */
    void start(data_callback data, closed_callback closed);

    /**
     * @brief Sends bytes; buffers those that the socket does not accept at once.
     * @param bytes Bytes.
     */
    void send(std::string_view bytes);

    /**
     * @brief Sends a head and a body without copying the body.
     * @param head Bytes to send first.
     * @param body Bytes that follow; may be empty.
     */
    void send(std::string head, std::string body);

    /*! @brief Returns the number of buffered bytes that the socket has not accepted. */
    [[nodiscard]] std::size_t unsent() const noexcept
    {
        return this->output_bytes - this->output_offset;
    }

    /*! @brief Returns the number of bytes that the socket has accepted since the start. */
    [[nodiscard]] std::uint64_t written() const noexcept
    {
        return this->written_bytes;
    }

    /*! @brief Returns the number of bytes that the socket has accepted and the peer's host has not
     *         acknowledged; 0 if the connection is closed. */
    [[nodiscard]] std::size_t unacknowledged();

    /*! @brief Checks whether the connection is open. */
    [[nodiscard]] bool is_open() const noexcept
    {
        return this->open;
    }

    /*! @brief Returns the bytes that this connection holds, with those that the kernel holds of input that
     *         isn't read. */
    [[nodiscard]] std::size_t held() const noexcept
    {
        return this->charge.held();
    }

    /*! @brief Checks whether so much input waits that no more is read. */
    [[nodiscard]] bool is_input_full() const noexcept
    {
        return this->input.size() >= this->read_limit;
    }

    /**
     * @brief Pauses or resumes reading. While it is paused, the end of the connection isn't noticed.
     * @param reads True to read.
     */
    void set_reading(bool reads);

    /**
     * @brief Sets a function to call each time all buffered output has been passed to the socket.
     * @param drained Function; not called from within `send`, nor after `close`.
     */
    void on_drained(std::function<void()> drained)
    {
        this->drained_callback = std::move(drained);
    }

    /**
     * @brief Limits the bytes that the socket accepts before the network does. Without a limit the kernel's
     *        buffer grows to megabytes, which delay all that is sent later.
     * @param bytes Number of bytes not yet passed to the network at which the socket accepts no more.
     */
    void limit_socket_queue(int bytes);

    /**
     * @brief Sets the number of unconsumed bytes at which reading pauses.
     * @param bytes Number of bytes; at least the size of the largest message that the receiver consumes as a
     * whole.
     */
    void set_read_limit(std::size_t bytes) noexcept
    {
        this->read_limit = bytes;
    }

    /*! @brief Returns the IP address of the peer. */
    [[nodiscard]] const std::string& peer_ip() const noexcept
    {
        return this->ip;
    }

    /*! @brief Delivers the input that the receiver has not consumed yet, if there is any. */
    void deliver();

    /*! @brief Closes the connection immediately and discards buffered output. */
    void close();

    /*! @brief Closes the connection with a reset; the peer discards the bytes that it has not read. */
    void abort();

    /*! @brief Closes the connection once all buffered output has been written. */
    void close_when_sent();

private:
    void set_socket_options();
    void start_read();
    void read_available();
    void start_write();
    [[nodiscard]] boost::system::error_code write_output();
    void update_charge() noexcept;
    void fail(bool orderly, const std::string& cause);

    event_loop& loop;
    boost::asio::ip::tcp::socket socket;
    std::string ip{};
    std::array<char, first_read_size> first_bytes{};
    std::string input{};
    /*! @brief Blocks of which bytes have not been sent; only the first may have been sent in part. */
    std::deque<std::string> output{};
    /*! @brief Size of all blocks of `output`. */
    std::size_t output_bytes{};
    /*! @brief Number of bytes of the first block that have been sent. */
    std::size_t output_offset{};
    std::uint64_t written_bytes{};
    data_callback on_data{};
    closed_callback on_closed{};
    std::function<void()> drained_callback{};
    event_loop::timer_id connect_timer{};
    byte_charge charge;
    std::size_t read_limit{default_read_limit};
    bool paused{};
    bool open{};
    bool reading{};
    bool writing{};
    bool closing{};
    bool send_failed{};
};

} // namespace kumquatdrift

#endif
