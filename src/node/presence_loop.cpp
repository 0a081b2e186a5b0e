#include "node/presence_loop.hpp"

#include <algorithm>
#include <utility>

#include <kumquatdrift/core/backoff.hpp>
#include <kumquatdrift/membership/presence.hpp>

namespace kumquatdrift::internal {

namespace {

constexpr std::size_t max_contacts = 8;
constexpr std::uint32_t max_contact_searches = 12;

} // namespace

presence_loop::presence_loop(log_port port, membership_service& node_membership)
    : log{std::move(port)}, membership{node_membership}
{
    this->thread = std::thread{[this] { this->run(); }};
}

presence_loop::~presence_loop()
{
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->stop_requested.notify_all();
    this->thread.join();
}

bool presence_loop::wait(microseconds delay)
{
    std::unique_lock lock{this->mutex};
    return !this->stop_requested.wait_for(lock, delay, [this] { return this->stopping; });
}

bool presence_loop::add_contacts_from_log()
{
    const auto bounds = this->log.bounds(presence_stream);
    if (!bounds) {
        return false;
    }
    const auto tail = bounds->end - std::min<log_offset>(bounds->end, presence_tail_records);
    const auto batch = this->log.read(presence_stream, std::max(tail, bounds->earliest),
                                      presence_tail_records, milliseconds{0});
    if (!batch) {
        return false;
    }
    const auto self = this->membership.self();
    this->membership.add_contacts(
        pick_contacts(batch->records, self.node, self.data_centre, max_contacts, this->rng));
    return true;
}

void presence_loop::run()
{
    // The address is appended even if no search for contacts has succeeded: the first node of a mesh without
    // seeds finds no record of another node.
    const backoff_policy search_backoff{};
    const presence_schedule schedule{};
    std::uint32_t search_count = 0;
    std::uint64_t append_count = 0;
    auto append_at = steady_now() + presence_delay(schedule, append_count, this->rng);
    auto search_at = steady_now();
    while (this->wait(std::min(search_at, append_at) - steady_now())) {
        const auto now = steady_now();
        if (now >= search_at) {
            const bool alone = this->membership.view()->members.size() < 2;
            const bool done = this->add_contacts_from_log() && !alone;
            search_at =
                done || search_count >= max_contact_searches
                    ? timestamp::max()
                    : now + backoff_delay(search_backoff, search_count, this->rng) + milliseconds{100};
            ++search_count;
        }
        if (now >= append_at) {
            const auto record = encode_presence(presence_of(this->membership.self()));
            const auto effect = this->log.append(presence_stream, record).effect;
            append_count += effect == verdict::not_run ? 0 : 1;
            append_at = now + presence_delay(schedule, append_count, this->rng);
        }
    }
}

} // namespace kumquatdrift::internal
