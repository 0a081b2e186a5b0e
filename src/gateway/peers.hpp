#ifndef KUMQUATDRIFT_GATEWAY_PEERS_HPP
#define KUMQUATDRIFT_GATEWAY_PEERS_HPP

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/mesh/config.hpp>
#include <kumquatdrift/mesh/members.hpp>
#include <kumquatdrift/telemetry/event_log.hpp>
#include <kumquatdrift/traffic/quarantine.hpp>

#include "body_grants.hpp"
#include "cap_exchange.hpp"
#include "config_exchange.hpp"
#include "peer_link.hpp"
#include "target_host.hpp"
#include "tcp_listener.hpp"

namespace kumquatdrift {

/**
 * @brief Links to all other nodes, which carry requests, loads, member records and configurations.
 *
 * Each node opens a link to every other node and sends its requests on it. Addresses come from the store; a
 * node without access to the store gets them from the nodes that connect to it.
 */
class peers {
public:
    /*! @brief Functions that handle what nodes tell each other about roll-outs. */
    struct rollout_handlers {
        /*! @brief Adds all known roll-outs to the first frame on a link. */
        std::function<void(hop::Hello&)> add_known{};
        /*! @brief Receives the state of a roll-out from a node. */
        std::function<void(const std::string& node, const hop::Rollout&)> on_state{};
        /*! @brief Receives the outcomes that a node has counted. */
        std::function<void(const std::string& node, const hop::RolloutEvidence&)> on_evidence{};
    };

    /*! @brief Objects that the links use; all must outlive them. */
    struct dependencies {
        /*! @brief Event loop. */
        event_loop& loop;
        /*! @brief Event log. */
        event_log& log;
        /*! @brief Runs requests on the target of this host. */
        target_host& host;
        /*! @brief Quarantine of requests that crash targets. */
        crash_quarantine& quarantine;
        /*! @brief Random engine, for jitter. */
        random_engine& rng;
        /*! @brief Registry of metrics. */
        metrics_registry& metrics;
    };

    /**
     * @brief Constructs an object without links.
     * @param shared Objects that the links use.
     * @param self Returns the record of this node.
     * @param on_config Receives the version and document of a configuration that another node sent.
     */
    peers(const dependencies& shared, std::function<member_record()> self,
          std::function<void(std::uint32_t, const std::string&)> on_config);

    /*! @brief Default limit of connections that have not said to which node they belong. */
    static constexpr std::size_t default_max_unidentified = 256;

    /**
     * @brief Limits the connections that have not said to which node they belong.
     * @param count Number of connections; a further one replaces the oldest.
     */
    void set_max_unidentified(std::size_t count) noexcept
    {
        this->max_unidentified = count;
    }

    /**
     * @brief Listens for links of other nodes.
     * @param address Address to bind.
     * @return The bound address, or why listening failed.
     */
    [[nodiscard]] result<socket_address> listen(const socket_address& address);

    /**
     * @brief Adds a node, or updates its address, from a record in the store.
     * @param record Record.
     */
    void on_member(const member_record& record);

    /*! @brief Sends the record of this node to all linked nodes. */
    void broadcast_state();

    /**
     * @brief Sends a frame to all linked nodes.
     * @param frame Frame.
     */
    void broadcast(hop::Frame& frame);

    /**
     * @brief Sends a frame to a node.
     * @param node Name of the node.
     * @param frame Frame.
     * @return False if there is no link to it.
     */
    bool send_to(const std::string& node, hop::Frame& frame);

    /**
     * @brief Sets the functions that handle roll-outs; without them, what other nodes tell is ignored.
     * @param handlers Functions; what they use must outlive this object.
     */
    void set_rollout_handlers(rollout_handlers handlers)
    {
        this->rollouts = std::move(handlers);
    }

    /**
     * @brief Sets the configuration to send to nodes that ask for it.
     * @param config Configuration in force.
     */
    void set_config(mesh_config_ptr config);

    /*! @brief Returns what is known about configurations that are newer than the one in force. */
    [[nodiscard]] const config_fetch& newer_config() const noexcept
    {
        return this->configs.state();
    }

    /*! @copydoc config_exchange::on_store_current */
    void on_store_current(timestamp sent, timestamp now)
    {
        this->configs.on_store_current(sent, now);
    }

    /**
     * @brief Checks whether the newest configuration has to be read from the store, because no other node has
     * sent it.
     * @param now Current time.
     * @return True if so; then false until some time has passed.
     */
    [[nodiscard]] bool take_store_read(timestamp now)
    {
        return this->configs.take_store_read(now);
    }

    /*! @brief Returns what decides which requests are within the usage caps of their accounts. */
    [[nodiscard]] cap_exchange& usage_caps() noexcept
    {
        return this->caps;
    }

    /*! @brief Returns the number of nodes that respond. */
    [[nodiscard]] std::size_t reachable_count() const;

    /**
     * @brief Checks whether this node is to follow the configuration in the store.
     * @param now Current time.
     * @return True if so; the others get new versions from other nodes.
     */
    [[nodiscard]] bool follows_store(timestamp now);

    /**
     * @brief Sends a request to the node of a target.
     * @param node Name of the node.
     * @param request Request.
     * @param done Receives the result.
     * @return Id for `cancel`; 0 if the node is unreachable or its link congested, `done` is not called then.
     */
    std::uint64_t run(std::string_view node, const target_request_ptr& request, attempt_callback done);

    /**
     * @brief Cancels a request.
     * @param node Name of the node.
     * @param id Id returned by `run`; an unknown id is ignored.
     */
    void cancel(std::string_view node, std::uint64_t id);

    /*! @brief Keeps links with outstanding requests open from now on although the other nodes don't respond:
     * a node that stops needs no new link, and the responses may still arrive. */
    void keep_silent_links() noexcept
    {
        this->keeps_silent_links = true;
    }

    /*! @brief Rejects all further requests of other nodes. */
    void reject_requests() noexcept
    {
        this->serving = false;
    }

    /*! @brief Returns true while a response to another node has not arrived at its host completely; what it
     * has not acknowledged may be lost when this process ends. */
    [[nodiscard]] bool has_unsent_responses() const;

    /*! @brief Returns all known nodes. */
    [[nodiscard]] member_table& members() noexcept
    {
        return this->table;
    }

    /*! @brief Replaces outbound links, which may have failed unnoticed during a suspension of this process.
     */
    void on_suspension();

private:
    /*! @brief Time without a reply to a ping after which a link is replaced. */
    static constexpr microseconds link_timeout{1'500'000};
    /*! @brief Time without any frame after which a link that waits for responses is closed. */
    static constexpr microseconds replaced_link_timeout{6'000'000};

    /*! @brief State of the link that this node opens to another one. */
    struct outbound_link {
        peer_link::pointer link{};
        socket_stream::pointer connecting{};
        timestamp next_dial{};
        timestamp last_ping{};
        /*! @brief Consecutive failures to connect. */
        std::uint32_t failures{};
    };

    void accept(const socket_stream::pointer& connection);
    void reject_oldest_unidentified(const std::string& cause);
    void close_unidentified(timestamp now);
    void dial(const std::string& node, outbound_link& peer);
    void start_link(const peer_link::pointer& link);
    void on_frame(const peer_link::pointer& link, hop::Frame& frame, microseconds queueing_delay);
    void on_hello(const peer_link::pointer& link, const hop::Hello& hello);
    void on_ping(const peer_link::pointer& link, const hop::Ping& ping, microseconds queueing_delay);
    void on_cap_frame(const peer_link::pointer& link, const hop::Frame& frame);
    void on_pong(peer_link& link, const hop::Pong& pong, microseconds queueing_delay);
    void on_member_record(const peer_link::pointer& link, const hop::Member& message);
    void on_run(const peer_link::pointer& link, hop::Run& message, microseconds queueing_delay);
    void on_offer(const peer_link::pointer& link, const hop::Offer& message);
    void on_grant(const peer_link::pointer& link, std::uint64_t id);
    void on_cancel(const peer_link::pointer& link, std::uint64_t id);
    void on_response(const peer_link::pointer& link, hop::Answer& message);
    void send_run(peer_link& link, std::uint64_t id, const target_request& request, bool offered);
    void refuse(const peer_link::pointer& link, std::uint64_t id, attempt_result result);
    void refuse_offer(const peer_link::pointer& link, std::uint64_t id);
    void decide_on_offers();
    void count_decision(const std::string& decision);
    void share_delays(peer_link& link, std::uint64_t started_ms);
    void on_closed(const peer_link::pointer& link, const std::string& cause);
    void close_link(const peer_link::pointer& link, const std::string& cause);
    void detach_link(const peer_link::pointer& link, const std::string& cause);
    void replace_link(const peer_link::pointer& link, timestamp silent_since, const std::string& cause);
    void check_replaced_links(timestamp now);
    void on_tick(timestamp now);
    void check_link(const std::string& node, outbound_link& peer, timestamp now);
    /*! @brief Records what a ping or a pong, which took `delay` to arrive, states about the configuration of
     * its sender. */
    template<typename Message>
    void on_peer_version(const std::string& node, const Message& message, microseconds delay);
    void set_reachable(const std::string& node, bool reachable, const std::string& cause);
    void send_advisories();
    void send_known_advisories(peer_link& link);

    dependencies shared;
    std::function<member_record()> self;
    tcp_listener listener;
    link_metrics metrics;
    member_table table{};
    config_exchange configs;
    rollout_handlers rollouts{};
    body_grants grants{};
    cap_exchange caps;
    std::map<std::string, outbound_link, std::less<>> outbound_links{};
    /*! @brief Outbound links that others have replaced, and that wait for responses. */
    std::unordered_set<peer_link::pointer> replaced_links{};
    std::unordered_set<peer_link::pointer> inbound_links{};
    /*! @brief Inbound links whose first frame hasn't arrived, with the times of their start. */
    std::list<std::pair<timestamp, peer_link::pointer>> unidentified_links{};
    std::size_t max_unidentified{default_max_unidentified};
    std::uint64_t last_id{};
    timestamp next_advisories{};
    /*! @brief Earliest time at which the node at the other end of a new link is asked for all known nodes. */
    timestamp next_members_query{};
    bool serving{true};
    bool keeps_silent_links{};
};

} // namespace kumquatdrift

#endif
