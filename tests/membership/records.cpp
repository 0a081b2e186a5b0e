#include <membership/mesh_fixture.hpp>

#include <membership/codec.hpp>

namespace kumquatdrift {
namespace {

constexpr milliseconds join_time{30'000};

internal::member member_with(const member_record& record)
{
    internal::member known;
    known.record = record;
    known.base_sequence = record.sequence;
    return known;
}

class records : public mesh_test {
protected:
    void SetUp() override
    {
        this->add_nodes(3, "olinda");
        ASSERT_TRUE(this->run_until_converged(join_time));
    }

    membership_state& state(std::size_t index)
    {
        return this->mesh.nodes[index].state;
    }

    void receive(std::size_t index, const std::string& bytes)
    {
        static_cast<void>(
            on_datagram(this->state(index), {{"10.0.0.9", 9}, bytes}, this->mesh.now, this->mesh.rng));
    }

    [[nodiscard]] std::string datagram(const std::vector<member_record>& content) const
    {
        wire::gossip message;
        message.set_format(internal::wire_format);
        message.set_kind(static_cast<std::uint32_t>(internal::datagram_kind::push));
        message.set_sender(1);
        for (const auto& record : content) {
            *message.mutable_changes()->add_records() = internal::to_wire(member_with(record));
        }
        return message.SerializeAsString();
    }
};

// Guards against accepting a record or claim about this node that it did not publish.
TEST_F(records, forged_record_and_claim_about_this_node_are_counted_and_discarded)
{
    const auto own = this->member_seen_by(0, 0)->record;
    auto forged = own;
    forged.sequence += 10;
    forged.state = member_state::draining;
    this->receive(0, this->datagram({forged}));
    internal::accept_claim(this->state(0),
                           {this->member_seen_by(0, 0)->identity, own.sequence + 10, member_status::dead},
                           this->mesh.now);
    EXPECT_EQ(this->member_seen_by(0, 0)->record, own);
    EXPECT_EQ(this->state(0).counters.forged, 2U);
}

// Guards against a delayed datagram that replaces the record of a member with an earlier one.
TEST_F(records, earlier_record_is_ignored)
{
    auto earlier = this->member_seen_by(0, 1)->record;
    this->mesh.publish(1, [](auto& content) { content.targets.clear(); });
    ASSERT_TRUE(this->run_until_converged(milliseconds{10'000}));
    const auto current = this->member_seen_by(0, 1)->record;
    this->receive(0, this->datagram({earlier}));
    earlier.start_time -= 1;
    earlier.sequence += 100;
    EXPECT_EQ(merge_records(this->state(0), {earlier}, this->mesh.now), 0U);
    EXPECT_EQ(this->member_seen_by(0, 1)->record, current);
    EXPECT_EQ(this->state(0).counters.stale, 2U);
}

// Guards against an old record that marks a dead member as alive, and against dead members that are never
// removed.
TEST_F(records, dead_member_stays_dead_until_its_retention_ends)
{
    const auto record = this->member_seen_by(0, 2)->record;
    this->mesh.nodes[2].running = false;
    this->run(milliseconds{300'000});
    ASSERT_NE(this->member_seen_by(0, 2), nullptr);
    ASSERT_EQ(this->member_seen_by(0, 2)->status, member_status::dead);
    EXPECT_EQ(merge_records(this->state(0), {record}, this->mesh.now), 0U);
    EXPECT_EQ(this->member_seen_by(0, 2)->status, member_status::dead);
    this->run(this->mesh.settings.dead_retention);
    EXPECT_EQ(this->member_seen_by(0, 2), nullptr);
    EXPECT_EQ(this->member_seen_by(1, 2), nullptr);
}

// Guards against dead members that nodes with different removal times reintroduce to each other forever.
TEST_F(records, dead_member_is_not_introduced_to_a_new_node)
{
    this->mesh.nodes[2].running = false;
    this->run(milliseconds{15'000});
    ASSERT_EQ(this->member_seen_by(0, 2)->status, member_status::dead);
    this->mesh.add("olinda");
    this->run(milliseconds{60'000});
    EXPECT_NE(this->member_seen_by(3, 0), nullptr);
    EXPECT_EQ(this->member_seen_by(3, 2), nullptr);
}

// Guards against a restarted node that becomes ready with a version below that of its earlier process.
TEST_F(records, version_of_the_earlier_process_becomes_the_version_floor)
{
    this->mesh.publish(1, [](auto& content) { content.version = 41; });
    ASSERT_TRUE(this->run_until_converged(milliseconds{20'000}));
    this->mesh.restart(1);
    EXPECT_EQ(this->state(1).version_floor, 0U);
    EXPECT_TRUE(this->run_until_converged(milliseconds{10'000}));
    this->mesh.run(milliseconds{5'000}, [this] { return this->state(1).version_floor != 0; });
    EXPECT_EQ(this->state(1).version_floor, 41U);
}

// Guards against a new process that all other nodes ignore because the clock of its host was set back.
TEST_F(records, start_time_is_raised_above_that_of_the_earlier_process)
{
    this->mesh.publish(1, [](auto& content) { content.version = 41; });
    ASSERT_TRUE(this->run_until_converged(milliseconds{20'000}));
    this->mesh.nodes[1].start_count -= 2;
    this->mesh.restart(1);
    EXPECT_TRUE(this->run_until_converged(milliseconds{20'000}));
    EXPECT_EQ(this->state(1).version_floor, 41U);
    auto far = this->member_seen_by(1, 1)->record;
    far.start_time += 100'000'000'000;
    this->receive(1, this->datagram({far}));
    EXPECT_EQ(this->state(1).counters.forged, 1U);
}

// Guards against malformed datagrams that stop the node, add members or are not counted.
TEST_F(records, malformed_datagrams_are_counted_and_discarded)
{
    auto& counters = this->state(0).counters;
    this->receive(0, std::string(max_datagram_bytes + 1, 'x'));
    EXPECT_EQ(counters.oversized, 1U);
    this->receive(0, "\xff\xff invalid");
    EXPECT_EQ(counters.undecodable, 1U);
    wire::gossip message;
    message.set_format(internal::wire_format + 1);
    this->receive(0, message.SerializeAsString());
    this->receive(0, "");
    EXPECT_EQ(counters.wrong_format, 2U);
    message.set_format(internal::wire_format);
    message.set_kind(99);
    this->receive(0, message.SerializeAsString());
    EXPECT_EQ(counters.invalid, 1U);
    auto long_name = this->member_seen_by(0, 1)->record;
    long_name.node = std::string(200, 'n');
    auto empty_name = long_name;
    empty_name.node.clear();
    auto invalid_state = this->member_seen_by(0, 1)->record;
    invalid_state.state = static_cast<member_state>(9);
    this->receive(0, this->datagram({long_name, empty_name, invalid_state}));
    EXPECT_EQ(counters.invalid, 4U);
    message.set_kind(static_cast<std::uint32_t>(internal::datagram_kind::push));
    message.mutable_changes()->mutable_claims()->add_identities(1);
    message.add_heartbeats(7);
    message.set_sender(this->member_seen_by(0, 1)->identity);
    this->receive(0, message.SerializeAsString());
    EXPECT_EQ(counters.invalid, 6U);
    random_engine rng{5};
    for (int round = 0; round < 2'000; ++round) {
        auto bytes = this->datagram({this->member_seen_by(0, 1)->record});
        for (int change = 0; change < 4; ++change) {
            bytes[rng() % bytes.size()] = static_cast<char>(rng());
        }
        this->receive(0, bytes);
    }
    this->mesh.run(milliseconds{2'000}, [] { return false; });
}

// Guards against accepting invalid exchange messages.
TEST_F(records, malformed_exchange_messages_are_counted_and_rejected)
{
    auto& target = this->state(0);
    wire::sync_request request;
    EXPECT_FALSE(internal::handle_sync(target, request, this->mesh.now, this->mesh.rng));
    EXPECT_EQ(target.counters.wrong_format, 1U);
    request.set_format(internal::wire_format);
    request.add_record_digests(1);
    EXPECT_FALSE(internal::handle_sync(target, request, this->mesh.now, this->mesh.rng));
    wire::sync_reply reply;
    reply.set_format(internal::wire_format);
    reply.add_buckets(digest_buckets);
    EXPECT_FALSE(internal::continue_exchange(target, reply, this->mesh.now));
    wire::fetch_request fetch;
    fetch.set_format(internal::wire_format);
    fetch.add_wanted(1);
    EXPECT_FALSE(internal::handle_fetch(target, fetch, this->mesh.now));
    EXPECT_EQ(target.counters.invalid, 3U);
    fetch.mutable_changes()->add_advisories()->set_value(std::string(internal::max_exchange_bytes, 'x'));
    EXPECT_FALSE(internal::handle_fetch(target, fetch, this->mesh.now));
    EXPECT_EQ(target.counters.oversized, 1U);
}

// Guards against publishing a record that other nodes would reject as invalid.
TEST_F(records, record_that_is_too_large_is_not_published)
{
    auto content = this->member_seen_by(0, 0)->record;
    content.targets.assign(16, content.targets[0]);
    for (auto& target : content.targets) {
        target.service = std::string(60, 's');
    }
    const auto sequence = content.sequence;
    EXPECT_FALSE(update_self(this->state(0), content, this->mesh.now));
    EXPECT_EQ(this->member_seen_by(0, 0)->record.sequence, sequence);
}

// Guards against records too large for the byte budget of a mesh of 2,400 members.
TEST_F(records, record_with_one_target_stays_near_100_bytes)
{
    internal::member known;
    known.record = {"recife-centro-host-0123",
                    "recife-centro",
                    1'790'000'000'000'000,
                    300,
                    "10.112.13.214",
                    8'080,
                    7'947,
                    7'946,
                    8'000,
                    member_state::alive,
                    40'000,
                    {{"queue-board-1", "queue-board", "10.112.13.214:9000", 10, target_state::ready}}};
    known.base_sequence = 290;
    const auto bytes = internal::to_wire(known).ByteSizeLong();
    std::cout << "member record with one target: " << bytes << " bytes\n";
    EXPECT_LE(bytes, 120U);
}

// Guards against advisory entries that do not reach other nodes or do not expire.
TEST_F(records, advisory_entry_reaches_others_and_expires)
{
    EXPECT_TRUE(add_advisory(this->state(0), {"suspect/1", "2", this->mesh.now + milliseconds{20'000}},
                             this->mesh.now));
    this->run(milliseconds{5'000});
    ASSERT_EQ(this->state(2).advisories.size(), 1U);
    EXPECT_EQ(this->state(2).advisories.begin()->second.value, "2");
    this->run(milliseconds{20'000});
    EXPECT_TRUE(this->state(2).advisories.empty());
    EXPECT_FALSE(add_advisory(this->state(0), {"", "2", this->mesh.now + milliseconds{1}}, this->mesh.now));
}

} // namespace
} // namespace kumquatdrift
