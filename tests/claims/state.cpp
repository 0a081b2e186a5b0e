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

/*! @brief Owner of a partition on a log in memory and a manual clock. */
class claim_owner {
public:
    claim_owner(claim_log& shared_log, timestamp& clock, const claim_limits& limits = {})
        : log{shared_log}, now{clock}, partition{make_claim_partition(limits)}
    {
    }

    void claim(const std::string& attempt, const std::string& key = "k",
               milliseconds wait = milliseconds{1'000})
    {
        submit_claim(this->partition, ++this->last_ticket, {"reserve", key, attempt, this->now + wait},
                     this->now);
        this->attempts[this->last_ticket] = attempt;
        this->collect();
    }

    void complete(const std::string& attempt, const std::string& body, const std::string& key = "k")
    {
        const stored_response response{201, "text/plain", body};
        ASSERT_TRUE(submit_follow_up(
            this->partition, {claim_entry_kind::completed, "reserve", key, attempt, response}, this->now));
    }

    void release(const std::string& attempt, const std::string& key = "k")
    {
        ASSERT_TRUE(submit_follow_up(
            this->partition, {claim_entry_kind::released, "reserve", key, attempt, std::nullopt}, this->now));
    }

    /*! @brief Performs a step every 5 ms of the manual clock for a duration. */
    void run(milliseconds duration = milliseconds{200})
    {
        for (const auto end = this->now + duration; this->now < end; this->now += milliseconds{5}) {
            this->step();
        }
    }

    void step()
    {
        this->start();
        this->resume();
    }

    /*! @brief Starts a step. Its result is not reported to the owner until `resume`, as if it were paused. */
    claim_step_kind start()
    {
        auto next = next_claim_step(this->partition, this->now);
        if (next.kind == claim_step_kind::append) {
            this->pending_append = this->log.append(stream, std::move(next.payload));
        }
        if (next.kind == claim_step_kind::read) {
            this->pending_read = this->log.read(stream, next.from, next.limit);
        }
        return next.kind;
    }

    void resume()
    {
        if (this->pending_append) {
            on_claim_append(this->partition, *std::exchange(this->pending_append, std::nullopt), this->now,
                            this->rng);
        }
        if (this->pending_read) {
            on_claim_read(this->partition, *std::exchange(this->pending_read, std::nullopt), this->now,
                          this->rng);
        }
        this->collect();
    }

    [[nodiscard]] std::optional<claim_outcome> outcome(const std::string& attempt) const
    {
        const auto found = this->decisions.find(attempt);
        return found == this->decisions.end() ? std::nullopt : std::optional{found->second.result.outcome};
    }

    claim_log& log;
    timestamp& now;
    claim_partition partition;
    std::map<std::string, claim_decision> decisions{};

private:
    void collect()
    {
        for (auto& decision : take_claim_decisions(this->partition)) {
            const auto attempt = this->attempts[decision.ticket];
            this->decisions[attempt] = std::move(decision);
        }
    }

    random_engine rng{1};
    std::uint64_t last_ticket{};
    std::map<std::uint64_t, std::string> attempts{};
    std::optional<append_result> pending_append{};
    std::optional<result<log_batch>> pending_read{};
};

class claim_state : public testing::Test {
protected:
    claim_log log{};
    timestamp now{};
    claim_owner first{log, now};
    claim_owner second{log, now};
};

// Guards against entries that are lost or altered when they are written to the log and read back.
TEST_F(claim_state, record_with_every_entry_kind_survives_encoding)
{
    const std::string binary{"\0\xff\r\n", 4};
    const claim_record record{
        7,
        {{claim_entry_kind::claim, "r", "a \"quoted\" key", "x", std::nullopt},
         {claim_entry_kind::completed, "r", "k", "y", stored_response{200, "image/png", binary}},
         {claim_entry_kind::completed, "r", "l", "w", stored_response{204, "", std::nullopt}},
         {claim_entry_kind::released, "r", "k", "z", std::nullopt}}};
    const auto decoded = decode_claim_record(encode_claim_record(record)).record;
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->read_to, 7U);
    ASSERT_EQ(decoded->entries.size(), 4U);
    EXPECT_EQ(decoded->entries[0].key, "a \"quoted\" key");
    EXPECT_EQ(decoded->entries[1].response->body, binary);
    EXPECT_EQ(decoded->entries[2].response->body, std::nullopt);
    EXPECT_EQ(decoded->entries[3].kind, claim_entry_kind::released);
}

// Guards against a second execution when the caller retries with the same key, and against the loss of the
// stored response.
TEST_F(claim_state, retried_key_is_rejected_until_completed_and_then_gets_the_stored_response)
{
    this->first.claim("a");
    this->first.run();
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::granted);
    this->first.claim("b");
    EXPECT_EQ(this->first.outcome("b"), claim_outcome::claimed);
    this->first.complete("a", "fitting 12");
    this->first.run();
    this->first.claim("c");
    EXPECT_EQ(this->first.outcome("c"), claim_outcome::completed);
    EXPECT_EQ(this->first.decisions["c"].result.response->body, "fitting 12");
}

// Guards against one append per claim, which would overload the log.
TEST_F(claim_state, claims_of_one_interval_share_one_append)
{
    this->first.run();
    for (int index = 0; index < 50; ++index) {
        this->first.claim("a" + std::to_string(index), "k" + std::to_string(index));
        this->first.step();
        this->now += microseconds{200};
    }
    this->first.run();
    // The claims arrive within 10 ms, and a batch collects claims for at least 2 ms.
    EXPECT_LE(this->log.records(stream).size(), 5U);
    EXPECT_EQ(this->first.outcome("a49"), claim_outcome::granted);
}

// Guards against appends above the share of the log's append rate that one partition has.
TEST_F(claim_state, steady_claims_stay_within_the_append_rate)
{
    for (int index = 0; index < 2'000; ++index) {
        this->first.claim("a" + std::to_string(index), "k" + std::to_string(index));
        this->first.run(milliseconds{5});
    }
    // 10 s at 12.5 appends per second after a burst of 25.
    EXPECT_LE(this->log.records(stream).size(), 25U + 125U + 1U);
}

// Guards against two grants for a key when two nodes act as owner of its partition at the same time.
TEST_F(claim_state, two_owners_grant_a_key_only_to_the_first_claim_in_the_log)
{
    this->first.run();
    this->second.run();
    this->first.claim("a");
    this->second.claim("b");
    this->now += milliseconds{20};
    ASSERT_EQ(this->second.start(), claim_step_kind::append);
    ASSERT_EQ(this->first.start(), claim_step_kind::append);
    this->first.resume();
    this->second.resume();
    this->first.run();
    EXPECT_EQ(this->second.outcome("b"), claim_outcome::granted);
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::claimed);
    EXPECT_TRUE(this->first.decisions["a"].recorded);
}

// Guards against a grant by an owner that was paused while another owner took over and granted the key.
TEST_F(claim_state, paused_owner_that_resumes_finds_the_earlier_claim)
{
    this->first.run();
    this->first.claim("a", "k", milliseconds{60'000});
    this->now += milliseconds{20'000};
    this->second.claim("b");
    this->second.run();
    EXPECT_EQ(this->second.outcome("b"), claim_outcome::granted);
    this->first.run();
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::claimed);
}

// Guards against a grant by an owner that was paused for longer than the retention of the log, so that an
// earlier claim expired before it was read.
TEST_F(claim_state, owner_that_missed_expired_records_does_not_grant)
{
    this->first.run();
    this->first.claim("a");
    this->now += milliseconds{20};
    this->second.claim("b");
    this->second.run(milliseconds{50});
    ASSERT_EQ(this->first.start(), claim_step_kind::append);
    this->log.expire(stream, 1);
    this->first.resume();
    this->first.run();
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::unavailable);
    EXPECT_TRUE(this->first.decisions["a"].recorded);
}

// Guards against a second execution when the owner crashes after a grant and the caller retries the key at
// another node.
TEST_F(claim_state, new_owner_reads_all_retained_records_before_it_decides)
{
    this->first.claim("a");
    this->first.run();
    for (int index = 0; index < 600; ++index) {
        (void)this->log.append(stream, "not a claim record");
    }
    claim_owner successor{this->log, this->now};
    successor.claim("b");
    successor.run();
    EXPECT_EQ(successor.outcome("b"), claim_outcome::claimed);
    EXPECT_FALSE(successor.decisions["b"].recorded);
    EXPECT_EQ(successor.partition.counters.invalid_records, 600U);
}

// Guards against a claim that blocks its own attempt after the response of the log was lost.
TEST_F(claim_state, claim_whose_answer_was_lost_is_found_by_its_attempt)
{
    this->first.run();
    this->log.fault = append_fault::lost_response;
    this->first.claim("a");
    this->first.run();
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::granted);
    EXPECT_EQ(this->log.records(stream).size(), 1U);
}

// Guards against a second execution when an entry node sends a claim to a second owner after the response of
// the first was lost.
TEST_F(claim_state, attempt_sent_to_a_second_owner_is_granted_and_others_are_not)
{
    this->first.claim("a");
    this->first.run();
    this->second.claim("a");
    this->second.claim("b");
    this->second.run();
    EXPECT_EQ(this->second.outcome("a"), claim_outcome::granted);
    EXPECT_EQ(this->second.outcome("b"), claim_outcome::claimed);
}

// Guards against a key that stays blocked although its request certainly was not run.
TEST_F(claim_state, released_key_is_granted_to_a_later_claim)
{
    this->first.claim("a");
    this->first.run();
    this->first.release("a");
    this->first.run();
    this->second.claim("b");
    this->second.run();
    EXPECT_EQ(this->second.outcome("b"), claim_outcome::granted);
}

// Guards against a key that is blocked by a delayed append of a claim that reaches the log after the release.
TEST_F(claim_state, claim_appended_after_its_release_has_no_effect)
{
    this->first.run();
    this->log.fault = append_fault::delayed;
    this->first.claim("a", "k", milliseconds{20});
    this->first.run(milliseconds{40});
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::unavailable);
    this->second.release("a");
    this->second.run();
    this->log.append_delayed();
    this->second.claim("b");
    this->second.run();
    EXPECT_EQ(this->second.outcome("b"), claim_outcome::granted);
}

// Guards against a release by one attempt that frees a key which was granted to another attempt.
TEST_F(claim_state, release_by_another_attempt_does_not_free_the_key)
{
    this->first.claim("a");
    this->first.run();
    this->second.release("b");
    this->second.run();
    this->second.claim("c");
    this->second.run();
    EXPECT_EQ(this->second.outcome("c"), claim_outcome::claimed);
}

// Guards against a grant for a key that a node of a newer release has claimed in a format unknown to this
// one.
TEST_F(claim_state, record_of_a_newer_format_blocks_the_partition_until_it_expires)
{
    (void)this->log.append(stream, R"({"format":2,"claims":["k"]})");
    this->first.claim("a");
    this->first.run();
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::unavailable);
    EXPECT_NE(this->first.decisions["a"].result.reason.find("newer format"), std::string::npos);
    this->log.expire(stream, 1);
    this->first.run(milliseconds{6'000});
    this->first.claim("b");
    this->first.run();
    EXPECT_EQ(this->first.outcome("b"), claim_outcome::granted);
}

// Guards against a caller that is blocked forever, and against a rejection without a reason.
TEST_F(claim_state, claim_during_a_log_outage_is_rejected_at_its_deadline_with_the_reason)
{
    this->first.run();
    this->log.outage = true;
    this->first.claim("a", "k", milliseconds{300});
    this->first.run(milliseconds{290});
    EXPECT_EQ(this->first.outcome("a"), std::nullopt);
    this->first.run(milliseconds{15});
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::unavailable);
    EXPECT_NE(this->first.decisions["a"].result.reason.find("refused the connection"), std::string::npos);
    EXPECT_FALSE(this->first.decisions["a"].recorded);
}

// Guards against a grant after the deadline, when the entry node has already responded to its caller.
TEST_F(claim_state, append_confirmed_after_the_deadline_is_not_a_grant)
{
    this->first.run();
    this->first.claim("a", "k", milliseconds{100});
    this->now += milliseconds{50};
    ASSERT_EQ(this->first.start(), claim_step_kind::append);
    this->now += milliseconds{60};
    this->first.resume();
    EXPECT_EQ(this->first.outcome("a"), claim_outcome::unavailable);
    EXPECT_TRUE(this->first.decisions["a"].recorded);
}

// Guards against completions lost in an outage: retries would get status 409 until the claim expires.
TEST_F(claim_state, completion_is_written_after_an_outage)
{
    this->first.claim("a");
    this->first.run();
    this->log.outage = true;
    this->first.complete("a", "done");
    this->first.run(milliseconds{3'000});
    this->log.outage = false;
    this->first.run(milliseconds{3'000});
    this->second.claim("b");
    this->second.run();
    EXPECT_EQ(this->second.outcome("b"), claim_outcome::completed);
}

// Guards against memory growth beyond the retained records, and against a second execution because a key was
// evicted to save memory.
TEST_F(claim_state, memory_is_bounded_by_rejecting_claims_and_freed_by_expiry)
{
    claim_limits limits;
    limits.max_keys = 10;
    limits.max_body_bytes = 100;
    claim_owner owner{this->log, this->now, limits};
    owner.run();
    for (int index = 0; index < 10; ++index) {
        const auto number = std::to_string(index);
        owner.claim("a" + number, "k" + number);
        owner.run(milliseconds{50});
        owner.complete("a" + number, std::string(40, 'x'), "k" + number);
        owner.run(milliseconds{100});
    }
    EXPECT_LE(owner.partition.stored_body_bytes, 100U);
    owner.claim("b", "other");
    EXPECT_EQ(owner.outcome("b"), claim_outcome::unavailable);
    owner.claim("c", "k0");
    EXPECT_EQ(owner.outcome("c"), claim_outcome::completed);
    this->log.expire(stream, 1'000);
    owner.run(milliseconds{6'000});
    EXPECT_TRUE(owner.partition.keys.empty());
    EXPECT_EQ(owner.partition.stored_body_bytes, 0U);
    EXPECT_TRUE(owner.partition.key_expiry.empty());
    owner.claim("d", "other");
    owner.run();
    EXPECT_EQ(owner.outcome("d"), claim_outcome::granted);
}

} // namespace
} // namespace kumquatdrift
