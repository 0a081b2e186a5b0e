#ifndef KUMQUATDRIFT_TESTS_SUPPORT_LINK_TO_RAW_PEER_HPP
#define KUMQUATDRIFT_TESTS_SUPPORT_LINK_TO_RAW_PEER_HPP

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <gateway/hop_codec.hpp>
#include <gateway/peer_link.hpp>

#include "gateway_world.hpp"

namespace kumquatdrift {

/*! @brief Makes a request frame that contains only an id and a body. */
[[nodiscard]] inline hop::Frame run_frame(std::uint64_t id, std::size_t body_bytes = 0)
{
    hop::Frame frame{};
    frame.mutable_run()->set_id(id);
    frame.mutable_run()->set_body(std::string(body_bytes, 'r'));
    return frame;
}

/*! @brief Makes a response frame that contains only an id and a body. */
[[nodiscard]] inline hop::Frame answer_frame(std::uint64_t id, std::size_t body_bytes)
{
    hop::Frame frame{};
    frame.mutable_answer()->set_id(id);
    frame.mutable_answer()->set_body(std::string(body_bytes, 'a'));
    return frame;
}

/*! @brief Makes a frame that cancels a request. */
[[nodiscard]] inline hop::Frame cancel_frame(std::uint64_t id)
{
    hop::Frame frame{};
    frame.mutable_cancel()->set_id(id);
    return frame;
}

/*! @brief Makes the reply to a ping. */
[[nodiscard]] inline hop::Frame pong_frame(std::uint64_t number)
{
    hop::Frame frame{};
    frame.mutable_pong()->set_number(number);
    return frame;
}

/*! @brief Returns a frame as it is sent. */
[[nodiscard]] inline std::string encoded(const hop::Frame& frame)
{
    std::string bytes{};
    append_frame(frame, bytes);
    return bytes;
}

/*! @brief A link whose other end is a raw socket of the test. */
class link_to_raw_peer : public testing::Test {
protected:
    /*! @brief Size of the receive buffer of the raw socket. Fixed, so the kernel doesn't let more bytes
     *         leave the link than a network with a delay of some 0.1 s holds at 6 Mbit/s. */
    static constexpr int raw_buffer_bytes = 65'536;

    link_to_raw_peer()
    {
        boost::asio::ip::tcp::acceptor acceptor{this->world.loop.context(),
                                                {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
        boost::asio::ip::tcp::socket accepted{this->world.loop.context()};
        this->raw.open(boost::asio::ip::tcp::v4());
        this->raw.set_option(boost::asio::socket_base::receive_buffer_size{raw_buffer_bytes});
        this->raw.connect(acceptor.local_endpoint());
        acceptor.accept(accepted);
        this->link = std::make_shared<peer_link>(
            this->world.loop, socket_stream::adopt(this->world.loop, std::move(accepted)), this->metrics);
        this->link->start(
            [this](const peer_link::pointer&, hop::Frame& frame, microseconds queueing_delay) {
                this->frames.push_back(frame);
                this->delays.push_back(queueing_delay);
            },
            [this](const peer_link::pointer&, const std::string& cause) { this->close_cause = cause; });
    }

    void TearDown() override
    {
        this->link->close();
    }

    void write(const std::string& bytes)
    {
        boost::asio::write(this->raw, boost::asio::buffer(bytes));
    }

    void send(hop::Frame frame)
    {
        this->link->send(frame);
    }

    /**
     * @brief Reads frames on the raw socket, which may be parts, until one satisfies a condition.
     * @param is_last Condition.
     * @return The frames, the last of which satisfies the condition unless none did within five seconds.
     */
    std::vector<hop::Frame> read_raw(const std::function<bool(const hop::Frame&)>& is_last)
    {
        std::vector<hop::Frame> read{};
        (void)this->world.run_until([&] {
            if (this->raw.available() > 0) {
                std::array<char, 16'384> chunk{};
                this->raw_input.append(chunk.data(), this->raw.read_some(boost::asio::buffer(chunk)));
            }
            std::size_t offset{};
            hop::Frame frame{};
            while ((read.empty() || !is_last(read.back())) &&
                   read_frame(this->raw_input, offset, frame) == frame_status::complete) {
                read.push_back(frame);
            }
            this->raw_input.erase(0, offset);
            return !read.empty() && is_last(read.back());
        });
        return read;
    }

    gateway_world world{};
    link_metrics metrics{make_link_metrics(this->world.metrics)};
    boost::asio::ip::tcp::socket raw{this->world.loop.context()};
    std::string raw_input{};
    peer_link::pointer link{};
    std::vector<hop::Frame> frames{};
    std::vector<microseconds> delays{};
    std::string close_cause{};
};

} // namespace kumquatdrift

#endif
