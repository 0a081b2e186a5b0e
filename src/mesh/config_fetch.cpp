#include <kumquatdrift/mesh/config_fetch.hpp>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include <kumquatdrift/core/rendezvous.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Key of the rendezvous hash that selects the nodes that follow the store. */
constexpr std::string_view follower_key = "configuration";

bool may_be_asked(const config_fetch& fetch, std::string_view node, timestamp now)
{
    const auto delayed = fetch.not_before.find(node);
    return delayed == fetch.not_before.end() || delayed->second <= now;
}

void update_behind_since(config_fetch& fetch)
{
    fetch.behind_since = {};
    for (const auto& [version, since] : fetch.newer) {
        fetch.behind_since = fetch.behind_since == timestamp{} ? since : std::min(fetch.behind_since, since);
    }
}

} // namespace

void observe_version(config_fetch& fetch, std::uint32_t version, timestamp now)
{
    fetch.newest_known = std::max(fetch.newest_known, version);
    fetch.has_report = fetch.has_report || version > 0;
    if (version <= fetch.version || fetch.newer.contains(version)) {
        return;
    }
    if (fetch.newer.size() < max_newer_versions) {
        fetch.newer.emplace(version, now);
    }
    else if (const auto last = std::prev(fetch.newer.end()); last->first < version) {
        auto entry = fetch.newer.extract(last);
        entry.key() = version;
        fetch.newer.insert(std::move(entry));
    }
    update_behind_since(fetch);
}

void confirm_version(config_fetch& fetch, std::uint32_t version, timestamp at)
{
    if (version != 0 && version <= fetch.version) {
        fetch.confirmed_at = std::max(fetch.confirmed_at, at);
    }
}

void prove_version(config_fetch& fetch, std::uint32_t version, timestamp at)
{
    if (version == 0) {
        return;
    }
    auto& proof = version <= fetch.version ? fetch.proven_at : fetch.newer_proofs[version];
    proof = std::max(proof, at);
    if (fetch.newer_proofs.size() > max_newer_versions) {
        fetch.newer_proofs.erase(fetch.newer_proofs.begin());
    }
}

bool are_keys_valid(const config_fetch& fetch, microseconds bound, timestamp now) noexcept
{
    return fetch.proven_at != timestamp{} && now - fetch.proven_at <= bound - revocation_margin;
}

void set_version_in_force(config_fetch& fetch, std::uint32_t version)
{
    fetch.version = version;
    while (!fetch.newer_proofs.empty() && fetch.newer_proofs.begin()->first <= version) {
        fetch.proven_at = std::max(fetch.proven_at, fetch.newer_proofs.begin()->second);
        fetch.newer_proofs.erase(fetch.newer_proofs.begin());
    }
    fetch.newest_known = std::max(fetch.newest_known, version);
    fetch.newer.erase(fetch.newer.begin(), fetch.newer.upper_bound(version));
    update_behind_since(fetch);
    if (!is_behind(fetch)) {
        fetch.source.clear();
        fetch.not_before.clear();
    }
}

bool is_confirmed(const config_fetch& fetch, timestamp now) noexcept
{
    return fetch.confirmed_at != timestamp{} && now - fetch.confirmed_at <= config_apply_time;
}

bool is_outdated(const config_fetch& fetch, const member_table& members, timestamp now)
{
    if (!is_behind(fetch) || now - fetch.behind_since <= max_lag_when_deciding) {
        return false;
    }
    return std::any_of(members.all().begin(), members.all().end(), [&fetch](const auto& entry) {
        return entry.second.reachable && entry.second.record.config_version > fetch.version;
    });
}

bool take_store_read(config_fetch& fetch, timestamp now)
{
    if (!is_behind(fetch) || now - fetch.behind_since < store_read_delay || fetch.next_store_read > now) {
        return false;
    }
    fetch.next_store_read = now + store_read_timeout;
    return true;
}

bool is_current(const config_fetch& fetch, timestamp now) noexcept
{
    return fetch.version != 0 && (!is_behind(fetch) || now - fetch.behind_since <= max_lag_when_ready);
}

std::optional<std::string> next_source(config_fetch& fetch, const member_table& members,
                                       std::string_view data_centre, timestamp now, random_engine& rng)
{
    if (!fetch.source.empty()) {
        const auto expects_difference = fetch.version != 0 && fetch.newer.size() <= max_previous_versions;
        if (now - fetch.asked_at <= (expects_difference ? fetch_timeout : document_fetch_timeout)) {
            return std::nullopt;
        }
        fetch.not_before[std::exchange(fetch.source, "")] = now + failed_source_delay;
    }
    if (!is_behind(fetch) || (fetch.version == 0 && now - fetch.started < start_fetch_delay)) {
        return std::nullopt;
    }
    std::vector<const std::string*> nearby{};
    std::vector<const std::string*> distant{};
    for (const auto& [node, member] : members.all()) {
        if (member.reachable && member.record.config_version > fetch.version &&
            may_be_asked(fetch, node, now)) {
            (member.record.data_centre == data_centre ? nearby : distant).push_back(&node);
        }
    }
    // After a failure the others are tried in any order: the nodes nearby may share its cause.
    if (nearby.empty() || !fetch.not_before.empty()) {
        nearby.insert(nearby.end(), distant.begin(), distant.end());
    }
    const auto& candidates = nearby;
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> index{0, candidates.size() - 1};
    fetch.source = *candidates[index(rng)];
    fetch.asked_at = now;
    return fetch.source;
}

void on_source_response(config_fetch& fetch, std::string_view node, microseconds retry_delay, timestamp now)
{
    if (fetch.source == node) {
        fetch.source.clear();
    }
    if (retry_delay > microseconds{0}) {
        fetch.not_before[std::string{node}] = now + retry_delay;
    }
}

std::vector<std::string> store_followers(const member_record& self, const member_table& members,
                                         std::string_view data_centre)
{
    std::vector<std::string> candidates{};
    const auto may_follow = [data_centre](const member_record& record) {
        return !record.leaving && !record.store_lost && record.data_centre == data_centre;
    };
    if (may_follow(self)) {
        candidates.push_back(self.node);
    }
    for (const auto& [node, member] : members.all()) {
        if (member.reachable && may_follow(member.record)) {
            candidates.push_back(node);
        }
    }
    return rendezvous_rank(follower_key, std::move(candidates), store_followers_per_data_centre);
}

bool follows_store(config_fetch& fetch, const member_record& self, const member_table& members, timestamp now)
{
    const auto followers = store_followers(self, members, self.data_centre);
    const auto selected = std::find(followers.begin(), followers.end(), self.node) != followers.end();
    if (selected || fetch.follows_until == timestamp{}) {
        fetch.follows_until =
            now + (now - fetch.started < start_period ? start_retirement : follower_retirement);
    }
    return fetch.follows_until > now;
}

} // namespace kumquatdrift
