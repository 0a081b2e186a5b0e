#include "proxy/request_body.hpp"

#include <algorithm>

namespace kumquatdrift::internal {

namespace {

constexpr std::size_t unknown_length_step = 4 * 1024;

} // namespace

request_body::request_body(exchange& of_client, std::uint64_t most_bytes)
    : current{of_client}, limit{most_bytes}, announced{of_client.request().announced_length()}
{
}

read_status request_body::read_start(timestamp deadline)
{
    if (this->start_read) {
        return read_status::ok;
    }
    if (!this->current.send_continue()) {
        return read_status::truncated;
    }
    const auto step = std::min<std::uint64_t>(this->announced.value_or(unknown_length_step), replay_bytes);
    std::size_t filled{};
    while (!this->current.request().is_done() && filled < replay_bytes) {
        if (filled == this->kept.size()) {
            this->kept.resize(std::min<std::size_t>(filled + std::max<std::size_t>(step, 1), replay_bytes));
        }
        const auto block = this->read(this->kept.data() + filled, this->kept.size() - filled, deadline);
        if (block.status != read_status::ok && block.status != read_status::end) {
            return block.status;
        }
        filled += block.bytes;
    }
    this->kept.resize(filled);
    this->start_read = true;
    return read_status::ok;
}

body_block request_body::read_rest(char* data, std::size_t size, timestamp deadline)
{
    this->rest_read = true;
    return this->read(data, size, deadline);
}

body_block request_body::read(char* data, std::size_t size, timestamp deadline)
{
    const auto until = std::min(deadline, steady_now() + this->current.limits().body_stall_time);
    auto block = this->current.request().read_body(data, size, until);
    this->received += block.bytes;
    if (this->received > this->limit) {
        return {read_status::body_too_large, 0};
    }
    if (block.status == read_status::closed) {
        block.status = read_status::truncated;
    }
    return block;
}

} // namespace kumquatdrift::internal
