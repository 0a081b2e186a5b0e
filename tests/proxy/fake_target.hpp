#ifndef KUMQUATDRIFT_TESTS_PROXY_FAKE_TARGET_HPP
#define KUMQUATDRIFT_TESTS_PROXY_FAKE_TARGET_HPP

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/*! @brief What a fake target does with the next requests. */
enum class behaviour : std::uint8_t {
    answer,
    answer_chunked,
    answer_head,
    answer_slowly,
    close_while_idle,
    reset_before_body,
    reset_before_answer,
    reset_inside_head,
    cut_length_body,
    cut_chunked_body,
    hang,
    hang_inside_body,
    malformed,
    state_not_run,
    refuse_early,
};

/*! @brief HTTP target on a free loopback port that fails on demand and counts the runs of each request id. */
class fake_target {
public:
    fake_target();
    fake_target(const fake_target&) = delete;
    fake_target& operator=(const fake_target&) = delete;
    ~fake_target();

    [[nodiscard]] const std::string& address() const noexcept
    {
        return this->listen_address;
    }

    void behave(behaviour next, milliseconds delay = milliseconds{0});

    // Refuses connections from now on and closes the open ones.
    void stop();

    [[nodiscard]] std::uint64_t runs(const std::string& id) const;
    [[nodiscard]] std::uint64_t total_runs() const;
    [[nodiscard]] std::uint64_t connections() const noexcept
    {
        return this->accepted;
    }
    // Heads of all requests, in order of arrival.
    [[nodiscard]] std::vector<std::string> heads() const;
    // Requests whose body ended early.
    [[nodiscard]] std::uint64_t cut_requests() const noexcept
    {
        return this->cut;
    }

private:
    void accept_all();
    void serve(Poco::Net::StreamSocket socket);
    bool serve_one(Poco::Net::StreamSocket& socket, std::string& buffer);
    bool act(Poco::Net::StreamSocket& socket, behaviour action, const std::string& text);

    Poco::Net::ServerSocket listener;
    std::string listen_address;
    std::atomic<bool> stopping{};
    std::atomic<behaviour> action{behaviour::answer};
    std::atomic<std::int64_t> delay_ms{};
    std::atomic<std::uint64_t> accepted{};
    std::atomic<std::uint64_t> cut{};
    mutable std::mutex mutex{};
    std::map<std::string, std::uint64_t> ledger{};
    std::vector<std::string> received{};
    std::vector<Poco::Net::StreamSocket> sockets{};
    std::vector<std::thread> threads{};
    std::thread acceptor;
};

/*! @brief Value of a field in a head, empty if it is missing. The name is in lower case. */
[[nodiscard]] std::string field_in(const std::string& head, const std::string& name);

} // namespace kumquatdrift

#endif
