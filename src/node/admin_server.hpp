#ifndef KUMQUATDRIFT_NODE_ADMIN_SERVER_HPP
#define KUMQUATDRIFT_NODE_ADMIN_SERVER_HPP

#include <functional>
#include <memory>
#include <string>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/proxy/settings.hpp>

#include "node/admin_api.hpp"
#include "proxy/listener.hpp"

namespace kumquatdrift::internal {

/*! @brief What the admin listener needs from the node. All members may be called from any thread. */
struct admin_port {
    /*! @brief Stores or renews the announcement of a target. */
    std::function<result<bool>(const announcement&)> announce{};
    /*! @brief Returns the status of the node. */
    std::function<node_status()> status{};
    /*! @brief Returns the metrics in the text format of scrapers. */
    std::function<std::string()> metrics{};
};

/**
 * @brief Starts the admin listener: `/healthz`, `/readyz`, `/metrics`, `/v1/status` and `/v1/announce`.
 * @param limits Address and limits.
 * @param port What it needs from the node.
 * @return The listener, or why the address cannot be used.
 */
[[nodiscard]] result<std::unique_ptr<listener>> make_admin_listener(const listener_limits& limits,
                                                                    admin_port port);

} // namespace kumquatdrift::internal

#endif
