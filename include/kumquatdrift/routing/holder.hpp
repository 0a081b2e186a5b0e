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
 * @brief Publishes routing snapshots whose configuration version never decreases.
 *
 * The first version, and each version that defines a service which the version in force lacks, stays pending
 * until the member view has been synchronised after the arrival of the version, because the view may lack the
 * targets of that service. Any other version comes into force at once. The pending time is bounded, because a
 * node that cannot reach any other node never synchronises. `current` is thread-safe; all other members must
 * be called from one thread.
 */
class snapshot_holder {
public:
    /*! @brief Default limit of the pending time. A version must be in force at all nodes within 4 s; this
     *         leaves 2 s for its distribution through the configuration log. */
    static constexpr milliseconds default_max_wait{2'000};

    /**
     * @brief Constructs a holder without a snapshot.
     * @param max_wait Limit of the time that a version stays pending.
     */
    explicit snapshot_holder(microseconds max_wait = default_max_wait) noexcept;

    /**
     * @brief Returns the snapshot in force.
     * @return The snapshot, null until the first one is published.
     */
    [[nodiscard]] routing_snapshot_ptr current() const noexcept;

    /**
     * @brief Offers a configuration. It is ignored if it is invalid or not newer than the version in force
     * and all pending versions.
     * @param config Merged configuration of this node's data centre.
     * @param now Current time.
     * @return True if a new snapshot was published.
     */
    bool offer_config(std::shared_ptr<const effective_config> config, timestamp now);

    /**
     * @brief Offers a member view. It is ignored if its generation is older than that of the current view, or
     * if its endpoint generation has not changed and its number of synchronisations has not increased.
     * @param view Member view.
     * @param now Current time.
     * @return True if a new snapshot was published.
     */
    bool offer_view(member_view_ptr view, timestamp now);

    /**
     * @brief Publishes a pending version that has reached its deadline. Called at least ten times a second.
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
     * @return The reason, empty if the configuration was accepted.
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

    microseconds max_wait;
    std::atomic<routing_snapshot_ptr> snapshot{};
    std::shared_ptr<const effective_config> in_force{};
    member_view_ptr view{};
    std::vector<pending_config> pending{};
    std::string reason{};
};

} // namespace kumquatdrift

#endif
