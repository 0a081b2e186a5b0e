#include "target_host.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Maximum number of incarnations of the target about which memories of other nodes are kept. */
constexpr std::size_t max_memories = 8;
/*! @brief Relative change of a rate limit that is logged, and the shortest time between two such lines. */
constexpr double logged_limit_change = 0.1;
constexpr microseconds limit_log_interval{1'000'000};

} // namespace

void target_host::on_notice(const http_message& response, timestamp sent_at, std::uint64_t sent_to)
{
    if (sent_to != this->incarnation || response.status == 421) {
        return;
    }
    const auto notice = this->shared.platform.decode_notice(response);
    if (notice.malformed.empty()) {
        this->queue.limit().on_response(notice.limit, sent_at, boot_now());
        this->log_limit("response");
    }
    else {
        this->shared.log.write(log_level::warn, event_class::failed_request, "target", "bad_notice",
                               "instance={} value={}", log_value(this->current.instance),
                               log_value(notice.malformed));
    }
    if (notice.load && notice.load->slowness) {
        this->queue.on_stated_slowness(*notice.load->slowness, boot_now());
    }
    if (notice.malformed_load) {
        this->bad_loads.add();
    }
    if (notice.leaving && this->current.state != report_state::gone) {
        this->set_state(report_state::draining, "response");
    }
}

void target_host::log_limit(const std::string& cause)
{
    const auto now = boot_now();
    const auto rate = this->queue.limit().rate().value_or(0.0);
    const auto before = this->logged_limit;
    const auto appears_or_goes = (rate == 0.0) != (before == 0.0);
    if (!appears_or_goes && (std::abs(rate - before) <= logged_limit_change * before ||
                             now - this->limit_logged_at < limit_log_interval)) {
        return;
    }
    this->logged_limit = rate;
    this->limit_logged_at = now;
    this->limit_gauge.set(std::llround(rate));
    this->shared.log.write(log_level::info, event_class::state, "target", "target_limit",
                           "instance={} limit={} before={} cause={} sent={}",
                           log_value(this->current.instance), rate, before, cause,
                           this->requests_sent.value());
}

void target_host::restore(const target_memory& memory, std::uint64_t started_ms, std::uint32_t nonce)
{
    auto relevant = memory;
    // What this process has stated itself is no news to it. Nodes of earlier builds return no nonce.
    relevant.left =
        memory.left && (memory.left_stated_by_ms != started_ms ||
                        (memory.left_stated_by_nonce != nonce && memory.left_stated_by_nonce != 0));
    this->remember(relevant);
    this->reports.start_stated = this->reports.start_stated || memory.started_ms > 0;
    const auto left_sequence = this->apply_memory();
    if (left_sequence && (this->current.state == report_state::ready || this->is_held)) {
        this->contest_current(*left_sequence);
        this->set_state(report_state::draining, "remembered");
    }
}

void target_host::contest_current(std::uint64_t left_sequence)
{
    if (this->current.started_ms > 0 && this->current.sequence <= left_sequence) {
        contest_known(this->reports, this->current, left_sequence, boot_now());
    }
}

bool target_host::remember(const target_memory& memory)
{
    const auto known =
        std::find_if(this->memories.begin(), this->memories.end(), [&](const target_memory& other) {
            return other.instance == memory.instance && other.started_ms == memory.started_ms;
        });
    if (known != this->memories.end()) {
        const auto is_news = memory.left && !known->left;
        known->left = known->left || memory.left;
        known->sequence = std::max(known->sequence, memory.sequence);
        known->limit = memory.limit;
        return is_news;
    }
    if (this->memories.size() == max_memories) {
        this->memories.erase(this->memories.begin());
    }
    this->memories.push_back(memory);
    return memory.left;
}

std::optional<std::uint64_t> target_host::apply_memory()
{
    std::optional<std::uint64_t> left_sequence{};
    for (auto& memory : this->memories) {
        const auto is_same = is_same_incarnation(memory.instance, memory.started_ms, this->current.instance,
                                                 this->current.started_ms);
        // After the leave of a later incarnation, each report of an earlier start is late, or the clock went
        // back.
        const auto is_earlier = !is_same && memory.instance == this->current.instance &&
                                this->current.started_ms < memory.started_ms;
        if (memory.left && (is_same || is_earlier)) {
            const auto sequence = is_same ? memory.sequence : std::numeric_limits<std::uint64_t>::max();
            left_sequence = std::max(left_sequence.value_or(0), sequence);
        }
        if (!is_same) {
            continue;
        }
        // What was stated without a start concerns the incarnation in force, and no later one.
        memory.started_ms = std::max(memory.started_ms, this->current.started_ms);
        if (memory.limit > 0.0) {
            this->queue.limit().restore(memory.limit, boot_now());
            this->log_limit("remembered");
        }
    }
    return left_sequence;
}

} // namespace kumquatdrift
