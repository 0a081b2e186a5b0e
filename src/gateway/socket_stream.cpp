#include "socket_stream.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

namespace kumquatdrift {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/*! @brief Idle time in seconds after which the kernel sends keep-alive probes. With the values below, a peer
 *         that lost power is detected within four seconds; the kernel's defaults take hours. */
constexpr int keep_alive_idle_s = 2;
/*! @brief Interval between two keep-alive probes in seconds. */
constexpr int keep_alive_interval_s = 1;
/*! @brief Number of unanswered probes after which the connection is closed. */
constexpr int keep_alive_probes = 2;
/*! @brief Time in milliseconds after which unacknowledged bytes close the connection. */
constexpr int user_timeout_ms = 4'000;
/*! @brief Size in bytes of the buffer for further reads, after the first read filled its buffer. */
constexpr std::size_t chunk_size = 65'536;
/*! @brief Maximum number of further reads per event, so that one connection cannot starve the others. */
constexpr int max_further_reads = 4;
/*! @brief Size in bytes up to which output is joined into one block. */
constexpr std::size_t output_block_size = 16'384;
/*! @brief Maximum number of blocks that are passed to the socket in one call. */
constexpr std::size_t max_blocks_per_write = 4;
/*! @brief Bytes that the kernel holds of a connection whose input isn't read: its receive buffer at first. */
constexpr std::size_t kernel_input_bytes = 131'072;
/*! @brief Capacity in bytes from which on the memory of an empty input buffer is freed. */
constexpr std::size_t kept_input_capacity = 4'096;

template<int Level, int Name>
using integer_option = boost::asio::detail::socket_option::integer<Level, Name>;

} // namespace

result<socket_address> parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port{};
    if (colon != std::string_view::npos) {
        const auto* end = text.data() + text.size();
        const auto [parsed_end, error] = std::from_chars(text.data() + colon + 1, end, port);
        error_code invalid{};
        boost::asio::ip::make_address_v4(std::string{text.substr(0, colon)}, invalid);
        if (error == std::errc{} && parsed_end == end && port != 0 && !invalid) {
            return socket_address{std::string{text.substr(0, colon)}, port};
        }
    }
    return failure{"'" + std::string{text} + "' is not of the form IP:PORT"};
}

socket_stream::socket_stream(event_loop& owner, tcp::socket tcp_socket)
    : loop{owner}, socket{std::move(tcp_socket)}, charge{owner.memory()}
{
}

socket_stream::pointer socket_stream::adopt(event_loop& loop, tcp::socket socket)
{
    auto connection = std::make_shared<socket_stream>(loop, std::move(socket));
    error_code error{};
    connection->ip = connection->socket.remote_endpoint(error).address().to_string();
    connection->open = !error;
    connection->set_socket_options();
    return connection;
}

socket_stream::pointer socket_stream::connect(event_loop& loop, const socket_address& address,
                                              microseconds timeout,
                                              std::function<void(const std::string&)> done)
{
    auto connection = std::make_shared<socket_stream>(loop, tcp::socket{loop.context()});
    connection->ip = address.ip;
    const auto callback = std::make_shared<std::function<void(const std::string&)>>(std::move(done));
    connection->connect_timer = loop.call_at(boot_now() + timeout, [connection, callback] {
        const auto function = std::move(*callback);
        connection->close();
        function("connect timed out");
    });
    error_code invalid{};
    const tcp::endpoint peer{boost::asio::ip::make_address_v4(address.ip, invalid), address.port};
    connection->socket.async_connect(peer, [connection, callback](const error_code& error) {
        const event_loop::turn current{connection->loop};
        if (connection->connect_timer == 0 || !*callback) {
            return;
        }
        connection->loop.cancel(std::exchange(connection->connect_timer, 0));
        const auto function = std::move(*callback);
        if (error) {
            connection->close();
        }
        else {
            connection->open = true;
            connection->set_socket_options();
        }
        function(error ? error.message() : "");
    });
    return connection;
}

void socket_stream::set_socket_options()
{
    error_code ignored{};
    this->socket.non_blocking(true, ignored);
    this->socket.set_option(tcp::no_delay{true}, ignored);
    this->socket.set_option(boost::asio::socket_base::keep_alive{true}, ignored);
    this->socket.set_option(integer_option<IPPROTO_TCP, TCP_KEEPIDLE>{keep_alive_idle_s}, ignored);
    this->socket.set_option(integer_option<IPPROTO_TCP, TCP_KEEPINTVL>{keep_alive_interval_s}, ignored);
    this->socket.set_option(integer_option<IPPROTO_TCP, TCP_KEEPCNT>{keep_alive_probes}, ignored);
    this->socket.set_option(integer_option<IPPROTO_TCP, TCP_USER_TIMEOUT>{user_timeout_ms}, ignored);
}

void socket_stream::start(data_callback data, closed_callback closed)
{
    this->on_data = std::move(data);
    this->on_closed = std::move(closed);
    this->start_read();
}

void socket_stream::set_reading(bool reads)
{
    this->paused = !reads;
    this->start_read();
}

void socket_stream::update_charge() noexcept
{
    const auto unread = this->open && this->is_input_full() ? kernel_input_bytes : 0;
    this->charge.set(this->input.size() + this->output_bytes + unread);
}

void socket_stream::start_read()
{
    if (!this->open || this->reading || this->paused || this->is_input_full()) {
        return;
    }
    this->reading = true;
    // Reads instead of waiting for readiness: each wait would register the socket with the kernel again,
    // which would also report it as writable.
    this->socket.async_read_some(boost::asio::buffer(this->first_bytes),
                                 [self = shared_from_this()](const error_code& error, std::size_t count) {
                                     const event_loop::turn current{self->loop};
                                     self->reading = false;
                                     if (!self->open) {
                                         return;
                                     }
                                     if (error) {
                                         self->fail(error == boost::asio::error::eof, error.message());
                                         return;
                                     }
                                     self->input.append(self->first_bytes.data(), count);
                                     if (count == self->first_bytes.size()) {
                                         self->read_available();
                                     }
                                     if (self->open) {
                                         self->deliver();
                                         self->start_read();
                                     }
                                     self->update_charge();
                                 });
}

void socket_stream::read_available()
{
    const auto self = shared_from_this();
    std::array<char, chunk_size> chunk; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the read
    for (int reads = 0; reads < max_further_reads && this->input.size() < read_limit; ++reads) {
        error_code error{};
        const auto size = std::min(chunk.size(), this->read_limit - this->input.size());
        const auto count = this->socket.read_some(boost::asio::buffer(chunk.data(), size), error);
        if (error == boost::asio::error::would_block) {
            break;
        }
        if (error) {
            if (!this->input.empty()) {
                this->deliver();
            }
            if (this->open) {
                this->fail(error == boost::asio::error::eof, error.message());
            }
            return;
        }
        this->input.append(chunk.data(), count);
        if (count < size) {
            break;
        }
    }
}

void socket_stream::deliver()
{
    if (this->open && this->on_data && !this->input.empty()) {
        // Copied, because the callback may replace or clear `on_data` through `start` or `close`.
        const auto callback = this->on_data;
        callback(this->input);
        if (this->input.empty() && this->input.capacity() > kept_input_capacity) {
            std::string{}.swap(this->input);
        }
        this->start_read();
        this->update_charge();
    }
}

void socket_stream::send(std::string_view bytes)
{
    if (!this->open) {
        return;
    }
    if (this->output.empty()) {
        error_code error{};
        const auto count = this->socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), error);
        if (error && error != boost::asio::error::would_block) {
            // The kernel reports a reset once: the read after the bytes that arrived before it ends as if the
            // peer had closed in an orderly way.
            this->send_failed = true;
            return;
        }
        bytes.remove_prefix(error ? 0 : count);
        this->written_bytes += error ? 0 : count;
    }
    if (bytes.empty()) {
        return;
    }
    if (this->output.empty() || this->output.back().size() + bytes.size() > output_block_size) {
        this->output.emplace_back();
    }
    this->output.back().append(bytes);
    this->output_bytes += bytes.size();
    this->update_charge();
    this->start_write();
}

void socket_stream::send(std::string head, std::string body)
{
    if (!this->open) {
        return;
    }
    const auto was_empty = this->output.empty();
    for (auto* block : {&head, &body}) {
        if (!block->empty()) {
            this->output_bytes += block->size();
            this->output.push_back(std::move(*block));
        }
    }
    if (was_empty) {
        if (const auto error = this->write_output(); error && error != boost::asio::error::would_block) {
            this->send_failed = true;
            this->output.clear();
            this->output_bytes = 0;
            return;
        }
    }
    this->update_charge();
    if (!this->output.empty()) {
        this->start_write();
    }
}

/*! @brief Passes output to the socket and frees the blocks that it has accepted. */
error_code socket_stream::write_output()
{
    std::array<boost::asio::const_buffer, max_blocks_per_write> buffers{};
    for (std::size_t index = 0; index < std::min(buffers.size(), this->output.size()); ++index) {
        buffers.at(index) = boost::asio::buffer(this->output[index]);
    }
    buffers.front() += this->output_offset;
    error_code error{};
    const auto count = this->socket.write_some(buffers, error);
    if (error) {
        return error;
    }
    this->written_bytes += count;
    this->output_offset += count;
    while (!this->output.empty() && this->output_offset >= this->output.front().size()) {
        this->output_offset -= this->output.front().size();
        this->output_bytes -= this->output.front().size();
        this->output.pop_front();
    }
    return {};
}

void socket_stream::limit_socket_queue(int bytes)
{
    error_code ignored{};
    this->socket.set_option(integer_option<IPPROTO_TCP, TCP_NOTSENT_LOWAT>{bytes}, ignored);
}

std::size_t socket_stream::unacknowledged()
{
    int bytes{};
    const auto known = this->open && ::ioctl(this->socket.native_handle(), SIOCOUTQ, &bytes) == 0;
    return known ? static_cast<std::size_t>(bytes) : 0;
}

void socket_stream::start_write()
{
    if (this->writing || !this->open) {
        return;
    }
    this->writing = true;
    this->socket.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const error_code& waited) {
        const event_loop::turn current{self->loop};
        self->writing = false;
        if (!self->open) {
            return;
        }
        const auto error = waited ? waited : self->write_output();
        if (error && error != boost::asio::error::would_block) {
            self->fail(false, error.message());
            return;
        }
        self->update_charge();
        if (!self->output.empty()) {
            self->start_write();
        }
        else if (self->closing) {
            self->close();
        }
        else if (self->drained_callback) {
            // Copied, because the callback may close the stream, which clears `drained_callback`.
            const auto callback = self->drained_callback;
            callback();
        }
    });
}

void socket_stream::fail(bool orderly, const std::string& cause)
{
    const auto self = shared_from_this();
    const auto callback = this->on_closed;
    this->close();
    if (callback) {
        callback(orderly && !this->send_failed, cause);
    }
}

void socket_stream::close()
{
    const auto self = weak_from_this().lock();
    if (this->connect_timer != 0) {
        this->loop.cancel(std::exchange(this->connect_timer, 0));
    }
    this->open = false;
    this->on_data = {};
    this->on_closed = {};
    this->drained_callback = {};
    this->output.clear();
    this->output_bytes = 0;
    this->output_offset = 0;
    this->update_charge();
    error_code ignored{};
    this->socket.close(ignored);
}

void socket_stream::abort()
{
    error_code ignored{};
    this->socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
    this->close();
}

void socket_stream::close_when_sent()
{
    this->closing = true;
    if (this->output.empty()) {
        this->close();
    }
}

} // namespace kumquatdrift
