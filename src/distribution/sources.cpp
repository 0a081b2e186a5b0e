#include <kumquatdrift/distribution/sources.hpp>

#include <algorithm>

namespace kumquatdrift {
namespace {

constexpr std::size_t parents_per_node = 2;

bool is_current(const std::optional<timestamp>& at, const source_state& state, timestamp now)
{
    return at && now - *at <= state.settings.silence_limit;
}

bool any_watch_current(const source_state& state, timestamp now)
{
    return std::any_of(state.watches.begin(), state.watches.end(), [&](const auto& entry) {
        return entry.second.open && is_current(entry.second.current, state, now);
    });
}

void back_off(watch_state& watch, milliseconds least, timestamp now, const source_state& state,
              random_engine& rng)
{
    const auto delay = backoff_delay(state.settings.reconnect, watch.failures, rng);
    watch.retry_at = now + std::max<microseconds>(least, delay);
    watch.open = false;
    watch.current.reset();
    ++watch.failures;
}

void drop_silent(source_state& state, timestamp now, random_engine& rng)
{
    for (auto& [name, watch] : state.watches) {
        if (watch.open && now - watch.heard > state.settings.silence_limit) {
            // A paused or unreachable node takes a whole silence limit to detect again, so others go first.
            back_off(watch, 2 * state.settings.silence_limit, now, state, rng);
        }
    }
}

/*! @brief Takes the first usable nodes of a list, the one that a redirect named before all others. */
void choose(source_state& state, std::vector<std::string> names, std::size_t count, timestamp now,
            std::vector<std::string>& chosen)
{
    const auto preferred = std::find(names.begin(), names.end(), state.preferred);
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
            watch.heard = now;
        }
        chosen.push_back(name);
        --count;
    }
}

void close_others(source_state& state, const std::vector<std::string>& chosen,
                  const source_candidates& candidates)
{
    std::erase_if(state.watches, [&](const auto& entry) {
        const auto& name = entry.first;
        const auto listed = [&](const auto& names) {
            return std::find(names.begin(), names.end(), name) != names.end();
        };
        return !listed(chosen) && !listed(candidates.parents) && !listed(candidates.remote_relays);
    });
    for (auto& [name, watch] : state.watches) {
        if (std::find(chosen.begin(), chosen.end(), name) == chosen.end()) {
            watch.open = false;
            watch.current.reset();
        }
    }
}

void plan_watches(source_state& state, const source_candidates& candidates, source_plan& plan, timestamp now)
{
    if (state.settings.mode == source_mode::log_poll) {
        close_others(state, plan.watch, candidates);
        return;
    }
    if (!candidates.is_relay) {
        choose(state, candidates.parents, parents_per_node, now, plan.watch);
    }
    else if (!is_current(state.log_answered, state, now) &&
             now - state.started > state.settings.silence_limit) {
        // Another relay of this data centre may reach the log. If none does, a remote one may.
        choose(state, candidates.parents, 1, now, plan.watch);
        choose(state, candidates.remote_relays, 1, now, plan.watch);
    }
    close_others(state, plan.watch, candidates);
}

/*! @brief Plans a read by a node whose parents are silent. */
void plan_fallback(source_state& state, source_plan& plan, timestamp now, random_engine& rng)
{
    if (any_watch_current(state, now)) {
        state.fallback_at.reset();
        return;
    }
    const auto last = last_current(state).value_or(state.started);
    if (!state.fallback_at && now - last <= state.settings.silence_limit) {
        return;
    }
    if (!state.fallback_at) {
        state.fallback_at = now + full_jitter(rng, state.settings.fallback_jitter);
    }
    plan.read_log =
        now >= *state.fallback_at && now >= state.log_at && state.fallback_reads.try_take(1.0, now);
}

void plan_log(source_state& state, const source_candidates& candidates, source_plan& plan, timestamp now,
              random_engine& rng)
{
    if (state.phase != start_phase::following || state.settings.mode == source_mode::log_poll) {
        plan.read_log = now >= state.log_at;
        return;
    }
    if (!candidates.is_relay) {
        plan_fallback(state, plan, now, rng);
        return;
    }
    plan.read_log = now >= state.log_at;
    plan.wait = state.settings.long_poll;
}

/*! @brief Checks whether a source was current after the start. It then has every version that this node held
 * before its restart; a parent that was current a little earlier may lack the last one. */
bool current_since_start(const source_state& state)
{
    const auto watched = std::any_of(state.watches.begin(), state.watches.end(), [&](const auto& entry) {
        return entry.second.open && entry.second.current && *entry.second.current >= state.started;
    });
    return state.log_answered.has_value() || watched;
}

void advance_phase(source_state& state, source_plan& plan, timestamp now)
{
    if (state.phase != start_phase::following && current_since_start(state)) {
        state.phase = start_phase::following;
    }
    if (state.phase == start_phase::log && now - state.started > state.settings.start_log_limit) {
        state.phase = start_phase::peers;
        state.peers_until = now + state.settings.start_peer_limit;
        plan.ask_peers = true;
    }
    if (state.phase == start_phase::peers && now >= state.peers_until) {
        state.phase = start_phase::following;
    }
}

config_source source_in_use(const source_state& state, const source_candidates& candidates, timestamp now)
{
    if (is_current(state.log_answered, state, now)) {
        return config_source::log;
    }
    for (const auto& [name, watch] : state.watches) {
        if (!watch.open || !is_current(watch.current, state, now)) {
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
    state.started = now;
    state.log_at = now + full_jitter(rng, settings.start_jitter);
    state.fallback_reads = token_bucket{settings.fallback_reads_per_second, 1.0};
    return state;
}

source_plan plan_sources(source_state& state, const source_candidates& candidates, timestamp now,
                         random_engine& rng)
{
    source_plan plan;
    drop_silent(state, now, rng);
    plan_watches(state, candidates, plan, now);
    advance_phase(state, plan, now);
    plan_log(state, candidates, plan, now, rng);
    plan.source = source_in_use(state, candidates, now);
    plan.started = state.phase == start_phase::following;
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
    watch.heard = now;
    if (age) {
        watch.failures = 0;
        watch.current = now - *age;
    }
}

void on_watch_end(source_state& state, const std::string& node, milliseconds retry_after,
                  const std::string& other, timestamp now, random_engine& rng)
{
    const auto found = state.watches.find(node);
    if (found == state.watches.end()) {
        return;
    }
    back_off(found->second, retry_after, now, state, rng);
    state.preferred = other;
}

void on_log_read(source_state& state, bool succeeded, bool at_end, timestamp now, random_engine& rng)
{
    if (!succeeded) {
        state.log_at = now + backoff_delay(state.settings.reconnect, state.log_failures, rng);
        ++state.log_failures;
        return;
    }
    state.log_failures = 0;
    state.log_at = now;
    if (!at_end) {
        return;
    }
    state.log_answered = now;
    if (state.settings.mode == source_mode::log_poll) {
        state.log_at = now + state.settings.poll_interval;
    }
}

std::optional<timestamp> last_current(const source_state& state)
{
    auto last = state.log_answered;
    for (const auto& [name, watch] : state.watches) {
        if (watch.current && (!last || *watch.current > *last)) {
            last = watch.current;
        }
    }
    return last;
}

parent_state make_parent_state(const parent_limits& limits)
{
    parent_state state;
    state.limits = limits;
    state.streams = token_bucket{limits.streams_per_second, limits.stream_burst};
    state.snapshot_bytes = token_bucket{limits.snapshot_bytes_per_second, limits.snapshot_burst};
    return state;
}

parent_answer admit_stream(parent_state& state, std::size_t open_streams, std::size_t snapshot_bytes,
                           timestamp now, random_engine& rng)
{
    const auto& limits = state.limits;
    if (state.streams.available(now) >= limits.stream_burst / 2) {
        state.refused = 0;
    }
    const auto bytes = std::min(static_cast<double>(snapshot_bytes), limits.snapshot_burst);
    const auto enough = open_streams < limits.max_streams && state.snapshot_bytes.available(now) >= bytes;
    if (enough && state.streams.try_take(1.0, now)) {
        return {state.snapshot_bytes.try_take(bytes, now), milliseconds{0}};
    }
    // Refused children come back one after the other at the rate that the parent can serve.
    ++state.refused;
    const auto by_streams = state.refused / std::max(limits.streams_per_second, 0.001);
    const auto by_bytes = state.refused * bytes / std::max(limits.snapshot_bytes_per_second, 1.0);
    const auto spread = milliseconds{static_cast<std::int64_t>(std::max(by_streams, by_bytes) * 1e3) + 1};
    const auto longest = std::min(2 * spread, limits.max_retry_after);
    const auto delay = longest / 2 + std::chrono::duration_cast<milliseconds>(full_jitter(rng, longest / 2));
    return {false, delay};
}

} // namespace kumquatdrift
