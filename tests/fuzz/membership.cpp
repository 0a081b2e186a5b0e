#include <array>
#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include <membership/table.hpp>
#include <support/fuzz_main.hpp>
#include <support/simulated_mesh.hpp>

namespace kumquatdrift {
namespace {

// Documented bound: two minutes after the end of all faults, every view equals the published records.
constexpr milliseconds convergence_time{120'000};
constexpr std::size_t max_nodes = 7;
constexpr int cases_per_round = 4;
constexpr int case_size = 40;

enum class action : std::uint8_t {
    advance,
    kill,
    restart,
    pause,
    resume,
    partition,
    heal,
    partition_data_centre,
    loss,
    duplicate,
    reorder,
    target_state,
    version,
    drain,
    false_death_claim,
    replay,
};

constexpr std::array<std::string_view, 16> action_names{"advance",
                                                        "kill",
                                                        "restart",
                                                        "pause",
                                                        "resume",
                                                        "partition",
                                                        "heal",
                                                        "partition_data_centre",
                                                        "loss",
                                                        "duplicate",
                                                        "reorder",
                                                        "target_state",
                                                        "version",
                                                        "drain",
                                                        "false_death_claim",
                                                        "replay"};

struct operation {
    action kind{};
    std::size_t node{};
    std::uint32_t amount{};
};

std::ostream& operator<<(std::ostream& out, const operation& printed)
{
    return out << action_names[static_cast<std::size_t>(printed.kind)] << ' ' << printed.node << ' '
               << printed.amount;
}

rc::Gen<operation> any_operation()
{
    const auto kind = rc::gen::weightedOneOf<int>(
        {{2, rc::gen::just(0)}, {3, rc::gen::inRange(1, static_cast<int>(action_names.size()))}});
    return rc::gen::map(
        rc::gen::tuple(kind, rc::gen::inRange<std::size_t>(0, max_nodes),
                       rc::gen::inRange<std::uint32_t>(0, 100)),
        [](const std::tuple<int, std::size_t, std::uint32_t>& parts) {
            return operation{static_cast<action>(std::get<0>(parts)), std::get<1>(parts), std::get<2>(parts)};
        });
}

// Start time and sequence of a record.
using record_order = std::pair<std::uint64_t, std::uint64_t>;

// The mesh and the oracle: the record that each node published, and the newest record that each process has
// received from each node.
struct membership_world {
    simulated_mesh mesh{};
    std::map<std::pair<std::size_t, std::uint64_t>, record_order> newest_received{};
    std::vector<member_record> earlier_records{};

    explicit membership_world(std::uint64_t seed)
    {
        this->mesh.rng.seed(seed);
        for (std::size_t index = 0; index < max_nodes; ++index) {
            this->mesh.add(index < 4 ? "caruaru" : "olinda");
            this->add_all_contacts(index);
        }
    }

    // Gives a node the addresses of all nodes, so that it can reach a peer after any combination of restarts.
    void add_all_contacts(std::size_t index)
    {
        for (std::uint16_t port = 1; port <= max_nodes; ++port) {
            add_contacts(this->mesh.nodes[index].state, {{"10.0.0.1", port}});
        }
    }

    [[nodiscard]] const member_record& published_record(std::size_t index) const
    {
        const auto& state = this->mesh.nodes[index].state;
        return state.members.at(state.self).record;
    }

    void run(milliseconds duration)
    {
        this->mesh.run(duration, [] { return false; });
    }

    void apply(const operation& step)
    {
        auto& node = this->mesh.nodes[step.node];
        switch (step.kind) {
        case action::advance:
            this->run(milliseconds{50} * (step.amount < 90 ? step.amount : 10 * step.amount));
            break;
        case action::kill:
            node.running = false;
            break;
        case action::restart:
            this->mesh.restart(step.node);
            this->add_all_contacts(step.node);
            break;
        case action::pause:
        case action::resume:
            node.paused = step.kind == action::pause;
            break;
        case action::partition:
            node.partition = static_cast<int>(step.amount % 3);
            break;
        case action::heal:
        case action::partition_data_centre:
            for (auto& each : this->mesh.nodes) {
                const bool is_separated =
                    step.kind == action::partition_data_centre && each.data_centre == "olinda";
                each.partition = is_separated ? 1 : 0;
            }
            break;
        case action::loss:
            this->mesh.loss_percent = step.amount / 2;
            break;
        case action::duplicate:
            this->mesh.duplicate_percent = step.amount;
            break;
        case action::reorder:
            this->mesh.jitter = milliseconds{1 + 3 * step.amount};
            break;
        default:
            this->change_record(step);
        }
    }

    void change_record(const operation& step)
    {
        auto& node = this->mesh.nodes[step.node];
        this->earlier_records.push_back(this->published_record(step.node));
        if (step.kind == action::target_state) {
            this->mesh.publish(step.node, [&](auto& content) {
                content.targets[0].state = static_cast<target_state>(step.amount % 3);
            });
        }
        else if (step.kind == action::version) {
            this->mesh.publish(step.node, [](auto& content) { ++content.version; });
        }
        else if (step.kind == action::drain) {
            this->mesh.publish(step.node, [](auto& content) { content.state = member_state::draining; });
        }
        else if (step.kind == action::replay) {
            merge_records(node.state, {this->earlier_records[step.amount % this->earlier_records.size()]},
                          this->mesh.now);
        }
        else {
            const auto& subject = this->published_record(step.amount % max_nodes);
            const auto identity = internal::identity_of(subject.node, subject.start_time);
            internal::accept_claim(node.state, {identity, subject.sequence, member_status::dead},
                                   this->mesh.now);
        }
    }

    // A process never replaces a record by an older one and holds none that is newer than the published one.
    void check_records()
    {
        for (std::size_t observer = 0; observer < max_nodes; ++observer) {
            const auto& node = this->mesh.nodes[observer];
            for (std::size_t index = 0; node.running && index < max_nodes; ++index) {
                const auto& published = this->published_record(index);
                const auto found = node.state.members.find(internal::key_of(published.node));
                if (found == node.state.members.end()) {
                    continue;
                }
                const auto& record = found->second.record;
                const record_order received{record.start_time, record.sequence};
                auto& previous = this->newest_received[{observer * max_nodes + index, node.start_count}];
                RC_ASSERT(received >= previous);
                RC_ASSERT(received <= std::pair(published.start_time, published.sequence));
                previous = received;
            }
        }
        RC_ASSERT(this->mesh.largest_datagram <= max_datagram_bytes);
    }

    void end_faults()
    {
        this->mesh.loss_percent = 0;
        this->mesh.duplicate_percent = 0;
        this->mesh.jitter = milliseconds{1};
        for (auto& node : this->mesh.nodes) {
            node.partition = 0;
            node.paused = false;
        }
    }

    [[nodiscard]] std::string difference() const
    {
        for (std::size_t observer = 0; observer < max_nodes; ++observer) {
            if (!this->mesh.nodes[observer].running) {
                continue;
            }
            const auto view = view_of(this->mesh.nodes[observer].state);
            for (std::size_t index = 0; index < max_nodes; ++index) {
                const auto found = view->members.find(this->published_record(index).node);
                const bool known = found != view->members.end();
                if (!this->matches_published(index, known ? &found->second : nullptr)) {
                    const auto status = known ? to_name(found->second.status) : "absent";
                    return "node " + std::to_string(observer) + " sees node " + std::to_string(index) +
                           " as " + std::string{status};
                }
            }
        }
        return {};
    }

    [[nodiscard]] bool matches_published(std::size_t index, const member_entry* entry) const
    {
        const auto& node = this->mesh.nodes[index];
        if (!node.running) {
            return entry == nullptr || entry->status == member_status::dead ||
                   entry->status == member_status::unreachable;
        }
        if (entry == nullptr || entry->status != member_status::alive) {
            return false;
        }
        const auto& published = this->published_record(index);
        const auto& record = entry->record;
        return record.start_time == published.start_time && record.sequence == published.sequence &&
               record.version == published.version && record.state == published.state &&
               record.targets[0].state == published.targets[0].state;
    }
};

void run_case(std::uint64_t seed, const std::vector<operation>& operations, fuzz_budget& budget)
{
    membership_world tested{seed};
    for (const auto& step : operations) {
        tested.apply(step);
        tested.check_records();
    }
    tested.end_faults();
    const auto converged = [&] { return tested.difference().empty(); };
    for (milliseconds waited{}; waited < convergence_time && !converged(); waited += milliseconds{1'000}) {
        tested.run(milliseconds{1'000});
        tested.check_records();
    }
    budget.count(operations.size() + tested.mesh.handled_events);
    const auto difference = tested.difference();
    if (!difference.empty()) {
        RC_FAIL(difference);
    }
}

void run_round(std::uint64_t seed, fuzz_budget& budget)
{
    check_property(seed, cases_per_round, case_size, [&] {
        const auto operations = *rc::gen::container<std::vector<operation>>(any_operation());
        run_case(seed, operations, budget);
    });
}

} // namespace
} // namespace kumquatdrift

int main(int argc, char** argv)
{
    return kumquatdrift::run_fuzz(argc, argv, "fuzz_membership", kumquatdrift::run_round);
}
