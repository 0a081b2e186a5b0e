#ifndef KUMQUATDRIFT_MESH_CONFIG_FETCH_HPP
#define KUMQUATDRIFT_MESH_CONFIG_FETCH_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/mesh/members.hpp>

namespace kumquatdrift {

/*! @brief Number of nodes of each data centre that follow the store. The others get new versions from nodes
 * that have them, as a difference to their own version. Two, so that one may fail unnoticed. */
constexpr std::size_t store_followers_per_data_centre = 2;
/*! @brief Time for which a node follows the store after another one has taken its place, so that a link that
 * breaks for a moment does not make nodes read the complete configuration again. */
constexpr microseconds follower_retirement{10'000'000};
/*! @brief Time after the start in which a node may be selected only because it isn't linked to the others
 * yet. */
constexpr microseconds start_period{3'000'000};
/*! @brief Time for which a node follows the store after it was last selected in its `start_period`. Each such
 * node reads the store once a second, so that a long time costs as many calls as all other reads together. */
constexpr microseconds start_retirement{2'000'000};
/*! @brief Time from the acknowledgement of a version until it has to be in force on all nodes. The other
 * times in this file add up to less on each way of a version. */
constexpr microseconds config_apply_time{2'000'000};
/*! @brief Time for which a read of the store waits for a new record. A connection that has died without a
 * reset shows only by a missing answer, so this and `store_answer_timeout` are part of `config_apply_time`.
 */
constexpr microseconds store_poll_time{1'000'000};
/*! @brief Time limit for the answer to a read of the store, in addition to the time for which it waits. */
constexpr microseconds store_answer_timeout{500'000};
/*! @brief Time after which a node that hasn't got a new configuration from another node reads it from the
 * store. */
constexpr microseconds store_read_delay{500'000};
/*! @brief Time after which a read of the store that has brought no newer configuration is repeated. It
 * exceeds the time limit of a read, so that a repetition does not cancel one that is slow. */
constexpr microseconds store_read_timeout{4'000'000};
/*! @brief Time after the start for which a node without a configuration waits for the store before it asks
 * another node. */
constexpr microseconds start_fetch_delay{1'000'000};
/*! @brief Number of earlier versions to which a node can send a difference. */
constexpr std::size_t max_previous_versions = 4;
/*! @brief Time limit for a difference from a node that was asked; short, so that several nodes that don't
 * respond fit into `config_apply_time`. A response that comes later is used all the same. */
constexpr microseconds fetch_timeout{250'000};
/*! @brief Time limit for a complete document, which takes long on a thin link. Asking for several at a time
 * would fill it. */
constexpr microseconds document_fetch_timeout{1'000'000};
/*! @brief Time for which a node that did not respond in time, or with a document that cannot be used, is not
 * asked again. */
constexpr microseconds failed_source_delay{2'000'000};
/*! @brief Time after which a busy node is asked again if no other node has the configuration. */
constexpr microseconds busy_source_delay{200'000};
/*! @brief Time for which a node may run an older configuration than others and still call itself ready. It
 * leaves the rest of the time within which a version must be in force (2 s) to the platform, which stops
 * sending new requests after two checks that fail. */
constexpr microseconds max_lag_when_ready{1'000'000};
/*! @brief Time for which a node decides by an older configuration than a node that it reaches. It leaves the
 * rest of `config_apply_time` to the time until a version is known. */
constexpr microseconds max_lag_when_deciding{1'250'000};
/*! @brief Time before the bound on revocations from which on keys are not used: rates of clocks differ, and
 * requests take time on their way. */
constexpr microseconds revocation_margin{50'000};
/*! @brief Maximum number of newer versions whose first report is remembered. */
constexpr std::size_t max_newer_versions = 32;

/*! @brief What a node knows about configurations that are newer than its own. */
struct config_fetch {
    /*! @brief Version in force on this node; 0 if it has none. */
    std::uint32_t version{};
    /*! @brief Newest version that any node has reported. */
    std::uint32_t newest_known{};
    /*! @brief True once another node has reported the version that it runs. Until then this node may have
     * read an older version from the store than others run. */
    bool has_report{};
    /*! @brief Newer versions, with the time of the first report of each. */
    std::map<std::uint32_t, timestamp> newer{};
    /*! @brief Time since which a version that is still missing has been known; zero if there is none. */
    timestamp behind_since{};
    /*! @brief Latest time at which the version in force, or an older one, is known to have been the newest;
     * zero if that was never known. */
    timestamp confirmed_at{};
    /*! @brief Latest time at which the version in force, or an older one, is proven to have been the newest,
     * whatever delays and suspensions there were; zero if that was never proven. */
    timestamp proven_at{};
    /*! @brief The same for newer versions than the one in force. */
    std::map<std::uint32_t, timestamp> newer_proofs{};
    /*! @brief Time before which the store is not read again. */
    timestamp next_store_read{};
    /*! @brief Time until which this node follows the store even if it is not one of the followers; zero until
     * the first check. */
    timestamp follows_until{};
    /*! @brief Start of this node. */
    timestamp started{};
    /*! @brief Node that has been asked and has not responded yet; empty if there is none. */
    std::string source{};
    /*! @brief Time at which `source` was asked. */
    timestamp asked_at{};
    /*! @brief Times until which nodes are not asked. */
    std::map<std::string, timestamp, std::less<>> not_before{};
};

/**
 * @brief Records the version that another node runs.
 * @param fetch State; updated.
 * @param version Version.
 * @param now Current time.
 */
void observe_version(config_fetch& fetch, std::uint32_t version, timestamp now);

/**
 * @brief Records that a version was the newest one in the store.
 * @param fetch State; updated if the node has this version or a newer one.
 * @param version Version.
 * @param at Time at which it was the newest.
 */
void confirm_version(config_fetch& fetch, std::uint32_t version, timestamp at);

/**
 * @brief Records a proof that a version was the newest one in the store: the store or another node stated it
 * in response to a message of this node.
 * @param fetch State; updated. The proof of a newer version than the one in force counts once that is.
 * @param version Version.
 * @param at Time at which it certainly was the newest, or an earlier one at which an older version was.
 */
void prove_version(config_fetch& fetch, std::uint32_t version, timestamp at);

/**
 * @brief Checks whether keys of the version in force are still valid: none has been removed by a version that
 * was published longer ago than a bound.
 * @param fetch State.
 * @param bound Time from the publication of a version within which the keys that it removes may be used.
 * @param now Current time.
 * @return False if it is not proven.
 */
[[nodiscard]] bool are_keys_valid(const config_fetch& fetch, microseconds bound, timestamp now) noexcept;

/**
 * @brief Records that a version is in force on this node.
 * @param fetch State; updated.
 * @param version Version.
 */
void set_version_in_force(config_fetch& fetch, std::uint32_t version);

/*! @brief Checks whether a version that is newer than the one in force is known to exist. */
[[nodiscard]] inline bool is_behind(const config_fetch& fetch) noexcept
{
    return fetch.newest_known > fetch.version;
}

/**
 * @brief Checks whether the version in force may be older than that of other nodes, as far as their reports
 * show.
 * @param fetch State.
 * @return True if a newer version is known or no other node has reported its own.
 */
[[nodiscard]] inline bool may_be_behind(const config_fetch& fetch) noexcept
{
    return is_behind(fetch) || !fetch.has_report;
}

/**
 * @brief Checks whether the version in force was recently known to be the newest.
 * @param fetch State.
 * @param now Current time.
 * @return False if a newer version may have been acknowledged more than `config_apply_time` ago.
 */
[[nodiscard]] bool is_confirmed(const config_fetch& fetch, timestamp now) noexcept;

/**
 * @brief Checks whether requests must not be decided by the version in force, because a node that can be
 * reached has had a newer one for too long. A node that is cut off from all newer ones goes on.
 * @param fetch State.
 * @param members Other nodes.
 * @param now Current time.
 * @return True if so.
 */
[[nodiscard]] bool is_outdated(const config_fetch& fetch, const member_table& members, timestamp now);

/**
 * @brief Checks whether a node that doesn't follow the store has to read it, because no other node has sent
 * the newer version in time.
 * @param fetch State; if the result is true, the next read is due after another delay.
 * @param now Current time.
 * @return True if so.
 */
[[nodiscard]] bool take_store_read(config_fetch& fetch, timestamp now);

/**
 * @brief Checks whether this node has a configuration, and has not been behind others for too long.
 * @param fetch State.
 * @param now Current time.
 * @return True if the node can serve requests by its configuration.
 */
[[nodiscard]] bool is_current(const config_fetch& fetch, timestamp now) noexcept;

/**
 * @brief Chooses the node to ask for a newer configuration: at random among the nodes of the own data centre
 * that have a newer one, and else, or after a failure, among all. One node is asked at a time, so that the
 * bytes that this node receives don't grow with the number of nodes.
 * @param fetch State; `source` and `asked_at` are set, and a source that has not responded in time is given
 * up.
 * @param members Other nodes.
 * @param data_centre Data centre of this node.
 * @param now Current time.
 * @param rng Random engine.
 * @return The node to ask now, or nothing.
 */
[[nodiscard]] std::optional<std::string> next_source(config_fetch& fetch, const member_table& members,
                                                     std::string_view data_centre, timestamp now,
                                                     random_engine& rng);

/**
 * @brief Records the response of a node that was asked.
 * @param fetch State; updated.
 * @param node Node that responded.
 * @param retry_delay Time for which it is not asked again; zero if its response was used.
 * @param now Current time.
 */
void on_source_response(config_fetch& fetch, std::string_view node, microseconds retry_delay, timestamp now);

/**
 * @brief Selects the nodes of a data centre that follow the store, among those that this node reaches.
 * @param self Record of this node.
 * @param members Other nodes.
 * @param data_centre Data centre.
 * @return Names, without those that have lost the store or are leaving.
 */
[[nodiscard]] std::vector<std::string> store_followers(const member_record& self, const member_table& members,
                                                       std::string_view data_centre);

/**
 * @brief Checks whether this node is to follow the store: it is one of the followers of its data centre, or
 * was until recently. All nodes of a data centre that reach the same nodes agree on the followers. A node
 * that has lost the store is replaced by another one.
 * @param fetch State; updated.
 * @param self Record of this node.
 * @param members Other nodes.
 * @param now Current time.
 * @return True if so.
 */
[[nodiscard]] bool follows_store(config_fetch& fetch, const member_record& self, const member_table& members,
                                 timestamp now);

} // namespace kumquatdrift

#endif
