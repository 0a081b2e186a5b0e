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
    /*! @brief Live nodes in the last status. */
    std::size_t live{};
    /*! @brief Names of the live nodes that were behind in the last status. */
    std::vector<std::string> behind{};
    /*! @brief Members that are not live and were not waited for. */
    std::size_t not_waited_for{};
    /*! @brief Time that it took. */
    microseconds elapsed{};
    /*! @brief Why the last status could not be fetched, empty if it could. */
    std::string reason{};
};

/**
 * @brief Waits until all live nodes report a version at least as high.
 * @param ports Ports.
 * @param node Admin address of any node.
 * @param version The version.
 * @param timeout Longest time to wait.
 * @return The report.
 */
[[nodiscard]] wait_report wait_for_version(const ctl_ports& ports, const std::string& node,
                                           config_version version, milliseconds timeout);

} // namespace kumquatdrift::internal

#endif
