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

// Replicas read the log and each other, with records reordered, repeated, lost and corrupted, with outages,
// expiry, restarts on empty hosts and late checkpoints. Oracle: an installed version never goes down, the
// state of each replica equals the fold of the log prefix, and all replicas converge after the faults end.

namespace kumquatdrift {
namespace {

using operation = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

constexpr std::size_t node_count = 4;

struct node_state {
    std::unique_ptr<replica> copy{};
    config_version held{};
    std::optional<std::string> paused_checkpoint{};
};

struct message {
    std::size_t target{};
    std::vector<offered_record> records{};
    std::string snapshot{};
    std::uint64_t digest{};
};

std::string content(std::size_t value)
{
    return R"({"services":{"s":{"queue_limit":)" + std::to_string(value) +
           R"(}},"routes":{"r":{"path_prefix":"/","service":"s"}}})";
}

class mesh {
public:
    mesh()
    {
        for (auto& node : this->nodes) {
            this->start(node);
        }
        this->reference.emplace_back();
    }

    void run(const operation& chosen)
    {
        const auto [kind, first, second] = chosen;
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

    void settle()
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
            RC_ASSERT(node.copy->state.next_offset == this->reference.size() - 1);
            RC_ASSERT(node.copy->gate.in_force() == this->reference.back().version);
        }
        this->check_fresh_node();
    }

private:
    void start(node_state& node)
    {
        node.copy = std::make_unique<replica>();
        node.copy->settings.data_centre = "alfama";
        node.copy->settings.max_out_of_order = 8;
        node.copy->settings.max_buffered = 6;
        node.copy->settings.max_outcomes = 2;
        node.paused_checkpoint.reset();
        raise_version_floor(*node.copy, node.held);
        (void)allow_install(*node.copy);
    }

    void append(std::string payload)
    {
        const auto written = this->log.append(config_stream, payload);
        if (written.effect != verdict::ran) {
            return;
        }
        auto state = this->reference.back();
        (void)fold(state, {written.offset, std::move(payload)});
        this->reference.push_back(std::move(state));
    }

    // Edits of two documents; some are stale, invalid or not decodable.
    void edit(std::size_t value)
    {
        if (value % 8 == 7) {
            this->append("not a record");
            return;
        }
        const std::string name{value % 8 == 6 ? "overlay/alfama" : "base"};
        const auto* existing = find_document(this->reference.back(), name);
        edit_record record;
        record.document = name;
        record.edit_id = "e" + std::to_string(++this->edits);
        record.author = "fuzz";
        if (existing != nullptr && value % 5 != 4) {
            record.parent = existing->offset;
        }
        record.content =
            *json_document::parse(name == "base" ? content(this->edits % 90) : R"({"services":{}})");
        this->append(make_edit_record(record));
    }

    void read(node_state& node, std::size_t limit)
    {
        const auto batch = this->log.read(config_stream, next_offset(*node.copy), limit);
        if (!batch) {
            return;
        }
        this->check(node, offer_log_batch(*node.copy, *batch, this->now));
        if (node.copy->gap) {
            const auto retained = this->log.read(config_stream, 0, 10'000);
            this->check(node, offer_retained(*node.copy, *retained, this->now));
        }
    }

    void send_records(node_state& node, std::size_t value)
    {
        message sent;
        sent.target = value % node_count;
        const auto back = value % 7;
        const auto next = next_offset(*this->nodes[sent.target].copy);
        const auto records = records_since(*node.copy, next - std::min<log_offset>(next, back));
        if (!records || records->empty()) {
            return;
        }
        for (const auto& record : *records) {
            sent.records.push_back({record, record_digest(record)});
        }
        this->queue.push_back(std::move(sent));
    }

    void send_snapshot(node_state& node, std::size_t value)
    {
        message sent;
        sent.target = value % node_count;
        sent.snapshot = make_checkpoint_record(node.copy->state);
        sent.digest = digest(sent.snapshot);
        this->queue.push_back(std::move(sent));
    }

    void deliver(std::size_t first, std::size_t second)
    {
        if (this->queue.empty()) {
            return;
        }
        const auto chosen = this->queue.begin() + static_cast<std::ptrdiff_t>(first % this->queue.size());
        auto taken = *chosen;
        if (second % 8 != 0) {
            this->queue.erase(chosen);
        }
        if (second % 8 == 1) {
            return;
        }
        if (second % 8 == 2) {
            corrupt(taken);
        }
        if (second % 8 == 3) {
            std::reverse(taken.records.begin(), taken.records.end());
        }
        this->offer(taken);
    }

    static void corrupt(message& taken)
    {
        if (!taken.records.empty()) {
            taken.records.front().record.payload.erase(0, 1);
        }
        else {
            taken.snapshot.back() = ' ';
        }
    }

    void deliver_all()
    {
        for (const auto& taken : std::exchange(this->queue, {})) {
            this->offer(taken);
        }
    }

    void offer(const message& taken)
    {
        auto& node = this->nodes[taken.target];
        this->check(node, taken.snapshot.empty()
                              ? offer_records(*node.copy, taken.records, this->now)
                              : offer_snapshot(*node.copy, taken.snapshot, taken.digest, this->now));
    }

    void check(node_state& node, const replica_change& change)
    {
        const auto& copy = *node.copy;
        RC_ASSERT(copy.state.next_offset < this->reference.size());
        const auto& expected = this->reference[copy.state.next_offset];
        RC_ASSERT(copy.state == expected);
        RC_ASSERT(copy.out_of_order.size() <= copy.settings.max_out_of_order);
        RC_ASSERT(copy.buffer.size() <= copy.settings.max_buffered);
        if (!change.installed) {
            return;
        }
        RC_ASSERT(change.installed->version >= node.held);
        RC_ASSERT(change.installed->version == expected.version);
        const auto merged = merge_effective(expected, "alfama");
        RC_ASSERT(merged.has_value());
        RC_ASSERT(change.installed->services.at("s").queue_limit == merged->services.at("s").queue_limit);
        node.held = change.installed->version;
    }

    /*! @brief Checks whether the whole history can still be recovered, from the log or from a node. */
    bool recoverable(log_offset earliest, std::size_t without)
    {
        for (std::size_t index = 0; index < node_count; ++index) {
            if (index != without && next_offset(*this->nodes[index].copy) >= earliest) {
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
        // Records are appended and expire while the log is up, so some node has read them.
        if (this->recoverable(earliest, node_count)) {
            this->log.expire(config_stream, earliest);
        }
    }

    void restart(std::size_t index)
    {
        const auto outage = std::exchange(this->log.outage, false);
        const auto earliest = this->log.read(config_stream, 0, 0)->bounds.earliest;
        this->log.outage = outage;
        if (earliest == 0 || this->recoverable(earliest, index)) {
            this->start(this->nodes[index]);
        }
    }

    // A node may be paused between its decision and the append.
    void checkpoint(node_state& node, std::size_t value)
    {
        if (node.paused_checkpoint && value % 2 == 0) {
            this->append(*std::exchange(node.paused_checkpoint, std::nullopt));
        }
        node.copy->settings.log_retention = milliseconds{400};
        node.copy->settings.checkpoint_delay = milliseconds{100};
        const auto planned = plan_checkpoint(*node.copy, true, this->now, this->rng);
        if (planned) {
            node.paused_checkpoint = planned;
        }
    }

    void catch_up(node_state& node)
    {
        do {
            this->read(node, 20);
        } while (!node.copy->gap && next_offset(*node.copy) + 1 < this->reference.size());
        if (node.copy->gap) {
            for (std::size_t index = 0; index < node_count; ++index) {
                this->send_snapshot(this->nodes[index], static_cast<std::size_t>(&node - this->nodes.data()));
            }
            this->deliver_all();
        }
        node.copy->settings.log_retention = milliseconds{100'000'000};
        const auto planned = plan_checkpoint(*node.copy, true, this->now, this->rng);
        if (planned) {
            this->append(*planned);
        }
    }

    // A node that starts on an empty host with nothing but the log recovers as well.
    void check_fresh_node()
    {
        node_state fresh;
        this->start(fresh);
        this->read(fresh, 10'000);
        RC_ASSERT(next_offset(*fresh.copy) + 1 == this->reference.size());
    }

    memory_log log{};
    random_engine rng{1};
    timestamp now{};
    std::size_t edits{};
    std::array<node_state, node_count> nodes{};
    std::vector<message> queue{};
    std::vector<config_state> reference{};
};

void round(std::uint64_t seed, fuzz_budget& budget)
{
    check_property(seed, 40, 200, [&](const std::vector<operation>& operations) {
        mesh subject;
        for (const auto& chosen : operations) {
            subject.run(chosen);
        }
        subject.settle();
        budget.count(operations.size());
    });
}

} // namespace
} // namespace kumquatdrift

int main(int argc, char** argv)
{
    return kumquatdrift::run_fuzz(argc, argv, "fuzz_distribution", kumquatdrift::round);
}
