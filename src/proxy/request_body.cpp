#include "proxy/request_body.hpp"

#include <algorithm>

namespace kumquatdrift::internal {

namespace {

// Growth of the prefix buffer for a body of unknown length.
constexpr std::size_t default_growth_bytes = 4 * 1024;

} // namespace

request_body::request_body(exchange& exchange_with_client, std::uint64_t max_bytes)
    : current{exchange_with_client}, limit{max_bytes}, content_length{
                                                           exchange_with_client.request().content_length()}
{
}

read_status request_body::read_prefix(timestamp deadline)
{
    if (this->prefix_read) {
        return read_status::ok;
    }
    if (!this->current.send_continue()) {
        return read_status::truncated;
    }
    const auto growth_bytes =
        std::min<std::uint64_t>(this->content_length.value_or(default_growth_bytes), max_prefix_bytes);
    std::size_t filled{};
    while (!this->current.request().is_done() && filled < max_prefix_bytes) {
        if (filled == this->buffered_prefix.size()) {
            this->buffered_prefix.resize(
                std::min<std::size_t>(filled + std::max<std::size_t>(growth_bytes, 1), max_prefix_bytes));
        }
        const auto block = this->read(this->buffered_prefix.data() + filled,
                                      this->buffered_prefix.size() - filled, deadline);
        if (block.status != read_status::ok && block.status != read_status::end) {
            return block.status;
        }
        filled += block.bytes;
    }
    this->buffered_prefix.resize(filled);
    this->prefix_read = true;
    return read_status::ok;
}

body_block request_body::read_remainder(char* data, std::size_t size, timestamp deadline)
{
    this->remainder_read = true;
    return this->read(data, size, deadline);
}

body_block request_body::read(char* data, std::size_t size, timestamp deadline)
{
    const auto until = std::min(deadline, steady_now() + this->current.limits().body_stall_timeout);
    auto block = this->current.request().read_body(data, size, until);
    this->received_bytes += block.bytes;
    if (this->received_bytes > this->limit) {
        return {read_status::body_too_large, 0};
    }
    if (block.status == read_status::closed) {
        block.status = read_status::truncated;
    }
    return block;
}

} // namespace kumquatdrift::internal
