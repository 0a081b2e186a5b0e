#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <kumquatdrift/routing/choose.hpp>
#include <kumquatdrift/routing/holder.hpp>
#include <kumquatdrift/routing/match.hpp>

#include "support/fuzz_main.hpp"
#include "support/mesh_builders.hpp"

namespace kumquatdrift {
namespace {

enum class step_kind : std::uint8_t {
    set_target,
    remove_target,
    set_member,
    publish_view,
    synchronise,
    offer_older_view,
    offer_config,
    offer_invalid_config,
    advance,
    choose,
    finish,
    fail_node,
};

} // namespace

template<>
struct enum_names<step_kind> {
    static constexpr std::array<std::pair<step_kind, std::string_view>, 12> table{{
        {step_kind::set_target, "set_target"},
        {step_kind::remove_target, "remove_target"},
        {step_kind::set_member, "set_member"},
        {step_kind::publish_view, "publish_view"},
        {step_kind::synchronise, "synchronise"},
        {step_kind::offer_older_view, "offer_older_view"},
        {step_kind::offer_config, "offer_config"},
        {step_kind::offer_invalid_config, "offer_invalid_config"},
        {step_kind::advance, "advance"},
        {step_kind::choose, "choose"},
        {step_kind::finish, "finish"},
        {step_kind::fail_node, "fail_node"},
    }};
};

namespace {

constexpr std::uint32_t node_count = 5;
constexpr std::uint32_t service_count = 4;
constexpr milliseconds max_pending_time{2'000};

// Beyond this number of pending versions, a new version replaces the newest pending one and keeps its
// deadline, which is earlier than its own.
constexpr std::size_t max_exact_pending = 8;

struct step {
    step_kind kind{};
    std::uint32_t first{};
    std::uint32_t second{};
};

std::ostream& operator<<(std::ostream& stream, const step& printed)
{
    return stream << to_name(printed.kind) << '(' << printed.first << ',' << printed.second << ')';
}

rc::Gen<step> any_step()
{
    const auto last = static_cast<std::uint32_t>(enum_names<step_kind>::table.size());
    const auto make = [](std::uint32_t kind, std::uint32_t first, std::uint32_t second) {
        return step{static_cast<step_kind>(kind), first, second};
    };
    return rc::gen::apply(make, rc::gen::inRange(0U, last), rc::gen::inRange(0U, 64U),
                          rc::gen::inRange(0U, 64U));
}

std::string node_name(std::uint32_t number)
{
    return "n" + std::to_string(number % node_count);
}

std::string service_name(std::uint32_t number)
{
    return "s" + std::to_string(number % service_count);
}

struct accepted_version {
    timestamp arrival{};
    std::uint64_t synchronisations{};
    std::set<std::string> services{};
    bool has_known_services{};
};

// Returns the endpoints that a service has in a view, by the rules of the design page and without the code
// under test.
std::set<std::string> expected_endpoints(const member_view& view, const std::string& service)
{
    std::set<std::string> keys;
    for (const auto& [name, entry] : view.members) {
        for (const auto& target : entry.record.targets) {
            const auto is_unavailable =
                entry.status == member_status::dead || entry.status == member_status::unreachable;
            const auto is_leaving = entry.record.state != member_state::alive;
            if (!is_unavailable && !is_leaving && target.state != target_state::draining &&
                target.service == service) {
                keys.insert(name + '/' + target.id);
            }
        }
    }
    return keys;
}

class routing_world {
public:
    explicit routing_world(std::uint64_t seed) : rng{seed}
    {
        this->member_table.self = "n0";
        for (std::uint32_t number = 0; number < node_count; ++number) {
            auto& record = this->member_table.members[node_name(number)].record;
            record.node = node_name(number);
            record.data_centre = number < 3 ? "alfama" : "belem";
            record.state = member_state::alive;
        }
        this->publish_view(false);
    }

    void apply(const step& next)
    {
        switch (next.kind) {
        case step_kind::set_target:
            this->set_target(next);
            break;
        case step_kind::remove_target:
            this->targets_of(next.first).clear();
            break;
        case step_kind::set_member:
            this->set_member(next);
            break;
        case step_kind::publish_view:
            this->publish_view(false);
            break;
        case step_kind::synchronise:
            this->publish_view(true);
            break;
        case step_kind::offer_older_view:
            this->holder.offer_view(this->views[next.first % this->views.size()], this->now);
            break;
        case step_kind::offer_config:
            this->offer(next, false);
            break;
        case step_kind::offer_invalid_config:
            this->offer(next, true);
            break;
        case step_kind::advance:
            this->now += milliseconds{next.first * 20};
            this->holder.tick(this->now);
            break;
        case step_kind::choose:
            this->choose(next);
            break;
        case step_kind::finish:
            this->finish(next);
            break;
        case step_kind::fail_node:
            this->loads.on_node_failed(node_name(next.first), this->now);
            break;
        }
        this->check();
    }

private:
    std::vector<target_record>& targets_of(std::uint32_t node)
    {
        return this->member_table.members[node_name(node)].record.targets;
    }

    void set_target(const step& next)
    {
        auto& targets = this->targets_of(next.first);
        const auto id = "t" + std::to_string(next.second % 2);
        const auto found = std::find_if(targets.begin(), targets.end(),
                                        [&](const target_record& target) { return target.id == id; });
        auto& target = found == targets.end() ? targets.emplace_back() : *found;
        target.id = id;
        target.service = service_name(next.second / 2);
        target.slots = next.first % 4;
        target.state = static_cast<target_state>(next.second / 8 % 3);
    }

    void set_member(const step& next)
    {
        auto& entry = this->member_table.members[node_name(next.first)];
        entry.status = static_cast<member_status>(next.second % 4);
        entry.record.state = static_cast<member_state>(next.second / 4 % 4);
    }

    void publish_view(bool synchronised)
    {
        ++this->member_table.generation;
        ++this->member_table.endpoint_generation;
        this->member_table.synchronisations += synchronised ? 1 : 0;
        this->views.push_back(std::make_shared<member_view>(this->member_table));
        this->holder.offer_view(this->views.back(), this->now);
    }

    void offer(const step& next, bool invalid)
    {
        std::set<std::string> names;
        for (std::uint32_t number = 0; number < service_count; ++number) {
            if ((next.second >> number & 1U) != 0) {
                names.insert(service_name(number));
            }
        }
        const std::vector<std::string> listed{names.begin(), names.end()};
        auto config = std::make_shared<effective_config>(make_config(next.first, listed));
        for (auto& [name, service] : config->services) {
            service.spill_over = next.second % 2 == 0;
        }
        if (invalid) {
            config->routes["broken"].service = "absent";
        }
        const auto before = this->holder.current();
        const auto has_known_services =
            before &&
            std::includes(this->accepted.at(before->version).services.begin(),
                          this->accepted.at(before->version).services.end(), names.begin(), names.end());
        this->holder.offer_config(config, this->now);
        const auto is_newer = next.first > this->newest_accepted;
        if (!invalid && is_newer) {
            this->newest_accepted = next.first;
            this->accepted[next.first] = {this->now, this->member_table.synchronisations, names,
                                          has_known_services};
        }
    }

    void choose(const step& next)
    {
        const auto snapshot = this->holder.current();
        if (!snapshot || snapshot->services.empty()) {
            return;
        }
        this->loads.update_endpoints(*snapshot, this->now);
        const auto& service = snapshot->services[next.first % snapshot->services.size()];
        std::vector<std::string> excluded;
        if (!service.endpoints.empty() && next.second % 4 == 0) {
            excluded.push_back(service.endpoints[next.second % service.endpoints.size()].key);
        }
        const auto choice = choose_endpoint(service, this->loads, excluded, this->now, this->rng);
        this->check_choice(service, excluded, choice);
        if (choice.endpoint) {
            this->in_flight.push_back(service.endpoints[*choice.endpoint]);
            this->loads.on_sent(this->in_flight.back().key, this->now);
        }
    }

    void check_choice(const routed_service& service, const std::vector<std::string>& excluded,
                      const endpoint_choice& choice) const
    {
        std::vector<const endpoint*> usable;
        for (const auto& candidate : service.endpoints) {
            const auto is_excluded = std::count(excluded.begin(), excluded.end(), candidate.key) > 0;
            if (!is_excluded && (candidate.local || service.config.spill_over)) {
                usable.push_back(&candidate);
            }
        }
        RC_ASSERT(choice.endpoint.has_value() == !usable.empty());
        if (!choice.endpoint) {
            RC_ASSERT(choice.retry_after.count() > 0);
            return;
        }
        const auto* chosen = &service.endpoints.at(*choice.endpoint);
        RC_ASSERT(std::count(usable.begin(), usable.end(), chosen) == 1);
        const auto is_ejected = [this](const endpoint* candidate) {
            return this->loads.is_ejected(*candidate, this->now);
        };
        RC_ASSERT(!is_ejected(chosen) || std::all_of(usable.begin(), usable.end(), is_ejected));
    }

    void finish(const step& next)
    {
        if (this->in_flight.empty()) {
            return;
        }
        const auto index = next.first % this->in_flight.size();
        const auto finished = this->in_flight[index];
        this->in_flight.erase(this->in_flight.begin() + static_cast<std::ptrdiff_t>(index));
        this->loads.on_response(finished, load_report{next.second % 12, next.second % 5, 1 + next.first % 10},
                                this->now);
        this->loads.on_done(finished.key);
    }

    void check()
    {
        this->check_pending_versions();
        const auto snapshot = this->holder.current();
        if (!snapshot) {
            return;
        }
        RC_ASSERT(snapshot->version >= this->last_version);
        if (snapshot->version > this->last_version) {
            this->check_newly_published(*snapshot);
            this->last_version = snapshot->version;
        }
        RC_ASSERT(snapshot->generation == this->member_table.generation);
        this->check_contents(*snapshot, *this->views.back());
    }

    void check_pending_versions() const
    {
        const auto snapshot = this->holder.current();
        const auto in_force = snapshot ? snapshot->version : 0;
        for (const auto& [version, record] : this->accepted) {
            RC_ASSERT(version <= in_force || !record.has_known_services);
            RC_ASSERT(version <= in_force || this->now < record.arrival + max_pending_time);
            RC_ASSERT(version <= in_force || this->member_table.synchronisations == record.synchronisations);
        }
    }

    void check_newly_published(const routing_snapshot& snapshot) const
    {
        const auto record = this->accepted.find(snapshot.version);
        RC_ASSERT(record != this->accepted.end());
        const auto may_be_in_force = record->second.has_known_services ||
                                     this->member_table.synchronisations > record->second.synchronisations ||
                                     this->now >= record->second.arrival + max_pending_time;
        const auto skipped = std::distance(this->accepted.upper_bound(this->last_version), record);
        RC_ASSERT(may_be_in_force || static_cast<std::size_t>(skipped) >= max_exact_pending);
    }

    void check_contents(const routing_snapshot& snapshot, const member_view& view) const
    {
        const auto& services = this->accepted.at(snapshot.version).services;
        RC_ASSERT(snapshot.services.size() == services.size());
        RC_ASSERT(snapshot.routes.size() == services.size());
        for (const auto& route : snapshot.routes) {
            RC_ASSERT(route.service < snapshot.services.size());
            RC_ASSERT(snapshot.services[route.service].config.name == route.config.service);
        }
        for (const auto& service : snapshot.services) {
            RC_ASSERT(services.contains(service.config.name));
            std::set<std::string> keys;
            for (const auto& candidate : service.endpoints) {
                RC_ASSERT(keys.insert(candidate.key).second);
                RC_ASSERT(candidate.slots > 0);
                const auto is_local = view.members.at(candidate.node).record.data_centre == "alfama";
                RC_ASSERT(candidate.local == is_local);
            }
            RC_ASSERT(keys == expected_endpoints(view, service.config.name));
        }
    }

    random_engine rng;
    timestamp now{milliseconds{1}};
    member_view member_table{};
    std::vector<member_view_ptr> views{};
    snapshot_holder holder{max_pending_time};
    load_table loads{};
    std::vector<endpoint> in_flight{};
    std::map<config_version, accepted_version> accepted{};
    config_version newest_accepted{};
    config_version last_version{};
};

void run_round(std::uint64_t seed, fuzz_budget& budget)
{
    constexpr int cases = 50;
    constexpr int largest_size = 120;
    check_property(seed, cases, largest_size, [&budget] {
        const auto steps = *rc::gen::container<std::vector<step>>(any_step());
        routing_world world{*rc::gen::arbitrary<std::uint32_t>()};
        for (const auto& next : steps) {
            world.apply(next);
        }
        budget.count(steps.size());
    });
}

} // namespace
} // namespace kumquatdrift

int main(int argc, char** argv)
{
    return kumquatdrift::run_fuzz(argc, argv, "fuzz_routing", kumquatdrift::run_round);
}
