#include "claims/owner_pool.hpp"

#include <algorithm>
#include <random>

namespace kumquatdrift::internal {
namespace {

constexpr microseconds longest_idle{500'000};

owner_reply unavailable(std::string reason)
{
    owner_reply reply;
    reply.answer.reason = std::move(reason);
    return reply;
}

claim_counters& operator+=(claim_counters& left, const claim_counters& right)
{
    left.appends += right.appends;
    left.lost_answers += right.lost_answers;
    left.reads += right.reads;
    left.invalid_records += right.invalid_records;
    left.dropped_follow_ups += right.dropped_follow_ups;
    return left;
}

bool is_idle(const claim_partition& partition)
{
    return partition.waiting.empty() && partition.follow_ups.empty();
}

} // namespace

owner_pool::owner_pool(log_port port, owns_function check, const claim_service_settings& chosen)
    : log{std::move(port)}, owns{std::move(check)}, settings{chosen}
{
    for (std::size_t index = 0; index < this->settings.threads; ++index) {
        this->workers.push_back(std::make_unique<pool_worker>(this->settings.ring_capacity));
    }
    for (auto& entry : this->workers) {
        entry->thread = std::thread{[this, &worker = *entry] { this->run(worker); }};
    }
}

owner_pool::~owner_pool()
{
    this->stop();
}

void owner_pool::claim(claim_request request, const reply_function& reply)
{
    const auto partition = claim_partition_of(request.route, request.key);
    if (!this->owns(partition)) {
        auto refused = unavailable("the node does not own the partition of the key");
        refused.not_owner = true;
        reply(std::move(refused));
        return;
    }
    pool_event added{std::move(request), reply, std::nullopt, partition};
    if (!this->worker_of(partition).ring.try_push(std::move(added))) {
        reply(unavailable("too many claims wait at the owner of the key"));
    }
}

bool owner_pool::follow_up(claim_entry entry)
{
    const auto partition = claim_partition_of(entry.route, entry.key);
    pool_event added{{}, {}, std::move(entry), partition};
    return this->owns(partition) && this->worker_of(partition).ring.try_push(std::move(added));
}

void owner_pool::stop()
{
    if (this->stopped.exchange(true)) {
        return;
    }
    for (auto& entry : this->workers) {
        entry->ring.close();
    }
    for (auto& entry : this->workers) {
        entry->thread.join();
    }
}

void owner_pool::add_to(claim_service_status& status) const
{
    const std::lock_guard lock{this->mutex};
    for (const auto& entry : this->workers) {
        status.partitions += entry->published.partitions;
        status.counters += entry->published.counters;
    }
}

owner_pool::pool_worker& owner_pool::worker_of(std::size_t partition) noexcept
{
    return *this->workers[partition % this->workers.size()];
}

void owner_pool::run(pool_worker& worker)
{
    auto wake = steady_now();
    while (!worker.ring.is_closed()) {
        const auto wait = std::clamp(wake - steady_now(), microseconds{0}, longest_idle);
        auto next = worker.ring.pop(wait);
        while (next) {
            this->accept(worker, std::move(*next), steady_now());
            next = worker.ring.pop(microseconds{0});
        }
        wake = this->step_all(worker);
        this->disown(worker, steady_now());
        this->publish(worker);
    }
    this->answer_all(worker);
}

void owner_pool::accept(pool_worker& worker, pool_event added, timestamp now)
{
    auto found = worker.partitions.find(added.partition);
    if (found == worker.partitions.end()) {
        run_state state{make_claim_partition(this->settings.limits)};
        found = worker.partitions.emplace(added.partition, std::move(state)).first;
    }
    auto& state = found->second;
    state.used = now;
    if (added.entry) {
        (void)submit_follow_up(state.partition, std::move(*added.entry), now);
        return;
    }
    const auto ticket = ++worker.tickets;
    state.replies.emplace(ticket, std::move(added.reply));
    submit_claim(state.partition, ticket, std::move(added.request), now);
    this->deliver(state);
}

timestamp owner_pool::step_all(pool_worker& worker)
{
    auto wake = steady_now() + longest_idle;
    for (auto& [number, state] : worker.partitions) {
        wake = std::min(wake, this->step(worker, number, state));
    }
    return wake;
}

timestamp owner_pool::step(pool_worker& worker, std::size_t number, run_state& state)
{
    auto next = next_claim_step(state.partition, steady_now());
    auto wake = steady_now();
    switch (next.kind) {
    case claim_step_kind::wait:
        wake = next.wake;
        break;
    case claim_step_kind::read: {
        const auto batch = this->log.read(claim_stream(number), next.from, next.limit, milliseconds{0});
        on_claim_read(state.partition, batch, steady_now(), worker.rng);
        break;
    }
    case claim_step_kind::append: {
        const auto outcome = this->log.append(claim_stream(number), std::move(next.payload));
        on_claim_append(state.partition, outcome, steady_now(), worker.rng);
        break;
    }
    }
    this->deliver(state);
    return wake;
}

void owner_pool::deliver(run_state& state)
{
    for (auto& decision : take_claim_decisions(state.partition)) {
        const auto found = state.replies.find(decision.ticket);
        const auto reply = std::move(found->second);
        state.replies.erase(found);
        reply({std::move(decision.answer), decision.recorded, false});
    }
}

void owner_pool::disown(pool_worker& worker, timestamp now)
{
    std::erase_if(worker.partitions, [&](const auto& entry) {
        const auto& [number, state] = entry;
        return is_idle(state.partition) && now - state.used > this->settings.disown_after &&
               !this->owns(number);
    });
}

void owner_pool::publish(pool_worker& worker)
{
    claim_service_status total;
    total.partitions = worker.partitions.size();
    for (const auto& [number, state] : worker.partitions) {
        total.counters += state.partition.counters;
    }
    const std::lock_guard lock{this->mutex};
    worker.published = total;
}

void owner_pool::answer_all(pool_worker& worker)
{
    auto rest = worker.ring.pop(microseconds{0});
    while (rest) {
        if (rest->reply) {
            rest->reply(unavailable("the owner of the key shuts down"));
        }
        rest = worker.ring.pop(microseconds{0});
    }
    for (auto& [number, state] : worker.partitions) {
        for (auto& [ticket, reply] : state.replies) {
            auto late = unavailable("the owner of the key shuts down");
            late.recorded = true;
            reply(std::move(late));
        }
    }
}

} // namespace kumquatdrift::internal
