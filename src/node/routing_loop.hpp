#ifndef KUMQUATDRIFT_NODE_ROUTING_LOOP_HPP
#define KUMQUATDRIFT_NODE_ROUTING_LOOP_HPP

#include <functional>
#include <memory>
#include <thread>

#include <kumquatdrift/config/types.hpp>
#include <kumquatdrift/core/bounded_ring.hpp>
#include <kumquatdrift/membership/types.hpp>
#include <kumquatdrift/routing/holder.hpp>

namespace kumquatdrift::internal {

/*! @brief `route` thread: builds routing snapshots from configurations and member views. */
class routing_loop {
public:
    /*! @brief Callbacks of the loop into the node. */
    struct dependencies {
        /*! @brief Returns the latest member view. */
        std::function<member_view_ptr()> view{};
        /*! @brief Requests a digest exchange with another member soon. */
        std::function<void()> request_exchange{};
        /*! @brief Receives each version that comes into force. Called on the `route` thread. */
        std::function<void(config_version)> in_force{};
    };

    /**
     * @brief Starts the thread.
     * @param callbacks Callbacks into the node.
     */
    explicit routing_loop(dependencies callbacks);

    /*! @brief Stops the thread. Discards the queued configurations. */
    ~routing_loop();

    routing_loop(const routing_loop&) = delete;
    routing_loop(routing_loop&&) = delete;
    routing_loop& operator=(const routing_loop&) = delete;
    routing_loop& operator=(routing_loop&&) = delete;

    /**
     * @brief Queues a configuration. Blocks while the queue is full, because no version may be discarded
     * before the loop stops.
     * @param config The configuration to queue.
     */
    void offer_config(const effective_config& config);

    /*! @brief Wakes the loop after a change of the member view. Does nothing if enough events are queued. */
    void on_view_change();

    /**
     * @brief Returns the snapshot in force.
     * @return The snapshot, null until the first one is published.
     */
    [[nodiscard]] routing_snapshot_ptr current() const noexcept;

private:
    /*! @brief A configuration, or a null pointer for a change of the member view. */
    using event = std::shared_ptr<const effective_config>;

    void run();

    dependencies node;
    snapshot_holder holder{};
    bounded_ring<event> events;
    std::thread thread{};
};

} // namespace kumquatdrift::internal

#endif
