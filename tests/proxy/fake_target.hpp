#ifndef KUMQUATDRIFT_TESTS_PROXY_FAKE_TARGET_HPP
#define KUMQUATDRIFT_TESTS_PROXY_FAKE_TARGET_HPP

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/*! @brief How a fake target handles requests. */
enum class behaviour : std::uint8_t {
    respond,
    respond_chunked,
    respond_head,
    respond_slowly,
    close_while_idle,
    reset_before_body,
    reset_before_response,
    reset_inside_head,
    truncate_length_body,
    truncate_chunked_body,
    hang,
    hang_inside_body,
    malformed,
    reject_as_not_run,
    reject_before_body,
    reject_blocked_body,
    hint_before_body,
    repeat_previous_response,
    repeat_refusal,
    respond_to_two_attempts,
};

/*! @brief HTTP target on a free loopback port. Fails as configured and counts the runs of each request id. */
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
    // Handles the next request as `first`, and the requests after it as set by `behave`.
    void behave_once(behaviour first);

    // Stops accepting connections and shuts down the open ones.
    void stop();

    [[nodiscard]] std::uint64_t runs(const std::string& id) const;
    [[nodiscard]] std::uint64_t total_runs() const;
    [[nodiscard]] std::uint64_t connections() const noexcept
    {
        return this->accepted;
    }
    // Number of connections that this target has closed on its own.
    [[nodiscard]] std::uint64_t closed_connections() const noexcept
    {
        return this->closed;
    }
    // Heads of all requests, in order of arrival.
    [[nodiscard]] std::vector<std::string> heads() const;
    // Number of requests whose body was truncated.
    [[nodiscard]] std::uint64_t truncated_request_count() const noexcept
    {
        return this->truncated_requests;
    }

private:
    void accept_loop();
    void serve_connection(Poco::Net::StreamSocket socket);
    bool serve_request(Poco::Net::StreamSocket& socket, std::string& buffer, std::string& previous);
    bool respond(Poco::Net::StreamSocket& socket, behaviour selected, const std::string& text);

    Poco::Net::ServerSocket listener;
    std::string listen_address;
    std::atomic<bool> stopping{};
    std::atomic<behaviour> action{behaviour::respond};
    std::atomic<std::int64_t> delay_ms{};
    std::atomic<std::uint64_t> accepted{};
    std::atomic<std::uint64_t> closed{};
    std::atomic<std::uint64_t> truncated_requests{};
    mutable std::mutex mutex{};
    std::map<std::string, std::uint64_t> runs_by_id{};
    std::vector<std::string> request_heads{};
    std::optional<behaviour> next_action{};
    std::vector<Poco::Net::StreamSocket> sockets{};
    std::vector<std::thread> threads{};
    std::thread acceptor;
};

/*! @brief Returns the value of a header field, empty if it is missing. The name must be in lower case. */
[[nodiscard]] std::string field_in(const std::string& head, const std::string& name);

} // namespace kumquatdrift

#endif
