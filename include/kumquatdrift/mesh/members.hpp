#ifndef KUMQUATDRIFT_MESH_MEMBERS_HPP
#define KUMQUATDRIFT_MESH_MEMBERS_HPP

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/mesh/delay_floor.hpp>
#include <kumquatdrift/mesh/fwd.hpp>
#include <kumquatdrift/mesh/link_delay.hpp>
#include <kumquatdrift/traffic/failure_rate_estimator.hpp>
#include <kumquatdrift/traffic/work_estimates.hpp>

namespace kumquatdrift {

/*! @brief State that a target reports for itself. */
enum class report_state : std::uint8_t {
    /*! @brief Not known. */
    unknown,
    /*! @brief Accepts new requests. */
    ready,
    /*! @brief Finishes its running requests, then stops. */
    draining,
    /*! @brief Has deregistered; no further report follows. */
    gone,
};

/*! @brief Names of the states, as logged. */
template<>
struct enum_names<report_state> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<report_state, std::string_view>, 4> table{{
        {report_state::unknown, "unknown"},
        {report_state::ready, "ready"},
        {report_state::draining, "draining"},
        {report_state::gone, "gone"},
    }};
};

/**
 * @brief Checks whether a state is one that an incarnation doesn't return from.
 * @param state State.
 * @return True if the target drains or has deregistered.
 */
[[nodiscard]] constexpr bool is_leave(report_state state) noexcept
{
    return state == report_state::draining || state == report_state::gone;
}

/**
 * @brief Checks whether two stated identities can be those of the same incarnation.
 * @param instance Id of the first.
 * @param started_ms Start of the first in Unix milliseconds; 0 if unknown.
 * @param other_instance Id of the second.
 * @param other_started_ms Start of the second; 0 if unknown.
 * @return True if the ids are equal and the starts are equal or one of them is unknown.
 */
[[nodiscard]] constexpr bool is_same_incarnation(std::string_view instance, std::uint64_t started_ms,
                                                 std::string_view other_instance,
                                                 std::uint64_t other_started_ms) noexcept
{
    return instance == other_instance &&
           (started_ms == other_started_ms || started_ms == 0 || other_started_ms == 0);
}

/*! @brief Report that a target sent to its own node. Reports are ordered by (`started_ms`, `sequence`). */
struct target_report {
    /*! @brief Id of the target; a restarted target may keep it. */
    std::string instance{};
    /*! @brief Service that the target implements. */
    std::string service{};
    /*! @brief Address and port at which its node reaches the target; empty to use the settings' address. */
    std::string address{};
    /*! @brief Reported state. */
    report_state state{report_state::unknown};
    /*! @brief Maximum number of requests that the target runs concurrently. */
    std::uint32_t slots{1};
    /*! @brief Remaining time of the slow phase after the target's start. */
    microseconds cold_left{};
    /*! @brief Start of the incarnation in Unix milliseconds; 0 if the report has none. */
    std::uint64_t started_ms{};
    /*! @brief Sequence number of the report within the incarnation. */
    std::uint64_t sequence{};
    /*! @brief Version of the target's software; empty if the report has none. */
    std::string version{};
};

/*! @brief Load of a target as measured by its own node. */
struct target_load {
    /*! @brief Number of running requests. */
    std::uint32_t running{};
    /*! @brief Number of requests queued for the target at its node. */
    std::uint32_t queued{};
    /*! @brief Maximum number of concurrent requests; 0 if the target accepts none. */
    std::uint32_t slots{};
    /*! @brief Mean time that a request occupies a slot; 0 until the first request has ended. */
    microseconds service_time{};
    /*! @brief Ratio of the target's service time to the mean over all targets for the same requests. */
    double slowness{1.0};
    /*! @brief Requests per second that the target accepts from all nodes together; 0 if it names no limit,
     *         nothing if that is unknown because it hasn't responded since its node started. */
    std::optional<double> limit{};
    /*! @brief Time until another request could start under the limit. */
    microseconds limit_wait{};
    /*! @brief True if the target has announced that it leaves. */
    bool left{};
    /*! @brief Share of the requests of all nodes that the target sheds, from 0 to 1. */
    double shed_rate{};
    /*! @brief Work that it still has to do at its present speed; nothing if its node doesn't report it. */
    std::optional<remaining_work> work{};
};

/*! @brief What a node remembers of another node's target, so that a restart of that node doesn't lose it. */
struct target_memory {
    /*! @brief Id of the target; empty if nothing is known. */
    std::string instance{};
    /*! @brief True if the target has announced that it leaves. */
    bool left{};
    /*! @brief Start of the process of its node that stated so, in Unix milliseconds. */
    std::uint64_t left_stated_by_ms{};
    /*! @brief Requests per second that it accepts; 0 if it names no limit. */
    double limit{};
    /*! @brief Start of the incarnation in Unix milliseconds; 0 if unknown. */
    std::uint64_t started_ms{};
    /*! @brief Random number of the process that stated the leave; 0 if unknown. */
    std::uint32_t left_stated_by_nonce{};
    /*! @brief Sequence number of the last known report of the incarnation; 0 if unknown. Lower ones are late,
     * or of a later incarnation. */
    std::uint64_t sequence{};
};

/*! @brief State that a node publishes about itself and its target. */
struct member_record {
    /*! @brief Name of the node. */
    std::string node{};
    /*! @brief Data centre of the node. */
    std::string data_centre{};
    /*! @brief IP address of the node. */
    std::string ip{};
    /*! @brief Port for connections from other nodes. */
    std::uint16_t port{};
    /*! @brief Start of the node's process in Unix milliseconds. */
    std::uint64_t started_ms{};
    /*! @brief Revision of the record; increases during the life of the process. */
    std::uint64_t revision{};
    /*! @brief Service of its target. */
    std::string service{};
    /*! @brief Id of its target; empty while the node knows no target. */
    std::string instance{};
    /*! @brief State of its target. */
    report_state state{report_state::unknown};
    /*! @brief Remaining time of the slow phase after the target's start. */
    microseconds cold_left{};
    /*! @brief True once the node has begun to shut down. */
    bool leaving{};
    /*! @brief Version of the configuration in force on the node. */
    std::uint32_t config_version{};
    /*! @brief True if its last read of the configuration in the store has failed. */
    bool store_lost{};
    /*! @brief Load of its target. */
    target_load load{};
    /*! @brief Generation of the store that the node knows; rises when the store comes back from an older
     * copy. */
    std::optional<std::uint64_t> store_generation{};
    /*! @brief Start of the incarnation of its target in Unix milliseconds; 0 if unknown. */
    std::uint64_t target_started_ms{};
    /*! @brief Version of its target's software; empty if that is unknown. */
    std::string version{};
    /*! @brief Random number of the process, which tells two with the same start apart; 0 if unknown. */
    std::uint32_t process_nonce{};
    /*! @brief Sequence number of the last report of its target; 0 if unknown. */
    std::uint64_t target_sequence{};
};

/*! @brief View that this node has of another node. */
struct member {
    /*! @brief Latest record. */
    member_record record{};
    /*! @brief True while a link to the node responds. */
    bool reachable{};
    /*! @brief Time at which the latest load was received. */
    timestamp load_received_at{};
    /*! @brief End of the slow phase after its target's start. */
    timestamp cold_until{};
    /*! @brief Queueing delay of the link to the node. */
    link_delay delay{};
    /*! @brief One-way delays of frames from the node's process; null if there was no link from it yet. */
    std::shared_ptr<delay_floor> delays{};
    /*! @brief Start of the process that `delays` belongs to, in Unix milliseconds. */
    std::uint64_t delays_of_ms{};
    /*! @brief Requests sent to the node on the current link. */
    std::uint64_t requests_sent{};
    /*! @brief Requests that had arrived at the node on the current link when it measured a load, as it last
     *         reported. */
    std::uint64_t requests_arrived{};
    /*! @brief Requests sent to the node whose response is outstanding. */
    std::uint32_t in_flight{};
    /*! @brief Time until which its target is ejected, that is, avoided by load balancing. */
    timestamp ejected_until{};
    /*! @brief True once this node has sent a request to the target's current incarnation. */
    bool request_sent{};
    /*! @brief Number of failed requests since the last success or ejection of its target. Error responses and
     * shed requests do not count. */
    std::uint32_t consecutive_failures{};
    /*! @brief Failure rate of its target. */
    failure_rate_estimator failure_rate{};
    /*! @brief What the node's processes have stated about its target. */
    target_memory memory{};

    /**
     * @brief Returns the number of requests that the known load does not include because they had not arrived
     *        when it was measured.
     * @return Number of requests sent to the node.
     */
    [[nodiscard]] std::uint32_t sent_since_load() const noexcept
    {
        return static_cast<std::uint32_t>(this->requests_sent - this->requests_arrived);
    }

    /*! @brief Returns true if the target accepts requests, according to its node and, in case that one has
     *         restarted, to its earlier processes. */
    [[nodiscard]] bool accepts_requests() const noexcept
    {
        return this->record.state == report_state::ready && !this->record.leaving &&
               !(this->memory.left &&
                 is_same_incarnation(this->memory.instance, this->memory.started_ms, this->record.instance,
                                     this->record.target_started_ms));
    }

    /**
     * @brief Returns the latest load, with the wait for the rate limit as of now. Half of the time since then
     *        is assumed to have been used by requests of other nodes.
     * @param now Current time.
     * @return Load.
     */
    [[nodiscard]] target_load load_at(timestamp now) const noexcept
    {
        auto load = this->record.load;
        load.limit_wait = std::max(load.limit_wait - (now - this->load_received_at) / 2, microseconds{0});
        return load;
    }

    /*! @brief Forgets the requests and the ping that were sent on a link that has closed. */
    void on_link_closed() noexcept
    {
        this->delay.on_link_closed();
        this->requests_sent = 0;
        this->requests_arrived = 0;
    }
};

/*! @brief All other nodes known to this node, by name. Not thread-safe. */
class member_table {
public:
    /*! @brief Source of a record. */
    enum class origin : std::uint8_t {
        /*! @brief Received from the node itself over a link; always authoritative. */
        link,
        /*! @brief Read from the store, which preserves the order of writes but holds only addresses; for a
         * known node it is applied only if the node is unreachable and its address differs. */
        store,
        /*! @brief Received from a third node; applied only if newer than the known record. */
        third_party,
    };

    /**
     * @brief Merges a record into the table, unless the rules of its source (`origin`) discard it.
     * @param record Record.
     * @param from Source of the record.
     * @param now Current time.
     * @return True if the node is new or its address has changed.
     */
    bool merge(const member_record& record, origin from, timestamp now);

    /**
     * @brief Updates the load of a node's target. Ignored for an unknown node.
     * @param node Name of the node.
     * @param load Load of its target.
     * @param requests_arrived Requests that had arrived on the current link when the load was measured;
     * nothing if the node runs a version that does not report it. All are then taken as arrived.
     * @param now Current time.
     */
    void update_load(std::string_view node, const target_load& load,
                     std::optional<std::uint64_t> requests_arrived, timestamp now);

    /**
     * @brief Finds a node.
     * @param node Name of the node.
     * @return The node, or null if it is unknown.
     */
    [[nodiscard]] member* find(std::string_view node);

    /**
     * @brief Returns all nodes.
     * @return Nodes by name.
     */
    [[nodiscard]] std::map<std::string, member, std::less<>>& all() noexcept
    {
        return this->members;
    }

    /*! @copydoc all */
    [[nodiscard]] const std::map<std::string, member, std::less<>>& all() const noexcept
    {
        return this->members;
    }

private:
    std::map<std::string, member, std::less<>> members{};
};

} // namespace kumquatdrift

#endif
