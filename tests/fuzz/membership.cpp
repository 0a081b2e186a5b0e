#include <array>
#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include <membership/table.hpp>
#include <support/fuzz_main.hpp>
#include <support/mesh_pump.hpp>

namespace kumquatdrift {
namespace {

// Stated time: after all faults have ended, every view equals the truth within two minutes.
constexpr milliseconds convergence_time{120'000};
constexpr std::size_t max_nodes = 7;
constexpr int cases_per_round = 4;
constexpr int case_size = 40;

enum class action : std::uint8_t {
    advance,
    kill,
    restart,
    freeze,
    wake,
    cut,
    heal,
    cut_data_centre,
    loss,
    duplicate,
    reorder,
    target_state,
    version,
    drain,
    false_claim,
    replay,
};

constexpr std::array<std::string_view, 16> action_names{
    "advance", "kill",      "restart", "freeze",       "wake",    "cut",   "heal",        "cut_data_centre",
    "loss",    "duplicate", "reorder", "target_state", "version", "drain", "false_claim", "replay"};

struct operation {
    action kind{};
    std::size_t node{};
    std::uint32_t amount{};
};

std::ostream& operator<<(std::ostream& out, const operation& shown)
{
    return out << action_names[static_cast<std::size_t>(shown.kind)] << ' ' << shown.node << ' '
               << shown.amount;
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

using order = std::pair<std::uint64_t, std::uint64_t>;

// The mesh with its oracle: what each node published, and the highest record that each process has seen.
struct fuzzed_mesh {
    mesh_pump mesh{};
    std::map<std::pair<std::size_t, std::uint64_t>, order> highest{};
    std::vector<member_record> captured{};

    explicit fuzzed_mesh(std::uint64_t seed)
    {
        this->mesh.rng.seed(seed);
        for (std::size_t index = 0; index < max_nodes; ++index) {
            this->mesh.add(index < 4 ? "caruaru" : "olinda");
            this->introduce(index);
        }
    }

    // Every node knows all addresses, so that no combination of restarts leaves it without contact.
    void introduce(std::size_t index)
    {
        for (std::uint16_t port = 1; port <= max_nodes; ++port) {
            add_contacts(this->mesh.nodes[index].state, {{"10.0.0.1", port}});
        }
    }

    [[nodiscard]] const member_record& truth(std::size_t index) const
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
            this->introduce(step.node);
            break;
        case action::freeze:
        case action::wake:
            node.frozen = step.kind == action::freeze;
            break;
        case action::cut:
            node.side = static_cast<int>(step.amount % 3);
            break;
        case action::heal:
        case action::cut_data_centre:
            for (auto& each : this->mesh.nodes) {
                const bool away = step.kind == action::cut_data_centre && each.data_centre == "olinda";
                each.side = away ? 1 : 0;
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
            this->change(step);
        }
    }

    void change(const operation& step)
    {
        auto& node = this->mesh.nodes[step.node];
        this->captured.push_back(this->truth(step.node));
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
            merge_records(node.state, {this->captured[step.amount % this->captured.size()]}, this->mesh.now);
        }
        else {
            const auto& accused = this->truth(step.amount % max_nodes);
            const auto identity = internal::identity_of(accused.node, accused.start_time);
            internal::accept_claim(node.state, {identity, accused.sequence, member_status::dead},
                                   this->mesh.now);
        }
    }

    // No record goes backward in a process, and none is newer than what its node has published.
    void check_records()
    {
        for (std::size_t by = 0; by < max_nodes; ++by) {
            const auto& node = this->mesh.nodes[by];
            for (std::size_t index = 0; node.running && index < max_nodes; ++index) {
                const auto& own = this->truth(index);
                const auto found = node.state.members.find(internal::key_of(own.node));
                if (found == node.state.members.end()) {
                    continue;
                }
                const auto& record = found->second.record;
                const order seen{record.start_time, record.sequence};
                auto& before = this->highest[{by * max_nodes + index, node.starts}];
                RC_ASSERT(seen >= before);
                RC_ASSERT(seen <= std::pair(own.start_time, own.sequence));
                before = seen;
            }
        }
        RC_ASSERT(this->mesh.largest <= max_datagram_bytes);
    }

    void end_faults()
    {
        this->mesh.loss_percent = 0;
        this->mesh.duplicate_percent = 0;
        this->mesh.jitter = milliseconds{1};
        for (auto& node : this->mesh.nodes) {
            node.side = 0;
            node.frozen = false;
        }
    }

    [[nodiscard]] std::string difference() const
    {
        for (std::size_t by = 0; by < max_nodes; ++by) {
            if (!this->mesh.nodes[by].running) {
                continue;
            }
            const auto view = view_of(this->mesh.nodes[by].state);
            for (std::size_t index = 0; index < max_nodes; ++index) {
                const auto found = view->members.find(this->truth(index).node);
                const bool known = found != view->members.end();
                if (!this->agrees(index, known ? &found->second : nullptr)) {
                    const auto status = known ? to_name(found->second.status) : "absent";
                    return "node " + std::to_string(by) + " holds node " + std::to_string(index) + " as " +
                           std::string{status};
                }
            }
        }
        return {};
    }

    [[nodiscard]] bool agrees(std::size_t index, const member_entry* entry) const
    {
        const auto& node = this->mesh.nodes[index];
        if (!node.running) {
            return entry == nullptr || entry->status == member_status::dead ||
                   entry->status == member_status::unreachable;
        }
        if (entry == nullptr || entry->status != member_status::alive) {
            return false;
        }
        const auto& own = this->truth(index);
        const auto& record = entry->record;
        return record.start_time == own.start_time && record.sequence == own.sequence &&
               record.version == own.version && record.state == own.state &&
               record.targets[0].state == own.targets[0].state;
    }
};

void run_case(std::uint64_t seed, const std::vector<operation>& operations, fuzz_budget& budget)
{
    fuzzed_mesh subject{seed};
    for (const auto& step : operations) {
        subject.apply(step);
        subject.check_records();
    }
    subject.end_faults();
    const auto converged = [&] { return subject.difference().empty(); };
    for (milliseconds waited{}; waited < convergence_time && !converged(); waited += milliseconds{1'000}) {
        subject.run(milliseconds{1'000});
        subject.check_records();
    }
    budget.count(operations.size() + subject.mesh.decisions);
    const auto difference = subject.difference();
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
