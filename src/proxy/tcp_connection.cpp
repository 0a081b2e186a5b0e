#include <kumquatdrift/proxy/tcp_connection.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <cstring>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <Poco/Exception.h>

namespace kumquatdrift {
namespace {

// Used instead of the poll of POCO 1.11, which creates and destroys an epoll instance for each poll of a
// socket, in four system calls.
int poll_until(pollfd* descriptors, nfds_t count, timestamp until) noexcept
{
    while (true) {
        const auto time_left = std::max(until - steady_now(), microseconds{0});
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time_left);
        const std::chrono::nanoseconds subsecond_left = time_left - seconds;
        const timespec timeout{seconds.count(), subsecond_left.count()};
        const auto ready = ::ppoll(descriptors, count, &timeout, nullptr);
        if (ready >= 0 || errno != EINTR) {
            return ready;
        }
    }
}

} // namespace

/*! @brief Scope of a wait for the peer. */
class tcp_connection::wait_scope {
public:
    explicit wait_scope(const tcp_connection& waiting) noexcept : connection{waiting}
    {
        this->connection.wait_start_us = steady_now().time_since_epoch().count();
    }
    ~wait_scope()
    {
        const auto start = this->connection.wait_start_us.exchange(0);
        this->connection.past_wait_us += steady_now().time_since_epoch().count() - start;
    }
    wait_scope(const wait_scope&) = delete;
    wait_scope& operator=(const wait_scope&) = delete;

private:
    const tcp_connection& connection;
};

tcp_connection::tcp_connection(const Poco::Net::StreamSocket& connected, std::size_t input_bytes)
    : socket{connected}, descriptor{socket.impl()->sockfd()}, capacity{input_bytes}
{
    assert(input_bytes > 0);
    // With Nagle's algorithm, a body sent after its head would be delayed until the head is acknowledged.
    this->socket.setNoDelay(true);
}

tcp_connection::~tcp_connection() = default;

io_status tcp_connection::wait_input(timestamp until, const tcp_connection* watched) const noexcept
{
    std::array<pollfd, 2> descriptors{{{this->descriptor, POLLIN, 0}, {-1, POLLRDHUP, 0}}};
    if (watched != nullptr) {
        descriptors[1].fd = watched->descriptor;
    }
    const wait_scope current{*this};
    const auto ready = poll_until(descriptors.data(), watched == nullptr ? 1 : 2, until);
    if (ready <= 0) {
        return io_status::timed_out;
    }
    return descriptors[0].revents != 0 ? io_status::ok : io_status::watched_closed;
}

io_status tcp_connection::receive(timestamp until, const tcp_connection* watched)
{
    assert(!this->is_full());
    const auto waited = this->wait_input(until, watched);
    if (waited != io_status::ok) {
        return waited;
    }
    if (this->buffer.empty()) {
        this->buffer.resize(this->capacity);
    }
    if (this->begin > 0) {
        std::memmove(this->buffer.data(), this->buffer.data() + this->begin, this->end - this->begin);
        this->end -= this->begin;
        this->begin = 0;
    }
    const auto count =
        ::recv(this->descriptor, this->buffer.data() + this->end, this->buffer.size() - this->end, 0);
    // The kernel reports a reset once. After a send that failed, the end of the stream is no orderly close.
    if (count < 0 || (count == 0 && this->send_failed)) {
        return io_status::failed;
    }
    this->end += static_cast<std::size_t>(count);
    return count == 0 ? io_status::closed : io_status::ok;
}

std::string_view tcp_connection::input() const noexcept
{
    return {this->buffer.data() + this->begin, this->end - this->begin};
}

bool tcp_connection::is_full() const noexcept
{
    return this->end - this->begin == this->capacity;
}

void tcp_connection::consume(std::size_t count) noexcept
{
    assert(count <= this->end - this->begin);
    this->begin += count;
    if (this->begin == this->end) {
        this->begin = 0;
        this->end = 0;
    }
}

void tcp_connection::release_buffer() noexcept
{
    if (this->begin == this->end) {
        this->begin = 0;
        this->end = 0;
        std::vector<char>{}.swap(this->buffer);
    }
}

io_status tcp_connection::send(std::string_view bytes, timestamp until)
{
    return this->send(bytes, until, POLLOUT);
}

io_status tcp_connection::send_until_input(std::string_view& bytes, timestamp until)
{
    return this->send(bytes, until, POLLOUT | POLLIN);
}

io_status tcp_connection::send(std::string_view& bytes, timestamp until, short events)
{
    while (!bytes.empty()) {
        const auto count = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            this->sent += static_cast<std::uint64_t>(count);
            bytes.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        if (errno != EAGAIN && errno != EINTR) {
            this->send_failed = true;
            return io_status::failed;
        }
        if ((events & POLLIN) != 0 && this->begin != this->end) {
            return io_status::input_pending;
        }
        pollfd state{this->descriptor, events, 0};
        const wait_scope current{*this};
        if (poll_until(&state, 1, until) <= 0) {
            return io_status::timed_out;
        }
        if ((state.revents & events & POLLIN) != 0) {
            return io_status::input_pending;
        }
    }
    return io_status::ok;
}

microseconds tcp_connection::waited() const noexcept
{
    const auto start = this->wait_start_us.load();
    const auto current = start == 0 ? 0 : steady_now().time_since_epoch().count() - start;
    return microseconds{this->past_wait_us.load() + current};
}

void tcp_connection::limit_send_queue(int bytes) noexcept
{
    ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, sizeof(bytes));
}

bool tcp_connection::is_idle() const noexcept
{
    if (this->begin != this->end) {
        return false;
    }
    char byte{};
    const auto count = ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && errno == EAGAIN;
}

bool tcp_connection::is_closed_by_peer() const noexcept
{
    pollfd state{this->descriptor, POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0;
}

void tcp_connection::shutdown_send() noexcept
{
    ::shutdown(this->descriptor, SHUT_WR);
}

void tcp_connection::shutdown() noexcept
{
    const std::lock_guard lock{this->close_mutex};
    ::shutdown(this->descriptor, SHUT_RDWR);
}

void tcp_connection::abort() noexcept
{
    const std::lock_guard lock{this->close_mutex};
    // With a linger timeout of zero, close sends a reset.
    const linger reset_on_close{1, 0};
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
    try {
        this->socket.close();
    }
    catch (const Poco::Exception&) {
        // The socket is closed already.
    }
    this->descriptor = -1;
}

} // namespace kumquatdrift
