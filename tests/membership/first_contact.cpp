#include <membership/mesh_fixture.hpp>

#include <kumquatdrift/membership/announcements.hpp>
#include <kumquatdrift/membership/presence.hpp>

namespace kumquatdrift {
namespace {

class presence : public testing::Test {
protected:
    static log_record entry(const std::string& node, const std::string& data_centre, std::uint16_t port)
    {
        return {0, encode_presence({node, data_centre, 5, {"10.0.0.1", port}})};
    }

    random_engine rng{3};
};

// Guards against encoded records that cannot be decoded.
TEST_F(presence, encoded_record_is_decoded_unchanged)
{
    const presence_record record{"caruaru-1", "caruaru", 1'790'000'000'000'000, {"10.1.2.3", 7'946}};
    const auto decoded = decode_presence(encode_presence(record));
    ASSERT_TRUE(decoded) << decoded.last_reason();
    EXPECT_EQ(*decoded, record);
}

// Guards against records of other writers or newer releases that make first contact fail.
TEST_F(presence, invalid_records_are_rejected_with_a_reason)
{
    const std::string valid = encode_presence({"a", "b", 1, {"10.0.0.1", 1}});
    auto newer = valid;
    newer.replace(newer.find("\"format\":1"), 10, "\"format\":2");
    const auto with = [&valid](const std::string& member, const std::string& value) {
        auto text = valid;
        const auto begin = text.find(member) + member.size();
        return text.replace(begin, text.find_first_of(",}", begin) - begin, value);
    };
    for (const auto& text :
         {std::string{}, std::string{"[]"}, std::string{"{\"format\":1}"}, newer, std::string(5'000, ' '),
          std::string(900, '['), std::string{"null"}, encode_presence({"", "b", 1, {"10.0.0.1", 1}}),
          encode_presence({"a", "b", 1, {"10.0.0.1", 0}}), with("\"gossip_port\":", "70000"),
          with("\"gossip_port\":", "-1"), with("\"gossip_port\":", "1e999"),
          with("\"gossip_port\":", "1208925819614629174706176"), with("\"start_time\":", "1e999"),
          with("\"start_time\":", "-1"), with("\"start_time\":", "[[[[[[1]]]]]]")}) {
        const auto decoded = decode_presence(text);
        EXPECT_FALSE(decoded) << text;
        EXPECT_FALSE(decoded.last_reason().empty());
    }
}

// Guards against contacting outdated addresses, the node itself, or other data centres before the local one.
TEST_F(presence, contacts_are_the_newest_records_with_the_own_data_centre_first)
{
    const std::vector<log_record> tail{entry("far", "olinda", 1),   entry("near", "caruaru", 2),
                                       entry("self", "caruaru", 3), {0, "invalid"},
                                       entry("near", "caruaru", 4), entry("next", "caruaru", 5)};
    const auto contacts = pick_contacts(tail, "self", "caruaru", 3, this->rng);
    ASSERT_EQ(contacts.size(), 3U);
    EXPECT_EQ(contacts[0].port + contacts[1].port, 4 + 5);
    EXPECT_EQ(contacts[2].port, 1);
    EXPECT_EQ(pick_contacts(tail, "self", "caruaru", 1, this->rng).size(), 1U);
}

// Guards against many nodes that restart together and append to the log at the same time.
TEST_F(presence, first_append_is_jittered_and_later_ones_are_rare)
{
    const presence_schedule schedule{};
    microseconds least = schedule.first;
    microseconds most{};
    for (int node = 0; node < 200; ++node) {
        const auto delay = presence_delay(schedule, 0, this->rng);
        least = std::min(least, delay);
        most = std::max(most, delay);
        EXPECT_GE(presence_delay(schedule, 1, this->rng), schedule.period / 2);
    }
    EXPECT_LT(least, schedule.first / 10);
    EXPECT_GT(most, schedule.first / 10 * 9);
    EXPECT_LE(most, schedule.first);
}

using first_contact = mesh_test;

// Guards against a node that cannot join with presence records as its only contacts, without seeds.
TEST_F(first_contact, contacts_from_the_log_alone_are_sufficient)
{
    this->add_nodes(6, "olinda");
    for (auto& node : this->mesh.nodes) {
        node.state.contacts.clear();
    }
    this->run(milliseconds{5'000});
    ASSERT_EQ(this->mesh.nodes[5].state.members.size(), 1U);
    std::vector<log_record> tail;
    for (std::size_t index = 0; index < 6; ++index) {
        auto& state = this->mesh.nodes[index].state;
        const auto record = presence_of(state.members.at(state.self).record);
        add_contacts(state, pick_contacts(tail, record.node, record.data_centre, 3, this->mesh.rng));
        tail.push_back({index, encode_presence(record)});
    }
    EXPECT_TRUE(this->run_until_converged(milliseconds{30'000}));
}

// Guards against a single node that waits forever for a synchronisation and never becomes ready.
TEST_F(first_contact, single_node_counts_as_synchronised)
{
    this->add_nodes(1, "olinda");
    this->run(milliseconds{20'000});
    EXPECT_GT(view_of(this->mesh.nodes[0].state)->synchronisations, 0U);
}

// Guards against a thundering herd: 100 nodes start at the same time with one seed.
TEST_F(first_contact, mass_start_converges_from_one_seed)
{
    this->add_nodes(100, "olinda");
    EXPECT_TRUE(this->run_until_converged(milliseconds{30'000}));
    EXPECT_LT(this->mesh.largest_datagram, max_datagram_bytes);
}

class announcements : public testing::Test {
protected:
    announcement_table table{};
    timestamp now{milliseconds{1'000}};
    target_record target{"queue-1", "queue-board", "127.0.0.1:9000", 10, target_state::cold};
};

// Guards against a crashed target that remains published.
TEST_F(announcements, target_expires_unless_it_is_renewed)
{
    EXPECT_EQ(*announce(this->table, this->target, milliseconds{1'000}, this->now), true);
    EXPECT_EQ(*announce(this->table, this->target, milliseconds{1'000}, this->now + milliseconds{900}),
              false);
    EXPECT_TRUE(remove_expired_announcements(this->table, this->now + milliseconds{1'800}).empty());
    EXPECT_EQ(remove_expired_announcements(this->table, this->now + milliseconds{1'900}),
              std::vector<std::string>{"queue-1"});
    EXPECT_TRUE(targets_of(this->table).empty());
}

// Guards against changes of a target's state that are not reported as changes to publish.
TEST_F(announcements, changed_state_is_reported_and_withdrawal_removes)
{
    ASSERT_TRUE(announce(this->table, this->target, milliseconds{1'000}, this->now));
    this->target.state = target_state::ready;
    EXPECT_EQ(*announce(this->table, this->target, milliseconds{1'000}, this->now), true);
    EXPECT_EQ(targets_of(this->table), std::vector<target_record>{this->target});
    EXPECT_TRUE(withdraw(this->table, "queue-1"));
    EXPECT_FALSE(withdraw(this->table, "queue-1"));
}

// Guards against accepting announcements that cannot be published or are valid for too long.
TEST_F(announcements, invalid_announcements_are_rejected)
{
    const auto valid = this->target;
    EXPECT_FALSE(announce(this->table, valid, milliseconds{10}, this->now));
    EXPECT_FALSE(announce(this->table, valid, milliseconds{600'000}, this->now));
    for (int field = 0; field < 4; ++field) {
        auto invalid = valid;
        (field == 0   ? invalid.id
         : field == 1 ? invalid.service
                      : invalid.address) = std::string(field == 3 ? 0 : 65, 'x');
        EXPECT_FALSE(announce(this->table, invalid, milliseconds{1'000}, this->now));
    }
    for (std::size_t index = 0; index < max_targets; ++index) {
        auto more = valid;
        more.id += std::to_string(index);
        EXPECT_TRUE(announce(this->table, more, milliseconds{1'000}, this->now));
    }
    EXPECT_FALSE(announce(this->table, valid, milliseconds{1'000}, this->now));
}

} // namespace
} // namespace kumquatdrift
