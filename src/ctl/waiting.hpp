#ifndef KUMQUATDRIFT_SRC_CTL_WAITING_HPP
#define KUMQUATDRIFT_SRC_CTL_WAITING_HPP

#include <cstddef>
#include <string>
#include <vector>

#include <kumquatdrift/ctl/run.hpp>

#include "node_status.hpp"

namespace kumquatdrift::internal {

/*! @brief Result of waiting for a version. */
struct wait_report {
    /*! @brief True if all live nodes have the version in force. */
    bool reached{};
    /*! @brief Number of live nodes in the last status. */
    std::size_t live{};
    /*! @brief Names of the live nodes with an older version in the last status. */
    std::vector<std::string> behind{};
    /*! @brief Number of members that are not live. They are not waited for. */
    std::size_t not_live{};
    /*! @brief Time spent waiting. */
    microseconds elapsed{};
    /*! @brief Why the last status could not be fetched or decoded, empty if it was decoded. */
    std::string reason{};
};

/**
 * @brief Waits until all live nodes have a version or a newer one in force.
 * @param ports Access to node statuses and the clock.
 * @param node Admin address of the node whose view is polled.
 * @param version Version to wait for.
 * @param timeout Maximum time to wait.
 * @return Whether the version was reached, and the last status.
 */
[[nodiscard]] wait_report wait_for_version(const ctl_ports& ports, const std::string& node,
                                           config_version version, milliseconds timeout);

} // namespace kumquatdrift::internal

#endif
