#ifndef KUMQUATDRIFT_PROXY_REQUEST_BODY_HPP
#define KUMQUATDRIFT_PROXY_REQUEST_BODY_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "proxy/exchange.hpp"

namespace kumquatdrift::internal {

/*! @brief Body of a request: a prefix that is buffered for retries, and a remainder that is streamed once. */
class request_body {
public:
    /*! @brief Maximum size of the prefix in bytes. */
    static constexpr std::size_t max_prefix_bytes = 64 * 1024;

    /**
     * @brief Constructs the body of an exchange without reading it.
     * @param current Exchange with the client.
     * @param max_bytes Maximum size of the body in bytes.
     */
    request_body(exchange& current, std::uint64_t max_bytes);

    /**
     * @brief Reads the prefix unless it was read before. Sends 100 Continue first if the client expects it.
     * @param deadline Deadline.
     * @return `ok`, or the reason why the body cannot be read.
     */
    [[nodiscard]] read_status read_prefix(timestamp deadline);

    /**
     * @brief Reads a part of the remainder. The body cannot be replayed afterwards.
     * @param data Buffer for the bytes.
     * @param size Size of the buffer.
     * @param deadline Deadline.
     * @return The outcome and the number of bytes.
     */
    [[nodiscard]] body_block read_remainder(char* data, std::size_t size, timestamp deadline);

    /*! @brief Returns the prefix. */
    [[nodiscard]] const std::string& prefix() const noexcept
    {
        return this->buffered_prefix;
    }

    /*! @brief Checks whether the request has a body, even an empty one. */
    [[nodiscard]] bool is_present() const
    {
        return this->content_length.has_value() || this->current.request().is_chunked();
    }

    /*! @brief Checks whether Content-Length exceeds the limit. */
    [[nodiscard]] bool is_too_large() const noexcept
    {
        return this->content_length && *this->content_length > this->limit;
    }

    /*! @brief Checks whether the prefix is the whole body. */
    [[nodiscard]] bool is_whole() const noexcept
    {
        return this->prefix_read && this->current.request().is_done() && !this->remainder_read;
    }

    /*! @brief Checks whether the body may be larger than the prefix. */
    [[nodiscard]] bool is_large() const noexcept
    {
        return this->prefix_read ? !this->is_whole()
                                 : this->content_length.value_or(max_prefix_bytes + 1) > max_prefix_bytes;
    }

    /*! @brief Checks whether the body can be sent in another attempt. */
    [[nodiscard]] bool is_replayable() const noexcept
    {
        return !this->remainder_read;
    }

    /*! @brief Returns the length of the body if it is known. */
    [[nodiscard]] std::optional<std::uint64_t> length() const
    {
        return this->is_whole() ? std::optional<std::uint64_t>{this->buffered_prefix.size()}
                                : this->content_length;
    }

private:
    [[nodiscard]] body_block read(char* data, std::size_t size, timestamp deadline);

    exchange& current;
    std::uint64_t limit;
    std::optional<std::uint64_t> content_length;
    std::uint64_t received_bytes{};
    std::string buffered_prefix{};
    bool prefix_read{};
    bool remainder_read{};
};

} // namespace kumquatdrift::internal

#endif
