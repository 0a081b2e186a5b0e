#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include <kumquatdrift/config/records.hpp>
#include <kumquatdrift/core/digest.hpp>
#include <kumquatdrift/distribution/replica.hpp>

#include "support/memory_log.hpp"

namespace kumquatdrift {
namespace {

std::string edit(std::optional<log_offset> parent, int value)
{
    edit_record record;
    record.document = "base";
    record.parent = parent;
    record.edit_id = "e" + std::to_string(value);
    record.author = "tester";
    record.content =
        *json_document::parse(R"({"services":{"balcao":{"queue_limit":)" + std::to_string(value) + "}}}");
    return make_edit_record(record);
}

class replica_test : public testing::Test {
protected:
    replica_test()
    {
        for (auto* node : {&this->subject, &this->other}) {
            node->settings.data_centre = "alfama";
            node->settings.log_retention = milliseconds{400'000};
            node->settings.checkpoint_delay = milliseconds{1'000};
            (void)allow_install(*node);
        }
    }

    /*! @brief Appends valid edits, each based on the previous one. */
    void publish(int count)
    {
        for (int index = 0; index < count; ++index) {
            ++this->edits;
            this->last = this->log.append(config_stream, edit(this->last, this->edits)).offset;
        }
    }

    replica_change read(replica& node)
    {
        return offer_log_batch(node, *this->log.read(config_stream, next_offset(node), 1'000), this->now);
    }

    std::vector<offered_record> records(log_offset from, std::size_t count)
    {
        std::vector<offered_record> offered;
        const auto batch = this->log.read(config_stream, from, count);
        for (const auto& record : batch->records) {
            offered.push_back({record, record_digest(record)});
        }
        return offered;
    }

    std::optional<std::string> wait_for_checkpoint(replica& node, milliseconds limit)
    {
        for (const auto end = this->now + limit; this->now < end; this->now += milliseconds{100}) {
            if (auto payload = plan_checkpoint(node, true, this->now, this->rng)) {
                return payload;
            }
        }
        return std::nullopt;
    }

    memory_log log{};
    timestamp now{};
    random_engine rng{1};
    int edits{};
    std::optional<log_offset> last{};
    replica subject{};
    replica other{};
};

// Guards against an older version that replaces a newer one when records arrive out of order.
TEST_F(replica_test, records_in_any_order_are_folded_in_order_of_offset)
{
    this->publish(4);
    EXPECT_FALSE(offer_records(this->subject, this->records(3, 1), this->now).installed);
    EXPECT_FALSE(offer_records(this->subject, this->records(1, 1), this->now).installed);
    const auto first = offer_records(this->subject, this->records(0, 1), this->now);
    ASSERT_TRUE(first.installed);
    EXPECT_EQ(first.installed->version, 2U);
    const auto rest = offer_records(this->subject, this->records(2, 1), this->now);
    ASSERT_TRUE(rest.installed);
    EXPECT_EQ(rest.installed->version, 4U);
    EXPECT_TRUE(this->subject.out_of_order.empty());
}

// Guards against a return to an older version when a paused or restarted parent sends stale data.
TEST_F(replica_test, records_and_snapshot_of_a_stale_parent_change_nothing)
{
    this->publish(2);
    this->read(this->other);
    const auto stale = make_checkpoint_record(this->other.state);
    this->publish(2);
    this->read(this->subject);
    const auto snapshot = offer_snapshot(this->subject, stale, digest(stale), this->now);
    EXPECT_FALSE(snapshot.replaced || snapshot.installed);
    const auto old = offer_records(this->subject, this->records(0, 2), this->now);
    EXPECT_EQ(old.folded, 0U);
    EXPECT_EQ(this->subject.gate.in_force(), 4U);
}

// Guards against a configuration that was corrupted between two nodes.
TEST_F(replica_test, record_or_snapshot_with_wrong_digest_is_rejected)
{
    this->publish(1);
    auto corrupt = this->records(0, 1);
    corrupt.front().record.payload = edit(std::nullopt, 99);
    EXPECT_EQ(offer_records(this->subject, corrupt, this->now).rejected, 1U);
    this->read(this->other);
    const auto state = make_checkpoint_record(this->other.state);
    EXPECT_EQ(offer_snapshot(this->subject, state, digest(state) + 1, this->now).rejected, 1U);
    EXPECT_EQ(next_offset(this->subject), 0U);
    EXPECT_TRUE(offer_records(this->subject, this->records(0, 1), this->now).installed);
}

// Guards against unbounded memory use when the missing records do not arrive.
TEST_F(replica_test, out_of_order_records_are_bounded_and_the_lowest_offsets_are_kept)
{
    this->subject.settings.max_out_of_order = 4;
    this->publish(10);
    EXPECT_EQ(offer_records(this->subject, this->records(1, 9), this->now).rejected, 5U);
    EXPECT_EQ(this->subject.out_of_order.rbegin()->first, 4U);
    offer_records(this->subject, this->records(0, 1), this->now);
    EXPECT_EQ(next_offset(this->subject), 5U);
}

// Guards against a child that receives records with a gap.
TEST_F(replica_test, child_behind_the_buffer_needs_a_snapshot_and_then_follows)
{
    this->subject.settings.max_buffered = 3;
    this->publish(8);
    this->read(this->subject);
    EXPECT_FALSE(records_since(this->subject, 4));
    EXPECT_EQ(records_since(this->subject, 5)->size(), 3U);
    EXPECT_TRUE(records_since(this->subject, 8)->empty());
    const auto state = make_checkpoint_record(this->subject.state);
    const auto change = offer_snapshot(this->other, state, digest(state), this->now);
    EXPECT_TRUE(change.replaced);
    ASSERT_TRUE(change.installed);
    EXPECT_EQ(change.installed->version, 8U);
    EXPECT_TRUE(this->other.state == this->subject.state);
}

// Guards against a restarted process that installs an older version before it knows its version floor.
TEST_F(replica_test, starting_node_installs_nothing_until_allowed_and_nothing_below_its_floor)
{
    this->publish(2);
    replica fresh;
    fresh.settings.data_centre = "alfama";
    EXPECT_FALSE(this->read(fresh).installed);
    raise_version_floor(fresh, 3);
    EXPECT_FALSE(allow_install(fresh).installed);
    EXPECT_EQ(fresh.gate.in_force(), 0U);
    this->publish(1);
    const auto change = this->read(fresh);
    ASSERT_TRUE(change.installed);
    EXPECT_EQ(change.installed->version, 3U);
}

// Guards against nodes of two releases that fold a record of the newer format differently.
TEST_F(replica_test, record_of_a_newer_format_stops_the_fold_and_keeps_the_version)
{
    this->publish(1);
    this->log.append(config_stream, R"({"format":2,"kind":"edit"})");
    this->publish(1);
    this->read(this->subject);
    EXPECT_TRUE(this->subject.fold_stopped);
    EXPECT_EQ(next_offset(this->subject), 1U);
    EXPECT_EQ(this->subject.gate.in_force(), 1U);
}

// Guards against a fold that skips records which expired before they were read.
TEST_F(replica_test, gap_in_the_log_is_detected_and_closed_only_by_a_checkpoint)
{
    this->publish(2);
    this->read(this->subject);
    this->publish(3);
    this->read(this->other);
    this->log.expire(config_stream, 4);
    this->read(this->other);
    this->read(this->subject);
    EXPECT_TRUE(this->subject.has_gap);
    EXPECT_EQ(next_offset(this->subject), 2U);
    EXPECT_FALSE(offer_retained(this->subject, *this->log.read(config_stream, 0, 100), this->now).replaced);
    const auto checkpoint = this->wait_for_checkpoint(this->other, milliseconds{5'000});
    ASSERT_TRUE(checkpoint);
    this->log.append(config_stream, *checkpoint);
    const auto change = offer_retained(this->subject, *this->log.read(config_stream, 0, 100), this->now);
    EXPECT_TRUE(change.replaced);
    EXPECT_FALSE(this->subject.has_gap);
    ASSERT_TRUE(change.installed);
    EXPECT_EQ(change.installed->version, 5U);
}

// Guards against state that new nodes cannot recover because every record expired during an outage of the
// log.
TEST_F(replica_test, outage_longer_than_retention_is_followed_by_a_checkpoint)
{
    this->publish(3);
    this->read(this->subject);
    this->log.expire(config_stream, 3);
    this->read(this->subject);
    EXPECT_FALSE(this->subject.has_gap);
    const auto checkpoint = this->wait_for_checkpoint(this->subject, milliseconds{1'200});
    ASSERT_TRUE(checkpoint);
    this->log.append(config_stream, *checkpoint);
    this->read(this->other);
    EXPECT_TRUE(this->other.has_gap);
    offer_retained(this->other, *this->log.read(config_stream, 0, 100), this->now);
    EXPECT_EQ(this->other.gate.in_force(), 3U);
}

// Guards against redundant checkpoints: the first one in the log is enough for all nodes.
TEST_F(replica_test, checkpoint_of_another_node_cancels_the_pending_one)
{
    this->publish(3);
    this->read(this->subject);
    this->read(this->other);
    this->log.expire(config_stream, 2);
    this->read(this->subject);
    this->read(this->other);
    const auto checkpoint = this->wait_for_checkpoint(this->other, milliseconds{1'200});
    ASSERT_TRUE(checkpoint);
    this->log.append(config_stream, *checkpoint);
    this->read(this->subject);
    EXPECT_FALSE(this->wait_for_checkpoint(this->subject, milliseconds{50'000}));
}

// Guards against a checkpoint that expires before the next one is written.
TEST_F(replica_test, checkpoint_is_written_in_each_quarter_of_the_retention)
{
    this->publish(1);
    this->read(this->subject);
    EXPECT_FALSE(this->wait_for_checkpoint(this->subject, milliseconds{99'000}));
    EXPECT_TRUE(this->wait_for_checkpoint(this->subject, milliseconds{3'000}));
}

// Guards against a checkpoint by a node that does not know the end of the log.
TEST_F(replica_test, no_checkpoint_is_written_while_the_log_is_not_current)
{
    this->publish(1);
    this->read(this->subject);
    this->now += milliseconds{200'000};
    EXPECT_FALSE(plan_checkpoint(this->subject, false, this->now, this->rng));
    EXPECT_FALSE(this->subject.checkpoint_due_at);
}

// Guards against a late checkpoint that replaces one which covers more, and so delays the next one.
TEST_F(replica_test, late_checkpoint_does_not_restart_the_quarter_of_the_retention)
{
    this->publish(2);
    this->read(this->other);
    const auto late = make_checkpoint_record(this->other.state);
    this->publish(4);
    this->read(this->subject);
    this->log.append(config_stream, make_checkpoint_record(this->subject.state));
    this->read(this->subject);
    this->now += milliseconds{99'000};
    this->log.append(config_stream, late);
    this->read(this->subject);
    EXPECT_EQ(this->subject.checkpoint_covers, 6U);
    EXPECT_TRUE(this->wait_for_checkpoint(this->subject, milliseconds{3'000}));
}

// Guards against the checkpoint of a paused node, which covers less than has expired: it must neither delay
// the checkpoint that is needed nor be used for recovery.
TEST_F(replica_test, checkpoint_of_a_paused_node_delays_no_other_and_is_not_used_for_recovery)
{
    this->publish(2);
    this->read(this->other);
    const auto late = make_checkpoint_record(this->other.state);
    this->publish(4);
    this->read(this->subject);
    this->log.expire(config_stream, 5);
    this->log.append(config_stream, late);
    this->read(this->subject);
    const auto needed = this->wait_for_checkpoint(this->subject, milliseconds{1'200});
    ASSERT_TRUE(needed);
    replica fresh;
    fresh.settings.data_centre = "alfama";
    EXPECT_FALSE(offer_retained(fresh, *this->log.read(config_stream, 0, 100), this->now).replaced);
    this->log.append(config_stream, *needed);
    EXPECT_TRUE(offer_retained(fresh, *this->log.read(config_stream, 0, 100), this->now).replaced);
    EXPECT_TRUE(fresh.state.documents == this->subject.state.documents);
}

} // namespace
} // namespace kumquatdrift
