#include "store_resets.hpp"

#include <algorithm>

namespace kumquatdrift {

void store_resets::on_generation(std::uint64_t generation, timestamp now)
{
    if (!this->known) {
        this->known = generation;
    }
    else if (generation > *this->known) {
        this->on_reset(generation, "store", now);
        // Only nodes that the store itself has told tell others: otherwise the number of messages grew with
        // the square of the number of nodes.
        this->shared.notify_nodes();
    }
}

void store_resets::on_tick(timestamp now)
{
    // A node that has had no answer from the store yet has neither read nor written anything there.
    if (this->known) {
        auto newest = *this->known;
        for (const auto& [node, member] : this->shared.members.all()) {
            newest = std::max(newest, member.record.store_generation.value_or(0));
        }
        if (newest > *this->known) {
            this->on_reset(newest, "node", now);
        }
    }
    if (this->rewrite_at && *this->rewrite_at <= now) {
        this->rewrite_at.reset();
        this->shared.rewrite();
    }
}

void store_resets::on_reset(std::uint64_t generation, std::string_view source, timestamp now)
{
    const auto delay = full_jitter(this->shared.rng, store_reset_spread);
    this->shared.log.write(
        log_level::warn, event_class::state, "store", "store_reset",
        "old={} new={} source={} reread=followed_topics,nodes rewritten=own_record delay_ms={}", *this->known,
        generation, source, delay.count() / 1'000);
    this->shared.metrics.counter_of("gateway_store_resets_total", "Returns of the store from an older copy")
        .add();
    this->known = generation;
    this->rewrite_at = now + delay;
    this->shared.platform.reread(delay);
}

} // namespace kumquatdrift
