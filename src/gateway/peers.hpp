#ifndef KUMQUATDRIFT_GATEWAY_PEERS_HPP
#define KUMQUATDRIFT_GATEWAY_PEERS_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/mesh/config.hpp>
#include <kumquatdrift/mesh/members.hpp>
#include <kumquatdrift/telemetry/event_log.hpp>
#include <kumquatdrift/traffic/quarantine.hpp>

#include "peer_link.hpp"
#include "target_host.hpp"
#include "tcp_listener.hpp"

namespace kumquatdrift {

/**
 * @brief Links to all other nodes: requests, loads, states, and configurations for nodes that lag.
 *
 * Each node opens a link to each other node and sends its requests there. The store tells the addresses; a
 * node that the store does not serve learns them from whoever calls it.
 */
class peers {
public:
    /*! @brief Shared parts; all outlive the links. */
    struct parts {
        /*! @brief Event loop. */
        event_loop& loop;
        /*! @brief Log. */
        event_log& log;
        /*! @brief Target of this host. */
        target_host& host;
        /*! @brief Requests that crash targets. */
        crash_quarantine& quarantine;
        /*! @brief Random engine. */
        random_engine& rng;
    };

    /**
     * @brief Constructs without links.
     * @param shared Shared parts.
     * @param self Returns the record of this node.
     * @param on_config Receives version and document of a newer configuration from another node.
     */
    peers(const parts& shared, std::function<member_record()> self,
          std::function<void(std::uint32_t, const std::string&)> on_config);

    /**
     * @brief Listens for other nodes.
     * @param address Address.
     * @return The address with the port in use, or why it cannot listen.
     */
    [[nodiscard]] result<socket_address> listen(const socket_address& address);

    /**
     * @brief Takes the address of a node from the store.
     * @param record Record.
     */
    void on_member(const member_record& record);

    /*! @brief Tells all nodes the record of this node. */
    void broadcast_state();

    /**
     * @brief Sets the configuration to hand to nodes that lag.
     * @param config Configuration in force.
     */
    void set_config(mesh_config_ptr config);

    /**
     * @brief Sends a request to the node of a target.
     * @param node Name of the node.
     * @param order Request.
     * @param done Receives the result.
     * @return Id to cancel it with; 0 if the node cannot be reached, `done` is not called then.
     */
    std::uint64_t run(std::string_view node, const run_order_ptr& order, attempt_callback done);

    /**
     * @brief Gives up a request.
     * @param node Name of the node.
     * @param id Id.
     */
    void cancel(std::string_view node, std::uint64_t id);

    /*! @brief Refuses requests of other nodes from now on. */
    void stop_serving() noexcept
    {
        this->serving = false;
    }

    /*! @brief Returns all nodes. */
    [[nodiscard]] member_table& members() noexcept
    {
        return this->table;
    }

    /*! @brief Closes links that may have gone silent during a suspension. */
    void on_suspension();

private:
    struct dialler {
        peer_link::pointer link{};
        stream::pointer connecting{};
        timestamp next_try{};
        timestamp last_ping{};
        std::uint32_t pushed_version{};
        timestamp lags_since{};
        std::uint32_t failures{};
    };

    void accept(const stream::pointer& connection);
    void dial(const std::string& node, dialler& to);
    void on_link(const peer_link::pointer& link);
    void on_frame(const peer_link::pointer& link, hop::Frame& frame, microseconds held_up);
    void on_hello(const peer_link::pointer& link, const hop::Hello& hello);
    void on_record(const peer_link::pointer& link, const hop::Member& message);
    void on_run(const peer_link::pointer& link, hop::Run& message, microseconds held_up);
    void on_answer(const peer_link::pointer& link, hop::Answer& message);
    void on_lost(const peer_link::pointer& link, const std::string& cause);
    void drop(const peer_link::pointer& link, const std::string& cause);
    void on_tick(timestamp now);
    void check_link(const std::string& node, dialler& to, timestamp now);
    void push_config(const std::string& node, dialler& to, timestamp now);
    void set_reachable(const std::string& node, bool reachable, const std::string& cause);
    void send_advisories();

    parts shared;
    std::function<member_record()> self;
    std::function<void(std::uint32_t, const std::string&)> on_config;
    tcp_listener listener;
    member_table table{};
    std::map<std::string, dialler, std::less<>> diallers{};
    std::unordered_set<peer_link::pointer> accepted{};
    mesh_config_ptr config{};
    std::uint64_t last_id{};
    timestamp next_advisories{};
    /*! @brief Time from which a new link may be asked for all known nodes. */
    timestamp next_ask{};
    bool serving{true};
};

} // namespace kumquatdrift

#endif
