#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

#include <kumquatdrift/config/records.hpp>
#include <kumquatdrift/config/recovery.hpp>
#include <kumquatdrift/core/digest.hpp>
#include <kumquatdrift/distribution/replica.hpp>

#include "support/fuzz_main.hpp"
#include "support/memory_log.hpp"

// Replicas read the log and receive records and snapshots from each other. Messages are reordered,
// duplicated, lost and corrupted; the log has outages and expires records; nodes restart without stored state
// and append delayed checkpoints. Oracle: an installed version never decreases, the state of each replica
// equals the fold of the log prefix, and all replicas converge after the faults end.

namespace kumquatdrift {
namespace {

using operation = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

constexpr std::size_t node_count = 4;

struct node_state {
    std::unique_ptr<replica> local_replica{};
    config_version installed_version{};
    std::optional<std::string> paused_checkpoint{};
};

struct message {
    std::size_t receiver{};
    std::vector<offered_record> records{};
    std::string snapshot{};
    std::uint64_t digest{};
};

std::string make_content(std::size_t queue_limit)
{
    return R"({"services":{"s":{"queue_limit":)" + std::to_string(queue_limit) +
           R"(}},"routes":{"r":{"path_prefix":"/","service":"s"}}})";
}

class replica_world {
public:
    replica_world()
    {
        for (auto& node : this->nodes) {
            this->start(node);
        }
        this->reference_states.emplace_back();
    }

    void apply(const operation& next)
    {
        const auto [kind, first, second] = next;
        const auto index = first % node_count;
        auto& node = this->nodes[index];
        this->now += milliseconds{second};
        switch (kind % 14) {
        case 0:
        case 1:
            this->edit(second);
            break;
        case 2:
        case 3:
            this->read(node, 1 + second % 5);
            break;
        case 4:
        case 5:
            this->send_records(node, second);
            break;
        case 6:
            this->send_snapshot(node, second);
            break;
        case 7:
        case 8:
        case 9:
            this->deliver(first, second);
            break;
        case 10:
            this->expire(second % 6);
            break;
        case 11:
            this->log.outage = second % 3 == 0;
            break;
        case 12:
            this->restart(index);
            break;
        default:
            this->checkpoint(node, second);
        }
    }

    void end_faults_and_check()
    {
        this->log.outage = false;
        for (std::size_t index = 0; index < node_count; ++index) {
            this->deliver_all();
        }
        for (std::size_t round = 0; round < 12; ++round) {
            for (auto& node : this->nodes) {
                this->catch_up(node);
            }
            this->now += milliseconds{10'000};
        }
        for (auto& node : this->nodes) {
            RC_ASSERT(node.local_replica->state.next_offset == this->reference_states.size() - 1);
            RC_ASSERT(node.local_replica->gate.in_force() == this->reference_states.back().version);
        }
        this->check_fresh_node();
    }

private:
    void start(node_state& node)
    {
        node.local_replica = std::make_unique<replica>();
        node.local_replica->settings.data_centre = "alfama";
        node.local_replica->settings.max_out_of_order = 8;
        node.local_replica->settings.max_buffered = 6;
        node.local_replica->settings.max_outcomes = 2;
        node.paused_checkpoint.reset();
        raise_version_floor(*node.local_replica, node.installed_version);
        (void)allow_install(*node.local_replica);
    }

    void append(std::string payload)
    {
        const auto written = this->log.append(config_stream, payload);
        if (written.effect != verdict::ran) {
            return;
        }
        auto state = this->reference_states.back();
        (void)fold(state, {written.offset, std::move(payload)});
        this->reference_states.push_back(std::move(state));
    }

    // Appends an edit of one of two documents. Some edits are stale or invalid, and some records malformed.
    void edit(std::size_t value)
    {
        if (value % 8 == 7) {
            this->append("not a record");
            return;
        }
        const std::string name{value % 8 == 6 ? "overlay/alfama" : "base"};
        const auto* existing = find_document(this->reference_states.back(), name);
        edit_record record;
        record.document = name;
        record.edit_id = "e" + std::to_string(++this->edit_count);
        record.author = "fuzz";
        if (existing != nullptr && value % 5 != 4) {
            record.parent = existing->offset;
        }
        record.content = *json_document::parse(name == "base" ? make_content(this->edit_count % 90)
                                                              : R"({"services":{}})");
        this->append(make_edit_record(record));
    }

    void read(node_state& node, std::size_t limit)
    {
        const auto batch = this->log.read(config_stream, next_offset(*node.local_replica), limit);
        if (!batch) {
            return;
        }
        this->check(node, offer_log_batch(*node.local_replica, *batch, this->now));
        if (node.local_replica->has_gap) {
            const auto retained = this->log.read(config_stream, 0, 10'000);
            this->check(node, offer_retained(*node.local_replica, *retained, this->now));
        }
    }

    void send_records(node_state& node, std::size_t value)
    {
        message sent;
        sent.receiver = value % node_count;
        const auto overlap = value % 7;
        const auto next = next_offset(*this->nodes[sent.receiver].local_replica);
        const auto records = records_since(*node.local_replica, next - std::min<log_offset>(next, overlap));
        if (!records || records->empty()) {
            return;
        }
        for (const auto& record : *records) {
            sent.records.push_back({record, record_digest(record)});
        }
        this->in_flight.push_back(std::move(sent));
    }

    void send_snapshot(node_state& node, std::size_t value)
    {
        message sent;
        sent.receiver = value % node_count;
        sent.snapshot = make_checkpoint_record(node.local_replica->state);
        sent.digest = digest(sent.snapshot);
        this->in_flight.push_back(std::move(sent));
    }

    // Delivers a message in flight. Depending on `second`, it stays in flight as a duplicate, is lost or
    // corrupted, or its records are reversed.
    void deliver(std::size_t first, std::size_t second)
    {
        if (this->in_flight.empty()) {
            return;
        }
        const auto chosen =
            this->in_flight.begin() + static_cast<std::ptrdiff_t>(first % this->in_flight.size());
        auto delivered = *chosen;
        if (second % 8 != 0) {
            this->in_flight.erase(chosen);
        }
        if (second % 8 == 1) {
            return;
        }
        if (second % 8 == 2) {
            corrupt(delivered);
        }
        if (second % 8 == 3) {
            std::reverse(delivered.records.begin(), delivered.records.end());
        }
        this->offer(delivered);
    }

    static void corrupt(message& delivered)
    {
        if (!delivered.records.empty()) {
            delivered.records.front().record.payload.erase(0, 1);
        }
        else {
            delivered.snapshot.back() = ' ';
        }
    }

    void deliver_all()
    {
        for (const auto& delivered : std::exchange(this->in_flight, {})) {
            this->offer(delivered);
        }
    }

    void offer(const message& delivered)
    {
        auto& node = this->nodes[delivered.receiver];
        this->check(
            node, delivered.snapshot.empty()
                      ? offer_records(*node.local_replica, delivered.records, this->now)
                      : offer_snapshot(*node.local_replica, delivered.snapshot, delivered.digest, this->now));
    }

    void check(node_state& node, const replica_change& change)
    {
        const auto& local_replica = *node.local_replica;
        RC_ASSERT(local_replica.state.next_offset < this->reference_states.size());
        const auto& expected = this->reference_states[local_replica.state.next_offset];
        RC_ASSERT(local_replica.state == expected);
        RC_ASSERT(local_replica.out_of_order.size() <= local_replica.settings.max_out_of_order);
        RC_ASSERT(local_replica.buffer.size() <= local_replica.settings.max_buffered);
        if (!change.installed) {
            return;
        }
        RC_ASSERT(change.installed->version >= node.installed_version);
        RC_ASSERT(change.installed->version == expected.version);
        const auto merged = merge_effective(expected, "alfama");
        RC_ASSERT(merged.has_value());
        RC_ASSERT(change.installed->services.at("s").queue_limit == merged->services.at("s").queue_limit);
        node.installed_version = change.installed->version;
    }

    /*! @brief Checks whether any node other than the excluded one has read all records before `earliest`. */
    bool is_history_held(log_offset earliest, std::size_t excluded)
    {
        for (std::size_t index = 0; index < node_count; ++index) {
            if (index != excluded && next_offset(*this->nodes[index].local_replica) >= earliest) {
                return true;
            }
        }
        return false;
    }

    void expire(std::size_t count)
    {
        const auto batch = this->log.read(config_stream, 0, 10'000);
        if (!batch) {
            return;
        }
        const auto earliest = std::min<log_offset>(batch->bounds.earliest + count, batch->bounds.end);
        // Only records that some node has read expire: while the log is available to append and expire
        // records, nodes can read them, too.
        if (this->is_history_held(earliest, node_count)) {
            this->log.expire(config_stream, earliest);
        }
    }

    // Restarts a node only if it can recover all records, from the log or from another node.
    void restart(std::size_t index)
    {
        const auto outage = std::exchange(this->log.outage, false);
        const auto earliest = this->log.read(config_stream, 0, 0)->bounds.earliest;
        this->log.outage = outage;
        if (earliest == 0 || this->is_history_held(earliest, index)) {
            this->start(this->nodes[index]);
        }
    }

    // A node may pause between planning a checkpoint and appending it.
    void checkpoint(node_state& node, std::size_t value)
    {
        if (node.paused_checkpoint && value % 2 == 0) {
            this->append(*std::exchange(node.paused_checkpoint, std::nullopt));
        }
        node.local_replica->settings.log_retention = milliseconds{400};
        node.local_replica->settings.checkpoint_delay = milliseconds{100};
        const auto planned = plan_checkpoint(*node.local_replica, true, this->now, this->rng);
        if (planned) {
            node.paused_checkpoint = planned;
        }
    }

    void catch_up(node_state& node)
    {
        do {
            this->read(node, 20);
        } while (!node.local_replica->has_gap &&
                 next_offset(*node.local_replica) + 1 < this->reference_states.size());
        if (node.local_replica->has_gap) {
            for (std::size_t index = 0; index < node_count; ++index) {
                this->send_snapshot(this->nodes[index], static_cast<std::size_t>(&node - this->nodes.data()));
            }
            this->deliver_all();
        }
        node.local_replica->settings.log_retention = milliseconds{100'000'000};
        const auto planned = plan_checkpoint(*node.local_replica, true, this->now, this->rng);
        if (planned) {
            this->append(*planned);
        }
    }

    // A node that starts without stored state must recover from the log alone.
    void check_fresh_node()
    {
        node_state fresh;
        this->start(fresh);
        this->read(fresh, 10'000);
        RC_ASSERT(next_offset(*fresh.local_replica) + 1 == this->reference_states.size());
    }

    memory_log log{};
    random_engine rng{1};
    timestamp now{};
    std::size_t edit_count{};
    std::array<node_state, node_count> nodes{};
    std::vector<message> in_flight{};
    std::vector<config_state> reference_states{};
};

void run_round(std::uint64_t seed, fuzz_budget& budget)
{
    check_property(seed, 40, 200, [&](const std::vector<operation>& operations) {
        replica_world tested;
        for (const auto& next : operations) {
            tested.apply(next);
        }
        tested.end_faults_and_check();
        budget.count(operations.size());
    });
}

} // namespace
} // namespace kumquatdrift

int main(int argc, char** argv)
{
    return kumquatdrift::run_fuzz(argc, argv, "fuzz_distribution", kumquatdrift::run_round);
}
