#ifndef KUMQUATDRIFT_NODE_SERVICE_HPP
#define KUMQUATDRIFT_NODE_SERVICE_HPP

#include <memory>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/node/fwd.hpp>
#include <kumquatdrift/settings/daemon_settings.hpp>

namespace kumquatdrift {

/*! @brief Running node, which owns all modules with their threads and listeners. */
class node_service {
public:
    /**
     * @brief Starts a node. Neither the log nor any other node needs to be reachable.
     * @param settings Valid settings.
     * @return The node, or why it cannot start, such as a port in use.
     */
    [[nodiscard]] static result<std::unique_ptr<node_service>> create(const daemon_settings& settings);

    /*! @brief Stops all threads without waiting for requests in flight. */
    ~node_service();

    node_service(const node_service&) = delete;
    node_service(node_service&&) = delete;
    node_service& operator=(const node_service&) = delete;
    node_service& operator=(node_service&&) = delete;

    /**
     * @brief Shuts the node down gracefully: announces the drain to other nodes, rejects new requests and
     * waits for requests in flight.
     * @return True if all requests in flight were completed, false if the drain timeout of the settings
     * passed first.
     */
    bool drain();

    /*! @brief Private state of the node. */
    struct implementation;

private:
    explicit node_service(std::unique_ptr<implementation> node) noexcept;

    std::unique_ptr<implementation> impl;
};

} // namespace kumquatdrift

#endif
