#include <kumquatdrift/config/recovery.hpp>

#include <atomic>
#include <latch>
#include <thread>
#include <vector>

#include <kumquatdrift/config/records.hpp>
#include <kumquatdrift/config/version_gate.hpp>

#include "support.hpp"

namespace kumquatdrift {
namespace {

using testing_support::config_fold;
using testing_support::lisbon_base;
using testing_support::make_edit;

class config_recovery : public config_fold {
protected:
    /*! @brief Appends a valid edit of the base and checks that it is accepted. */
    void append_base_edit()
    {
        const auto* const base = find_document(this->state, "base");
        const auto parent = base != nullptr ? std::optional{base->offset} : std::nullopt;
        const auto id = "edit-" + std::to_string(this->state.next_offset);
        ASSERT_EQ(this->append(make_edit("base", parent, id, lisbon_base)).kind, outcome_kind::accepted);
    }
};

// Guards against a checkpoint that loses part of the state.
TEST_F(config_recovery, state_survives_a_checkpoint_unchanged)
{
    this->append_base_edit();
    this->append(make_edit("overlay/belem", {}, "b", R"({"routes":{"reserve":null}})"));
    this->append(make_edit("overlay/belem", {}, "c", "{}"));
    const auto loaded = load_checkpoint(make_checkpoint_record(this->state));
    ASSERT_TRUE(loaded) << loaded.last_reason();
    EXPECT_EQ(*loaded, this->state);
    EXPECT_EQ(make_checkpoint_record(*loaded), make_checkpoint_record(this->state));
}

// Guards against a reader that starts at a checkpoint disagreeing with the nodes that folded all records.
TEST_F(config_recovery, reader_of_a_late_checkpoint_folds_the_records_since_it)
{
    this->append_base_edit();
    this->append_base_edit();
    const auto late = make_checkpoint_record(this->state);
    this->append_base_edit();
    ASSERT_EQ(this->append(late).kind, outcome_kind::checkpoint);
    this->append_base_edit();
    const auto recovered = recover(this->retained(2));
    ASSERT_TRUE(recovered) << recovered.last_reason();
    EXPECT_EQ(recovered->state, this->state);
    EXPECT_EQ(recovered->checkpoint, 3U);
    EXPECT_EQ(recovered->outcomes.size(), 3U);
}

// Guards against a checkpoint that a paused process appends late. The edits between the records that it
// covers and the oldest retained record would be lost, and the reader would return to an old version
// (invariants 1 and 9).
TEST_F(config_recovery, checkpoint_that_does_not_cover_all_expired_records_is_rejected)
{
    this->append_base_edit();
    const auto late = make_checkpoint_record(this->state);
    this->append_base_edit();
    this->append_base_edit();
    ASSERT_EQ(this->append(late).kind, outcome_kind::checkpoint);
    EXPECT_EQ(recover(this->retained(1))->state, this->state);
    const auto recovered = recover(this->retained(2));
    ASSERT_FALSE(recovered);
    EXPECT_EQ(recovered.last_reason(),
              "records before offset 2 have expired and no usable checkpoint covers them");
}

// Guards against preferring a checkpoint that is appended later but covers fewer records.
TEST_F(config_recovery, checkpoint_that_covers_the_most_records_is_chosen)
{
    this->append_base_edit();
    const auto late = make_checkpoint_record(this->state);
    this->append_base_edit();
    this->append(make_checkpoint_record(this->state));
    this->append(late);
    EXPECT_EQ(recover(this->retained(1))->checkpoint, 2U);
    EXPECT_EQ(recover(this->retained(1), recovery_start::earliest)->checkpoint, 3U);
    EXPECT_EQ(recover(this->retained(), recovery_start::earliest)->checkpoint, std::nullopt);
    this->append(make_checkpoint_record(this->state));
    EXPECT_EQ(recover(this->retained(1))->checkpoint, 4U);
    for (const auto earliest : {0U, 1U, 2U}) {
        EXPECT_EQ(recover(this->retained(earliest))->state, this->state) << earliest;
    }
}

// Guards against using a corrupt checkpoint.
TEST_F(config_recovery, corrupt_checkpoint_is_rejected)
{
    this->append_base_edit();
    this->append_base_edit();
    const auto intact = make_checkpoint_record(this->state);
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{{"\"covers\":2", "\"covers\":3"},
                                                          {"\"queue_limit\":40", "\"queue_limit\":41"},
                                                          {"\"version\":2", "\"version\":1"},
                                                          {"\"digest\":\"", "\"digest\":\"0"}}) {
        auto corrupt = intact;
        ASSERT_NE(corrupt.find(from), std::string::npos);
        corrupt.replace(corrupt.find(from), from.size(), to);
        EXPECT_FALSE(load_checkpoint(corrupt)) << to;
        this->records.resize(2);
        this->state.next_offset = 2;
        EXPECT_EQ(this->append(corrupt).kind, outcome_kind::invalid) << to;
        EXPECT_FALSE(recover(this->retained(1))) << to;
    }
    EXPECT_FALSE(load_checkpoint(intact.substr(0, intact.size() / 2)));
}

// Guards against a checkpoint that claims to cover records after itself, whatever its digest says.
TEST_F(config_recovery, checkpoint_that_covers_records_after_itself_is_rejected)
{
    this->append_base_edit();
    auto ahead = this->state;
    ahead.next_offset = 5;
    EXPECT_EQ(this->append(make_checkpoint_record(ahead)).kind, outcome_kind::invalid);
    EXPECT_FALSE(recover(this->retained(1)));
    EXPECT_EQ(recover(this->retained(0))->state, this->state);
}

// Guards against a reader that starts at a checkpoint evaluating a copy of an invalid edit again.
TEST_F(config_recovery, duplicate_after_a_checkpoint_is_recognised)
{
    this->append_base_edit();
    const auto overlay = make_edit("overlay/belem", {}, "b", R"({"routes":{"x":{"service":"new"}}})");
    ASSERT_EQ(this->append(overlay).kind, outcome_kind::invalid);
    this->append(make_checkpoint_record(this->state));
    ASSERT_EQ(this->append(make_edit("base", 0, "c", R"({"services":{"new":{}}})")).kind,
              outcome_kind::accepted);
    ASSERT_EQ(this->append(overlay).kind, outcome_kind::duplicate);
    const auto recovered = recover(this->retained(2));
    ASSERT_TRUE(recovered) << recovered.last_reason();
    EXPECT_EQ(recovered->outcomes.back().kind, outcome_kind::duplicate);
    EXPECT_EQ(recovered->state, this->state);
}

// Guards against folding across a gap in the records.
TEST_F(config_recovery, records_with_a_gap_are_rejected)
{
    this->append_base_edit();
    this->append_base_edit();
    this->append_base_edit();
    auto batch = this->retained();
    batch.records.erase(batch.records.begin() + 1);
    EXPECT_FALSE(recover(batch));
}

// Guards against an empty state being mistaken for the state of a log whose records have all expired.
TEST_F(config_recovery, new_log_is_empty_and_an_expired_log_is_an_error)
{
    EXPECT_EQ(recover({{0, 0}, {}})->state, config_state{});
    EXPECT_FALSE(recover({{7, 7}, {}}));
}

// Guards against a node of an old release that skips a record of a newer format and continues.
TEST_F(config_recovery, recovery_stops_at_a_record_of_a_newer_format)
{
    this->append_base_edit();
    const auto before = this->state;
    this->append(R"({"format":9})");
    this->records.push_back({2, make_edit("base", 0, "later", lisbon_base)});
    const auto recovered = recover(this->retained());
    EXPECT_EQ(recovered->state, before);
    EXPECT_EQ(recovered->outcomes.back().kind, outcome_kind::unsupported);
}

class config_version_gate : public testing::Test {
protected:
    version_gate gate{};
};

// Guards against a proxy that returns to an older version when updates arrive out of order (invariant 1).
TEST_F(config_version_gate, version_that_is_not_higher_is_rejected)
{
    ASSERT_TRUE(this->gate.install(5));
    EXPECT_FALSE(this->gate.install(5));
    EXPECT_FALSE(this->gate.install(4));
    EXPECT_FALSE(this->gate.install(0));
    EXPECT_EQ(this->gate.in_force(), 5U);
    EXPECT_TRUE(this->gate.install(6));
    EXPECT_EQ(this->gate.in_force(), 6U);
}

// Guards against a lower version replacing a higher one when two threads install concurrently.
TEST_F(config_version_gate, concurrent_installs_never_lower_the_version)
{
    constexpr int installs = 100'000;
    constexpr config_version writer_count = 4;
    std::latch start{writer_count};
    std::atomic<int> lowered{0};
    std::vector<std::thread> writers;
    writers.reserve(writer_count);
    for (config_version step = 1; step <= writer_count; ++step) {
        writers.emplace_back([this, step, &start, &lowered] {
            start.arrive_and_wait();
            config_version seen = 0;
            for (int number = 0; number < installs; ++number) {
                const auto held = this->gate.in_force();
                lowered += held < seen ? 1 : 0;
                const auto installed = this->gate.install(held + step);
                seen = installed ? held + step : held;
            }
        });
    }
    for (auto& writer : writers) {
        writer.join();
    }
    EXPECT_EQ(lowered, 0);
}

// Guards against a restarted node that serves an older version than before its restart.
TEST_F(config_version_gate, version_below_the_floor_is_rejected)
{
    this->gate.raise_floor(7);
    this->gate.raise_floor(3);
    EXPECT_FALSE(this->gate.install(6));
    EXPECT_EQ(this->gate.in_force(), 0U);
    EXPECT_TRUE(this->gate.install(7));
}

} // namespace
} // namespace kumquatdrift
