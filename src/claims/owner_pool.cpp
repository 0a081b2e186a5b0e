#include "claims/owner_pool.hpp"

#include <algorithm>
#include <random>

namespace kumquatdrift::internal {
namespace {

constexpr microseconds max_idle_wait{500'000};

owner_response unavailable(std::string reason)
{
    owner_response response;
    response.result.reason = std::move(reason);
    return response;
}

claim_counters& operator+=(claim_counters& left, const claim_counters& right)
{
    left.appends += right.appends;
    left.lost_responses += right.lost_responses;
    left.reads += right.reads;
    left.invalid_records += right.invalid_records;
    left.discarded_follow_ups += right.discarded_follow_ups;
    return left;
}

bool has_no_queued_work(const claim_partition& partition)
{
    return partition.queued_claims.empty() && partition.queued_follow_ups.empty();
}

} // namespace

owner_pool::owner_pool(log_port port, ownership_check is_owner, const claim_service_settings& options)
    : log{std::move(port)}, owns{std::move(is_owner)}, settings{options}
{
    for (std::size_t index = 0; index < this->settings.threads; ++index) {
        this->workers.push_back(std::make_unique<pool_worker>(this->settings.ring_capacity));
    }
    for (auto& worker : this->workers) {
        worker->thread = std::thread{[this, &running = *worker] { this->run(running); }};
    }
}

owner_pool::~owner_pool()
{
    this->stop();
}

void owner_pool::claim(claim_request request, const response_callback& respond)
{
    const auto partition = claim_partition_of(request.route, request.key);
    if (!this->owns(partition)) {
        auto rejection = unavailable("the node does not own the partition of the key");
        rejection.not_owner = true;
        respond(std::move(rejection));
        return;
    }
    queued_request queued{std::move(request), respond, std::nullopt, partition};
    if (!this->worker_of(partition).queue.try_push(std::move(queued))) {
        respond(unavailable("too many claims wait at the owner of the key"));
    }
}

bool owner_pool::follow_up(claim_entry entry)
{
    const auto partition = claim_partition_of(entry.route, entry.key);
    queued_request queued{{}, {}, std::move(entry), partition};
    return this->owns(partition) && this->worker_of(partition).queue.try_push(std::move(queued));
}

void owner_pool::stop()
{
    if (this->stopped.exchange(true)) {
        return;
    }
    for (auto& worker : this->workers) {
        worker->queue.close();
    }
    for (auto& worker : this->workers) {
        worker->thread.join();
    }
}

void owner_pool::add_to(claim_service_status& status) const
{
    const std::lock_guard lock{this->mutex};
    for (const auto& worker : this->workers) {
        status.partitions += worker->published_status.partitions;
        status.counters += worker->published_status.counters;
    }
}

owner_pool::pool_worker& owner_pool::worker_of(std::size_t partition) noexcept
{
    return *this->workers[partition % this->workers.size()];
}

void owner_pool::run(pool_worker& worker)
{
    auto wake_at = steady_now();
    while (!worker.queue.is_closed()) {
        const auto wait = std::clamp(wake_at - steady_now(), microseconds{0}, max_idle_wait);
        auto next = worker.queue.pop(wait);
        while (next) {
            this->submit(worker, std::move(*next), steady_now());
            next = worker.queue.pop(microseconds{0});
        }
        wake_at = this->step_all(worker);
        this->remove_unowned_partitions(worker, steady_now());
        this->publish_status(worker);
    }
    this->reject_pending_claims(worker);
}

void owner_pool::submit(pool_worker& worker, queued_request request, timestamp now)
{
    auto found = worker.partitions.find(request.partition);
    if (found == worker.partitions.end()) {
        owned_partition created{make_claim_partition(this->settings.limits)};
        found = worker.partitions.emplace(request.partition, std::move(created)).first;
    }
    auto& owned = found->second;
    owned.last_used = now;
    if (request.follow_up) {
        (void)submit_follow_up(owned.partition, std::move(*request.follow_up), now);
        return;
    }
    const auto ticket = ++worker.last_ticket;
    owned.callbacks.emplace(ticket, std::move(request.respond));
    submit_claim(owned.partition, ticket, std::move(request.claim), now);
    this->deliver_decisions(owned);
}

timestamp owner_pool::step_all(pool_worker& worker)
{
    auto wake_at = steady_now() + max_idle_wait;
    for (auto& [number, owned] : worker.partitions) {
        wake_at = std::min(wake_at, this->step(worker, number, owned));
    }
    return wake_at;
}

timestamp owner_pool::step(pool_worker& worker, std::size_t number, owned_partition& owned)
{
    auto next = next_claim_step(owned.partition, steady_now());
    auto wake_at = steady_now();
    switch (next.kind) {
    case claim_step_kind::wait:
        wake_at = next.wake_at;
        break;
    case claim_step_kind::read: {
        const auto batch = this->log.read(claim_stream(number), next.from, next.limit, milliseconds{0});
        on_claim_read(owned.partition, batch, steady_now(), worker.rng);
        break;
    }
    case claim_step_kind::append: {
        const auto outcome = this->log.append(claim_stream(number), std::move(next.payload));
        on_claim_append(owned.partition, outcome, steady_now(), worker.rng);
        break;
    }
    }
    this->deliver_decisions(owned);
    return wake_at;
}

void owner_pool::deliver_decisions(owned_partition& owned)
{
    for (auto& decision : take_claim_decisions(owned.partition)) {
        const auto found = owned.callbacks.find(decision.ticket);
        const auto respond = std::move(found->second);
        owned.callbacks.erase(found);
        respond({std::move(decision.result), decision.recorded, false});
    }
}

void owner_pool::remove_unowned_partitions(pool_worker& worker, timestamp now)
{
    std::erase_if(worker.partitions, [&](const auto& entry) {
        const auto& [number, owned] = entry;
        return has_no_queued_work(owned.partition) &&
               now - owned.last_used > this->settings.unowned_partition_ttl && !this->owns(number);
    });
}

void owner_pool::publish_status(pool_worker& worker)
{
    claim_service_status total;
    total.partitions = worker.partitions.size();
    for (const auto& [number, owned] : worker.partitions) {
        total.counters += owned.partition.counters;
    }
    const std::lock_guard lock{this->mutex};
    worker.published_status = total;
}

void owner_pool::reject_pending_claims(pool_worker& worker)
{
    auto queued = worker.queue.pop(microseconds{0});
    while (queued) {
        if (queued->respond) {
            queued->respond(unavailable("the owner of the key shuts down"));
        }
        queued = worker.queue.pop(microseconds{0});
    }
    for (auto& [number, owned] : worker.partitions) {
        for (auto& [ticket, respond] : owned.callbacks) {
            auto rejection = unavailable("the owner of the key shuts down");
            // A record of the claim may be in the log.
            rejection.recorded = true;
            respond(std::move(rejection));
        }
    }
}

} // namespace kumquatdrift::internal
