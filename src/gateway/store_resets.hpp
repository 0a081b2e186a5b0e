#ifndef KUMQUATDRIFT_GATEWAY_STORE_RESETS_HPP
#define KUMQUATDRIFT_GATEWAY_STORE_RESETS_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/gateway/platform.hpp>
#include <kumquatdrift/mesh/members.hpp>
#include <kumquatdrift/telemetry/event_log.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>

namespace kumquatdrift {

/*! @brief Time over which all nodes spread their calls to the store after a reset. 90 nodes make about 90
 * writes and 180 reads in it, well below the limits of the store. */
constexpr microseconds store_reset_spread{500'000};

/**
 * @brief Handles resets of the store: it has come back from an older copy, and its generation has risen.
 *
 * Once per generation, the reads of the store start over and this node writes its own record again, whether
 * or not it is known to be lost. Nodes learn of a reset from the answers of the store and from each other.
 */
class store_resets {
public:
    /*! @brief Objects and functions that this object uses. */
    struct dependencies {
        event_log& log;
        metrics_registry& metrics;
        random_engine& rng;
        mesh_platform& platform;
        const member_table& members;
        /*! @brief Writes the record of this node to the store. */
        std::function<void()> rewrite{};
        /*! @brief Sends the record of this node to the others. */
        std::function<void()> notify_nodes{};
    };

    /**
     * @brief Constructs an object that knows no generation.
     * @param components Objects and functions that it uses.
     */
    explicit store_resets(dependencies components) noexcept : shared{std::move(components)} {}

    /**
     * @brief Handles the generation stated by the store.
     * @param generation Generation.
     * @param now Current time.
     */
    void on_generation(std::uint64_t generation, timestamp now);

    /**
     * @brief Looks for a reset of which another node has learned, and writes the record of this node when
     * that is due.
     * @param now Current time.
     */
    void on_tick(timestamp now);

    /*! @brief Returns the latest generation; nothing until the store has stated one. */
    [[nodiscard]] std::optional<std::uint64_t> generation() const noexcept
    {
        return this->known;
    }

private:
    void on_reset(std::uint64_t generation, std::string_view source, timestamp now);

    dependencies shared;
    std::optional<std::uint64_t> known{};
    std::optional<timestamp> rewrite_at{};
};

} // namespace kumquatdrift

#endif
