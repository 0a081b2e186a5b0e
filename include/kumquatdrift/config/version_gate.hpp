#ifndef KUMQUATDRIFT_CONFIG_VERSION_GATE_HPP
#define KUMQUATDRIFT_CONFIG_VERSION_GATE_HPP

#include <atomic>

#include <kumquatdrift/config/types.hpp>
#include <kumquatdrift/core/result.hpp>

namespace kumquatdrift {

/*! @brief Holds the version in force, which never decreases. Thread-safe. */
class version_gate {
public:
    /**
     * @brief Puts a version in force. No other function changes the version in force.
     * @param version The version.
     * @return The version, or the reason for its rejection: it is not higher than the one in force, or it
     * is below the floor.
     */
    [[nodiscard]] result<config_version> install(config_version version);

    /**
     * @brief Raises the lowest version that may be installed, so that a restarted node never serves an older
     * version than before its restart.
     * @param version The lowest version. A lower value than before has no effect.
     */
    void raise_floor(config_version version) noexcept;

    /**
     * @brief Returns the version in force.
     * @return The version, 0 if none is in force.
     */
    [[nodiscard]] config_version in_force() const noexcept;

    /**
     * @brief Returns the lowest version that may be installed.
     * @return The version, 0 if there is no bound.
     */
    [[nodiscard]] config_version floor() const noexcept;

private:
    std::atomic<config_version> current{};
    std::atomic<config_version> lowest{};
};

} // namespace kumquatdrift

#endif
