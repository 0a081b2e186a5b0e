#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include <kumquatdrift/claims/state.hpp>

#include "support/claim_log.hpp"
#include "support/fuzz_main.hpp"

// Several owners of one partition process claims for a few keys, with pauses, lost responses, late appends,
// outages, expiry and restarts. Oracle: two attempts on a key never both run while the claim of the first is
// retained. After the faults end, a claim on each key is decided, and it is granted if all earlier attempts
// on the key were released with effect.

namespace kumquatdrift {
namespace {

using operation = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

constexpr std::size_t owner_count = 3;
constexpr std::size_t key_count = 4;
constexpr auto stream = "claims-00";
constexpr milliseconds retention{150};

struct attempt_state {
    claim_request request{};
    bool closed{};
    bool ran{};
    bool released{};
};

struct owner_state {
    claim_partition partition{};
    std::optional<append_result> pending_append{};
    std::optional<result<log_batch>> pending_read{};
};

class claim_world {
public:
    claim_world()
    {
        this->limits.retry = {microseconds{1'000}, microseconds{50'000}};
        this->limits.append_burst = 1'000.0;
        this->limits.read_limit = 3;
        this->limits.tail_interval = microseconds{500'000};
        for (auto& owner : this->owners) {
            owner.partition = make_claim_partition(this->limits);
        }
    }

    void apply(const operation& next)
    {
        const auto [kind, first, second] = next;
        auto& owner = this->owners[first % owner_count];
        this->now += milliseconds{second % 8};
        switch (kind % 16) {
        case 0:
        case 1:
            this->claim(owner, second);
            break;
        case 2:
            this->resubmit(owner, second);
            break;
        case 3:
            this->complete(owner, second);
            break;
        case 4:
            this->log.fault = static_cast<append_fault>(second % 4);
            break;
        case 5:
            this->log.outage = second % 3 == 0;
            break;
        case 6:
            this->log.append_delayed();
            break;
        case 7:
            this->expire(second % 4);
            break;
        case 8:
            this->restart(owner, second);
            break;
        case 9:
            this->now += milliseconds{second * 4};
            break;
        case 10:
            this->step(owner, true);
            break;
        default:
            this->step(owner, false);
            this->now += milliseconds{20};
            this->step(owner, false);
        }
        this->append_times.resize(this->log.records(stream).size(), this->now);
    }

    void end_faults_and_check()
    {
        this->log.outage = false;
        this->log.fault = append_fault::none;
        this->log.append_delayed();
        for (std::size_t round = 0; round < 40; ++round) {
            this->release_expired();
            this->run_steps(this->owners[0]);
        }
        for (std::size_t key = 0; key < key_count; ++key) {
            this->check_key(key);
        }
    }

private:
    static std::string key_name(std::size_t key)
    {
        return "k" + std::to_string(key % key_count);
    }

    void claim(owner_state& owner, std::size_t key)
    {
        const auto name = "a" + std::to_string(this->attempts.size());
        const claim_request request{"route", key_name(key), name, this->now + milliseconds{40 + key % 64}};
        this->attempts.push_back({request});
        this->submit(owner, this->attempts.size() - 1);
    }

    void submit(owner_state& owner, std::size_t attempt)
    {
        submit_claim(owner.partition, attempt, this->attempts[attempt].request, this->now);
        this->process_decisions(owner);
    }

    // Models an entry node that sends the same attempt to another owner after its call to the first failed.
    void resubmit(owner_state& owner, std::size_t index)
    {
        if (this->attempts.empty()) {
            return;
        }
        const auto attempt =
            this->attempts.size() - 1 - index % std::min<std::size_t>(this->attempts.size(), 6);
        if (!this->attempts[attempt].closed) {
            this->submit(owner, attempt);
        }
    }

    void complete(owner_state& owner, std::size_t index)
    {
        std::vector<std::size_t> running;
        for (std::size_t attempt = 0; attempt < this->attempts.size(); ++attempt) {
            if (this->attempts[attempt].ran) {
                running.push_back(attempt);
            }
        }
        if (running.empty()) {
            return;
        }
        const auto& request = this->attempts[running[index % running.size()]].request;
        const stored_response response{200, "text/plain", request.attempt};
        (void)submit_follow_up(
            owner.partition,
            {claim_entry_kind::completed, request.route, request.key, request.attempt, response}, this->now);
    }

    void release(owner_state& owner, attempt_state& attempt)
    {
        attempt.released = true;
        const auto& request = attempt.request;
        (void)submit_follow_up(owner.partition,
                               {claim_entry_kind::released, request.route, request.key, request.attempt, {}},
                               this->now);
    }

    // Only records older than the retention expire. The retention must be longer than any deadline, because
    // a claim that is granted after its own record has expired does not exclude other attempts.
    void expire(std::size_t limit)
    {
        const auto bounds = this->log.bounds(stream);
        std::size_t count = 0;
        while (count < limit && bounds.earliest + count < bounds.end &&
               this->append_times[bounds.earliest + count] + retention < this->now) {
            ++count;
        }
        this->log.expire(stream, count);
    }

    void restart(owner_state& owner, std::size_t index)
    {
        if (index % 4 == 0) {
            owner = {};
            owner.partition = make_claim_partition(this->limits);
        }
    }

    void process_decisions(owner_state& owner)
    {
        for (const auto& decision : take_claim_decisions(owner.partition)) {
            this->process_decision(owner, decision);
        }
    }

    void process_decision(owner_state& owner, const claim_decision& decision)
    {
        auto& attempt = this->attempts[decision.ticket];
        if (attempt.closed) {
            return;
        }
        const auto granted = decision.result.outcome == claim_outcome::granted;
        RC_ASSERT(!granted || this->now < attempt.request.deadline);
        attempt.closed = true;
        if (!granted) {
            this->release(owner, attempt);
        }
        else if (decision.ticket % 5 == 0) {
            // Models a request that could not be sent to any target.
            this->release(owner, attempt);
        }
        else {
            this->record_run(attempt);
        }
    }

    void record_run(attempt_state& attempt)
    {
        attempt.ran = true;
        for (const auto& other : this->attempts) {
            if (&other == &attempt || !other.ran || other.request.key != attempt.request.key) {
                continue;
            }
            const auto claim_offsets = this->offsets_of(claim_entry_kind::claim, other.request);
            RC_ASSERT(claim_offsets.front() < this->log.bounds(stream).earliest);
        }
    }

    std::vector<log_offset> offsets_of(claim_entry_kind kind, const claim_request& request)
    {
        const auto text = "{\"kind\":\"" + std::string{to_name(kind)} + "\",\"route\":\"route\",\"key\":\"" +
                          request.key + "\",\"attempt\":\"" + request.attempt + "\"";
        const auto& records = this->log.records(stream);
        std::vector<log_offset> offsets;
        for (log_offset offset = 0; offset < records.size(); ++offset) {
            if (records[offset].find(text) != std::string::npos) {
                offsets.push_back(offset);
            }
        }
        return offsets;
    }

    // An entry node releases its attempt at the deadline, whether or not the owner has responded.
    void release_expired()
    {
        for (auto& attempt : this->attempts) {
            if (!attempt.closed && this->now >= attempt.request.deadline) {
                attempt.closed = true;
                this->release(this->owners[0], attempt);
            }
        }
    }

    // Runs one step. A paused owner receives the response of the log only at its next step.
    void step(owner_state& owner, bool pause)
    {
        this->release_expired();
        if (owner.pending_append) {
            on_claim_append(owner.partition, *std::exchange(owner.pending_append, std::nullopt), this->now,
                            this->rng);
        }
        else if (owner.pending_read) {
            on_claim_read(owner.partition, *std::exchange(owner.pending_read, std::nullopt), this->now,
                          this->rng);
        }
        else {
            this->start_step(owner);
            if (!pause && (owner.pending_append || owner.pending_read)) {
                this->step(owner, false);
                return;
            }
        }
        this->process_decisions(owner);
    }

    void start_step(owner_state& owner)
    {
        auto next = next_claim_step(owner.partition, this->now);
        if (next.kind == claim_step_kind::append) {
            owner.pending_append = this->log.append(stream, std::move(next.payload));
        }
        else if (next.kind == claim_step_kind::read) {
            owner.pending_read = this->log.read(stream, next.from, next.limit);
        }
    }

    void run_steps(owner_state& owner)
    {
        for (std::size_t count = 0; count < 12; ++count) {
            this->now += milliseconds{60};
            this->step(owner, false);
        }
    }

    void check_key(std::size_t key)
    {
        const auto blocked =
            std::any_of(this->attempts.begin(), this->attempts.end(), [&](const auto& attempt) {
                return attempt.request.key == key_name(key) && !attempt.released;
            });
        const claim_request request{"route", key_name(key), "last" + std::to_string(key),
                                    this->now + milliseconds{5'000}};
        auto& owner = this->owners[0];
        submit_claim(owner.partition, 1'000'000, request, this->now);
        std::vector<claim_decision> decisions;
        for (std::size_t count = 0; count < 100 && decisions.empty(); ++count) {
            this->now += milliseconds{20};
            this->start_step(owner);
            if (owner.pending_append) {
                on_claim_append(owner.partition, *std::exchange(owner.pending_append, std::nullopt),
                                this->now, this->rng);
            }
            if (owner.pending_read) {
                on_claim_read(owner.partition, *std::exchange(owner.pending_read, std::nullopt), this->now,
                              this->rng);
            }
            decisions = take_claim_decisions(owner.partition);
        }
        RC_ASSERT(decisions.size() == 1U);
        const auto outcome = decisions.front().result.outcome;
        RC_ASSERT(outcome != claim_outcome::unavailable);
        if (!blocked && !this->is_release_ineffective(key)) {
            RC_ASSERT(outcome == claim_outcome::granted);
        }
    }

    // A release has no effect if its owner restarted before it was written, or if it expired before the
    // last copy of the claim was written.
    bool is_release_ineffective(std::size_t key)
    {
        const auto earliest = this->log.bounds(stream).earliest;
        return std::any_of(this->attempts.begin(), this->attempts.end(), [&](const auto& attempt) {
            const auto claims = this->offsets_of(claim_entry_kind::claim, attempt.request);
            const auto releases = this->offsets_of(claim_entry_kind::released, attempt.request);
            if (attempt.request.key != key_name(key) || claims.empty()) {
                return false;
            }
            return releases.empty() || (releases.back() < earliest && claims.back() > releases.back());
        });
    }

    claim_limits limits{};
    claim_log log{};
    random_engine rng{1};
    timestamp now{};
    std::array<owner_state, owner_count> owners{};
    std::vector<attempt_state> attempts{};
    std::vector<timestamp> append_times{};
};

void run_round(std::uint64_t seed, fuzz_budget& budget)
{
    check_property(seed, 40, 150, [&](const std::vector<operation>& operations) {
        claim_world tested;
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
    return kumquatdrift::run_fuzz(argc, argv, "fuzz_claims", kumquatdrift::run_round);
}
