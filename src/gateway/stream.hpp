#ifndef KUMQUATDRIFT_GATEWAY_STREAM_HPP
#define KUMQUATDRIFT_GATEWAY_STREAM_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include <kumquatdrift/core/result.hpp>

#include "loop.hpp"

namespace kumquatdrift {

/*! @brief IP address and port. */
struct socket_address {
    /*! @brief IPv4 address. */
    std::string ip{};
    /*! @brief Port. */
    std::uint16_t port{};

    /*! @brief Compares both parts. */
    [[nodiscard]] bool operator==(const socket_address& other) const noexcept = default;
};

/**
 * @brief Parses `IP:PORT`.
 * @param text Text.
 * @return The address, or what is wrong with it.
 */
[[nodiscard]] result<socket_address> parse_address(std::string_view text);

/**
 * @brief A TCP connection on the event loop: never blocks, buffers what the peer does not take.
 *
 * No callback is called after `close`, or from within `send`.
 */
class stream : public std::enable_shared_from_this<stream> {
public:
    /*! @brief Shared reference; the loop holds one while an operation waits. */
    using pointer = std::shared_ptr<stream>;
    /*! @brief Receives all unread bytes and removes what it used. */
    using data_callback = std::function<void(std::string&)>;
    /*! @brief Receives true if the peer closed in order, and the cause for the log. */
    using closed_callback = std::function<void(bool, const std::string&)>;

    /*! @brief Unread bytes above which the peer has to wait, unless `set_read_limit` was called. */
    static constexpr std::size_t default_read_limit = 1'048'576;
    /*! @brief Bytes of the first read of an event; most requests and answers fit, and each connection holds
     * as many while it waits. */
    static constexpr std::size_t first_read = 2'048;

    /**
     * @brief Wraps an accepted connection.
     * @param loop Event loop.
     * @param socket Connected socket.
     * @return The stream; `start` begins to read.
     */
    [[nodiscard]] static pointer adopt(event_loop& loop, boost::asio::ip::tcp::socket socket);

    /**
     * @brief Connects.
     * @param loop Event loop.
     * @param address Address of the peer.
     * @param timeout Time after which the attempt has failed.
     * @param done Receives an empty text on success, else the cause. Not called after `close`.
     * @return The stream.
     */
    [[nodiscard]] static pointer connect(event_loop& loop, const socket_address& address,
                                         microseconds timeout, std::function<void(const std::string&)> done);

    stream(event_loop& loop, boost::asio::ip::tcp::socket socket);

    /**
     * @brief Begins to read.
     * @param data Receives bytes.
     * @param closed Called once when the connection ends from the other side.
     */
    void start(data_callback data, closed_callback closed);

    /**
     * @brief Sends bytes, or buffers them.
     * @param bytes Bytes.
     */
    void send(std::string_view bytes);

    /*! @brief Returns the number of bytes that the peer has not taken. */
    [[nodiscard]] std::size_t unsent() const noexcept
    {
        return this->output.size();
    }

    /*! @brief Checks whether the connection is open in both directions. */
    [[nodiscard]] bool is_open() const noexcept
    {
        return this->open;
    }

    /**
     * @brief Sets the number of unread bytes above which the peer has to wait.
     * @param bytes Number of bytes; at least the largest unit that the receiver takes at once.
     */
    void set_read_limit(std::size_t bytes) noexcept
    {
        this->read_limit = bytes;
    }

    /*! @brief Returns the address of the peer. */
    [[nodiscard]] const std::string& peer_ip() const noexcept
    {
        return this->ip;
    }

    /*! @brief Delivers unread bytes again, after the receiver left some behind. */
    void deliver();

    /*! @brief Closes at once. */
    void close();

    /*! @brief Closes with a reset, so that the peer drops what it has not read yet. */
    void abort();

    /*! @brief Closes once all that was sent has been taken. */
    void close_when_sent();

private:
    void prepare();
    void wait_readable();
    void read_more();
    void write();
    void fail(bool orderly, const std::string& cause);

    event_loop& loop;
    boost::asio::ip::tcp::socket socket;
    std::string ip{};
    std::array<char, first_read> first_bytes{};
    std::string input{};
    std::string output{};
    data_callback on_data{};
    closed_callback on_closed{};
    event_loop::timer_id connect_timer{};
    std::size_t read_limit{default_read_limit};
    bool open{};
    bool reading{};
    bool writing{};
    bool closing{};
};

} // namespace kumquatdrift

#endif
