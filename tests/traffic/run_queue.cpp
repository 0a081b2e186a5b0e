#include <kumquatdrift/traffic/run_queue.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include <gtest/gtest.h>

#include <kumquatdrift/core/random.hpp>

namespace kumquatdrift {
namespace {

constexpr timestamp start{std::chrono::seconds{100}};

run_request request_of(std::uint64_t id, std::uint32_t priority, milliseconds objective,
                       milliseconds deadline)
{
    return {id, priority, false, start + objective, start + deadline};
}

/*! @brief A target of two slots that takes 100 ms for each request. */
class queue_of_two_slots : public testing::Test {
protected:
    queue_of_two_slots()
    {
        this->queue.set_slots(2);
        EXPECT_EQ(this->queue.offer(request_of(1'000, 1, milliseconds{500}, milliseconds{900}), start),
                  run_decision::run);
        this->queue.finish(1'000, true, start + milliseconds{100});
    }

    void fill_slots()
    {
        for (const std::uint64_t id : {1, 2}) {
            EXPECT_EQ(this->queue.offer(request_of(id, 1, milliseconds{500}, milliseconds{900}), start),
                      run_decision::run);
        }
    }

    run_queue queue{};
};

TEST_F(queue_of_two_slots, short_request_is_queued_where_the_mean_would_reject_it)
{
    // The mean of the target is 100 ms; a request that is expected to take 10 ms fits behind one such
    // request.
    this->fill_slots();
    auto request = request_of(3, 1, milliseconds{70}, milliseconds{900});
    request.expected_service_time = milliseconds{10};
    EXPECT_EQ(this->queue.offer(request, start), run_decision::queue);
    request.id = 4;
    request.expected_service_time = milliseconds{0};
    EXPECT_EQ(this->queue.offer(request, start), run_decision::reject);
}

// Guards against a queued request that is cut off when the process ends.
TEST_F(queue_of_two_slots, queued_request_that_cannot_finish_before_the_end_is_rejected)
{
    this->fill_slots();
    EXPECT_EQ(this->queue.offer(request_of(3, 1, milliseconds{500}, milliseconds{900}), start),
              run_decision::queue);
    this->queue.set_end(start + milliseconds{200});
    EXPECT_EQ(this->queue.offer(request_of(4, 1, milliseconds{500}, milliseconds{900}), start),
              run_decision::reject);
    EXPECT_TRUE(this->queue.expire(start).empty());
    EXPECT_EQ(this->queue.expire(start + milliseconds{60}), std::vector<std::uint64_t>{3});
}

TEST_F(queue_of_two_slots, slowness_is_relative_to_the_mean_of_all_targets)
{
    std::uint64_t id = 0;
    const auto end = start + milliseconds{800};
    const auto run_one = [&](milliseconds expected, milliseconds taken, bool succeeded) {
        auto request = request_of(++id, 1, milliseconds{500}, milliseconds{900});
        request.expected_service_time = expected;
        EXPECT_EQ(this->queue.offer(request, end - taken), run_decision::run);
        this->queue.finish(id, succeeded, end);
    };
    for (int turn = 0; turn < 50; ++turn) {
        run_one(milliseconds{100}, milliseconds{400}, true);
        run_one(milliseconds{20}, milliseconds{80}, true);
    }
    EXPECT_NEAR(this->queue.load(end).slowness, 4.0, 0.1);
    // A quick failure gives no information on the speed; a failure after a long time does.
    for (int turn = 0; turn < 50; ++turn) {
        run_one(milliseconds{100}, milliseconds{1}, false);
    }
    EXPECT_NEAR(this->queue.load(end).slowness, 4.0, 0.1);
    for (int turn = 0; turn < 50; ++turn) {
        run_one(milliseconds{100}, milliseconds{800}, false);
    }
    EXPECT_NEAR(this->queue.load(end).slowness, 8.0, 0.2);
    this->queue.reset_estimates();
    EXPECT_EQ(this->queue.load(end).slowness, 1.0);
}

// Guards against a target that gets no requests any more because it was slow.
TEST_F(queue_of_two_slots, slowness_is_forgotten_while_no_request_ends)
{
    auto request = request_of(1, 1, milliseconds{2'000}, milliseconds{3'000});
    request.expected_service_time = milliseconds{100};
    EXPECT_EQ(this->queue.offer(request, start), run_decision::run);
    const auto end = start + milliseconds{1'000};
    this->queue.finish(1, true, end);
    const auto measured = this->queue.load(end).slowness;
    EXPECT_NEAR(measured, 1.9, 0.01);
    EXPECT_NEAR(this->queue.load(end + milliseconds{1'000}).slowness, 1.45, 0.01);
    EXPECT_NEAR(this->queue.load(end + milliseconds{10'000}).slowness, 1.0, 0.01);
}

TEST_F(queue_of_two_slots, stated_slowness_counts_against_its_mean_and_is_forgotten)
{
    for (int turn = 0; turn < 100; ++turn) {
        this->queue.on_stated_slowness(0.7, start);
    }
    EXPECT_NEAR(this->queue.load(start).slowness, 1.0, 0.01);
    this->queue.on_stated_slowness(1.75, start);
    const auto disturbed = this->queue.load(start).slowness;
    EXPECT_GT(disturbed, 2.0);
    EXPECT_NEAR(this->queue.load(start + milliseconds{500}).slowness, 1.0 + (disturbed - 1.0) / 2, 0.01);
    this->queue.on_stated_slowness(-1.0, start);
    this->queue.on_stated_slowness(1e9, start);
    EXPECT_LE(this->queue.load(start).slowness, 4.0);
}

// Guards against a gate that keeps other requests out of free slots.
TEST_F(queue_of_two_slots, request_without_calls_starts_before_one_that_waits_for_the_caller_limit)
{
    this->queue.set_caller_limit(1);
    auto caller = request_of(11, 1, milliseconds{500}, milliseconds{900});
    caller.makes_calls = true;
    EXPECT_EQ(this->queue.offer(caller, start), run_decision::run);
    caller.id = 12;
    EXPECT_EQ(this->queue.offer(caller, start), run_decision::queue);
    EXPECT_FALSE(this->queue.start_next(start));
    EXPECT_EQ(this->queue.offer(request_of(13, 2, milliseconds{500}, milliseconds{900}), start),
              run_decision::run);
    this->queue.finish(11, true, start + milliseconds{10});
    EXPECT_EQ(this->queue.start_next(start + milliseconds{10}), 12U);
}

TEST_F(queue_of_two_slots, request_is_queued_when_all_slots_are_in_use)
{
    this->fill_slots();
    EXPECT_EQ(this->queue.offer(request_of(3, 1, milliseconds{500}, milliseconds{900}), start),
              run_decision::queue);
    const auto load = this->queue.load(start);
    EXPECT_EQ(load.running, 2U);
    EXPECT_EQ(load.queued, 1U);
    EXPECT_EQ(load.slots, 2U);
    EXPECT_FALSE(this->queue.start_next(start));
    this->queue.finish(1, true, start + milliseconds{100});
    EXPECT_EQ(this->queue.start_next(start + milliseconds{100}), 3U);
}

TEST_F(queue_of_two_slots, request_that_would_miss_its_objective_is_rejected)
{
    this->fill_slots();
    std::uint64_t id{3};
    while (this->queue.offer(request_of(id, 1, milliseconds{400}, milliseconds{2'000}), start) ==
           run_decision::queue) {
        ++id;
    }
    // With n requests queued, a wait of n/2 * 100 ms and one and a half service times fit into 400 ms up to
    // n = 5.
    EXPECT_EQ(id, 8U);
}

TEST_F(queue_of_two_slots, more_urgent_request_starts_first)
{
    this->fill_slots();
    EXPECT_EQ(this->queue.offer(request_of(3, 2, milliseconds{500}, milliseconds{900}), start),
              run_decision::queue);
    EXPECT_EQ(this->queue.offer(request_of(4, 1, milliseconds{500}, milliseconds{900}), start),
              run_decision::queue);
    this->queue.finish(1, true, start + milliseconds{100});
    EXPECT_EQ(this->queue.start_next(start + milliseconds{100}), 4U);
}

TEST_F(queue_of_two_slots, nested_call_starts_before_new_requests)
{
    this->fill_slots();
    EXPECT_EQ(this->queue.offer(request_of(3, 0, milliseconds{500}, milliseconds{900}), start),
              run_decision::queue);
    auto nested = request_of(4, 9, milliseconds{100}, milliseconds{250});
    nested.nested = true;
    EXPECT_EQ(this->queue.offer(nested, start), run_decision::queue);
    this->queue.finish(1, true, start + milliseconds{100});
    EXPECT_EQ(this->queue.start_next(start + milliseconds{100}), 4U);
}

TEST_F(queue_of_two_slots, queued_request_that_would_miss_its_objective_expires)
{
    this->fill_slots();
    EXPECT_EQ(this->queue.offer(request_of(3, 1, milliseconds{300}, milliseconds{900}), start),
              run_decision::queue);
    EXPECT_TRUE(this->queue.expire(start + milliseconds{150}).empty());
    EXPECT_EQ(this->queue.expire(start + milliseconds{151}), std::vector<std::uint64_t>{3});
    EXPECT_EQ(this->queue.load(start).queued, 0U);
}

TEST_F(queue_of_two_slots, late_request_is_queued_for_a_fifth_of_its_time)
{
    this->fill_slots();
    const run_request late{3, 1, false, start - milliseconds{1}, start + milliseconds{900}};
    EXPECT_EQ(this->queue.offer(late, start), run_decision::queue);
    EXPECT_TRUE(this->queue.expire(start + milliseconds{170}).empty());
    EXPECT_EQ(this->queue.expire(start + milliseconds{190}).size(), 1U);
}

TEST_F(queue_of_two_slots, late_request_starts_after_the_others)
{
    this->fill_slots();
    EXPECT_EQ(this->queue.offer({3, 0, false, start, start + milliseconds{900}, 0}, start),
              run_decision::queue);
    EXPECT_EQ(this->queue.offer(request_of(4, 7, milliseconds{500}, milliseconds{900}), start),
              run_decision::queue);
    this->queue.finish(1, true, start + milliseconds{50});
    EXPECT_EQ(this->queue.start_next(start + milliseconds{50}), 4U);
}

TEST_F(queue_of_two_slots, request_is_rejected_without_slots)
{
    this->queue.set_slots(0);
    EXPECT_EQ(this->queue.offer(request_of(3, 0, milliseconds{500}, milliseconds{900}), start),
              run_decision::reject);
}

TEST_F(queue_of_two_slots, id_in_use_is_rejected)
{
    this->fill_slots();
    EXPECT_EQ(this->queue.offer(request_of(1, 0, milliseconds{500}, milliseconds{900}), start),
              run_decision::reject);
}

TEST_F(queue_of_two_slots, removed_request_never_starts)
{
    this->fill_slots();
    EXPECT_EQ(this->queue.offer(request_of(3, 1, milliseconds{500}, milliseconds{900}), start),
              run_decision::queue);
    EXPECT_TRUE(this->queue.remove(3));
    EXPECT_FALSE(this->queue.remove(3));
    this->queue.finish(1, true, start);
    EXPECT_FALSE(this->queue.start_next(start));
}

/*! @brief Simulates load on a target of ten slots that takes 20 ms for each request. */
class queue_under_load : public testing::Test {
protected:
    struct outcome {
        std::uint64_t served{};
        std::uint64_t rejected{};
    };

    queue_under_load()
    {
        this->queue.set_slots(10);
    }

    void offer(const run_request& request)
    {
        const auto decision = this->queue.offer(request, this->now);
        if (decision == run_decision::run) {
            this->running.emplace(this->now + this->service_time, request.id);
        }
        else if (decision == run_decision::reject) {
            this->on_rejected(request.id);
        }
    }

    void step(microseconds time)
    {
        this->now += time;
        while (!this->running.empty() && this->running.begin()->first <= this->now) {
            const auto id = this->running.begin()->second;
            this->running.erase(this->running.begin());
            this->queue.finish(id, true, this->now);
            this->on_served(id);
        }
        for (const auto id : this->queue.expire(this->now)) {
            this->on_rejected(id);
        }
        while (const auto id = this->queue.start_next(this->now)) {
            this->running.emplace(this->now + this->service_time, *id);
        }
    }

    std::function<void(std::uint64_t)> on_served{[](std::uint64_t) {}};
    std::function<void(std::uint64_t)> on_rejected{[](std::uint64_t) {}};
    milliseconds service_time{20};
    timestamp now{start};
    run_queue queue{};
    std::multimap<timestamp, std::uint64_t> running{};
};

TEST_F(queue_under_load, calls_of_one_request_are_served_together)
{
    // Requests with two calls each offer twice the capacity. If calls were served at random, a quarter of the
    // requests would get both.
    std::map<std::uint64_t, int> served{};
    this->on_served = [&](std::uint64_t id) { ++served[id / 2]; };
    random_engine rng{5};
    constexpr std::uint64_t parents = 2'000;
    for (std::uint64_t parent = 1; parent <= parents; ++parent) {
        const auto parent_hash = rng();
        for (const auto id : {2 * parent, 2 * parent + 1}) {
            this->offer(
                {id, 0, true, this->now + milliseconds{100}, this->now + milliseconds{250}, parent_hash});
        }
        this->step(milliseconds{2});
    }
    const auto complete =
        std::count_if(served.begin(), served.end(), [](const auto& one) { return one.second == 2; });
    EXPECT_GE(complete, static_cast<long>(parents) * 45 / 100);
    EXPECT_LE(static_cast<long>(served.size()) - complete, static_cast<long>(parents) / 20);
}

/*! @brief Two targets of five slots with unequal service times, each offered twice its capacity. */
class calls_at_two_targets : public testing::Test {
protected:
    struct target {
        run_queue queue{};
        std::multimap<timestamp, std::uint64_t> running{};
    };

    calls_at_two_targets()
    {
        for (auto& one : this->targets) {
            one.queue.set_slots(5);
        }
    }

    void start(target& at, std::uint64_t id)
    {
        at.running.emplace(this->now + milliseconds{std::uniform_int_distribution<int>{5, 35}(this->rng)},
                           id);
    }

    void step(target& at)
    {
        while (!at.running.empty() && at.running.begin()->first <= this->now) {
            const auto id = at.running.begin()->second;
            at.running.erase(at.running.begin());
            at.queue.finish(id, true, this->now);
            ++this->served[id];
        }
        (void)at.queue.expire(this->now);
        while (const auto id = at.queue.start_next(this->now)) {
            this->start(at, *id);
        }
    }

    std::array<target, 2> targets{};
    timestamp now{start_time};
    random_engine rng{5};
    /*! @brief Calls that were served, by the request on whose behalf they were made. */
    std::map<std::uint64_t, int> served{};

private:
    static constexpr timestamp start_time{std::chrono::seconds{100}};
};

TEST_F(calls_at_two_targets, both_calls_of_a_request_are_served_or_none)
{
    constexpr std::uint64_t parents = 4'000;
    for (std::uint64_t parent = 1; parent <= parents; ++parent) {
        const auto parent_hash = this->rng();
        for (auto& at : this->targets) {
            const run_request call{
                parent, 0, true, this->now + milliseconds{100}, this->now + milliseconds{250}, parent_hash};
            if (at.queue.offer(call, this->now) == run_decision::run) {
                this->start(at, parent);
            }
        }
        this->now += milliseconds{2};
        for (auto& at : this->targets) {
            this->step(at);
        }
    }
    const auto complete = std::count_if(this->served.begin(), this->served.end(),
                                        [](const auto& one) { return one.second == 2; });
    // The capacity serves half of the requests. If the two targets decided independently, a quarter would get
    // both calls.
    EXPECT_GE(complete, static_cast<long>(parents) * 4 / 10);
    EXPECT_LE(static_cast<long>(this->served.size()) - complete, static_cast<long>(parents) / 10);
}

TEST_F(queue_under_load, overload_by_nested_calls_does_not_starve_new_requests)
{
    // Nested calls alone offer one and a half times the capacity of 500 a second, new requests a fifth of it.
    std::uint64_t outer_served{};
    std::uint64_t all_served{};
    this->on_served = [&](std::uint64_t id) {
        ++all_served;
        outer_served += id % 2;
    };
    random_engine rng{5};
    constexpr std::uint64_t outer_offered = 500;
    for (std::uint64_t turn = 0; turn < 5'000; ++turn) {
        if (turn % 4 != 3) {
            this->offer(
                {2 * turn, 0, true, this->now + milliseconds{100}, this->now + milliseconds{250}, rng()});
        }
        if (turn % 10 == 0) {
            this->offer(
                {2 * turn + 1, 2, false, this->now + milliseconds{250}, this->now + milliseconds{1'500}, 0});
        }
        this->step(milliseconds{1});
    }
    EXPECT_GE(outer_served, outer_offered * 8 / 10);
    EXPECT_GE(all_served, 2'400U);
}

TEST_F(queue_under_load, less_urgent_requests_do_not_starve)
{
    // Each priority alone offers four fifths of the capacity.
    std::map<std::uint64_t, std::uint64_t> served{};
    this->on_served = [&](std::uint64_t id) { ++served[id % 2]; };
    for (std::uint64_t turn = 0; turn < 2'000; ++turn) {
        for (const std::uint32_t rank : {0U, 1U}) {
            this->offer({2 * turn + rank, rank + 1, false, this->now + milliseconds{250},
                         this->now + milliseconds{900}, 0});
        }
        this->step(microseconds{2'500});
    }
    EXPECT_GE(served[0], 2'000U * 7 / 10);
    EXPECT_GE(served[1], 2'000U * 2 / 10);
    EXPECT_GT(served[0], served[1]);
}

TEST_F(queue_of_two_slots, under_overload_most_responses_are_in_time)
{
    // Twice the capacity for ten seconds: 40 requests a second at a target that completes 20.
    std::uint64_t id{};
    std::uint64_t in_time{};
    std::uint64_t late{};
    struct running_request {
        std::uint64_t id{};
        timestamp ends{};
    };
    std::vector<running_request> running{};
    std::unordered_map<std::uint64_t, timestamp> objectives{};
    for (auto now = start; now < start + std::chrono::seconds{10}; now += milliseconds{5}) {
        for (auto one = running.begin(); one != running.end();) {
            if (one->ends > now) {
                ++one;
                continue;
            }
            (now <= objectives.at(one->id) ? in_time : late) += 1;
            this->queue.finish(one->id, true, now);
            one = running.erase(one);
        }
        (void)this->queue.expire(now);
        while (const auto next = this->queue.start_next(now)) {
            running.push_back({*next, now + milliseconds{100}});
        }
        if ((now - start) % milliseconds{25} == microseconds{0}) {
            const run_request one{++id, 1, false, now + milliseconds{400}, now + milliseconds{2'000}};
            objectives.emplace(id, one.objective);
            if (this->queue.offer(one, now) == run_decision::run) {
                running.push_back({id, now + milliseconds{100}});
            }
        }
    }
    // The target is hardly ever idle, and at least nine tenths of its responses are in time.
    EXPECT_GE(in_time + late, 190U);
    EXPECT_LE(late, (in_time + late) / 10);
}

} // namespace
} // namespace kumquatdrift
