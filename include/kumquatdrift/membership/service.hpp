#ifndef KUMQUATDRIFT_MEMBERSHIP_SERVICE_HPP
#define KUMQUATDRIFT_MEMBERSHIP_SERVICE_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/membership/counters.hpp>
#include <kumquatdrift/membership/settings.hpp>
#include <kumquatdrift/membership/state.hpp>
#include <kumquatdrift/membership/types.hpp>

namespace grpc {
class Service;
} // namespace grpc

namespace kumquatdrift {

/*! @brief TCP ports that are published with the member record. */
struct listen_ports {
    /*! @brief Port for requests from other nodes. */
    std::uint16_t peer{};
    /*! @brief Port of the gRPC services. */
    std::uint16_t control{};
    /*! @brief Port for callers. */
    std::uint16_t caller{};
};

/*! @brief Identity of this node. */
struct member_identity {
    /*! @brief Name, unique in the mesh. */
    std::string node{};
    /*! @brief Data centre. */
    std::string data_centre{};
    /*! @brief IP address to bind and to publish. */
    std::string ip{};
    /*! @brief UDP port of the gossip endpoint; 0 selects a free port. */
    std::uint16_t gossip_port{};
    /*! @brief Start of the process in microseconds since the epoch. */
    std::uint64_t start_time{};
};

/*! @brief Maintains the member table of this node on the `membership` thread. Member functions are
 * thread-safe. */
class membership_service {
public:
    /*! @brief Called on the `membership` thread with each new view. Must not block. */
    using view_callback = std::function<void(const member_view_ptr&)>;

    /**
     * @brief Creates the service and binds its UDP socket. Nothing is sent or received until `start` is
     * called.
     * @param settings Settings, with the seeds.
     * @param identity Identity of this node.
     * @param on_view Called with each new view; may be empty.
     * @return The service, or the reason why it cannot be created.
     */
    [[nodiscard]] static result<std::unique_ptr<membership_service>>
    make(membership_settings settings, const member_identity& identity, view_callback on_view);

    /*! @brief Stops the thread. The gRPC server that serves `exchange_service` must have been shut down. */
    ~membership_service();
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;
    membership_service(membership_service&&) = delete;
    membership_service& operator=(membership_service&&) = delete;

    /**
     * @brief Starts the `membership` thread. Call once.
     * @param ports TCP ports to publish.
     */
    void start(const listen_ports& ports);

    /*! @brief Sends the queued urgent pushes, for at most half a second, and stops the thread. Later calls
     * have no effect. */
    void stop();

    /**
     * @brief Returns the gRPC service of the digest exchange, to be registered with the node's gRPC server.
     * @return The service; owned by this object.
     */
    [[nodiscard]] grpc::Service& exchange_service() noexcept;

    /**
     * @brief Returns the UDP port.
     * @return Port of the gossip endpoint.
     */
    [[nodiscard]] std::uint16_t gossip_port() const noexcept;

    /**
     * @brief Publishes the configuration version in force.
     * @param version The version.
     */
    void set_version(config_version version);

    /**
     * @brief Publishes the state of this node.
     * @param state The state.
     */
    void set_state(member_state state);

    /**
     * @brief Publishes the targets of this host.
     * @param targets The targets.
     * @return True if they changed, or the reason why they cannot be published.
     */
    [[nodiscard]] result<bool> set_targets(std::vector<target_record> targets);

    /**
     * @brief Adds an advisory entry and propagates it to all nodes. An invalid entry is counted and
     * discarded.
     * @param key Key, at most 64 bytes.
     * @param value Value, at most 256 bytes.
     * @param lifetime Time until the entry expires, at most `max_advisory_time`.
     */
    void add_advisory(std::string key, std::string value, milliseconds lifetime);

    /**
     * @brief Returns all advisory entries, of this node and of others.
     * @return Entries that have not expired.
     */
    [[nodiscard]] std::vector<advisory_entry> advisories() const;

    /**
     * @brief Returns the latest view.
     * @return The view. Never null.
     */
    [[nodiscard]] member_view_ptr view() const;

    /**
     * @brief Returns the record that this node publishes.
     * @return The record.
     */
    [[nodiscard]] member_record self() const;

    /**
     * @brief Returns the highest version in records of earlier processes of this node, received from peers.
     * @return The version, 0 if none is known.
     */
    [[nodiscard]] config_version version_floor() const;

    /*! @brief Schedules a digest exchange within half a second. Its completion increments
     * `member_view::synchronisations`. */
    void schedule_synchronisation();

    /**
     * @brief Adds addresses for first contact, e.g. from presence records.
     * @param contacts Addresses of gossip endpoints.
     */
    void add_contacts(const std::vector<gossip_address>& contacts);

    /**
     * @brief Returns the counters.
     * @return A copy.
     */
    [[nodiscard]] membership_counters counters() const;

private:
    struct implementation;
    explicit membership_service(std::unique_ptr<implementation> created) noexcept;
    std::unique_ptr<implementation> impl;
};

} // namespace kumquatdrift

#endif
