#include "proxy/fake_target.hpp"

#include <algorithm>
#include <array>
#include <optional>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>

#include <kumquatdrift/core/digest.hpp>

namespace kumquatdrift {
namespace {

constexpr std::string_view head_end = "\r\n\r\n";

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

// Takes exactly `count` bytes from the connection.
bool take(Poco::Net::StreamSocket& socket, std::string& buffer, std::size_t count, std::string& taken)
{
    while (buffer.size() < count) {
        if (!receive_more(socket, buffer)) {
            return false;
        }
    }
    taken.append(buffer, 0, count);
    buffer.erase(0, count);
    return true;
}

bool take_line(Poco::Net::StreamSocket& socket, std::string& buffer, std::string& line)
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

bool take_chunks(Poco::Net::StreamSocket& socket, std::string& buffer, std::string& body)
{
    std::string line;
    while (take_line(socket, buffer, line)) {
        const auto size = std::stoul(line, nullptr, 16);
        std::string end;
        if ((size > 0 && !take(socket, buffer, size, body)) || !take(socket, buffer, 2, end)) {
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

std::string with_length(const std::string& text, std::size_t length)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + text;
}

std::string chunk(const std::string& text)
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
      listen_address{listener.address().toString()}, acceptor{[this] { this->accept_all(); }}
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
            // Closed by its thread.
        }
    }
}

std::uint64_t fake_target::runs(const std::string& id) const
{
    const std::lock_guard lock{this->mutex};
    const auto found = this->ledger.find(id);
    return found == this->ledger.end() ? 0 : found->second;
}

std::uint64_t fake_target::total_runs() const
{
    const std::lock_guard lock{this->mutex};
    std::uint64_t total{};
    for (const auto& [id, count] : this->ledger) {
        total += count;
    }
    return total;
}

std::vector<std::string> fake_target::heads() const
{
    const std::lock_guard lock{this->mutex};
    return this->received;
}

void fake_target::accept_all()
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
        this->threads.emplace_back([this, socket] { this->serve(socket); });
    }
}

void fake_target::serve(Poco::Net::StreamSocket socket)
{
    std::string buffer;
    try {
        while (this->serve_one(socket, buffer)) {}
        socket.close();
    }
    catch (const Poco::Exception&) {
        // The other side is gone.
    }
}

bool fake_target::serve_one(Poco::Net::StreamSocket& socket, std::string& buffer)
{
    std::size_t end{};
    while ((end = buffer.find(head_end)) == std::string::npos) {
        if (!receive_more(socket, buffer)) {
            return false;
        }
    }
    const auto head = buffer.substr(0, end + 2);
    buffer.erase(0, end + head_end.size());
    {
        const std::lock_guard lock{this->mutex};
        this->received.push_back(head);
    }
    const auto now = this->action.load();
    if (now == behaviour::reset_before_body) {
        reset(socket);
        return false;
    }
    if (now == behaviour::refuse_early) {
        send(socket, "HTTP/1.1 429 Too Many Requests\r\nx-kumquatdrift-verdict: not_run\r\nContent-Length: "
                     "0\r\nConnection: close\r\n\r\n");
        std::this_thread::sleep_for(milliseconds{this->delay_ms.load()});
        return false;
    }
    std::string body;
    const auto length = field_in(head, "content-length");
    const auto is_complete = field_in(head, "transfer-encoding").empty()
                                 ? take(socket, buffer, length.empty() ? 0 : std::stoul(length), body)
                                 : take_chunks(socket, buffer, body);
    if (!is_complete) {
        ++this->cut;
        return false;
    }
    const auto id = field_in(head, "x-request-id");
    if (now != behaviour::state_not_run) {
        const std::lock_guard lock{this->mutex};
        ++this->ledger[id];
    }
    return this->act(socket, now,
                     "id=" + id + " bytes=" + std::to_string(body.size()) +
                         " digest=" + to_hex(digest(body)));
}

bool fake_target::act(Poco::Net::StreamSocket& socket, behaviour action_now, const std::string& text)
{
    const milliseconds delay{this->delay_ms.load()};
    switch (action_now) {
    case behaviour::answer_chunked:
        send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(text) + "0\r\n\r\n");
        return true;
    case behaviour::answer_head:
        send(socket, with_length({}, 1'000));
        return true;
    case behaviour::answer_slowly:
        std::this_thread::sleep_for(delay);
        send(socket, with_length(text, text.size()));
        return true;
    case behaviour::close_while_idle:
        send(socket, with_length(text, text.size()));
        return false;
    case behaviour::reset_before_answer:
        reset(socket);
        return false;
    case behaviour::reset_inside_head:
        send(socket, "HTTP/1.1 200 OK\r\nContent-Le");
        std::this_thread::sleep_for(milliseconds{20});
        reset(socket);
        return false;
    case behaviour::cut_length_body:
        send(socket, with_length(text, text.size() + 10));
        return false;
    case behaviour::cut_chunked_body:
        send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(text));
        return false;
    case behaviour::hang:
        std::this_thread::sleep_for(delay);
        return false;
    case behaviour::hang_inside_body:
        send(socket, with_length(text, text.size() + 10));
        std::this_thread::sleep_for(delay);
        return false;
    case behaviour::malformed:
        send(socket, "HTTP/1.1 abc\r\n\r\n");
        return false;
    case behaviour::state_not_run:
        send(socket, "HTTP/1.1 503 Busy\r\nx-kumquatdrift-verdict: not_run\r\nContent-Length: 0\r\n\r\n");
        return true;
    default:
        send(socket, with_length(text, text.size()));
        return true;
    }
}

} // namespace kumquatdrift
