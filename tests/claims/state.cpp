#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <kumquatdrift/claims/state.hpp>

#include "support/claim_log.hpp"

namespace kumquatdrift {
namespace {

constexpr auto stream = "claims-00";

class claim_owner {
public:
    claim_owner(claim_log& target, timestamp& clock, const claim_limits& limits = {})
        : log{target}, now{clock}, partition{make_claim_partition(limits)}
    {
    }

    void ask(const std::string& attempt, const std::string& key = "k",
             milliseconds wait = milliseconds{1'000})
    {
        submit_claim(this->partition, ++this->tickets, {"reserve", key, attempt, this->now + wait},
                     this->now);
        this->attempts[this->tickets] = attempt;
        this->collect();
    }

    void complete(const std::string& attempt, const std::string& body, const std::string& key = "k")
    {
        const stored_answer answer{201, "text/plain", body};
        ASSERT_TRUE(submit_follow_up(
            this->partition, {claim_entry_kind::completed, "reserve", key, attempt, answer}, this->now));
    }

    void release(const std::string& attempt, const std::string& key = "k")
    {
        ASSERT_TRUE(submit_follow_up(
            this->partition, {claim_entry_kind::released, "reserve", key, attempt, std::nullopt}, this->now));
    }

    /*! @brief Runs the owner for a time in steps of 5 ms. */
    void run(milliseconds time = milliseconds{200})
    {
        for (const auto end = this->now + time; this->now < end; this->now += milliseconds{5}) {
            this->step();
        }
    }

    void step()
    {
        this->start();
        this->resume();
    }

    /*! @brief Starts a step. The owner then is paused until `resume`. */
    claim_step_kind start()
    {
        auto next = next_claim_step(this->partition, this->now);
        if (next.kind == claim_step_kind::append) {
            this->appended = this->log.append(stream, std::move(next.payload));
        }
        if (next.kind == claim_step_kind::read) {
            this->batch = this->log.read(stream, next.from, next.limit);
        }
        return next.kind;
    }

    void resume()
    {
        if (this->appended) {
            on_claim_append(this->partition, *std::exchange(this->appended, std::nullopt), this->now,
                            this->rng);
        }
        if (this->batch) {
            on_claim_read(this->partition, *std::exchange(this->batch, std::nullopt), this->now, this->rng);
        }
        this->collect();
    }

    [[nodiscard]] std::optional<claim_outcome> outcome(const std::string& attempt) const
    {
        const auto found = this->decided.find(attempt);
        return found == this->decided.end() ? std::nullopt : std::optional{found->second.answer.outcome};
    }

    claim_log& log;
    timestamp& now;
    claim_partition partition;
    std::map<std::string, claim_decision> decided{};

private:
    void collect()
    {
        for (auto& decision : take_claim_decisions(this->partition)) {
            const auto attempt = this->attempts[decision.ticket];
            this->decided[attempt] = std::move(decision);
        }
    }

    random_engine rng{1};
    std::uint64_t tickets{};
    std::map<std::uint64_t, std::string> attempts{};
    std::optional<append_result> appended{};
    std::optional<result<log_batch>> batch{};
};

class claim_state : public testing::Test {
protected:
    claim_log log{};
    timestamp now{};
    claim_owner first{log, now};
    claim_owner second{log, now};
};

// Guards against a key that is lost or altered on its way through the log.
TEST_F(claim_state, record_with_every_entry_kind_survives_encoding)
{
    const std::string binary{"\0\xff\r\n", 4};
    const claim_record record{
        7,
        {{claim_entry_kind::claim, "r", "a \"quoted\" key", "x", std::nullopt},
         {claim_entry_kind::completed, "r", "k", "y", stored_answer{200, "image/png", binary}},
         {claim_entry_kind::completed, "r", "l", "w", stored_answer{204, "", std::nullopt}},
         {claim_entry_kind::released, "r", "k", "z", std::nullopt}}};
    const auto decoded = decode_claim_record(encode_claim_record(record)).record;
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->read_to, 7U);
    ASSERT_EQ(decoded->entries.size(), 4U);
    EXPECT_EQ(decoded->entries[0].key, "a \"quoted\" key");
    EXPECT_EQ(decoded->entries[1].answer->body, binary);
    EXPECT_EQ(decoded->entries[2].answer->body, std::nullopt);
    EXPECT_EQ(decoded->entries[3].kind, claim_entry_kind::released);
}

// Guards against a second run when the caller repeats a key, and against a lost stored answer.
TEST_F(claim_state, repeated_key_is_refused_until_completed_and_then_gets_the_answer)
{
    this->first.ask("a");
    this->first.run();
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::granted);
    this->first.ask("b");
    EXPECT_EQ(this->first.outcome("b"), claim_outcome::claimed);
    this->first.complete("a", "fitting 12");
    this->first.run();
    this->first.ask("c");
    EXPECT_EQ(this->first.outcome("c"), claim_outcome::completed);
    EXPECT_EQ(this->first.decided["c"].answer.answer->body, "fitting 12");
}

// Guards against one append per claim, which the log cannot carry.
TEST_F(claim_state, claims_of_one_interval_share_one_append)
{
    this->first.run();
    for (int index = 0; index < 50; ++index) {
        this->first.ask("a" + std::to_string(index), "k" + std::to_string(index));
        this->first.step();
        this->now += microseconds{200};
    }
    this->first.run();
    // Ten milliseconds of claims; the shortest interval is 2 ms.
    EXPECT_LE(this->log.records(stream).size(), 5U);
    EXPECT_EQ(this->first.outcome("a49"), claim_outcome::granted);
}

// Guards against more appends than this partition's share of the log's rate.
TEST_F(claim_state, steady_claims_stay_within_the_append_rate)
{
    for (int index = 0; index < 2'000; ++index) {
        this->first.ask("a" + std::to_string(index), "k" + std::to_string(index));
        this->first.run(milliseconds{5});
    }
    // Ten seconds at 12.5 appends a second after a burst of 25.
    EXPECT_LE(this->log.records(stream).size(), 25U + 125U + 1U);
}

// Guards against two grants when two nodes believe that they own the partition.
TEST_F(claim_state, two_owners_grant_a_key_only_to_the_first_claim_in_the_log)
{
    this->first.run();
    this->second.run();
    this->first.ask("a");
    this->second.ask("b");
    this->now += milliseconds{20};
    ASSERT_EQ(this->second.start(), claim_step_kind::append);
    ASSERT_EQ(this->first.start(), claim_step_kind::append);
    this->first.resume();
    this->second.resume();
    this->first.run();
    EXPECT_EQ(this->second.outcome("b"), claim_outcome::granted);
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::claimed);
    EXPECT_TRUE(this->first.decided["a"].recorded);
}

// Guards against a grant by an owner that was paused while another took over.
TEST_F(claim_state, paused_owner_that_wakes_finds_the_other_claim_first)
{
    this->first.run();
    this->first.ask("a", "k", milliseconds{60'000});
    this->now += milliseconds{20'000};
    this->second.ask("b");
    this->second.run();
    EXPECT_EQ(this->second.outcome("b"), claim_outcome::granted);
    this->first.run();
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::claimed);
}

// Guards against a grant by an owner that was paused for longer than the retention.
TEST_F(claim_state, owner_that_missed_expired_records_does_not_grant)
{
    this->first.run();
    this->first.ask("a");
    this->now += milliseconds{20};
    this->second.ask("b");
    this->second.run(milliseconds{50});
    ASSERT_EQ(this->first.start(), claim_step_kind::append);
    this->log.expire(stream, 1);
    this->first.resume();
    this->first.run();
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::unavailable);
    EXPECT_TRUE(this->first.decided["a"].recorded);
}

// Guards against a second run when the owner dies after its grant and the caller repeats the key elsewhere.
TEST_F(claim_state, new_owner_reads_the_retained_tail_before_it_decides)
{
    this->first.ask("a");
    this->first.run();
    for (int index = 0; index < 600; ++index) {
        (void)this->log.append(stream, "not a claim record");
    }
    claim_owner successor{this->log, this->now};
    successor.ask("b");
    successor.run();
    EXPECT_EQ(successor.outcome("b"), claim_outcome::claimed);
    EXPECT_FALSE(successor.decided["b"].recorded);
    EXPECT_EQ(successor.partition.counters.invalid_records, 600U);
}

// Guards against a claim that blocks its own attempt after its answer was lost.
TEST_F(claim_state, claim_whose_answer_was_lost_is_found_by_its_attempt)
{
    this->first.run();
    this->log.fault = append_fault::lost_answer;
    this->first.ask("a");
    this->first.run();
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::granted);
    EXPECT_EQ(this->log.records(stream).size(), 1U);
}

// Guards against a second run when an entry node sends an attempt to a second owner after a lost answer.
TEST_F(claim_state, attempt_asked_again_at_another_owner_is_granted_and_others_are_not)
{
    this->first.ask("a");
    this->first.run();
    this->second.ask("a");
    this->second.ask("b");
    this->second.run();
    EXPECT_EQ(this->second.outcome("a"), claim_outcome::granted);
    EXPECT_EQ(this->second.outcome("b"), claim_outcome::claimed);
}

// Guards against a key that stays blocked after its request was certainly not run.
TEST_F(claim_state, released_key_is_granted_to_a_later_claim)
{
    this->first.ask("a");
    this->first.run();
    this->first.release("a");
    this->first.run();
    this->second.ask("b");
    this->second.run();
    EXPECT_EQ(this->second.outcome("b"), claim_outcome::granted);
}

// Guards against a key blocked by a copy of a claim that was delayed past its release.
TEST_F(claim_state, claim_that_lands_after_its_release_has_no_effect)
{
    this->first.run();
    this->log.fault = append_fault::delayed;
    this->first.ask("a", "k", milliseconds{20});
    this->first.run(milliseconds{40});
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::unavailable);
    this->second.release("a");
    this->second.run();
    this->log.land_delayed();
    this->second.ask("b");
    this->second.run();
    EXPECT_EQ(this->second.outcome("b"), claim_outcome::granted);
}

// Guards against a release that frees a key while another owner's claim on it was granted.
TEST_F(claim_state, release_of_a_lost_claim_does_not_free_the_key)
{
    this->first.ask("a");
    this->first.run();
    this->second.release("b");
    this->second.run();
    this->second.ask("c");
    this->second.run();
    EXPECT_EQ(this->second.outcome("c"), claim_outcome::claimed);
}

// Guards against a grant over a claim that a newer release wrote in a format unknown here.
TEST_F(claim_state, record_of_a_newer_format_blocks_the_partition_until_it_expires)
{
    (void)this->log.append(stream, R"({"format":2,"claims":["k"]})");
    this->first.ask("a");
    this->first.run();
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::unavailable);
    EXPECT_NE(this->first.decided["a"].answer.reason.find("newer format"), std::string::npos);
    this->log.expire(stream, 1);
    this->first.run(milliseconds{6'000});
    this->first.ask("b");
    this->first.run();
    EXPECT_EQ(this->first.outcome("b"), claim_outcome::granted);
}

// Guards against a caller that waits forever, and against a rejection without a reason.
TEST_F(claim_state, log_outage_is_answered_at_the_deadline_with_the_reason)
{
    this->first.run();
    this->log.outage = true;
    this->first.ask("a", "k", milliseconds{300});
    this->first.run(milliseconds{290});
    EXPECT_EQ(this->first.outcome("a"), std::nullopt);
    this->first.run(milliseconds{15});
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::unavailable);
    EXPECT_NE(this->first.decided["a"].answer.reason.find("refused the connection"), std::string::npos);
    EXPECT_FALSE(this->first.decided["a"].recorded);
}

// Guards against a grant after the deadline, when the entry node has already answered its caller.
TEST_F(claim_state, answer_of_the_log_after_the_deadline_is_not_a_grant)
{
    this->first.run();
    this->first.ask("a", "k", milliseconds{100});
    this->now += milliseconds{50};
    ASSERT_EQ(this->first.start(), claim_step_kind::append);
    this->now += milliseconds{60};
    this->first.resume();
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::unavailable);
    EXPECT_TRUE(this->first.decided["a"].recorded);
}

// Guards against completions lost in an outage, which would leave the caller with 409 for the whole window.
TEST_F(claim_state, completion_is_written_after_an_outage)
{
    this->first.ask("a");
    this->first.run();
    this->log.outage = true;
    this->first.complete("a", "done");
    this->first.run(milliseconds{3'000});
    this->log.outage = false;
    this->first.run(milliseconds{3'000});
    this->second.ask("b");
    this->second.run();
    EXPECT_EQ(this->second.outcome("b"), claim_outcome::completed);
}

// Guards against growth of memory beyond the retained records, and against loss of protection by eviction.
TEST_F(claim_state, memory_is_bounded_by_refusing_claims_and_freed_by_expiry)
{
    claim_limits limits;
    limits.max_keys = 10;
    limits.max_body_bytes = 100;
    claim_owner owner{this->log, this->now, limits};
    owner.run();
    for (int index = 0; index < 10; ++index) {
        const auto number = std::to_string(index);
        owner.ask("a" + number, "k" + number);
        owner.run(milliseconds{50});
        owner.complete("a" + number, std::string(40, 'x'), "k" + number);
        owner.run(milliseconds{100});
    }
    EXPECT_LE(owner.partition.body_bytes, 100U);
    owner.ask("b", "other");
    EXPECT_EQ(owner.outcome("b"), claim_outcome::unavailable);
    owner.ask("c", "k0");
    EXPECT_EQ(owner.outcome("c"), claim_outcome::completed);
    this->log.expire(stream, 1'000);
    owner.run(milliseconds{6'000});
    EXPECT_TRUE(owner.partition.keys.empty());
    EXPECT_EQ(owner.partition.body_bytes, 0U);
    EXPECT_TRUE(owner.partition.key_expiry.empty());
    owner.ask("d", "other");
    owner.run();
    EXPECT_EQ(owner.outcome("d"), claim_outcome::granted);
}

} // namespace
} // namespace kumquatdrift
