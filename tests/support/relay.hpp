#ifndef KUMQUATDRIFT_TESTS_SUPPORT_RELAY_HPP
#define KUMQUATDRIFT_TESTS_SUPPORT_RELAY_HPP

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <gateway/hop_codec.hpp>
#include <gateway/loop.hpp>
#include <gateway/socket_stream.hpp>
#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {

/**
 * @brief TCP relay in front of the listening address of a node, which reports the bytes that pass through it.
 *
 * It reads the name of the connecting node from that node's first frame.
 */
class node_relay {
public:
    /*! @brief Receives the name of the receiving node and the number of bytes; returns the time of delivery.
     */
    using transfer_callback = std::function<timestamp(const std::string&, std::size_t)>;

    /**
     * @brief Starts to listen.
     * @param loop Event loop.
     * @param node Name of the node behind the relay.
     * @param address Listening address of the node behind the relay.
     * @param on_transfer Called for all bytes that arrive at the relay.
     */
    node_relay(event_loop& loop, std::string node, const socket_address& address,
               transfer_callback on_transfer)
        : node_name{std::move(node)}, target{boost::asio::ip::make_address_v4(address.ip), address.port},
          transfer{std::move(on_transfer)}, acceptor{loop.context()}
    {
        this->acceptor.open(boost::asio::ip::tcp::v4());
        // Bytes that the line has not carried yet stay at the sender instead of in the buffer of the relay.
        this->acceptor.set_option(boost::asio::socket_base::receive_buffer_size{receive_buffer_bytes});
        this->acceptor.bind({this->target.address(), 0});
        this->acceptor.listen();
        this->accept();
    }

    /*! @brief Returns the port to which other nodes connect. */
    [[nodiscard]] std::uint16_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

private:
    static constexpr int receive_buffer_bytes = 65'536;
    static constexpr std::size_t chunk_bytes = 8'192;

    struct direction {
        boost::asio::ip::tcp::socket& from;
        boost::asio::ip::tcp::socket& to;
        boost::asio::steady_timer timer;
        std::array<char, chunk_bytes> chunk{};
    };

    struct connection {
        connection(boost::asio::ip::tcp::socket accepted, const transfer_callback& on_transfer,
                   std::string server)
            : client{std::move(accepted)}, node{client.get_executor()}, transfer{on_transfer},
              server_name{std::move(server)}, to_node{client, node,
                                                      boost::asio::steady_timer{client.get_executor()}},
              to_client{node, client, boost::asio::steady_timer{client.get_executor()}}
        {
        }

        void close()
        {
            boost::system::error_code ignored{};
            this->client.close(ignored);
            this->node.close(ignored);
        }

        boost::asio::ip::tcp::socket client;
        boost::asio::ip::tcp::socket node;
        transfer_callback transfer;
        std::string server_name;
        std::string client_name{};
        std::string first_bytes{};
        direction to_node;
        direction to_client;
    };

    void accept()
    {
        this->acceptor.async_accept(
            [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
                if (error) {
                    return;
                }
                const auto opened =
                    std::make_shared<connection>(std::move(socket), this->transfer, this->node_name);
                boost::system::error_code refused{};
                opened->node.connect(this->target, refused);
                if (!refused) {
                    pump(opened, opened->to_node);
                }
                this->accept();
            });
    }

    /*! @brief Reads the name of the connecting node from its first frame, then starts the other direction. */
    static void read_client_name(const std::shared_ptr<connection>& on, std::size_t count)
    {
        on->first_bytes.append(on->to_node.chunk.data(), count);
        std::size_t offset{};
        hop::Frame frame{};
        if (read_frame(on->first_bytes, offset, frame) == frame_status::complete) {
            on->client_name = frame.hello().self().node();
            pump(on, on->to_client);
        }
    }

    static void pump(const std::shared_ptr<connection>& on, direction& way)
    {
        way.from.async_read_some(boost::asio::buffer(way.chunk), [on, &way](
                                                                     const boost::system::error_code& error,
                                                                     std::size_t count) {
            if (error) {
                on->close();
                return;
            }
            const auto upstream = &way == &on->to_node;
            if (upstream && on->client_name.empty()) {
                read_client_name(on, count);
            }
            const auto when = on->transfer(upstream ? on->server_name : on->client_name, count);
            way.timer.expires_after(std::max(when - boot_now(), microseconds{0}));
            way.timer.async_wait([on, &way, count](const boost::system::error_code&) {
                boost::asio::async_write(way.to, boost::asio::buffer(way.chunk.data(), count),
                                         [on, &way](const boost::system::error_code& failed, std::size_t) {
                                             if (failed) {
                                                 on->close();
                                                 return;
                                             }
                                             pump(on, way);
                                         });
            });
        });
    }

    std::string node_name;
    boost::asio::ip::tcp::endpoint target;
    transfer_callback transfer;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace kumquatdrift

#endif
