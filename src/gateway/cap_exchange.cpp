#include "cap_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include <kumquatdrift/core/digest.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Interval at which the reachable nodes are updated. */
constexpr microseconds update_interval{100'000};
/*! @brief Interval at which metrics and changes are reported. */
constexpr microseconds report_interval{1'000'000};
/*! @brief Time after which a node that announced its end and is unreachable no longer has a share. A restart
 *         takes less. */
constexpr microseconds departure_time{60'000'000};
/*! @brief Time to come back after if the home node of an account doesn't respond; by then another node is
 *         often its home. */
constexpr microseconds home_outage{400'000};
/*! @brief Maximum number of requests of one account that wait for tokens. */
constexpr std::size_t max_waiting = 1'000;

std::string_view to_name(cap_verdict verdict) noexcept
{
    return verdict == cap_verdict::admitted   ? "admitted"
           : verdict == cap_verdict::over_cap ? "over_cap"
                                              : "unavailable";
}

counter& requests_counter(metrics_registry& metrics, cap_verdict verdict)
{
    return metrics.counter_of("gateway_cap_requests_total",
                              "Requests of accounts with a usage cap by verdict",
                              {{"verdict", std::string{to_name(verdict)}}});
}

} // namespace

cap_exchange::cap_exchange(dependencies components)
    : shared{std::move(components)}, admitted{requests_counter(this->shared.metrics, cap_verdict::admitted)},
      over_cap{requests_counter(this->shared.metrics, cap_verdict::over_cap)},
      unavailable{requests_counter(this->shared.metrics, cap_verdict::unavailable)},
      tokens_asked{this->shared.metrics.counter_of("gateway_cap_tokens_asked_total",
                                                   "Tokens that home nodes were asked for")},
      tokens_granted{this->shared.metrics.counter_of("gateway_cap_tokens_granted_total",
                                                     "Tokens that home nodes have granted to this node")},
      homes{this->shared.metrics.gauge_of("gateway_cap_homes", "Accounts whose home this node is")},
      held_permille{this->shared.metrics.gauge_of(
          "gateway_cap_held_permille",
          "Mean share of the caps that this node holds of the accounts whose home it is")}
{
}

void cap_exchange::start(std::string_view node, const usage_cap_settings& tolerance)
{
    this->self = digest(node);
    this->ledger = cap_ledger{this->self, {tolerance.window, tolerance.excess, tolerance.slack}};
}

void cap_exchange::set_accounts(const std::vector<client_account>& configured, timestamp now)
{
    std::vector<account_cap> caps{};
    std::unordered_map<cap_id, account_state> updated{};
    for (const auto& account : configured) {
        if (account.rate_per_s > 0.0) {
            const auto id = digest(account.name);
            caps.push_back({id, account.rate_per_s, account.burst});
            updated[id] = std::move(this->accounts[id]);
            this->accounts.erase(id);
        }
    }
    if (!caps.empty()) {
        this->update_nodes(false, now);
    }
    this->ledger.set_caps(caps, now);
    std::swap(this->accounts, updated);
    // What is left had a cap that was removed.
    for (auto& [id, state] : updated) {
        for (const auto& waiting : std::exchange(state.waiting, {})) {
            this->decide(waiting.done, {cap_verdict::admitted, microseconds{0}});
        }
    }
}

cap_exchange::ticket cap_exchange::request(std::string_view account, timestamp now, decision_callback done)
{
    const auto id = digest(account);
    const auto found = this->accounts.find(id);
    if (found == this->accounts.end()) {
        done({cap_verdict::admitted, microseconds{0}});
        return 0;
    }
    auto& state = found->second;
    if (state.waiting.empty() && state.tokens.try_use(now)) {
        this->decide(done, {cap_verdict::admitted, microseconds{0}});
        return 0;
    }
    if (const auto refusal = state.tokens.refusal(now); refusal && state.waiting.empty()) {
        this->decide(
            done, {refusal->unavailable ? cap_verdict::unavailable : cap_verdict::over_cap, refusal->wait});
        return 0;
    }
    if (state.waiting.size() >= max_waiting) {
        this->decide(done, {cap_verdict::unavailable, home_outage});
        return 0;
    }
    const auto own_ticket = ++this->last_ticket;
    this->waiting_accounts.insert(id);
    state.waiting.push_back({own_ticket, std::move(done)});
    this->ask(id, state, now);
    const auto& waiting = this->accounts[id].waiting;
    return !waiting.empty() && waiting.back().id == own_ticket ? own_ticket : 0;
}

void cap_exchange::cancel(std::string_view account, ticket id)
{
    const auto found = this->accounts.find(digest(account));
    if (found != this->accounts.end()) {
        std::erase_if(found->second.waiting,
                      [id](const waiting_request& waiting) { return waiting.id == id; });
    }
}

void cap_exchange::ask(cap_id account, account_state& state, timestamp now)
{
    const auto wanted = state.tokens.ask(state.waiting.size(), now);
    if (wanted == 0) {
        return;
    }
    const auto number = state.tokens.outstanding();
    const auto home = this->ledger.home_of(account);
    if (!home || *home == this->self) {
        const auto waiting = static_cast<std::uint32_t>(state.waiting.size());
        state.tokens.on_grant(number, this->ledger.take(account, waiting, now), now);
        this->serve_waiting(account, now);
        return;
    }
    this->tokens_asked.add(wanted);
    hop::Frame frame{};
    frame.mutable_cap_request()->set_account(account);
    frame.mutable_cap_request()->set_number(number);
    frame.mutable_cap_request()->set_wanted(wanted);
    const auto node = this->nodes.find(*home);
    if (node == this->nodes.end() || !this->shared.send(node->second.name, frame)) {
        state.tokens.on_grant(number, {0, home_outage, true}, now);
        this->serve_waiting(account, now);
    }
}

void cap_exchange::serve_waiting(cap_id account, timestamp now)
{
    // A callback may add requests, or change the accounts.
    for (auto found = this->accounts.find(account);
         found != this->accounts.end() && !found->second.waiting.empty() && found->second.tokens.try_use(now);
         found = this->accounts.find(account)) {
        const auto served = std::move(found->second.waiting.front());
        found->second.waiting.pop_front();
        this->decide(served.done, {cap_verdict::admitted, microseconds{0}});
    }
    const auto found = this->accounts.find(account);
    if (found == this->accounts.end() || found->second.waiting.empty()) {
        return;
    }
    if (const auto refusal = found->second.tokens.refusal(now)) {
        this->refuse_waiting(found->second, *refusal);
    }
    else {
        this->ask(account, found->second, now);
    }
}

void cap_exchange::refuse_waiting(account_state& state, const cap_grant& grant)
{
    for (const auto& waiting : std::exchange(state.waiting, {})) {
        this->decide(waiting.done,
                     {grant.unavailable ? cap_verdict::unavailable : cap_verdict::over_cap, grant.wait});
    }
}

void cap_exchange::decide(const decision_callback& done, const cap_decision& decision)
{
    (decision.verdict == cap_verdict::admitted   ? this->admitted
     : decision.verdict == cap_verdict::over_cap ? this->over_cap
                                                 : this->unavailable)
        .add();
    done(decision);
}

void cap_exchange::on_ping(hop::Pong& pong, const std::string& node, timestamp now)
{
    if (this->ledger.empty()) {
        return;
    }
    const auto loan = this->ledger.lend(digest(node), now);
    pong.set_cap_nodes(loan.nodes);
    if (loan.lends) {
        pong.set_cap_view(loan.view);
        pong.mutable_cap_missing()->Add(loan.missing.begin(), loan.missing.end());
    }
}

void cap_exchange::on_pong(const std::string& node, const hop::Pong& pong, timestamp now)
{
    if (this->ledger.empty() || pong.cap_nodes() == 0) {
        return;
    }
    // The number of a ping is the time at which it was sent.
    const timestamp sent{microseconds{static_cast<microseconds::rep>(pong.number())}};
    this->ledger.borrow(digest(node),
                        {pong.cap_nodes(),
                         pong.has_cap_view(),
                         pong.cap_view(),
                         {pong.cap_missing().begin(), pong.cap_missing().end()}},
                        std::min(sent, now), now);
}

hop::CapResponse cap_exchange::on_request(const hop::CapRequest& message, timestamp now)
{
    const auto grant = this->ledger.take(message.account(), message.wanted(), now);
    hop::CapResponse response{};
    response.set_account(message.account());
    response.set_number(message.number());
    response.set_granted(grant.granted);
    response.set_wait_ms(static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(grant.wait).count()));
    response.set_unavailable(grant.unavailable);
    return response;
}

void cap_exchange::on_response(const hop::CapResponse& message, timestamp now)
{
    const auto found = this->accounts.find(message.account());
    if (found != this->accounts.end() &&
        found->second.tokens.on_grant(
            message.number(), {message.granted(), milliseconds{message.wait_ms()}, message.unavailable()},
            now)) {
        this->tokens_granted.add(message.granted());
        this->serve_waiting(message.account(), now);
    }
}

void cap_exchange::on_tick(bool leaving, timestamp now)
{
    if (this->ledger.empty()) {
        return;
    }
    if (this->next_update <= now) {
        this->next_update = now + update_interval;
        this->update_nodes(leaving, now);
    }
    this->ledger.refresh(now);
    for (const auto account : std::exchange(this->waiting_accounts, {})) {
        const auto found = this->accounts.find(account);
        if (found == this->accounts.end() || found->second.waiting.empty()) {
            continue;
        }
        if (found->second.tokens.expire(now)) {
            this->refuse_waiting(found->second, {0, home_outage, true});
        }
        else {
            this->waiting_accounts.insert(account);
        }
    }
    this->report(now);
}

void cap_exchange::update_nodes(bool leaving, timestamp now)
{
    this->ledger.set_node(this->self, !leaving, true);
    for (const auto& [name, member] : this->shared.members.all()) {
        const auto id = digest(name);
        auto& state = this->nodes[id];
        if (state.name.empty()) {
            state = {name, now};
        }
        if (member.reachable) {
            state.reachable_at = now;
        }
        const auto gone = member.record.leaving && now - state.reachable_at > departure_time;
        this->ledger.set_node(id, member.reachable && !member.record.leaving, !gone);
    }
}

void cap_exchange::report(timestamp now)
{
    if (now < this->next_report) {
        return;
    }
    this->next_report = now + report_interval;
    this->homes.set(static_cast<std::int64_t>(this->ledger.home_count()));
    this->held_permille.set(std::lround(this->ledger.mean_share() * 1'000.0));
    if (std::exchange(this->reported_changes, this->ledger.view_changes()) != this->ledger.view_changes()) {
        this->shared.log.write(log_level::info, event_class::state, "caps", "cap_homes_changed",
                               "accounts={} homes={} held_permille={} nodes={} known={}",
                               this->accounts.size(), this->homes.value(), this->held_permille.value(),
                               this->ledger.view_size(), this->shared.members.all().size() + 1);
    }
}

} // namespace kumquatdrift
