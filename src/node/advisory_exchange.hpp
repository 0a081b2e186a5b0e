#ifndef KUMQUATDRIFT_NODE_ADVISORY_EXCHANGE_HPP
#define KUMQUATDRIFT_NODE_ADVISORY_EXCHANGE_HPP

#include <string>

#include <kumquatdrift/membership/service.hpp>
#include <kumquatdrift/proxy/service.hpp>

#include "node/periodic_task.hpp"

namespace kumquatdrift::internal {

/*! @brief Exchanges crash advisories between the local proxy and other nodes through gossip. */
class advisory_exchange {
public:
    /**
     * @brief Starts the thread that forwards advisories of other nodes to the proxy.
     * @param membership Membership of this node; must outlive this object.
     * @param proxy Proxy of this node; must outlive this object.
     * @param node Name of this node.
     */
    advisory_exchange(membership_service& membership, proxy_service& proxy, const std::string& node);

    /**
     * @brief Publishes an advisory of this node through gossip. Static, because the proxy can report a crash
     * before this object exists.
     * @param membership Membership of this node.
     * @param node Name of this node.
     * @param advisory The advisory.
     */
    static void publish(membership_service& membership, const std::string& node,
                        const crash_advisory& advisory);

private:
    void poll();

    membership_service& membership;
    proxy_service& proxy;
    std::string own_key_suffix;
    periodic_task poll_task;
};

} // namespace kumquatdrift::internal

#endif
