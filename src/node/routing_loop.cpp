#include "node/routing_loop.hpp"

#include <string>
#include <utility>

#include <kumquatdrift/telemetry/log.hpp>

namespace kumquatdrift::internal {

namespace {

constexpr std::size_t ring_capacity = 64;

// A view event only wakes the thread, so a few are enough; the rest of the ring is reserved for
// configurations.
constexpr std::size_t max_view_events = 4;

// The snapshot holder needs at least ten ticks a second to publish a pending version at its deadline.
constexpr milliseconds max_tick_interval{100};

const part_logger& logger()
{
    static const part_logger instance{log_part::route};
    return instance;
}

} // namespace

routing_loop::routing_loop(dependencies callbacks) : node{std::move(callbacks)}, events{ring_capacity}
{
    this->thread = std::thread{[this] { this->run(); }};
}

routing_loop::~routing_loop()
{
    this->events.close();
    this->thread.join();
}

void routing_loop::offer_config(const effective_config& config)
{
    auto shared = std::make_shared<const effective_config>(config);
    while (!this->events.try_push(std::move(shared)) && !this->events.is_closed()) {
        std::this_thread::sleep_for(milliseconds{5});
    }
}

void routing_loop::on_view_change()
{
    if (this->events.size() < max_view_events) {
        static_cast<void>(this->events.try_push(nullptr));
    }
}

routing_snapshot_ptr routing_loop::current() const noexcept
{
    return this->holder.current();
}

void routing_loop::run()
{
    config_version in_force = 0;
    while (!this->events.is_closed()) {
        const auto received = this->events.pop(max_tick_interval);
        const auto now = steady_now();
        this->holder.offer_view(this->node.view(), now);
        if (received && *received) {
            this->holder.offer_config(*received, now);
            if (this->holder.pending_version() != 0) {
                this->node.request_exchange();
            }
            if (!this->holder.last_reason().empty()) {
                logger().write(log_level::warn, "version " + std::to_string((*received)->version) +
                                                    " is ignored: " + this->holder.last_reason());
            }
        }
        this->holder.tick(now);
        const auto snapshot = this->holder.current();
        if (snapshot && snapshot->version != in_force) {
            in_force = snapshot->version;
            logger().write(log_level::info, "version " + std::to_string(in_force) + " is in force");
            this->node.in_force(in_force);
        }
    }
}

} // namespace kumquatdrift::internal
