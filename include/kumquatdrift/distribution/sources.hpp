#ifndef KUMQUATDRIFT_DISTRIBUTION_SOURCES_HPP
#define KUMQUATDRIFT_DISTRIBUTION_SOURCES_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <kumquatdrift/core/backoff.hpp>
#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/token_bucket.hpp>
#include <kumquatdrift/distribution/fwd.hpp>

namespace kumquatdrift {

/*! @brief How a node gets the configuration. */
enum class source_mode : std::uint8_t {
    /*! @brief Relays read the log; all others watch two relays. */
    relays,
    /*! @brief Every node polls the log at a fixed interval. Baseline for measurements. */
    log_poll,
};

/*! @brief Names of the modes, as written in the settings. */
template<>
struct enum_names<source_mode> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<source_mode, std::string_view>, 2> table{{
        {source_mode::relays, "relays"},
        {source_mode::log_poll, "log_poll"},
    }};
};

/*! @brief Source from which a node reads at the moment. */
enum class config_source : std::uint8_t {
    /*! @brief No source answers. */
    none,
    /*! @brief The log. */
    log,
    /*! @brief Relays of the own data centre. */
    parents,
    /*! @brief A relay of another data centre. */
    remote_relay,
    /*! @brief Snapshots of peers, while a node starts without the log. */
    peers,
};

/*! @brief Names of the sources. */
template<>
struct enum_names<config_source> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<config_source, std::string_view>, 5> table{{
        {config_source::none, "none"},
        {config_source::log, "log"},
        {config_source::parents, "parents"},
        {config_source::remote_relay, "remote_relay"},
        {config_source::peers, "peers"},
    }};
};

/*! @brief Settings of the choice of sources. */
struct source_settings {
    /*! @brief Mode. */
    source_mode mode{source_mode::relays};
    /*! @brief Time between the heartbeats of a parent. */
    milliseconds heartbeat_interval{2'000};
    /*! @brief Time between reads of the log in mode `log_poll`, and in the fallback to the log. */
    milliseconds poll_interval{2'000};
    /*! @brief Longest wait of one long poll of a relay. The process cannot shut down during a poll. */
    milliseconds long_poll{2'000};
    /*! @brief Time without a current answer after which a source counts as silent. */
    milliseconds silence_limit{6'500};
    /*! @brief Upper bound of the random delay before the log replaces silent parents. Reads of a thousand
     * nodes spread over 10 s stay at a hundred a second. */
    milliseconds fallback_jitter{10'000};
    /*! @brief Reads of the log a second in the fallback. */
    double fallback_reads_per_second{0.5};
    /*! @brief Upper bound of the random delay before the first read after a start. */
    milliseconds start_jitter{1'000};
    /*! @brief Time that a starting node waits for the log or a current parent before it asks its peers. */
    milliseconds start_log_limit{4'000};
    /*! @brief Time that a starting node waits for the snapshots of its peers. */
    milliseconds start_peer_limit{2'000};
    /*! @brief Delay before a parent is tried again. */
    backoff_policy reconnect{microseconds{500'000}, microseconds{10'000'000}};
};

/*! @brief Candidates of a node, computed from its member view. */
struct source_candidates {
    /*! @brief True if this node is a relay in its own view. */
    bool is_relay{};
    /*! @brief Relays of the own data centre in the order of preference of this node, without itself. */
    std::vector<std::string> parents{};
    /*! @brief Relays of other data centres in the order of preference of this node. */
    std::vector<std::string> remote_relays{};
};

/*! @brief What is known of one watched node. */
struct watch_state {
    /*! @brief True while the plan contains the node. */
    bool open{};
    /*! @brief Time of the last event, or at which the stream was opened. */
    timestamp heard{};
    /*! @brief Time at which the watched node was last known to be current. */
    std::optional<timestamp> current{};
    /*! @brief Failures since the last event. */
    std::uint32_t failures{};
    /*! @brief Time before which the node is not tried again. */
    timestamp retry_at{};
};

/*! @brief Phase of a node after its start. */
enum class start_phase : std::uint8_t {
    /*! @brief Reads the log, or watches parents that are current. */
    log,
    /*! @brief Asks its peers for their snapshots. */
    peers,
    /*! @brief Follows its sources. */
    following,
};

/*! @brief State of the choice of sources. */
struct source_state {
    /*! @brief Settings. */
    source_settings settings{};
    /*! @brief Phase. */
    start_phase phase{start_phase::log};
    /*! @brief Time of the start. */
    timestamp started{};
    /*! @brief End of the time for which peers are asked. */
    timestamp peers_until{};
    /*! @brief Watched nodes by name. */
    std::map<std::string, watch_state> watches{};
    /*! @brief Time of the last successful read of the log. */
    std::optional<timestamp> log_answered{};
    /*! @brief Failed reads since the last successful one. */
    std::uint32_t log_failures{};
    /*! @brief Time before which the log is not read. */
    timestamp log_at{};
    /*! @brief Time from which the fallback may read the log; empty while a parent is current. */
    std::optional<timestamp> fallback_at{};
    /*! @brief Parent named by the last redirect; tried first. */
    std::string preferred{};
    /*! @brief Limiter of the fallback. */
    token_bucket fallback_reads{0.5, 1.0};
};

/*! @brief What a node does about its sources now. */
struct source_plan {
    /*! @brief Nodes to watch; streams to all others are to be closed. */
    std::vector<std::string> watch{};
    /*! @brief True if the log is to be read now. */
    bool read_log{};
    /*! @brief Longest wait of that read. */
    milliseconds wait{};
    /*! @brief True if peers are to be asked for their snapshots now. */
    bool ask_peers{};
    /*! @brief Source in use. */
    config_source source{config_source::none};
    /*! @brief True once the start is over: what this node knows is current, or nobody answers who knows more.
     */
    bool started{};
};

/**
 * @brief Makes the state of a node that has just started.
 * @param settings Settings.
 * @param now Current time.
 * @param rng Random engine.
 * @return The state.
 */
[[nodiscard]] source_state make_source_state(const source_settings& settings, timestamp now,
                                             random_engine& rng);

/**
 * @brief Decides which sources to use. Call it after every event and at least twice a second.
 * @param state State.
 * @param candidates Candidates.
 * @param now Current time.
 * @param rng Random engine.
 * @return The plan.
 */
[[nodiscard]] source_plan plan_sources(source_state& state, const source_candidates& candidates,
                                       timestamp now, random_engine& rng);

/**
 * @brief Reports an event of a watched node.
 * @param state State.
 * @param node Name of the watched node.
 * @param age Time since the watched node was known to be current; empty if the event does not say so, or if
 * this node has not yet got everything that the watched node has.
 * @param now Current time.
 */
void on_watch_event(source_state& state, const std::string& node, std::optional<milliseconds> age,
                    timestamp now);

/**
 * @brief Reports the end of a stream.
 * @param state State.
 * @param node Name of the watched node.
 * @param retry_after Time given by a redirect, zero if there was none.
 * @param other Parent named by a redirect, empty if there was none.
 * @param now Current time.
 * @param rng Random engine.
 */
void on_watch_end(source_state& state, const std::string& node, milliseconds retry_after,
                  const std::string& other, timestamp now, random_engine& rng);

/**
 * @brief Reports the end of a read of the log.
 * @param state State.
 * @param succeeded True if the log answered.
 * @param at_end True if the answer reached the end of the stream.
 * @param now Current time.
 * @param rng Random engine.
 */
void on_log_read(source_state& state, bool succeeded, bool at_end, timestamp now, random_engine& rng);

/**
 * @brief Returns when this node's configuration was last known to be current.
 * @param state State.
 * @return The time, or nothing if no source has answered.
 */
[[nodiscard]] std::optional<timestamp> last_current(const source_state& state);

/*! @brief Limits of a node as a parent. */
struct parent_limits {
    /*! @brief Streams served at the same time. A relay among 100 nodes with two parents each serves up to
     * 200 when the other relay is down. */
    std::size_t max_streams{220};
    /*! @brief New streams a second. */
    double streams_per_second{20.0};
    /*! @brief New streams in a burst. */
    double stream_burst{40.0};
    /*! @brief Bytes of snapshots a second. */
    double snapshot_bytes_per_second{256.0 * 1'024};
    /*! @brief Bytes of snapshots in a burst. A larger snapshot takes the whole burst. */
    double snapshot_burst{1'024.0 * 1'024};
    /*! @brief Longest time that a redirect asks a child to wait. */
    milliseconds max_retry_after{10'000};
};

/*! @brief Limiter of a parent. */
struct parent_state {
    /*! @brief Limits. */
    parent_limits limits{};
    /*! @brief Limiter of new streams. */
    token_bucket streams{20.0, 40.0};
    /*! @brief Limiter of snapshot bytes. */
    token_bucket snapshot_bytes{256.0 * 1'024, 1'024.0 * 1'024};
    /*! @brief Redirects within the last refill of the bucket; spreads the times given. */
    std::uint32_t refused{};
};

/*! @brief Answer to a child that asks for a stream or a snapshot. */
struct parent_answer {
    /*! @brief True if the child is served. */
    bool admitted{};
    /*! @brief Time after which a refused child tries again. */
    milliseconds retry_after{};
};

/**
 * @brief Makes a parent's limiter.
 * @param limits Limits.
 * @return The state.
 */
[[nodiscard]] parent_state make_parent_state(const parent_limits& limits);

/**
 * @brief Decides on a new stream.
 * @param state State.
 * @param open_streams Streams served at the moment.
 * @param snapshot_bytes Size of the snapshot that the child needs, 0 for none.
 * @param now Current time.
 * @param rng Random engine.
 * @return The answer.
 */
[[nodiscard]] parent_answer admit_stream(parent_state& state, std::size_t open_streams,
                                         std::size_t snapshot_bytes, timestamp now, random_engine& rng);

} // namespace kumquatdrift

#endif
