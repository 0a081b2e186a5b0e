#include "proxy/raw_target.hpp"

#include <array>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace kumquatdrift {

raw_target::raw_target(raw_answer bytes)
    : sent{std::move(bytes)}, listener{Poco::Net::SocketAddress{"127.0.0.1:0"}},
      listen_address{listener.address().toString()}, acceptor{[this] { this->accept_loop(); }}
{
}

raw_target::~raw_target()
{
    this->stopping = true;
    this->acceptor.join();
    this->listener.close();
    {
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
    for (auto& thread : this->threads) {
        thread.join();
    }
}

void raw_target::accept_loop()
{
    constexpr long poll_us = 5'000;
    while (!this->stopping) {
        if (!this->listener.poll(Poco::Timespan{poll_us}, Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        auto socket = this->listener.acceptConnection();
        const std::lock_guard lock{this->mutex};
        this->sockets.push_back(socket);
        this->threads.emplace_back([this, socket] { this->serve(socket); });
    }
}

void raw_target::serve(Poco::Net::StreamSocket socket)
{
    try {
        std::string head;
        std::array<char, 1> byte{};
        while (!head.ends_with("\r\n\r\n")) {
            if (socket.receiveBytes(byte.data(), 1) <= 0) {
                return;
            }
            head += byte[0];
        }
        std::this_thread::sleep_for(this->sent.delay);
        this->answer(socket);
    }
    catch (const Poco::Exception&) {
        // The peer has closed the connection.
    }
}

void raw_target::answer(Poco::Net::StreamSocket& socket)
{
    const auto send = [&socket](const std::string& bytes) {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    };
    send(this->sent.start);
    while (!this->sent.repeated.empty() && !this->stopping) {
        send(this->sent.repeated);
    }
    if (this->sent.ending == raw_ending::reset) {
        socket.setLinger(true, 0);
    }
    if (this->sent.ending != raw_ending::keep_open) {
        socket.close();
    }
    ++this->answered;
}

} // namespace kumquatdrift
