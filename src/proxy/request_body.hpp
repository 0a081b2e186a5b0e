#ifndef KUMQUATDRIFT_PROXY_REQUEST_BODY_HPP
#define KUMQUATDRIFT_PROXY_REQUEST_BODY_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "proxy/exchange.hpp"

namespace kumquatdrift::internal {

/*! @brief Body of a request: a part that is kept and can be sent again, and a rest that is streamed once. */
class request_body {
public:
    /*! @brief Size of the part that is kept. */
    static constexpr std::size_t replay_bytes = 64 * 1024;

    /**
     * @brief Constructs the body of an exchange; reads nothing.
     * @param current Exchange.
     * @param most_bytes Largest body in bytes.
     */
    request_body(exchange& current, std::uint64_t most_bytes);

    /**
     * @brief Reads the part that is kept, once. Asks the client for the body if it waits for that.
     * @param deadline Latest time.
     * @return `ok`, or why the body cannot be read.
     */
    [[nodiscard]] read_status read_start(timestamp deadline);

    /**
     * @brief Reads a part of the rest.
     * @param data Memory for the bytes.
     * @param size Size of the memory.
     * @param deadline Latest time.
     * @return The outcome and the number of bytes.
     */
    [[nodiscard]] body_block read_rest(char* data, std::size_t size, timestamp deadline);

    /*! @brief Returns the part that is kept. */
    [[nodiscard]] const std::string& start() const noexcept
    {
        return this->kept;
    }

    /*! @brief Checks whether the request has a body, even an empty one. */
    [[nodiscard]] bool is_present() const
    {
        return this->announced.has_value() || this->current.request().is_chunked();
    }

    /*! @brief Checks whether the body is known to be larger than the limit. */
    [[nodiscard]] bool is_too_large() const noexcept
    {
        return this->announced && *this->announced > this->limit;
    }

    /*! @brief Checks whether the whole body is kept. */
    [[nodiscard]] bool is_whole() const noexcept
    {
        return this->start_read && this->current.request().is_done() && !this->rest_read;
    }

    /*! @brief Checks whether the body may exceed the part that is kept. */
    [[nodiscard]] bool is_large() const noexcept
    {
        return this->start_read ? !this->is_whole()
                                : this->announced.value_or(replay_bytes + 1) > replay_bytes;
    }

    /*! @brief Checks whether the body can be sent again. */
    [[nodiscard]] bool is_replayable() const noexcept
    {
        return !this->rest_read;
    }

    /*! @brief Returns the length of the body if it is known. */
    [[nodiscard]] std::optional<std::uint64_t> length() const
    {
        return this->is_whole() ? std::optional<std::uint64_t>{this->kept.size()} : this->announced;
    }

private:
    [[nodiscard]] body_block read(char* data, std::size_t size, timestamp deadline);

    exchange& current;
    std::uint64_t limit;
    std::optional<std::uint64_t> announced;
    std::uint64_t received{};
    std::string kept{};
    bool start_read{};
    bool rest_read{};
};

} // namespace kumquatdrift::internal

#endif
