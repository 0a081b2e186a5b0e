#ifndef KUMQUATDRIFT_TESTS_PROXY_RAW_TARGET_HPP
#define KUMQUATDRIFT_TESTS_PROXY_RAW_TARGET_HPP

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/*! @brief How a raw target ends the connection after its bytes. */
enum class raw_ending : std::uint8_t { close, reset, keep_open };

/*! @brief Bytes with which a raw target answers each request. */
struct raw_answer {
    /*! @brief Bytes that are sent once. */
    std::string start{};
    /*! @brief Bytes that are repeated until the peer closes; empty for none. */
    std::string repeated{};
    /*! @brief End of the connection. */
    raw_ending ending{raw_ending::close};
    /*! @brief Time between the head of the request and the answer. */
    milliseconds delay{};
};

/*! @brief Target on a free loopback port that answers the head of each request with fixed bytes. It doesn't
 * read the body. */
class raw_target {
public:
    explicit raw_target(raw_answer bytes);
    raw_target(const raw_target&) = delete;
    raw_target& operator=(const raw_target&) = delete;
    ~raw_target();

    [[nodiscard]] const std::string& address() const noexcept
    {
        return this->listen_address;
    }

    // Number of answers that were sent to their end, including the end of the connection.
    [[nodiscard]] std::uint64_t answers() const noexcept
    {
        return this->answered;
    }

private:
    void accept_loop();
    void serve(Poco::Net::StreamSocket socket);
    void answer(Poco::Net::StreamSocket& socket);

    raw_answer sent;
    Poco::Net::ServerSocket listener;
    std::string listen_address;
    std::atomic<bool> stopping{};
    std::atomic<std::uint64_t> answered{};
    std::mutex mutex{};
    std::vector<Poco::Net::StreamSocket> sockets{};
    std::vector<std::thread> threads{};
    std::thread acceptor;
};

} // namespace kumquatdrift

#endif
