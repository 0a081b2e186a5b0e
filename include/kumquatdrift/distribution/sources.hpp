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

/*! @brief How the nodes of the mesh get configuration records. */
enum class source_mode : std::uint8_t {
    /*! @brief Relays read the log; all others watch two relays. */
    relays,
    /*! @brief Every node polls the log at a fixed interval. Baseline for benchmarks. */
    log_poll,
};

/*! @brief Names of the modes in the settings. */
template<>
struct enum_names<source_mode> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<source_mode, std::string_view>, 2> table{{
        {source_mode::relays, "relays"},
        {source_mode::log_poll, "log_poll"},
    }};
};

/*! @brief Source from which a node currently gets records. */
enum class config_source : std::uint8_t {
    /*! @brief No source is current. */
    none,
    /*! @brief The log. */
    log,
    /*! @brief Relays of the same data centre. */
    parents,
    /*! @brief A relay of another data centre. */
    remote_relay,
    /*! @brief Snapshots of peers, while a node starts up without access to the log. */
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

/*! @brief Settings of source selection. */
struct source_settings {
    source_mode mode{source_mode::relays};
    /*! @brief Interval between the heartbeats of a parent. */
    milliseconds heartbeat_interval{1'000};
    /*! @brief Interval between reads of the log in mode `log_poll`. */
    milliseconds poll_interval{2'000};
    /*! @brief Timeout of a long poll of the log by a relay. The process cannot shut down during a poll. With
     * the time limit of the answer, it bounds the time until a silent connection to the log is noticed. */
    milliseconds long_poll_timeout{1'000};
    /*! @brief Time after which a source that sends nothing counts as silent, and data that was current counts
     * as stale. With `fallback_reads_per_data_centre` it leaves a quarter of a second of the 4 s within which
     * a version has to be in force, in a data centre of 180 nodes. */
    milliseconds silence_timeout{2'200};
    /*! @brief Upper bound of the random delay before a node with silent parents reads the log. */
    milliseconds fallback_jitter{10'000};
    /*! @brief First reads per second of all nodes of a data centre together when they fall back to the log at
     * the same time. The random delay of a node follows from the number of nodes. */
    double fallback_reads_per_data_centre{120.0};
    /*! @brief Rate limit of a node that falls back to the log, in reads per second. */
    double fallback_reads_per_second{0.5};
    /*! @brief Upper bound of the random delay between the start of a node and its first read of the log. */
    milliseconds start_jitter{1'000};
    /*! @brief Time that a starting node waits for the log or a current parent before it fetches snapshots
     * from its peers. */
    milliseconds start_log_timeout{4'000};
    /*! @brief Time that a starting node waits for the snapshots of its peers. */
    milliseconds start_peer_timeout{2'000};
    /*! @brief Backoff between attempts to watch a parent. */
    backoff_policy reconnect{microseconds{500'000}, microseconds{10'000'000}};
    /*! @brief Backoff between failed reads of the log. Few nodes read it, and a data centre waits for them
     * when the log comes back. */
    backoff_policy log_retry{microseconds{250'000}, microseconds{1'000'000}};
};

/*! @brief Nodes that a node may watch, computed from its member view. */
struct source_candidates {
    /*! @brief True if this node is a relay according to its own view. */
    bool is_relay{};
    /*! @brief Number of nodes in the data centre, with this one. */
    std::size_t nodes{1};
    /*! @brief Relays of the same data centre except this node, in order of preference. */
    std::vector<std::string> parents{};
    /*! @brief Relays of other data centres, in order of preference. */
    std::vector<std::string> remote_relays{};
};

/*! @brief State of the stream from one watched node. */
struct watch_state {
    /*! @brief True while the node is to be watched. */
    bool open{};
    /*! @brief Time of the last event or, before the first one, at which the watch was opened. */
    timestamp last_event_at{};
    /*! @brief Time at which the watched node was last known to be current. Updated only while this node has
     * all records of the watched node. */
    std::optional<timestamp> current_at{};
    /*! @brief Failures since the last event that proved the node current. */
    std::uint32_t failures{};
    /*! @brief Time before which the node is not watched again. */
    timestamp retry_at{};
};

/*! @brief Startup phase of a node. */
enum class start_phase : std::uint8_t {
    /*! @brief Waits for a read to the end of the log or for a parent that is current. */
    log,
    /*! @brief Waits for the snapshots of its peers. */
    peers,
    /*! @brief Startup is over; the node follows its sources. */
    following,
};

/*! @brief State of source selection. */
struct source_state {
    source_settings settings{};
    start_phase phase{start_phase::log};
    /*! @brief Time at which the node started. */
    timestamp started_at{};
    /*! @brief End of the phase `peers`. */
    timestamp peer_phase_end{};
    /*! @brief Watches by node name, including closed ones of nodes that are still candidates. */
    std::map<std::string, watch_state> watches{};
    /*! @brief Time of the last read that reached the end of the log. */
    std::optional<timestamp> log_current_at{};
    /*! @brief Failed reads since the last successful one. */
    std::uint32_t log_failures{};
    /*! @brief Earliest time of the next read of the log. */
    timestamp next_log_read_at{};
    /*! @brief Earliest time of a fallback read of the log; empty while a parent is current. */
    std::optional<timestamp> fallback_read_at{};
    /*! @brief Parent named by the last redirect, preferred over all others; empty if there is none. */
    std::string preferred_parent{};
    /*! @brief Rate limiter of fallback reads. */
    token_bucket fallback_reads{0.5, 1.0};
};

/*! @brief Actions to take on the sources now. */
struct source_plan {
    /*! @brief Nodes to watch; streams from all others are to be closed. */
    std::vector<std::string> watch{};
    /*! @brief True if the log should be read now. */
    bool read_log{};
    /*! @brief Long-poll timeout of that read. */
    milliseconds wait{};
    /*! @brief True if snapshots should be fetched from peers now. */
    bool fetch_snapshots{};
    /*! @brief Source in use. */
    config_source source{config_source::none};
    /*! @brief True once startup is over: this node is current, or no source with newer data has responded. */
    bool startup_done{};
};

/**
 * @brief Creates the state of a node that starts now.
 * @param settings Settings.
 * @param now Current time.
 * @param rng Random engine.
 * @return The state.
 */
[[nodiscard]] source_state make_source_state(const source_settings& settings, timestamp now,
                                             random_engine& rng);

/**
 * @brief Decides which sources to use. Call it after every event and at least twice per second.
 * @param state State.
 * @param candidates Nodes that may be watched.
 * @param now Current time.
 * @param rng Random engine.
 * @return The plan.
 */
[[nodiscard]] source_plan plan_sources(source_state& state, const source_candidates& candidates,
                                       timestamp now, random_engine& rng);

/**
 * @brief Records an event received from a watched node.
 * @param state State.
 * @param node Name of the watched node.
 * @param age Time since the watched node was known to be current; empty if the event does not contain it, or
 * if this node still lacks records that the watched node has.
 * @param now Current time.
 */
void on_watch_event(source_state& state, const std::string& node, std::optional<milliseconds> age,
                    timestamp now);

/**
 * @brief Records the end of the stream from a watched node.
 * @param state State.
 * @param node Name of the watched node.
 * @param retry_after Minimum delay given by a redirect, zero without a redirect.
 * @param redirect_parent Parent named by a redirect, empty if there is none.
 * @param now Current time.
 * @param rng Random engine.
 */
void on_watch_end(source_state& state, const std::string& node, milliseconds retry_after,
                  const std::string& redirect_parent, timestamp now, random_engine& rng);

/**
 * @brief Records the result of a read of the log.
 * @param state State.
 * @param succeeded True if the read succeeded.
 * @param at_end True if it reached the end of the stream.
 * @param now Current time.
 * @param rng Random engine.
 */
void on_log_read(source_state& state, bool succeeded, bool at_end, timestamp now, random_engine& rng);

/**
 * @brief Returns when this node's configuration was last known to be current.
 * @param state State.
 * @return The time, or nothing if it is not known for any source.
 */
[[nodiscard]] std::optional<timestamp> last_current(const source_state& state);

/*! @brief Limits on what a parent serves to its children. */
struct parent_limits {
    /*! @brief Largest number of open streams. A large data centre has one relay for every 100 nodes and
     * each node watches two relays, so a relay serves about 200 streams. */
    std::size_t max_streams{220};
    /*! @brief Rate limit of new streams per second. */
    double streams_per_second{20.0};
    /*! @brief Burst of new streams. */
    double stream_burst{40.0};
    /*! @brief Rate limit of snapshot bytes per second. */
    double snapshot_bytes_per_second{256.0 * 1'024};
    /*! @brief Burst of snapshot bytes. A larger snapshot takes the whole burst. */
    double snapshot_burst{1'024.0 * 1'024};
    /*! @brief Upper bound of the retry delay in a redirect. */
    milliseconds max_retry_after{10'000};
};

/*! @brief Rate limiter of a parent. */
struct parent_limiter {
    parent_limits limits{};
    /*! @brief Token bucket of new streams. */
    token_bucket stream_bucket{20.0, 40.0};
    /*! @brief Token bucket of snapshot bytes. */
    token_bucket snapshot_byte_bucket{256.0 * 1'024, 1'024.0 * 1'024};
    /*! @brief Rejections since `stream_bucket` was last at least half full. Retry delays grow with it, so
     * that rejected children do not retry together. */
    std::uint32_t rejected{};
};

/*! @brief Decision on the stream that a child requests. */
struct stream_admission {
    /*! @brief True if the stream is served. */
    bool admitted{};
    /*! @brief Delay after which a rejected child may retry. */
    milliseconds retry_after{};
};

/**
 * @brief Creates the rate limiter of a parent.
 * @param limits Limits.
 * @return The limiter.
 */
[[nodiscard]] parent_limiter make_parent_limiter(const parent_limits& limits);

/**
 * @brief Decides whether to serve a new stream.
 * @param limiter Limiter.
 * @param open_streams Number of open streams.
 * @param snapshot_bytes Size of the snapshot that the child needs, 0 for none.
 * @param now Current time.
 * @param rng Random engine.
 * @return The decision.
 */
[[nodiscard]] stream_admission admit_stream(parent_limiter& limiter, std::size_t open_streams,
                                            std::size_t snapshot_bytes, timestamp now, random_engine& rng);

} // namespace kumquatdrift

#endif
