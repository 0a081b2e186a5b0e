#include <kumquatdrift/traffic/usage_caps.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace kumquatdrift {
namespace {

/*! @brief Time after which homes and loans are updated, unless a loan ends before. */
constexpr microseconds refresh_interval{100'000};
/*! @brief Longest time for which tokens are added at once. Loans may have changed more than once in a longer
 *         one. */
constexpr microseconds max_fill_time{250'000};
/*! @brief Time for which a number of nodes that another node has stated is kept. */
constexpr microseconds stated_time{10'000'000};
/*! @brief Time for which a node that doesn't respond keeps its accounts; a quick restart takes less. */
constexpr microseconds restart_time{2'000'000};
static_assert(restart_time > cap_ledger::loan_time, "loans to the home before it have to end meanwhile");
/*! @brief Shortest time after which a node is told to come back. */
constexpr microseconds min_wait{1'000};
/*! @brief Time constant of the number of refused tokens. */
constexpr std::chrono::duration<double> refusal_memory{1.0};
/*! @brief Part of a cap above which a node may hold one token even if its burst is below one: at most one
 *         node holds so much. */
constexpr double majority = 0.5;

double seconds_of(microseconds time) noexcept
{
    return std::chrono::duration<double>{time}.count();
}

/*! @brief Rank of a node as the home of an account; the highest is the home. */
std::uint64_t rank(cap_id account, cap_id node) noexcept
{
    // The finaliser of SplitMix64.
    auto value = account ^ node;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/*! @brief Returns the node with the highest rank among some and one more. */
cap_id highest_ranked(cap_id account, const std::vector<cap_id>& nodes, cap_id other) noexcept
{
    auto home = other;
    auto highest = rank(account, other);
    for (const auto node : nodes) {
        if (const auto value = rank(account, node); value > highest) {
            highest = value;
            home = node;
        }
    }
    return home;
}

std::uint32_t lower_half(cap_id id) noexcept
{
    return static_cast<std::uint32_t>(id);
}

} // namespace

cap_ledger::cap_ledger(cap_id node, const cap_tolerance& limits) : self{node}, tolerance{limits}
{
    this->set_node(node, true, true);
}

void cap_ledger::set_caps(const std::vector<account_cap>& caps, timestamp now)
{
    std::unordered_map<cap_id, bucket> updated{};
    for (const auto& cap : caps) {
        const auto known = this->buckets.find(cap.account);
        auto& entry = updated[cap.account];
        if (known != this->buckets.end()) {
            entry = known->second;
        }
        else {
            entry.home = this->select_home(cap.account);
        }
        entry.cap = cap;
    }
    this->buckets = std::move(updated);
    if (!this->buckets.empty() && !this->started) {
        this->started = now;
        this->update_view(now);
        this->update_buckets(now);
    }
    for (auto& [account, entry] : this->buckets) {
        entry.tokens = std::min(entry.tokens, this->capacity(entry));
    }
}

void cap_ledger::set_node(cap_id node, bool reachable, bool counted)
{
    auto& state = this->nodes[node];
    state.reachable = reachable;
    if (std::exchange(state.counted, counted) != counted) {
        this->counted_nodes = counted ? this->counted_nodes + 1 : this->counted_nodes - 1;
    }
}

std::uint32_t cap_ledger::node_count(timestamp now) const
{
    return std::max({this->counted_nodes, 1U, this->stated_until > now ? this->stated_nodes : 0U});
}

bool cap_ledger::owns_share(timestamp now) const
{
    return this->started &&
           now - *this->started >= (this->node_count(now) > 1 ? loan_time : std::max(loan_time, alone_time));
}

cap_id cap_ledger::select_home(cap_id account) const
{
    return this->view.empty() ? this->self : highest_ranked(account, this->view, this->view.front());
}

void cap_ledger::update_view(timestamp now)
{
    auto& own = this->nodes[this->self];
    if (own.reachable) {
        own.lent_until = now + loan_time;
    }
    node_list added{};
    bool changed{};
    for (auto& [node, state] : this->nodes) {
        if (state.reachable) {
            state.kept_until = now + restart_time;
        }
        const auto selected = state.kept_until > now || state.lent_until > now;
        if (std::exchange(state.in_view, selected) != selected) {
            changed = true;
            if (selected) {
                added.push_back(node);
            }
            state.lend_from = now;
        }
    }
    node_list outside{};
    for (const auto& [node, state] : this->nodes) {
        if (!state.in_view && state.counted) {
            outside.push_back(node);
        }
    }
    if (outside != *this->out_of_view) {
        this->out_of_view = std::make_shared<node_list>(std::move(outside));
    }
    if (!changed) {
        return;
    }
    this->view.clear();
    this->view_digest = 0;
    for (const auto& [node, state] : this->nodes) {
        if (state.in_view) {
            this->view.push_back(node);
            this->view_digest ^= lower_half(node);
        }
    }
    for (auto& [account, entry] : this->buckets) {
        const auto& before = this->nodes.at(entry.home);
        const auto home =
            before.in_view ? highest_ranked(account, added, entry.home) : this->select_home(account);
        if (home != entry.home && entry.home != this->self) {
            // This node uses its own share only while it is the home. Another home may use it until then.
            auto& lend_from = this->nodes.at(home).lend_from;
            lend_from = std::max({lend_from, before.lent_until, before.lend_from});
        }
        entry.home = home;
    }
    ++this->changes;
}

void cap_ledger::refresh(timestamp now)
{
    if (this->buckets.empty() || (now - this->refreshed < refresh_interval && now < this->shares_until)) {
        return;
    }
    this->update_view(now);
    this->update_buckets(now);
}

void cap_ledger::update_buckets(timestamp now)
{
    auto held = this->owns_share(now) ? 1.0 / this->node_count(now) : 0.0;
    std::vector<limited_loan> limited{};
    this->shares_until = timestamp::max();
    for (const auto& [node, state] : this->nodes) {
        if (state.borrowed_until <= now) {
            continue;
        }
        this->shares_until = std::min(this->shares_until, state.borrowed_until);
        limited_loan loan{state.share, {}};
        if (state.missing != this->out_of_view) {
            std::set_difference(this->out_of_view->begin(), this->out_of_view->end(), state.missing->begin(),
                                state.missing->end(), std::back_inserter(loan.except));
        }
        if (loan.except.empty()) {
            held += loan.share;
        }
        else {
            limited.push_back(std::move(loan));
        }
    }
    this->refreshed = now;
    for (auto& [account, entry] : this->buckets) {
        if (entry.home != this->self) {
            entry.share = 0.0;
            entry.tokens = 0.0;
            entry.filled = now;
            continue;
        }
        auto share = held;
        for (const auto& loan : limited) {
            if (highest_ranked(account, loan.except, this->self) == this->self) {
                share += loan.share;
            }
        }
        const auto known = std::min(share, entry.share);
        entry.share = std::min(share, 1.0);
        this->fill(entry, known, now);
    }
}

void cap_ledger::fill(bucket& entry, double share, timestamp now) const
{
    const auto elapsed = std::clamp(now - entry.filled, microseconds{0}, max_fill_time);
    entry.filled = now;
    entry.tokens =
        std::min(entry.tokens + this->fill_rate(entry) * share * seconds_of(elapsed), this->capacity(entry));
    entry.refused *= std::exp(-seconds_of(elapsed) / refusal_memory.count());
}

double cap_ledger::capacity(const bucket& entry) const
{
    // The other half of the slack covers tokens that are used after they were taken, and nodes that divide
    // the cap by different numbers.
    const auto burst = std::max(entry.cap.burst + this->tolerance.slack / 2, 1.0) * entry.share;
    return entry.share > majority ? std::max(burst, 1.0) : burst;
}

double cap_ledger::fill_rate(const bucket& entry) const
{
    // The tokens that are used in a window were added in a time that is longer by the lifetime of a token.
    const auto window = seconds_of(this->tolerance.window);
    const auto bound = (entry.cap.rate_per_s * window + entry.cap.burst) * (1.0 + this->tolerance.excess) +
                       this->tolerance.slack;
    const auto burst = std::max(entry.cap.burst + this->tolerance.slack / 2, 1.0);
    return std::clamp((bound - burst) / (window + seconds_of(token_lifetime)), 0.0, entry.cap.rate_per_s);
}

cap_loan cap_ledger::lend(cap_id borrower, timestamp now)
{
    cap_loan loan{this->counted_nodes, false, this->view_digest, {}};
    const auto found = this->nodes.find(borrower);
    if (found == this->nodes.end() || !found->second.reachable || !found->second.in_view ||
        now < found->second.lend_from || !this->owns_share(now)) {
        return loan;
    }
    found->second.lent_until = now + loan_time;
    loan.lends = true;
    if (this->out_of_view->size() <= max_missing) {
        std::transform(this->out_of_view->begin(), this->out_of_view->end(), std::back_inserter(loan.missing),
                       lower_half);
    }
    return loan;
}

void cap_ledger::borrow(cap_id lender, const cap_loan& loan, timestamp ping_sent, timestamp now)
{
    if (loan.nodes >= this->stated_nodes || this->stated_until <= now) {
        this->stated_nodes = loan.nodes;
        this->stated_until = now + stated_time;
    }
    const auto found = this->nodes.find(lender);
    if (!loan.lends || found == this->nodes.end() || lender == this->self) {
        return;
    }
    auto missing = this->out_of_view;
    if (loan.view != this->view_digest) {
        // The lender's view differs. Its homes are known if it selects them among all others than it names.
        auto named = std::make_shared<node_list>();
        std::uint32_t expected{};
        for (const auto& [node, state] : this->nodes) {
            if (std::find(loan.missing.begin(), loan.missing.end(), lower_half(node)) != loan.missing.end()) {
                named->push_back(node);
            }
            else if (state.counted) {
                expected ^= lower_half(node);
            }
        }
        if (expected != loan.view) {
            return;
        }
        missing = std::move(named);
    }
    auto& state = found->second;
    state.share = 1.0 / std::max(loan.nodes, this->node_count(now));
    state.borrowed_until = ping_sent + loan_time;
    state.missing = std::move(missing);
}

cap_grant cap_ledger::take(cap_id account, std::uint32_t wanted, timestamp now)
{
    this->refresh(now);
    const auto found = this->buckets.find(account);
    if (found == this->buckets.end()) {
        return {0, loan_time / 4, true};
    }
    auto& entry = found->second;
    this->fill(entry, entry.share, now);
    cap_grant grant{std::min(wanted, static_cast<std::uint32_t>(entry.tokens)), microseconds{0}, false};
    entry.tokens -= grant.granted;
    if (grant.granted < wanted) {
        const auto rate = this->fill_rate(entry) * entry.share;
        const auto ahead = std::max(1.0 - entry.tokens, entry.refused);
        const auto longest = seconds_of(this->tolerance.window);
        entry.refused += wanted - grant.granted;
        grant.unavailable = entry.share <= majority;
        const auto wait = rate * longest > ahead ? ahead / rate : longest;
        grant.wait = grant.unavailable
                         ? loan_time / 4
                         : std::max(min_wait, microseconds{static_cast<microseconds::rep>(1e6 * wait)});
    }
    return grant;
}

std::optional<cap_id> cap_ledger::home_of(cap_id account) const
{
    const auto found = this->buckets.find(account);
    return found != this->buckets.end() ? std::optional{found->second.home} : std::nullopt;
}

double cap_ledger::share_of(cap_id account) const
{
    const auto found = this->buckets.find(account);
    return found != this->buckets.end() ? found->second.share : 0.0;
}

std::size_t cap_ledger::home_count() const
{
    return static_cast<std::size_t>(
        std::count_if(this->buckets.begin(), this->buckets.end(),
                      [this](const auto& entry) { return entry.second.home == this->self; }));
}

double cap_ledger::mean_share() const
{
    double sum{};
    for (const auto& [account, entry] : this->buckets) {
        sum += entry.share;
    }
    return sum / static_cast<double>(std::max(this->home_count(), std::size_t{1}));
}

} // namespace kumquatdrift
