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

/*! @brief Callbacks of the admin listener into the node. May be called from any thread. */
struct admin_callbacks {
    /*! @brief Stores or renews the announcement of a target. Returns true if the targets changed, false if
     * the announcement was only renewed, or why it is rejected. */
    std::function<result<bool>(const announcement&)> announce{};
    /*! @brief Returns the status of the node. */
    std::function<node_status()> status{};
    /*! @brief Returns the metrics in the Prometheus text format. */
    std::function<std::string()> metrics{};
    /*! @brief Receives the connections that are closed because their clients don't behave; may be empty. */
    closure_observer on_closed{};
};

/**
 * @brief Starts the admin listener: `/healthz`, `/readyz`, `/metrics`, `/v1/status` and `/v1/announce`.
 * @param limits Address and limits of the listener.
 * @param callbacks Callbacks into the node.
 * @return The listener, or why it cannot listen on the address.
 */
[[nodiscard]] result<std::unique_ptr<listener>> make_admin_listener(const listener_limits& limits,
                                                                    admin_callbacks callbacks);

} // namespace kumquatdrift::internal

#endif
