#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

#include <kumquatdrift/mesh/members.hpp>
#include <kumquatdrift/traffic/placement.hpp>
#include <kumquatdrift/traffic/run_queue.hpp>

namespace kumquatdrift {
namespace {

using std::chrono::seconds;

/*! @brief Nine targets in three data centres, with 12 slots and service times of 60 to 180 ms: about 900
 *         requests a second in all. */
constexpr std::size_t target_count = 9;
constexpr std::uint32_t slots = 12;
constexpr std::size_t entry_count = 12;
constexpr std::size_t data_centres = 3;
constexpr microseconds objective = milliseconds{450};
constexpr microseconds deadline = milliseconds{1'200};
constexpr microseconds ping_interval = milliseconds{300};

struct outcome_counts {
    double offered{};
    double in_time{};
    double rejected{};
    double hops{};
};

/*! @brief Entry nodes that place requests by the loads which they get with responses and pings. */
class limited_targets_simulation {
public:
    limited_targets_simulation(std::uint64_t seed, std::size_t limited_count, double limit) : rng{seed}
    {
        this->targets.resize(target_count);
        this->entries.resize(entry_count);
        for (std::size_t index = 0; index < target_count; ++index) {
            this->targets[index].queue.set_slots(slots);
            this->targets[index].queue.limit().on_response(
                index < limited_count ? std::optional{limit} : std::nullopt, this->now, this->now);
        }
        for (std::size_t entry = 0; entry < entry_count; ++entry) {
            for (std::size_t target = 0; target < target_count; ++target) {
                this->entries[entry].push_back({});
                this->ping(entry, target, full_jitter(this->rng, ping_interval));
            }
        }
        this->tick();
    }

    outcome_counts offer(double rate, microseconds length)
    {
        const auto until = this->now + length;
        std::exponential_distribution<double> gap{rate};
        for (auto next = this->now; next < until;
             next += microseconds{1 + static_cast<int>(gap(this->rng) * 1e6)}) {
            this->at(next, [this] { this->accept(); });
        }
        while (!this->events.empty() && this->events.top().when <= until) {
            auto next = this->events.top();
            this->events.pop();
            this->now = next.when;
            next.action();
        }
        return this->counts;
    }

private:
    struct request {
        std::size_t entry{};
        timestamp arrived{};
        std::vector<bool> tried = std::vector<bool>(target_count);
        std::uint32_t full_targets{};
    };
    struct view {
        target_load load{0, 0, slots, milliseconds{120}};
        timestamp received_at{};
        std::uint32_t in_transit{};
    };
    struct simulated_target {
        run_queue queue{};
        std::map<std::uint64_t, request> requests{};
    };
    struct event {
        timestamp when{};
        std::uint64_t order{};
        std::function<void()> action{};
        bool operator<(const event& other) const
        {
            return std::tie(other.when, other.order) < std::tie(this->when, this->order);
        }
    };

    void at(timestamp when, std::function<void()> action)
    {
        this->events.push({when, ++this->order, std::move(action)});
    }

    [[nodiscard]] static microseconds latency(std::size_t entry, std::size_t target)
    {
        return entry % data_centres == target % data_centres ? microseconds{300} : microseconds{1'600};
    }

    void learn(std::size_t entry, std::size_t target)
    {
        this->entries[entry][target].load = this->targets[target].queue.load(this->now);
        this->entries[entry][target].received_at = this->now;
    }

    void ping(std::size_t entry, std::size_t target, microseconds after)
    {
        this->at(this->now + after, [this, entry, target] {
            this->learn(entry, target);
            this->ping(entry, target, ping_interval);
        });
    }

    void tick()
    {
        for (std::size_t index = 0; index < target_count; ++index) {
            for (const auto id : this->targets[index].queue.expire(this->now)) {
                this->on_refused(index, id);
            }
            this->start_queued(index);
        }
        this->at(this->now + milliseconds{30}, [this] { this->tick(); });
    }

    void accept()
    {
        ++this->counts.offered;
        this->place({this->order % entry_count, this->now});
    }

    void place(request placed)
    {
        std::vector<placement_candidate> candidates{};
        std::vector<std::size_t> indices{};
        for (std::size_t index = 0; index < target_count; ++index) {
            if (!placed.tried[index]) {
                const auto& seen = this->entries[placed.entry][index];
                member known{};
                known.record.load = seen.load;
                known.load_received_at = seen.received_at;
                candidates.push_back({"", known.load_at(this->now), seen.in_transit, index == placed.entry,
                                      index % data_centres == placed.entry % data_centres});
                indices.push_back(index);
            }
        }
        const auto left = placed.arrived - this->now;
        const auto chosen = place_request(
            candidates,
            {objective, left + objective, left + deadline, milliseconds{120}, 0, placed.full_targets > 0}, {},
            this->rng);
        if (!chosen.candidate) {
            ++this->counts.rejected;
            return;
        }
        ++this->counts.hops;
        const auto index = indices[*chosen.candidate];
        placed.tried[index] = true;
        ++this->entries[placed.entry][index].in_transit;
        this->at(this->now + latency(placed.entry, index), [this, index, placed] {
            --this->entries[placed.entry][index].in_transit;
            this->arrive(index, placed);
        });
    }

    void arrive(std::size_t index, const request& arrived)
    {
        const auto id = ++this->last_id;
        auto& node = this->targets[index];
        node.requests.emplace(id, arrived);
        const auto decision = node.queue.offer(
            {id, 1, false, arrived.arrived + objective, arrived.arrived + deadline, 0, milliseconds{120}},
            this->now);
        if (decision == run_decision::run) {
            this->run(index, id);
        }
        else if (decision == run_decision::reject) {
            this->on_refused(index, id);
        }
    }

    void run(std::size_t index, std::uint64_t id)
    {
        const auto service_time = microseconds{60'000} + full_jitter(this->rng, microseconds{120'000});
        this->at(this->now + service_time, [this, index, id] {
            auto& node = this->targets[index];
            node.queue.finish(id, true, this->now);
            const auto served = node.requests.extract(id).mapped();
            this->learn(served.entry, index);
            this->counts.in_time += this->now - served.arrived <= objective ? 1 : 0;
            this->start_queued(index);
        });
    }

    void start_queued(std::size_t index)
    {
        while (const auto id = this->targets[index].queue.start_next(this->now)) {
            this->run(index, *id);
        }
    }

    void on_refused(std::size_t index, std::uint64_t id)
    {
        auto refused = this->targets[index].requests.extract(id).mapped();
        this->at(this->now + latency(refused.entry, index), [this, index, refused]() mutable {
            this->learn(refused.entry, index);
            if (++refused.full_targets < 2) {
                this->place(std::move(refused));
            }
            else {
                ++this->counts.rejected;
            }
        });
    }

    timestamp now{seconds{10}};
    random_engine rng;
    std::vector<simulated_target> targets{};
    std::vector<std::vector<view>> entries{};
    std::priority_queue<event> events{};
    std::uint64_t order{};
    std::uint64_t last_id{};
    outcome_counts counts{};
};

class limited_targets : public testing::TestWithParam<std::size_t> {
protected:
    static constexpr double demand = 350.0;
    static constexpr double limit = 12.0;

    static outcome_counts measure(std::size_t limited_count)
    {
        limited_targets_simulation simulation{7, limited_count, limit};
        const auto counts = simulation.offer(demand, seconds{30});
        std::cout << limited_count << " limited: in time " << counts.in_time / counts.offered << ", rejected "
                  << counts.rejected / counts.offered << ", hops " << counts.hops / counts.offered << '\n';
        return counts;
    }
};

// Guards against a limited target that attracts requests because its slots are free.
TEST_P(limited_targets, requests_are_served_by_the_others_while_these_have_room)
{
    const auto counts = measure(GetParam());
    const auto capacity =
        limit * static_cast<double>(GetParam()) + 100.0 * static_cast<double>(target_count - GetParam());
    const auto possible = std::min(1.0, capacity / demand);
    EXPECT_GE(counts.in_time / counts.offered, 0.97 * possible);
    EXPECT_LE(counts.hops / counts.offered, 1.2);
}

INSTANTIATE_TEST_SUITE_P(counts, limited_targets, testing::Values(0, 1, 2, 3, 5, 7));

} // namespace
} // namespace kumquatdrift
