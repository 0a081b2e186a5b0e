#include "proxy/fake_target.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>

#include <kumquatdrift/core/digest.hpp>

namespace kumquatdrift {
namespace {

constexpr std::string_view head_end = "\r\n\r\n";

// An upload fills the buffers of a connection that is not read in a few milliseconds.
constexpr milliseconds time_to_fill_buffers{300};

bool receive_more(Poco::Net::StreamSocket& socket, std::string& buffer)
{
    std::array<char, 16 * 1024> block{};
    const auto count = socket.receiveBytes(block.data(), static_cast<int>(block.size()));
    if (count <= 0) {
        return false;
    }
    buffer.append(block.data(), static_cast<std::size_t>(count));
    return true;
}

// Reads exactly `count` bytes from the connection and appends them to `output`.
bool read_exactly(Poco::Net::StreamSocket& socket, std::string& buffer, std::size_t count,
                  std::string& output)
{
    while (buffer.size() < count) {
        if (!receive_more(socket, buffer)) {
            return false;
        }
    }
    output.append(buffer, 0, count);
    buffer.erase(0, count);
    return true;
}

bool read_line(Poco::Net::StreamSocket& socket, std::string& buffer, std::string& line)
{
    std::size_t end{};
    while ((end = buffer.find("\r\n")) == std::string::npos) {
        if (!receive_more(socket, buffer)) {
            return false;
        }
    }
    line = buffer.substr(0, end);
    buffer.erase(0, end + 2);
    return true;
}

bool read_chunks(Poco::Net::StreamSocket& socket, std::string& buffer, std::string& body)
{
    std::string line;
    while (read_line(socket, buffer, line)) {
        const auto size = std::stoul(line, nullptr, 16);
        std::string end;
        if ((size > 0 && !read_exactly(socket, buffer, size, body)) ||
            !read_exactly(socket, buffer, 2, end)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
    return false;
}

void reset(Poco::Net::StreamSocket& socket)
{
    socket.setLinger(true, 0);
    socket.close();
}

void send(Poco::Net::StreamSocket& socket, const std::string& text)
{
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
}

std::string response_with_length(const std::string& text, std::size_t length, const std::string& fields = {})
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(length) + "\r\n\r\n" + text;
}

std::string format_chunk(const std::string& text)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return std::string{size.data()} + text + "\r\n";
}

} // namespace

std::string field_in(const std::string& head, const std::string& name)
{
    const auto lower = Poco::toLower(head);
    const auto start = lower.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
        return {};
    }
    const auto value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

fake_target::fake_target()
    : listener{Poco::Net::SocketAddress{"127.0.0.1:0"}},
      listen_address{listener.address().toString()}, acceptor{[this] { this->accept_loop(); }}
{
}

fake_target::~fake_target()
{
    this->stop();
    for (auto& thread : this->threads) {
        thread.join();
    }
}

void fake_target::behave(behaviour next, milliseconds delay)
{
    this->delay_ms = delay.count();
    this->action = next;
}

void fake_target::behave_once(behaviour first)
{
    const std::lock_guard lock{this->mutex};
    this->next_action = first;
}

void fake_target::stop()
{
    if (this->stopping.exchange(true)) {
        return;
    }
    this->acceptor.join();
    this->listener.close();
    const std::lock_guard lock{this->mutex};
    for (auto& socket : this->sockets) {
        try {
            socket.shutdown();
        }
        catch (const Poco::Exception&) {
            // The thread of the connection has already closed the socket.
        }
    }
}

std::uint64_t fake_target::runs(const std::string& id) const
{
    const std::lock_guard lock{this->mutex};
    const auto found = this->runs_by_id.find(id);
    return found == this->runs_by_id.end() ? 0 : found->second;
}

std::uint64_t fake_target::total_runs() const
{
    const std::lock_guard lock{this->mutex};
    std::uint64_t total{};
    for (const auto& [id, count] : this->runs_by_id) {
        total += count;
    }
    return total;
}

std::vector<std::string> fake_target::heads() const
{
    const std::lock_guard lock{this->mutex};
    return this->request_heads;
}

void fake_target::accept_loop()
{
    constexpr long poll_us = 5'000;
    while (!this->stopping) {
        if (!this->listener.poll(Poco::Timespan{poll_us}, Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        auto socket = this->listener.acceptConnection();
        socket.setNoDelay(true);
        ++this->accepted;
        const std::lock_guard lock{this->mutex};
        this->sockets.push_back(socket);
        this->threads.emplace_back([this, socket] { this->serve_connection(socket); });
    }
}

void fake_target::serve_connection(Poco::Net::StreamSocket socket)
{
    std::string buffer;
    std::string previous;
    try {
        while (this->serve_request(socket, buffer, previous)) {}
        socket.close();
        ++this->closed;
    }
    catch (const Poco::Exception&) {
        // The peer has closed the connection.
    }
}

bool fake_target::serve_request(Poco::Net::StreamSocket& socket, std::string& buffer, std::string& previous)
{
    std::size_t end{};
    while ((end = buffer.find(head_end)) == std::string::npos) {
        if (!receive_more(socket, buffer)) {
            return false;
        }
    }
    const auto head = buffer.substr(0, end + 2);
    buffer.erase(0, end + head_end.size());
    auto selected = this->action.load();
    {
        const std::lock_guard lock{this->mutex};
        this->request_heads.push_back(head);
        selected = std::exchange(this->next_action, std::nullopt).value_or(selected);
    }
    if (selected == behaviour::reset_before_body) {
        reset(socket);
        return false;
    }
    if (selected == behaviour::reject_blocked_body || selected == behaviour::hint_before_body) {
        std::this_thread::sleep_for(time_to_fill_buffers);
    }
    if (selected == behaviour::hint_before_body) {
        send(socket, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n");
        std::this_thread::sleep_for(time_to_fill_buffers);
    }
    if (selected == behaviour::reject_before_body || selected == behaviour::reject_blocked_body) {
        send(socket, "HTTP/1.1 429 Too Many Requests\r\nx-kumquatdrift-verdict: not_run\r\nContent-Length: "
                     "0\r\nConnection: close\r\n\r\n");
        std::this_thread::sleep_for(milliseconds{this->delay_ms.load()});
        return false;
    }
    std::string body;
    const auto length = field_in(head, "content-length");
    const auto is_complete = field_in(head, "transfer-encoding").empty()
                                 ? read_exactly(socket, buffer, length.empty() ? 0 : std::stoul(length), body)
                                 : read_chunks(socket, buffer, body);
    if (!is_complete) {
        ++this->truncated_requests;
        return false;
    }
    const auto id = field_in(head, "x-request-id");
    if (selected == behaviour::repeat_refusal && previous.empty()) {
        previous = "HTTP/1.1 503 Busy\r\nx-kumquatdrift-verdict: not_run\r\nContent-Length: 0\r\n\r\n";
        send(socket, previous);
        return true;
    }
    if (selected != behaviour::reject_as_not_run) {
        const std::lock_guard lock{this->mutex};
        ++this->runs_by_id[id];
    }
    const auto text =
        "id=" + id + " bytes=" + std::to_string(body.size()) + " digest=" + to_hex(digest(body));
    if (selected == behaviour::repeat_previous_response) {
        const auto attempt = "x-kumquatdrift-attempt: " + field_in(head, "x-kumquatdrift-attempt") + "\r\n";
        const auto response = response_with_length(text, text.size(), attempt);
        send(socket, std::exchange(previous, response) + response);
        return true;
    }
    if (selected == behaviour::respond_to_two_attempts) {
        const std::string name{"x-kumquatdrift-attempt: "};
        send(socket, response_with_length(text, text.size(),
                                          name + field_in(head, "x-kumquatdrift-attempt") + "\r\n" + name +
                                              "another\r\n"));
        return true;
    }
    if (selected == behaviour::repeat_refusal) {
        send(socket, previous);
    }
    return this->respond(socket, selected, text);
}

bool fake_target::respond(Poco::Net::StreamSocket& socket, behaviour selected, const std::string& text)
{
    const milliseconds delay{this->delay_ms.load()};
    switch (selected) {
    case behaviour::respond_chunked:
        send(socket,
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + format_chunk(text) + "0\r\n\r\n");
        return true;
    case behaviour::respond_head:
        send(socket, response_with_length({}, 1'000));
        return true;
    case behaviour::respond_slowly:
        std::this_thread::sleep_for(delay);
        send(socket, response_with_length(text, text.size()));
        return true;
    case behaviour::close_while_idle:
        send(socket, response_with_length(text, text.size()));
        return false;
    case behaviour::reset_before_response:
        reset(socket);
        return false;
    case behaviour::reset_inside_head:
        send(socket, "HTTP/1.1 200 OK\r\nContent-Le");
        std::this_thread::sleep_for(milliseconds{20});
        reset(socket);
        return false;
    case behaviour::truncate_length_body:
        send(socket, response_with_length(text, text.size() + 10));
        return false;
    case behaviour::truncate_chunked_body:
        send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + format_chunk(text));
        return false;
    case behaviour::hang:
        std::this_thread::sleep_for(delay);
        return false;
    case behaviour::hang_inside_body:
        send(socket, response_with_length(text, text.size() + 10));
        std::this_thread::sleep_for(delay);
        return false;
    case behaviour::malformed:
        send(socket, "HTTP/1.1 abc\r\n\r\n");
        return false;
    case behaviour::reject_as_not_run:
        send(socket, "HTTP/1.1 503 Busy\r\nx-kumquatdrift-verdict: not_run\r\nContent-Length: 0\r\n\r\n");
        return true;
    default:
        send(socket, response_with_length(text, text.size()));
        return true;
    }
}

} // namespace kumquatdrift
