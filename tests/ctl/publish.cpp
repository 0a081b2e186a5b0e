#include <kumquatdrift/ctl/run.hpp>

#include <kumquatdrift/config/records.hpp>

#include "support.hpp"

namespace kumquatdrift {
namespace {

using testing_support::ctl_test;
using testing_support::valid_base;

class ctl_publish : public ctl_test {
protected:
    /*! @brief Simulates another operator whose edit is appended just before the next append of the command.
     */
    void append_concurrently(const edit_record& other)
    {
        this->before_append = [this, other](const std::string&) {
            this->log.append(config_stream, make_edit_record(other));
            this->before_append = {};
        };
    }

    static json_document parse(const std::string& text)
    {
        return *json_document::parse(text);
    }

    std::string base_with_smaller_queue{[] {
        auto text = valid_base;
        return text.replace(text.find("40"), 2, "20");
    }()};
};

// Guards against an edit that is reported as accepted but does not change the state.
TEST_F(ctl_publish, new_base_becomes_version_one)
{
    ASSERT_EQ(this->publish({"base"}, valid_base), exit_code::ok) << this->err;
    this->expect_output("published base as version 1 (edit id-1");
    EXPECT_EQ(this->recover_log().state.version, 1U);
    EXPECT_EQ(this->recover_log().state.documents.at("base").author, "ana");
}

// Guards against new versions and distribution traffic for a document that has not changed.
TEST_F(ctl_publish, unchanged_document_is_not_published)
{
    ASSERT_EQ(this->publish({"base"}, valid_base), exit_code::ok);
    ASSERT_EQ(this->publish({"base"}, " " + valid_base), exit_code::ok);
    this->expect_output("unchanged since version 1; nothing was published");
    EXPECT_EQ(this->appends, 1);
}

// Guards against publishing the whole base when a merge patch is smaller.
TEST_F(ctl_publish, small_change_of_the_base_is_published_as_a_patch)
{
    ASSERT_EQ(this->publish({"base"}, valid_base), exit_code::ok);
    ASSERT_EQ(this->publish({"base"}, this->base_with_smaller_queue), exit_code::ok) << this->err;
    this->expect_output("as a patch");
    EXPECT_EQ(this->recover_log().state.documents.at("base").content,
              this->parse(this->base_with_smaller_queue));
}

// Guards against overwriting a concurrent edit that the operator has not seen.
TEST_F(ctl_publish, edit_with_a_stale_parent_loses_the_race)
{
    ASSERT_EQ(this->publish({"base"}, valid_base), exit_code::ok);
    this->append_concurrently(
        {.document = "base", .parent = 0, .edit_id = "other", .author = "bia", .content = this->parse("{}")});
    EXPECT_EQ(this->publish({"base"}, this->base_with_smaller_queue), exit_code::lost_race);
    this->expect_error("version 2 by bia (edit other) was accepted first");
    EXPECT_EQ(this->recover_log().state.documents.at("base").content, this->parse("{}"));
}

// Guards against needless conflicts between operators of different documents.
TEST_F(ctl_publish, edits_of_base_and_overlay_at_the_same_moment_are_both_accepted)
{
    ASSERT_EQ(this->publish({"base"}, valid_base), exit_code::ok);
    this->append_concurrently({.document = "overlay/belem",
                               .edit_id = "other",
                               .author = "bia",
                               .content = this->parse(R"({"services":{"balcao":{"queue_limit":5}}})")});
    EXPECT_EQ(this->publish({"base"}, this->base_with_smaller_queue), exit_code::ok) << this->err;
    this->expect_output("version 3");
    EXPECT_EQ(merge_effective(this->recover_log().state, "belem")->services.at("balcao").queue_limit, 5U);
    EXPECT_EQ(merge_effective(this->recover_log().state, "alfama")->services.at("balcao").queue_limit, 20U);
}

// Guards against accepting two concurrent edits that are valid alone but invalid together, and against not
// reporting the rejection.
TEST_F(ctl_publish, edit_that_a_concurrent_overlay_makes_invalid_is_rejected)
{
    ASSERT_EQ(this->publish({"base"}, valid_base), exit_code::ok);
    this->append_concurrently({.document = "overlay/belem",
                               .edit_id = "other",
                               .author = "bia",
                               .content = this->parse(R"({"routes":{"reserve":{"service":"atelier"}}})")});
    EXPECT_EQ(
        this->publish({"base"}, R"({"services":{"balcao":{}},"routes":{"reserve":{"service":"balcao"}}})"),
        exit_code::invalid);
    this->expect_error("the edit was refused: base merged with overlay/belem: /routes/reserve/service");
    EXPECT_EQ(this->recover_log().state.version, 2U);
}

// Guards against appending invalid edits, which would use space in the log.
TEST_F(ctl_publish, invalid_document_is_not_appended)
{
    EXPECT_EQ(this->publish({"base"}, R"({"routes":{"r":{"service":"x"}}})"), exit_code::invalid);
    this->expect_error("nothing was published: base: /routes/r/service");
    EXPECT_EQ(this->publish({"overlay", "belem"}, "{}"), exit_code::invalid);
    this->expect_error("publish the base first");
    EXPECT_EQ(this->appends, 0);
}

// Guards against a second record for an edit whose first append succeeded without a response.
TEST_F(ctl_publish, append_with_a_lost_response_is_looked_up_and_not_retried)
{
    this->log.lose_responses = 1;
    EXPECT_EQ(this->publish({"base"}, valid_base), exit_code::ok) << this->err;
    this->expect_output("version 1");
    EXPECT_EQ(this->appends, 1);
    EXPECT_EQ(this->recover_log().state.next_offset, 1U);
}

// Guards against losing an edit whose append request never reached the log.
TEST_F(ctl_publish, lost_append_request_is_retried)
{
    this->log.lose_requests = 1;
    EXPECT_EQ(this->publish({"base"}, valid_base), exit_code::ok) << this->err;
    EXPECT_EQ(this->appends, 2);
    EXPECT_EQ(this->recover_log().state.next_offset, 1U);
}

// Guards against applying an edit twice when the first append takes effect only after the lookup missed it.
TEST_F(ctl_publish, late_first_copy_takes_effect_once)
{
    this->log.lose_requests = 1;
    std::string first;
    this->before_append = [&](const std::string& payload) {
        if (!first.empty()) {
            this->log.append(config_stream, first);
        }
        first = payload;
    };
    EXPECT_EQ(this->publish({"base"}, valid_base), exit_code::ok) << this->err;
    this->expect_output("version 1");
    const auto outcomes = this->recover_log().outcomes;
    ASSERT_EQ(outcomes.size(), 2U);
    EXPECT_EQ(outcomes[1].kind, outcome_kind::duplicate);
}

// Guards against a result that leaves open whether an edit was published while the log is unavailable.
TEST_F(ctl_publish, outage_is_reported_and_nothing_is_published)
{
    this->log.outage = true;
    EXPECT_EQ(this->publish({"base"}, valid_base), exit_code::log_unavailable);
    this->expect_error("the log cannot be read");
    this->log.outage = false;
    this->before_append = [this](const std::string&) { this->log.outage = true; };
    EXPECT_EQ(this->publish({"base"}, valid_base), exit_code::log_unavailable);
    this->expect_error("nothing was published, because the log refused it (the log is down)");
}

// Guards against reporting that nothing was published when the outcome of the append is unknown.
TEST_F(ctl_publish, outage_after_a_lost_response_is_reported_as_unknown)
{
    this->log.lose_responses = 1;
    this->after_append = [this] { this->log.outage = true; };
    EXPECT_EQ(this->publish({"base"}, valid_base), exit_code::log_unavailable);
    this->expect_error("it is not known whether the edit was published");
    this->expect_error("id-1");
    EXPECT_EQ(this->appends, 1);
}

// Guards against a failure on a short outage or a rate limit, which a retry would survive.
TEST_F(ctl_publish, rejected_append_is_retried_after_a_delay)
{
    this->before_append = [this](const std::string&) { this->log.outage = this->appends < 3; };
    EXPECT_EQ(this->publish({"base"}, valid_base), exit_code::ok) << this->err;
    EXPECT_EQ(this->appends, 3);
    EXPECT_GE(this->clock.time_since_epoch(), milliseconds{200});
}

// Guards against edits based on an incomplete state, because the log has an unsupported record or a gap.
TEST_F(ctl_publish, nothing_is_appended_to_a_log_that_cannot_be_folded)
{
    ASSERT_EQ(this->publish({"base"}, valid_base), exit_code::ok);
    this->log.append(config_stream, R"({"format":2})");
    EXPECT_EQ(this->publish({"base"}, this->base_with_smaller_queue), exit_code::failed);
    this->expect_error("upgrade");
    this->log.expire(config_stream, 1);
    EXPECT_EQ(this->publish({"base"}, this->base_with_smaller_queue), exit_code::failed);
    this->expect_error("have expired and no usable checkpoint covers them");
    EXPECT_EQ(this->appends, 1);
}

// Guards against an unreadable log after records have expired, although a checkpoint covers them.
TEST_F(ctl_publish, edit_after_expiry_is_based_on_the_checkpoint)
{
    ASSERT_EQ(this->publish({"base"}, valid_base), exit_code::ok);
    this->log.append(config_stream, make_checkpoint_record(this->recover_log().state));
    this->log.expire(config_stream, 1);
    EXPECT_EQ(this->publish({"base"}, this->base_with_smaller_queue), exit_code::ok) << this->err;
    this->expect_output("version 3");
    EXPECT_EQ(this->run({"history"}), exit_code::ok);
    this->expect_error("the history starts from the checkpoint at offset 1");
}

// Guards against a revert that reuses an old version number, or restores content that was never accepted.
TEST_F(ctl_publish, revert_publishes_old_content_as_a_new_version)
{
    ASSERT_EQ(this->publish({"base"}, valid_base), exit_code::ok);
    ASSERT_EQ(this->publish({"base"}, this->base_with_smaller_queue), exit_code::ok);
    EXPECT_EQ(this->run({"revert", "0"}), exit_code::ok) << this->err;
    this->expect_output("version 3");
    EXPECT_EQ(this->recover_log().state.documents.at("base").content, this->parse(valid_base));
    this->log.append(config_stream, "garbage");
    EXPECT_EQ(this->run({"revert", "3"}), exit_code::invalid);
    this->expect_error("not an accepted edit");
    EXPECT_EQ(this->run({"revert", "9"}), exit_code::invalid);
}

std::string make_status(const std::vector<std::string>& members)
{
    std::string text;
    for (const auto& member : members) {
        text += (text.empty() ? "" : ",") + member;
    }
    return R"({"node":"n1","data_centre":"belem","version":1,"ready":true,"source":"log","members":[)" +
           text + R"(],"config":{"next_offset":1,"source":"log","last_outcomes":[]}})";
}

std::string make_member(const std::string& name, int version, const std::string& status = "alive")
{
    return R"({"node":")" + name + R"(","data_centre":"belem","status":")" + status +
           R"(","state":"alive","version":)" + std::to_string(version) + R"(,"age_ms":1,"targets":[]})";
}

// Guards against --wait returning before all live nodes have the version in force, or waiting for a dead
// node.
TEST_F(ctl_publish, wait_ends_when_all_live_members_have_the_version)
{
    this->environment["KUMQUATDRIFT_NODE"] = "127.0.0.1:9";
    this->statuses = {
        make_status({make_member("n1", 0), make_member("n2", 0)}),
        make_status({make_member("n1", 1), make_member("n2", 0)}),
        make_status({make_member("n1", 1), make_member("n2", 2), make_member("n3", 0, "dead")})};
    EXPECT_EQ(this->publish({"base", "--wait"}, valid_base), exit_code::ok) << this->err;
    this->expect_output("version 1 is in force on all 2 live nodes after 0.20 s");
    this->expect_error("1 members are dead, unreachable or have left");
}

// Guards against waiting indefinitely, and against success while live nodes have an older version or the
// status is unavailable.
TEST_F(ctl_publish, wait_times_out_and_names_the_nodes_that_are_behind)
{
    this->environment["KUMQUATDRIFT_NODE"] = "127.0.0.1:9";
    this->statuses = {
        make_status({make_member("n1", 1), make_member("n2", 0), make_member("n3", 0, "suspect")})};
    EXPECT_EQ(this->publish({"base", "--wait", "--wait-timeout-s", "2"}, valid_base),
              exit_code::wait_timeout);
    this->expect_error("not in force on all live nodes after 2.00 s: behind are n2, n3");
    this->statuses = {make_status({})};
    EXPECT_EQ(this->publish({"base", "--wait"}, valid_base), exit_code::wait_timeout);
    this->expect_error("there is no live node");
    this->statuses = {};
    EXPECT_EQ(this->publish({"base", "--wait"}, valid_base), exit_code::wait_timeout);
    this->expect_error("connection refused");
}

// Guards against publishing an edit when --wait cannot work for lack of a node address.
TEST_F(ctl_publish, wait_without_a_node_publishes_nothing)
{
    EXPECT_EQ(this->publish({"base", "--wait"}, valid_base), exit_code::invalid);
    EXPECT_EQ(this->appends, 0);
}

} // namespace
} // namespace kumquatdrift
