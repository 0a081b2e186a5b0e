#ifndef KUMQUATDRIFT_ROUTING_HOLDER_HPP
#define KUMQUATDRIFT_ROUTING_HOLDER_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <kumquatdrift/config/types.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/membership/types.hpp>
#include <kumquatdrift/routing/fwd.hpp>
#include <kumquatdrift/routing/snapshot.hpp>

namespace kumquatdrift {

/**
 * @brief Publishes routing snapshots whose version never goes down.
 *
 * A version that names a service which the version in force lacks stays pending until the member view has
 * been synchronised after its arrival; any other comes in force at once. The wait is bounded, because a node
 * that reaches no other node never synchronises. Any thread may call `current`; one thread calls all other
 * members.
 */
class snapshot_holder {
public:
    /*! @brief Longest time that a version stays pending. Leaves 2 s of the 4 s of section 1.5 to the log. */
    static constexpr milliseconds default_wait{2'000};

    /**
     * @brief Constructs a holder without a snapshot.
     * @param longest_wait Longest time that a version stays pending.
     */
    explicit snapshot_holder(microseconds longest_wait = default_wait) noexcept;

    /**
     * @brief Returns the snapshot in force.
     * @return The snapshot, null until the first one is published.
     */
    [[nodiscard]] routing_snapshot_ptr current() const noexcept;

    /**
     * @brief Offers a configuration. One that is not newer than all earlier ones, or is invalid, is ignored.
     * @param config Merged configuration of this node's data centre.
     * @param now Current time.
     * @return True if a new snapshot was published.
     */
    bool offer_config(std::shared_ptr<const effective_config> config, timestamp now);

    /**
     * @brief Offers a member view. One of a generation and synchronisation count seen before is ignored.
     * @param view Member view.
     * @param now Current time.
     * @return True if a new snapshot was published.
     */
    bool offer_view(member_view_ptr view, timestamp now);

    /**
     * @brief Publishes a pending version whose wait is over. Called at least ten times a second.
     * @param now Current time.
     * @return True if a new snapshot was published.
     */
    bool tick(timestamp now);

    /**
     * @brief Returns the highest pending version.
     * @return The version, 0 if none is pending.
     */
    [[nodiscard]] config_version pending_version() const noexcept;

    /**
     * @brief Returns why the last offered configuration was ignored.
     * @return The reason, empty if it was taken.
     */
    [[nodiscard]] const std::string& last_reason() const noexcept;

private:
    struct pending_config {
        std::shared_ptr<const effective_config> config{};
        std::uint64_t synchronisations{};
        timestamp deadline{};
    };

    bool publish_due(timestamp now, bool view_changed);
    bool publish(const std::shared_ptr<const effective_config>& config);

    microseconds longest_wait;
    std::atomic<routing_snapshot_ptr> snapshot{};
    std::shared_ptr<const effective_config> in_force{};
    member_view_ptr view{};
    std::vector<pending_config> pending{};
    std::string reason{};
};

} // namespace kumquatdrift

#endif
