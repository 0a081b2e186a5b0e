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

/*! @brief The `route` thread: builds routing snapshots from configurations and member views. */
class routing_loop {
public:
    /*! @brief What the loop needs from the node. */
    struct environment {
        /*! @brief Returns the latest member view. */
        std::function<member_view_ptr()> view{};
        /*! @brief Asks for a digest exchange soon. */
        std::function<void()> synchronise{};
        /*! @brief Receives each version that is in force. Called on the `route` thread. */
        std::function<void(config_version)> in_force{};
    };

    /**
     * @brief Starts the thread.
     * @param environment What the loop needs from the node.
     */
    explicit routing_loop(environment environment);

    /*! @brief Stops the thread. */
    ~routing_loop();

    routing_loop(const routing_loop&) = delete;
    routing_loop(routing_loop&&) = delete;
    routing_loop& operator=(const routing_loop&) = delete;
    routing_loop& operator=(routing_loop&&) = delete;

    /**
     * @brief Hands over a configuration. Waits while the ring is full, since no version may be lost.
     * @param config The configuration.
     */
    void offer_config(const effective_config& config);

    /*! @brief Says that the member view has changed. */
    void on_view_change();

    /**
     * @brief Returns the snapshot in force.
     * @return The snapshot, null until the first one is published.
     */
    [[nodiscard]] routing_snapshot_ptr current() const noexcept;

private:
    /*! @brief A configuration, or a null pointer for a change of the view. */
    using event = std::shared_ptr<const effective_config>;

    void run();

    environment parts;
    snapshot_holder holder{};
    bounded_ring<event> events;
    std::thread thread{};
};

} // namespace kumquatdrift::internal

#endif
