#include <kumquatdrift/distribution/sources.hpp>

#include <algorithm>

namespace kumquatdrift {
namespace {

constexpr std::size_t parents_per_node = 2;

bool is_current(const std::optional<timestamp>& at, const source_state& state, timestamp now)
{
    return at && now - *at <= state.settings.silence_timeout;
}

bool any_watch_current(const source_state& state, timestamp now)
{
    return std::any_of(state.watches.begin(), state.watches.end(), [&](const auto& entry) {
        return entry.second.open && is_current(entry.second.current_at, state, now);
    });
}

void back_off(watch_state& watch, milliseconds min_delay, timestamp now, const source_state& state,
              random_engine& rng)
{
    const auto delay = backoff_delay(state.settings.reconnect, watch.failures, rng);
    watch.retry_at = now + std::max<microseconds>(min_delay, delay);
    watch.open = false;
    watch.current_at.reset();
    ++watch.failures;
}

void close_silent_watches(source_state& state, timestamp now, random_engine& rng)
{
    for (auto& [name, watch] : state.watches) {
        if (watch.open && now - watch.last_event_at > state.settings.silence_timeout) {
            // Detecting that a node is still paused or unreachable takes another silence timeout, so the
            // other candidates are tried first.
            back_off(watch, 2 * state.settings.silence_timeout, now, state, rng);
        }
    }
}

/*! @brief Selects up to `count` nodes from a list, first the one that a redirect named, and opens their
 * watches. Skips nodes whose backoff has not expired. */
void select_watches(source_state& state, std::vector<std::string> names, std::size_t count, timestamp now,
                    std::vector<std::string>& selected)
{
    const auto preferred = std::find(names.begin(), names.end(), state.preferred_parent);
    if (preferred != names.end()) {
        std::rotate(names.begin(), preferred, preferred + 1);
    }
    for (const auto& name : names) {
        if (count == 0) {
            return;
        }
        auto& watch = state.watches[name];
        if (now < watch.retry_at) {
            continue;
        }
        if (!watch.open) {
            watch.open = true;
            watch.last_event_at = now;
        }
        selected.push_back(name);
        --count;
    }
}

void close_unselected_watches(source_state& state, const std::vector<std::string>& selected,
                              const source_candidates& candidates)
{
    std::erase_if(state.watches, [&](const auto& entry) {
        const auto& name = entry.first;
        const auto listed = [&](const auto& names) {
            return std::find(names.begin(), names.end(), name) != names.end();
        };
        return !listed(selected) && !listed(candidates.parents) && !listed(candidates.remote_relays);
    });
    for (auto& [name, watch] : state.watches) {
        if (std::find(selected.begin(), selected.end(), name) == selected.end()) {
            watch.open = false;
            watch.current_at.reset();
        }
    }
}

void plan_watches(source_state& state, const source_candidates& candidates, source_plan& plan, timestamp now)
{
    if (state.settings.mode == source_mode::log_poll) {
        close_unselected_watches(state, plan.watch, candidates);
        return;
    }
    if (!candidates.is_relay) {
        select_watches(state, candidates.parents, parents_per_node, now, plan.watch);
    }
    else if (!is_current(state.log_current_at, state, now) &&
             now - state.started_at > state.settings.silence_timeout) {
        // Another relay of this data centre may still have access to the log, or else a remote relay.
        select_watches(state, candidates.parents, 1, now, plan.watch);
        select_watches(state, candidates.remote_relays, 1, now, plan.watch);
    }
    close_unselected_watches(state, plan.watch, candidates);
}

/*! @brief Draws the delay before the first read of a node that falls back to the log. */
microseconds draw_fallback_delay(const source_state& state, const source_candidates& candidates,
                                 random_engine& rng)
{
    const auto& settings = state.settings;
    const std::chrono::duration<double> spread{static_cast<double>(candidates.nodes) /
                                               std::max(settings.fallback_reads_per_data_centre, 0.001)};
    return full_jitter(rng, std::min<microseconds>(std::chrono::duration_cast<microseconds>(spread),
                                                   settings.fallback_jitter));
}

/*! @brief Plans a fallback read of the log by a node that has no current parent. */
void plan_fallback(source_state& state, const source_candidates& candidates, source_plan& plan, timestamp now,
                   random_engine& rng)
{
    if (any_watch_current(state, now)) {
        state.fallback_read_at.reset();
        return;
    }
    const auto last = last_current(state).value_or(state.started_at);
    if (!state.fallback_read_at && now - last <= state.settings.silence_timeout) {
        return;
    }
    if (!state.fallback_read_at) {
        state.fallback_read_at = now + draw_fallback_delay(state, candidates, rng);
    }
    plan.read_log = now >= *state.fallback_read_at && now >= state.next_log_read_at &&
                    state.fallback_reads.try_take(1.0, now);
}

void plan_log(source_state& state, const source_candidates& candidates, source_plan& plan, timestamp now,
              random_engine& rng)
{
    if (state.phase != start_phase::following || state.settings.mode == source_mode::log_poll) {
        plan.read_log = now >= state.next_log_read_at;
        return;
    }
    if (!candidates.is_relay) {
        plan_fallback(state, candidates, plan, now, rng);
        return;
    }
    plan.read_log = now >= state.next_log_read_at;
    plan.wait = state.settings.long_poll_timeout;
}

/*! @brief Checks whether a source has been current since the start of this node. Such a source has every
 * version that this node held before its restart; one that was last current before the start may lack the
 * newest. */
bool current_since_start(const source_state& state)
{
    const auto watched = std::any_of(state.watches.begin(), state.watches.end(), [&](const auto& entry) {
        return entry.second.open && entry.second.current_at && *entry.second.current_at >= state.started_at;
    });
    return state.log_current_at.has_value() || watched;
}

void advance_phase(source_state& state, source_plan& plan, timestamp now)
{
    if (state.phase != start_phase::following && current_since_start(state)) {
        state.phase = start_phase::following;
    }
    if (state.phase == start_phase::log && now - state.started_at > state.settings.start_log_timeout) {
        state.phase = start_phase::peers;
        state.peer_phase_end = now + state.settings.start_peer_timeout;
        plan.fetch_snapshots = true;
    }
    if (state.phase == start_phase::peers && now >= state.peer_phase_end) {
        state.phase = start_phase::following;
    }
}

config_source source_in_use(const source_state& state, const source_candidates& candidates, timestamp now)
{
    if (is_current(state.log_current_at, state, now)) {
        return config_source::log;
    }
    for (const auto& [name, watch] : state.watches) {
        if (!watch.open || !is_current(watch.current_at, state, now)) {
            continue;
        }
        const auto& remote = candidates.remote_relays;
        const auto is_remote = std::find(remote.begin(), remote.end(), name) != remote.end();
        return is_remote ? config_source::remote_relay : config_source::parents;
    }
    return state.phase == start_phase::peers ? config_source::peers : config_source::none;
}

} // namespace

source_state make_source_state(const source_settings& settings, timestamp now, random_engine& rng)
{
    source_state state;
    state.settings = settings;
    state.started_at = now;
    state.next_log_read_at = now + full_jitter(rng, settings.start_jitter);
    state.fallback_reads = token_bucket{settings.fallback_reads_per_second, 1.0};
    return state;
}

source_plan plan_sources(source_state& state, const source_candidates& candidates, timestamp now,
                         random_engine& rng)
{
    source_plan plan;
    close_silent_watches(state, now, rng);
    plan_watches(state, candidates, plan, now);
    advance_phase(state, plan, now);
    plan_log(state, candidates, plan, now, rng);
    plan.source = source_in_use(state, candidates, now);
    plan.startup_done = state.phase == start_phase::following;
    return plan;
}

void on_watch_event(source_state& state, const std::string& node, std::optional<milliseconds> age,
                    timestamp now)
{
    const auto found = state.watches.find(node);
    if (found == state.watches.end() || !found->second.open) {
        return;
    }
    auto& watch = found->second;
    watch.last_event_at = now;
    if (age) {
        watch.failures = 0;
        watch.current_at = now - *age;
    }
}

void on_watch_end(source_state& state, const std::string& node, milliseconds retry_after,
                  const std::string& redirect_parent, timestamp now, random_engine& rng)
{
    const auto found = state.watches.find(node);
    if (found == state.watches.end()) {
        return;
    }
    back_off(found->second, retry_after, now, state, rng);
    state.preferred_parent = redirect_parent;
}

void on_log_read(source_state& state, bool succeeded, bool at_end, timestamp now, random_engine& rng)
{
    if (!succeeded) {
        state.next_log_read_at = now + backoff_delay(state.settings.log_retry, state.log_failures, rng);
        ++state.log_failures;
        return;
    }
    state.log_failures = 0;
    state.next_log_read_at = now;
    if (!at_end) {
        return;
    }
    state.log_current_at = now;
    if (state.settings.mode == source_mode::log_poll) {
        state.next_log_read_at = now + state.settings.poll_interval;
    }
}

std::optional<timestamp> last_current(const source_state& state)
{
    auto last = state.log_current_at;
    for (const auto& [name, watch] : state.watches) {
        if (watch.current_at && (!last || *watch.current_at > *last)) {
            last = watch.current_at;
        }
    }
    return last;
}

parent_limiter make_parent_limiter(const parent_limits& limits)
{
    parent_limiter limiter;
    limiter.limits = limits;
    limiter.stream_bucket = token_bucket{limits.streams_per_second, limits.stream_burst};
    limiter.snapshot_byte_bucket = token_bucket{limits.snapshot_bytes_per_second, limits.snapshot_burst};
    return limiter;
}

stream_admission admit_stream(parent_limiter& limiter, std::size_t open_streams, std::size_t snapshot_bytes,
                              timestamp now, random_engine& rng)
{
    const auto& limits = limiter.limits;
    if (limiter.stream_bucket.available(now) >= limits.stream_burst / 2) {
        limiter.rejected = 0;
    }
    const auto bytes = std::min(static_cast<double>(snapshot_bytes), limits.snapshot_burst);
    const auto within_limits =
        open_streams < limits.max_streams && limiter.snapshot_byte_bucket.available(now) >= bytes;
    if (within_limits && limiter.stream_bucket.try_take(1.0, now)) {
        return {limiter.snapshot_byte_bucket.try_take(bytes, now), milliseconds{0}};
    }
    // Spreads the retries of rejected children over the time that the parent needs to serve them all.
    ++limiter.rejected;
    const auto stream_delay_s = limiter.rejected / std::max(limits.streams_per_second, 0.001);
    const auto byte_delay_s = limiter.rejected * bytes / std::max(limits.snapshot_bytes_per_second, 1.0);
    const auto base_delay =
        milliseconds{static_cast<std::int64_t>(std::max(stream_delay_s, byte_delay_s) * 1e3) + 1};
    const auto max_delay = std::min(2 * base_delay, limits.max_retry_after);
    const auto delay =
        max_delay / 2 + std::chrono::duration_cast<milliseconds>(full_jitter(rng, max_delay / 2));
    return {false, delay};
}

} // namespace kumquatdrift
