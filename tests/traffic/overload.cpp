#include <gtest/gtest.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <iostream>
#include <queue>
#include <random>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include <kumquatdrift/traffic/admission.hpp>
#include <kumquatdrift/traffic/retry.hpp>

namespace kumquatdrift {
namespace {

struct overload_options {
    bool queue_deadlines{true};
    bool retry_budget{true};
};

struct overload_figures {
    double offered{};
    double in_time{};
    double first_attempts{};
    double attempts{};
};

// One target with 10 slots and service times of 5 to 15 ms, which is a capacity of 1,000 requests a second.
// Callers wait for 100 ms and immediately resend a call without a response in time, at most twice. The entry
// node makes up to 3 attempts.
class overload_simulation {
public:
    explicit overload_simulation(overload_options chosen)
        : options{chosen}, control{{.slots = 10, .queue_limit = chosen.queue_deadlines ? 32U : 1'000'000U},
                                   this->now}
    {
        this->route.retry = {.max_attempts = 3, .budget_percent = 10};
    }

    // Offers calls at a rate per second for a given time.
    void offer(double rate, milliseconds length)
    {
        const auto until = this->now + length;
        std::exponential_distribution<double> gap{rate};
        for (auto next = this->now; next < until;
             next += microseconds{1 + static_cast<int>(gap(this->rng) * 1e6)}) {
            this->events.push({next, this->order++, [this] {
                                   ++this->figures.offered;
                                   this->send_call(0);
                               }});
        }
        while (!this->events.empty() && this->events.top().at <= until) {
            const auto next_event = this->events.top();
            this->events.pop();
            this->now = next_event.at;
            next_event.action();
        }
        this->now = until;
    }

    // Returns the figures since the previous call.
    [[nodiscard]] overload_figures take_figures()
    {
        return std::exchange(this->figures, {});
    }

private:
    struct call {
        timestamp deadline{};
        std::uint32_t attempts{};
        std::uint32_t resent{};
        bool done{};
    };

    struct event {
        timestamp at{};
        std::uint64_t order{};
        std::function<void()> action{};
        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };

    void after(microseconds delay, std::function<void()> action)
    {
        this->events.push({this->now + delay, this->order++, std::move(action)});
    }

    void send_call(std::uint32_t resent)
    {
        const auto id = this->calls.size();
        this->calls.push_back({this->now + milliseconds{100}, 0, resent, false});
        ++this->figures.first_attempts;
        this->budget.on_first_attempt(this->route.retry.budget_percent);
        this->after(milliseconds{100}, [this, id] { this->end_call(id, false); });
        this->send_attempt(id);
    }

    void send_attempt(std::size_t id)
    {
        auto& sent = this->calls[id];
        ++sent.attempts;
        ++this->figures.attempts;
        const auto never = timestamp::max() - milliseconds{3'600'000};
        const auto deadline = this->options.queue_deadlines ? sent.deadline : never;
        const auto decision = this->control.offer({id, deadline, 0}, this->now);
        if (decision.kind == admission_kind::admitted) {
            this->run(id);
        }
        if (decision.kind == admission_kind::rejected) {
            this->on_rejected(id);
        }
    }

    void on_rejected(std::size_t id)
    {
        const auto& rejected = this->calls[id];
        retry_budget unlimited{};
        auto& used = this->options.retry_budget ? this->budget : unlimited;
        const failed_attempt failed{rejected.attempts, verdict::not_run, false, true, rejected.deadline};
        const auto decision = decide_retry(this->route, failed, used, this->now, this->rng);
        if (decision.delay && !rejected.done) {
            this->after(*decision.delay, [this, id] { this->send_attempt(id); });
            return;
        }
        this->end_call(id, false);
    }

    void run(std::size_t id)
    {
        const auto service_time = microseconds{5'000} + full_jitter(this->rng, microseconds{10'000});
        this->after(service_time, [this, id] {
            this->end_call(id, true);
            for (const auto expired : this->control.expire(this->now)) {
                this->on_rejected(expired);
            }
            for (const auto started : this->control.finish(id, run_outcome::answered, this->now)) {
                this->run(started);
            }
        });
    }

    void end_call(std::size_t id, bool has_response)
    {
        auto& ended = this->calls[id];
        if (ended.done) {
            return;
        }
        ended.done = true;
        if (has_response && this->now <= ended.deadline) {
            ++this->figures.in_time;
            return;
        }
        const auto resent = ended.resent + 1;
        const auto timed_out = this->now >= ended.deadline;
        if (timed_out && resent <= 2) {
            this->send_call(resent);
        }
    }

    overload_options options;
    timestamp now{milliseconds{1}};
    random_engine rng{17};
    admission control;
    retry_budget budget{};
    route_config route{};
    std::deque<call> calls{};
    std::priority_queue<event> events{};
    std::uint64_t order{};
    overload_figures figures{};
};

struct overload_phases {
    overload_figures during{};
    overload_figures first_after{};
    overload_figures last_after{};
};

class overload : public testing::Test {
protected:
    static constexpr double capacity = 1'000.0;
    static constexpr double overload_seconds = 5.0;

    [[nodiscard]] static overload_phases measure(const overload_options& options)
    {
        constexpr milliseconds second{1'000};
        overload_simulation simulation{options};
        simulation.offer(capacity / 2, second);
        print("before", 1.0, simulation.take_figures());
        overload_phases phases{};
        simulation.offer(capacity * 2, 5 * second);
        phases.during = simulation.take_figures();
        print("during", overload_seconds, phases.during);
        simulation.offer(capacity / 2, second);
        phases.first_after = simulation.take_figures();
        print("first second after", 1.0, phases.first_after);
        simulation.offer(capacity / 2, 3 * second);
        static_cast<void>(simulation.take_figures());
        simulation.offer(capacity / 2, second);
        phases.last_after = simulation.take_figures();
        print("fifth second after", 1.0, phases.last_after);
        return phases;
    }

    static void print(std::string_view phase, double seconds, const overload_figures& figures)
    {
        std::cout << phase << ": offered/s " << figures.offered / seconds << ", answered in time/s "
                  << figures.in_time / seconds << ", attempts for each call "
                  << figures.attempts / figures.first_attempts << '\n';
    }
};

// Guards against goodput that falls under overload, and against a metastable failure after it.
TEST_F(overload, goodput_stays_at_capacity_and_recovers_at_once)
{
    const auto phases = measure({.queue_deadlines = true, .retry_budget = true});
    EXPECT_GE(phases.during.in_time, 0.95 * capacity * overload_seconds);
    EXPECT_LE(phases.during.attempts, 1.15 * phases.during.first_attempts);
    EXPECT_GE(phases.first_after.in_time, 0.99 * phases.first_after.offered);
    EXPECT_GE(phases.last_after.in_time, 0.99 * phases.last_after.offered);
}

// Shows that without both mechanisms the goodput collapses under this load and does not recover afterwards.
TEST_F(overload, without_queue_deadlines_and_budget_the_goodput_does_not_recover)
{
    const auto phases = measure({.queue_deadlines = false, .retry_budget = false});
    EXPECT_LE(phases.during.in_time, 0.2 * capacity * overload_seconds);
    EXPECT_LE(phases.last_after.in_time, 0.2 * phases.last_after.offered);
}

// Shows that the budget alone is not enough: the queue fills with calls whose callers no longer wait.
TEST_F(overload, budget_without_queue_deadlines_does_not_recover)
{
    const auto phases = measure({.queue_deadlines = false, .retry_budget = true});
    EXPECT_LE(phases.last_after.in_time, 0.2 * phases.last_after.offered);
}

// Shows what the budget adds: without it, each rejected call is offered three times.
TEST_F(overload, queue_deadlines_without_budget_keep_the_goodput_but_multiply_the_attempts)
{
    const auto phases = measure({.queue_deadlines = true, .retry_budget = false});
    EXPECT_GE(phases.during.in_time, 0.95 * capacity * overload_seconds);
    EXPECT_GE(phases.during.attempts, 1.8 * phases.during.first_attempts);
}

} // namespace
} // namespace kumquatdrift
