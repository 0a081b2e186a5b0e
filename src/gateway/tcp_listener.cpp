#include "tcp_listener.hpp"

#include <utility>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {

using boost::asio::ip::tcp;
using boost::system::error_code;

tcp_listener::tcp_listener(event_loop& owner, accept_callback callback)
    : loop{owner}, acceptor{owner.context()}, accept_handler{std::move(callback)}
{
}

tcp_listener::~tcp_listener()
{
    this->close();
}

result<socket_address> tcp_listener::listen(const socket_address& address)
{
    error_code error{};
    const tcp::endpoint endpoint{boost::asio::ip::make_address_v4(address.ip, error), address.port};
    this->acceptor.open(tcp::v4(), error);
    this->acceptor.set_option(tcp::acceptor::reuse_address{true}, error);
    if (this->acceptor.bind(endpoint, error); !error) {
        this->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failure{"cannot listen on " + address.ip + ":" + std::to_string(address.port) + ": " +
                       error.message()};
    }
    this->accept();
    return socket_address{address.ip, this->acceptor.local_endpoint(error).port()};
}

void tcp_listener::accept()
{
    this->acceptor.async_accept([this](const error_code& error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            if (this->error_handler) {
                this->error_handler(error.message());
            }
            this->retry_timer = this->loop.call_at(boot_now() + retry_delay, [this] {
                this->retry_timer = 0;
                this->accept();
            });
            return;
        }
        const event_loop::turn current{this->loop};
        this->accept_handler(socket_stream::adopt(this->loop, std::move(socket)));
        this->accept();
    });
}

void tcp_listener::close()
{
    this->loop.cancel(std::exchange(this->retry_timer, 0));
    error_code ignored{};
    this->acceptor.close(ignored);
}

} // namespace kumquatdrift
