#ifndef KUMQUATDRIFT_NODE_SERVICE_HPP
#define KUMQUATDRIFT_NODE_SERVICE_HPP

#include <memory>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/node/fwd.hpp>
#include <kumquatdrift/settings/daemon_settings.hpp>

namespace kumquatdrift {

/*! @brief A running node: all modules, their threads and their listeners. */
class node_service {
public:
    /**
     * @brief Starts a node. Needs neither the log nor any other node to be reachable.
     * @param settings Checked settings.
     * @return The node, or the reason why it cannot start, such as a port in use.
     */
    [[nodiscard]] static result<std::unique_ptr<node_service>> create(const daemon_settings& settings);

    /*! @brief Stops all threads at once. */
    ~node_service();

    node_service(const node_service&) = delete;
    node_service(node_service&&) = delete;
    node_service& operator=(const node_service&) = delete;
    node_service& operator=(node_service&&) = delete;

    /**
     * @brief Shuts the node down gracefully: announces it, refuses new work and waits for requests in flight.
     * @return True if all requests ended within the drain timeout of the settings.
     */
    bool drain();

    /*! @brief Details of the node. */
    struct implementation;

private:
    explicit node_service(std::unique_ptr<implementation> parts) noexcept;

    std::unique_ptr<implementation> parts;
};

} // namespace kumquatdrift

#endif
