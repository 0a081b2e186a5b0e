#include "replay/traffic_replayer.hpp"

#include <algorithm>
#include <array>
#include <set>

#include <kumquatdrift/core/digest.hpp>
#include <kumquatdrift/routing/match.hpp>

#include "support/mesh_builders.hpp"

namespace kumquatdrift {
namespace {

constexpr std::uint32_t default_slots = 2;

// Parses a duration of the form `120ms`.
std::optional<milliseconds> parse_duration(std::istream& words)
{
    milliseconds::rep count{};
    std::string unit;
    if (!(words >> count >> unit) || unit != "ms") {
        return std::nullopt;
    }
    return milliseconds{count};
}

std::optional<std::string> compare(const std::string& expected, const std::string& actual)
{
    return expected == actual ? std::nullopt
                              : std::optional{"expected '" + expected + "', got '" + actual + "'"};
}

std::string remaining_words(std::istringstream& words)
{
    std::string text;
    for (std::string word; words >> word;) {
        text += text.empty() ? word : ' ' + word;
    }
    return text;
}

} // namespace

traffic_replayer::traffic_replayer()
{
    this->view.self = "entry";
}

traffic_replayer::failure_text traffic_replayer::run(const std::string& line)
{
    std::istringstream words{line};
    std::string first;
    if (!(words >> first) || first.starts_with('#')) {
        return std::nullopt;
    }
    if (first == "expect") {
        return this->expect(words);
    }
    const auto time = parse_duration(words);
    std::string action;
    if (first != "at" || !time || !(words >> action)) {
        return "malformed line";
    }
    if (action == "resumes") {
        this->now = timestamp{*time};
        return std::nullopt;
    }
    this->advance_to(timestamp{*time});
    return this->execute(action, words);
}

traffic_replayer::failure_text traffic_replayer::execute(const std::string& action, std::istringstream& words)
{
    if (action == "config") {
        return this->offer_config(words);
    }
    if (action == "view") {
        return this->offer_view(words);
    }
    if (action == "call") {
        return this->start_call(words);
    }
    if (action == "gossip") {
        this->exchange_advisories();
        return std::nullopt;
    }
    if (action == "entry_restarts") {
        this->loads = {};
        this->quarantine = crash_quarantine{};
        this->budget = {};
        return std::nullopt;
    }
    std::string name;
    words >> name;
    if (action == "late_view") {
        this->snapshots.offer_view(this->views.at(std::stoul(name)), this->now);
        return std::nullopt;
    }
    if (const auto found = this->calls.find(name); found != this->calls.end()) {
        return this->execute_on_call(action, found->second);
    }
    return this->execute_on_target(action, name, words);
}

traffic_replayer::failure_text traffic_replayer::execute_on_call(const std::string& action, call& subject)
{
    if (action == "lose_answer") {
        subject.response_lost = true;
        return std::nullopt;
    }
    if (action == "finish" && subject.state == call_state::running) {
        this->end_execution(subject, {hop_peer::target, hop_end::answered, 100, 200, {}});
        return std::nullopt;
    }
    if (action == "cancel" && subject.state != call_state::ended) {
        this->cancel(subject);
        return std::nullopt;
    }
    return "action does not fit the call, which is " + this->describe(subject);
}

traffic_replayer::failure_text traffic_replayer::execute_on_target(const std::string& action,
                                                                   const std::string& name,
                                                                   std::istringstream& words)
{
    const auto found = this->targets.find(name);
    if (found == this->targets.end()) {
        return "unknown call or target '" + name + "'";
    }
    auto& node = found->second;
    if (action == "target_dies") {
        node.is_crashed = true;
        node.quarantine.on_target_crashed(node.control.fingerprints_in_flight(), name + "/t", this->now);
        for (auto& [other, subject] : this->calls) {
            if (subject.state == call_state::running && subject.target == name) {
                this->end_execution(subject, {hop_peer::target, hop_end::connection_lost, 100, {}, {}});
            }
        }
        return std::nullopt;
    }
    if (action == "drains") {
        this->reject(node.control.drain());
        return std::nullopt;
    }
    if (action == "slots") {
        std::uint32_t slots{};
        words >> slots;
        for (const auto id : node.control.announce({.slots = slots}, this->now)) {
            this->start(id);
        }
        return std::nullopt;
    }
    node.is_crashed = node.is_crashed && action != "target_restarts";
    node.rejects_connections =
        action == "node_refuses" || (node.rejects_connections && action != "node_accepts");
    const std::set<std::string> known{"target_restarts", "node_refuses", "node_accepts"};
    return known.contains(action) ? std::nullopt : failure_text{"unknown action '" + action + "'"};
}

traffic_replayer::failure_text traffic_replayer::expect(std::istringstream& words)
{
    std::string what;
    std::string name;
    words >> what;
    const auto snapshot = this->snapshots.current();
    if (what == "version") {
        return compare(remaining_words(words), std::to_string(snapshot ? snapshot->version : 0));
    }
    words >> name;
    if (what == "call" && this->calls.contains(name)) {
        return compare(remaining_words(words), this->describe(this->calls.at(name)));
    }
    if (what == "runs" && this->calls.contains(name)) {
        return compare(remaining_words(words), std::to_string(this->calls.at(name).executions));
    }
    if (what == "load" && this->targets.contains(name)) {
        return compare(remaining_words(words), format_load(this->targets.at(name).control.load(this->now)));
    }
    if (what == "endpoints" && snapshot) {
        std::string names;
        for (const auto& service : snapshot->services) {
            for (const auto& candidate : service.endpoints) {
                names += service.config.name == name ? (names.empty() ? "" : " ") + candidate.node : "";
            }
        }
        return compare(remaining_words(words), names);
    }
    return "malformed expectation, or unknown call or target";
}

traffic_replayer::failure_text traffic_replayer::offer_config(std::istringstream& words)
{
    config_version version{};
    words >> version;
    std::vector<std::string> services;
    bool is_broken = false;
    for (std::string word; words >> word;) {
        is_broken = is_broken || word == "broken";
        if (word != "broken") {
            services.push_back(word);
        }
    }
    auto config = std::make_shared<effective_config>(make_config(version, services));
    if (is_broken) {
        config->routes["broken"].service = "absent";
    }
    this->snapshots.offer_config(std::move(config), this->now);
    return std::nullopt;
}

traffic_replayer::failure_text traffic_replayer::offer_view(std::istringstream& words)
{
    this->view.members.clear();
    ++this->view.generation;
    ++this->view.endpoint_generation;
    for (std::string word; words >> word;) {
        if (word == "synchronised") {
            ++this->view.synchronisations;
            continue;
        }
        std::istringstream parts{word};
        std::string name;
        std::string service;
        std::string flag;
        std::getline(parts, name, '/');
        std::getline(parts, service, '/');
        std::getline(parts, flag, '/');
        auto& entry = add_node(this->view, name, flag == "far" ? "belem" : "alfama", service, default_slots);
        entry.status = from_name<member_status>(flag).value_or(member_status::alive);
        entry.record.targets[0].state = from_name<target_state>(flag).value_or(target_state::ready);
        const admission_settings settings{.slots = default_slots, .queue_limit = 2};
        this->targets.try_emplace(name, target_node{.control = admission{settings, this->now}});
    }
    this->views.push_back(std::make_shared<member_view>(this->view));
    this->snapshots.offer_view(this->views.back(), this->now);
    return std::nullopt;
}

traffic_replayer::failure_text traffic_replayer::start_call(std::istringstream& words)
{
    std::string name;
    call started{};
    words >> name >> started.path;
    started.id = this->calls.size() + 1;
    started.fingerprint = digest(name);
    started.deadline = this->now + milliseconds{1'000};
    for (std::string word; words >> word;) {
        std::string like;
        if (word == "to") {
            words >> started.first_target;
        }
        else if (word == "idempotent") {
            started.route.idempotent = true;
        }
        else if (word == "like" && words >> like) {
            started.fingerprint = digest(like);
        }
        else if (const auto time = word == "deadline" ? parse_duration(words) : std::nullopt) {
            started.deadline = this->now + *time;
        }
        else {
            return "unknown word '" + word + "'";
        }
    }
    const auto [position, is_new] = this->calls.emplace(name, std::move(started));
    if (!is_new) {
        return "the call already exists";
    }
    this->budget.on_first_attempt(position->second.route.retry.budget_percent);
    this->start_attempt(position->second);
    return std::nullopt;
}

void traffic_replayer::advance_to(timestamp until)
{
    constexpr milliseconds step{1};
    for (; this->now < until; this->now = std::min(until, this->now + step)) {
        this->snapshots.tick(this->now);
        for (auto& [name, node] : this->targets) {
            this->reject(node.control.expire(this->now));
        }
        for (auto& [name, subject] : this->calls) {
            if (subject.state != call_state::ended && this->now >= subject.deadline) {
                this->cancel(subject);
            }
            if (subject.state == call_state::retrying && this->now >= subject.retry_at) {
                this->start_attempt(subject);
            }
        }
    }
    this->snapshots.tick(this->now);
}

void traffic_replayer::start_attempt(call& subject)
{
    const auto snapshot = this->snapshots.current();
    const auto matched = snapshot ? match_route(*snapshot, "h", subject.path, "GET") : route_match{};
    if (!matched.route) {
        subject.state = call_state::ended;
        return;
    }
    this->loads.update_endpoints(*snapshot, this->now);
    const auto& service = snapshot->services[snapshot->routes[*matched.route].service];
    auto chosen = choose_endpoint(service, this->loads, subject.tried_targets, this->now, this->rng).endpoint;
    for (std::size_t index = 0; index < service.endpoints.size(); ++index) {
        if (subject.attempts == 0 && service.endpoints[index].node == subject.first_target) {
            chosen = index;
        }
    }
    if (!chosen) {
        subject.state = call_state::ended;
        return;
    }
    this->send(subject, service.endpoints[*chosen]);
}

void traffic_replayer::send(call& subject, const endpoint& chosen)
{
    const auto rejection_status = [&](crash_quarantine& checked) {
        const auto action = checked.check(subject.fingerprint, chosen.key, this->now).action;
        const auto is_busy = action == quarantine_action::reject_busy;
        const auto status = is_busy ? std::uint16_t{503} : quarantined_status;
        return is_busy || action == quarantine_action::reject ? std::optional{status} : std::nullopt;
    };
    if (rejection_status(this->quarantine)) {
        subject.state = call_state::ended;
        return;
    }
    ++subject.attempts;
    subject.tried_targets.push_back(chosen.key);
    subject.target = chosen.node;
    this->loads.on_sent(chosen.key, this->now);
    auto& node = this->targets.at(chosen.node);
    if (node.rejects_connections) {
        this->loads.on_node_failed(chosen.node, this->now);
        this->end_attempt(subject, {hop_peer::node, hop_end::connect_refused, 0, {}, {}});
        return;
    }
    if (const auto status = rejection_status(node.quarantine)) {
        this->end_attempt(subject, {hop_peer::node, hop_end::answered, 100, status, "not_run"});
        return;
    }
    const auto kind = node.control.offer({subject.id, subject.deadline, subject.fingerprint}, this->now).kind;
    subject.state = call_state::queued;
    if (kind == admission_kind::rejected) {
        this->reject({subject.id});
    }
    if (kind == admission_kind::admitted) {
        this->start(subject.id);
    }
}

void traffic_replayer::start(request_id id)
{
    auto& subject = *this->find_call(id);
    subject.state = call_state::running;
    if (this->targets.at(subject.target).is_crashed) {
        this->end_execution(subject, {hop_peer::target, hop_end::connect_refused, 0, {}, {}});
        return;
    }
    ++subject.executions;
}

void traffic_replayer::reject(const std::vector<request_id>& rejected)
{
    for (const auto id : rejected) {
        auto& subject = *this->find_call(id);
        this->targets.at(subject.target)
            .quarantine.on_inconclusive_end(subject.fingerprint, subject.target + "/t");
        this->end_attempt(subject, {hop_peer::node, hop_end::answered, 100, 503, "not_run"});
    }
}

void traffic_replayer::end_execution(call& subject, const hop_observation& observed)
{
    auto& node = this->targets.at(subject.target);
    const auto key = subject.target + "/t";
    const auto effect = verdict_of(observed);
    const auto is_answered = effect == verdict::ran;
    if (is_answered) {
        node.quarantine.on_success(subject.fingerprint, key, this->now);
    }
    else {
        node.quarantine.on_inconclusive_end(subject.fingerprint, key);
    }
    const auto outcome = is_answered ? run_outcome::answered : run_outcome::failed;
    const auto admitted = node.control.finish(subject.id, outcome, this->now);
    if (subject.state != call_state::ended && !subject.response_lost) {
        const auto status = suggests_crash(observed) ? target_lost_status : std::uint16_t{503};
        const hop_observation failed_response{hop_peer::node, hop_end::answered, 100, status,
                                              to_name(effect)};
        const hop_observation successful_response{hop_peer::node, hop_end::answered, 100, 200, {}};
        this->end_attempt(subject, is_answered ? successful_response : failed_response);
    }
    for (const auto id : admitted) {
        this->start(id);
    }
}

void traffic_replayer::end_attempt(call& subject, const hop_observation& observed)
{
    const auto key = subject.target + "/t";
    const auto effect = verdict_of(observed);
    this->loads.on_done(key);
    if (effect == verdict::ran) {
        this->quarantine.on_success(subject.fingerprint, key, this->now);
    }
    else if (suggests_crash(observed)) {
        this->quarantine.on_target_crashed(std::array{subject.fingerprint}, key, this->now);
    }
    else {
        this->quarantine.on_inconclusive_end(subject.fingerprint, key);
    }
    subject.effect = combine_verdicts(subject.effect, effect);
    const failed_attempt attempt{
        subject.attempts, effect, false, true, subject.deadline, is_quarantine_rejection(observed)};
    const auto decision = effect == verdict::ran
                              ? retry_decision{}
                              : decide_retry(subject.route, attempt, this->budget, this->now, this->rng);
    subject.state = decision.delay ? call_state::retrying : call_state::ended;
    subject.retry_at = this->now + decision.delay.value_or(microseconds{0});
}

void traffic_replayer::cancel(call& subject)
{
    if (subject.state == call_state::queued) {
        const auto outcome = this->targets.at(subject.target).control.cancel(subject.id);
        subject.state = outcome == cancel_outcome::removed ? call_state::ended : subject.state;
    }
    if (subject.state == call_state::running) {
        subject.effect = combine_verdicts(subject.effect, verdict::may_have_run);
    }
    subject.state = call_state::ended;
}

void traffic_replayer::exchange_advisories()
{
    for (auto& [name, node] : this->targets) {
        for (const auto& advisory : node.quarantine.advisories(this->now)) {
            this->quarantine.on_advisory(advisory, this->now);
        }
    }
    for (auto& [name, node] : this->targets) {
        for (const auto& advisory : this->quarantine.advisories(this->now)) {
            node.quarantine.on_advisory(advisory, this->now);
        }
    }
}

traffic_replayer::call* traffic_replayer::find_call(request_id id)
{
    const auto found = std::find_if(this->calls.begin(), this->calls.end(),
                                    [id](const auto& entry) { return entry.second.id == id; });
    return found == this->calls.end() ? nullptr : &found->second;
}

std::string traffic_replayer::describe(const call& subject) const
{
    switch (subject.state) {
    case call_state::retrying:
        return "retrying";
    case call_state::queued:
        return "queued";
    case call_state::running:
        return "running " + subject.target;
    case call_state::ended:
        return "final " + std::string{to_name(subject.effect)};
    }
    return "unknown";
}

} // namespace kumquatdrift
