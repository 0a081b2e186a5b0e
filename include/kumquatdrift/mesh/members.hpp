#ifndef KUMQUATDRIFT_MESH_MEMBERS_HPP
#define KUMQUATDRIFT_MESH_MEMBERS_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/mesh/fwd.hpp>
#include <kumquatdrift/traffic/failure_share.hpp>

namespace kumquatdrift {

/*! @brief What a target says of itself. */
enum class report_state : std::uint8_t {
    /*! @brief Nothing is known of it. */
    unknown,
    /*! @brief It takes new requests. */
    ready,
    /*! @brief It finishes what it runs and will leave. */
    draining,
    /*! @brief It leaves and reports no more. */
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

/*! @brief A report that a target sent to its own node. Newer ones have a higher (`born`, `sequence`). */
struct target_report {
    /*! @brief Id of this incarnation. */
    std::string instance{};
    /*! @brief Service that it runs. */
    std::string service{};
    /*! @brief Address and port at which its node reaches it; empty for the address of the settings. */
    std::string address{};
    /*! @brief State. */
    report_state state{report_state::unknown};
    /*! @brief Requests that it runs at the same time. */
    std::uint32_t slots{1};
    /*! @brief Time for which it stays slow after its start. */
    microseconds cold_left{};
    /*! @brief Start of the incarnation in Unix milliseconds, 0 if it did not say. */
    std::uint64_t born{};
    /*! @brief Number of the report within the incarnation. */
    std::uint64_t sequence{};
};

/*! @brief Load of a target as its own node measures it. */
struct target_load {
    /*! @brief Requests that it runs. */
    std::uint32_t running{};
    /*! @brief Requests that wait for it at its node. */
    std::uint32_t waiting{};
    /*! @brief Requests that may run at the same time; 0 if it takes none. */
    std::uint32_t slots{};
    /*! @brief Mean time that a request holds a slot, 0 until one has ended. */
    microseconds service_time{};
    /*! @brief Time that requests take there over the time that they take on the mean of all targets. */
    double slowness{1.0};
};

/*! @brief What a node says of itself and its target. */
struct member_record {
    /*! @brief Name of the node. */
    std::string node{};
    /*! @brief Data centre. */
    std::string data_centre{};
    /*! @brief IP address. */
    std::string ip{};
    /*! @brief Port for other nodes. */
    std::uint16_t port{};
    /*! @brief Start of the process in Unix milliseconds. */
    std::uint64_t started_ms{};
    /*! @brief Number of the record within the process. */
    std::uint64_t revision{};
    /*! @brief Service of its target. */
    std::string service{};
    /*! @brief Id of its target, empty while it knows none. */
    std::string instance{};
    /*! @brief State of its target. */
    report_state state{report_state::unknown};
    /*! @brief Time for which the target stays slow. */
    microseconds cold_left{};
    /*! @brief True once the node is about to stop. */
    bool leaving{};
    /*! @brief Version of the configuration in force there. */
    std::uint32_t config_version{};
    /*! @brief Load of its target. */
    target_load load{};
};

/*! @brief A node as another node sees it. */
struct member {
    /*! @brief Latest record. */
    member_record record{};
    /*! @brief True while a link to it answers. */
    bool reachable{};
    /*! @brief Arrival of the latest load. */
    timestamp load_at{};
    /*! @brief End of the time in which its target is slow after its start. */
    timestamp cold_until{};
    /*! @brief Requests sent to it since the latest load arrived. */
    std::uint32_t sent_since_load{};
    /*! @brief Requests sent to it that have no answer. */
    std::uint32_t in_flight{};
    /*! @brief Its target is avoided until this time. */
    timestamp ejected_until{};
    /*! @brief True once this node has sent it a request. */
    bool used{};
    /*! @brief Consecutive failures of its target. */
    std::uint32_t failures{};
    /*! @brief Share of the latest requests that its target failed. */
    failure_share failed{};
};

/*! @brief All nodes that this node knows, by name, without itself. Not synchronised. */
class member_table {
public:
    /*! @brief Where a record came from. */
    enum class origin : std::uint8_t {
        /*! @brief The node itself, on a link: always right. */
        link,
        /*! @brief The store, which keeps the order of writes. */
        store,
        /*! @brief A third node: right only if newer. */
        hearsay,
    };

    /**
     * @brief Takes a record.
     * @param record Record.
     * @param from Where it came from.
     * @param now Current time.
     * @return True if the node is new or has moved to another address.
     */
    bool learn(const member_record& record, origin from, timestamp now);

    /**
     * @brief Takes a load that a node reported.
     * @param node Name of the node.
     * @param load Load of its target.
     * @param now Current time.
     */
    void on_load(std::string_view node, const target_load& load, timestamp now);

    /**
     * @brief Finds a node.
     * @param node Name of the node.
     * @return The node, null if it is unknown.
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

private:
    std::map<std::string, member, std::less<>> members{};
};

} // namespace kumquatdrift

#endif
