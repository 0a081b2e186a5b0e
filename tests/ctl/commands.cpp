#include <kumquatdrift/ctl/run.hpp>

#include <Poco/JSON/Parser.h>

#include "support.hpp"

namespace kumquatdrift {
namespace {

using testing_support::ctl_test;
using testing_support::valid_base;

/*! @brief Status of a current node, a draining node with an older version and a dead node. */
const std::string mixed_status =
    R"({"node":"n1","data_centre":"belem","version":2,"ready":true,"source":"relay n2",
    "members":[
    {"node":"n1","data_centre":"belem","status":"alive","state":"alive","version":2,"age_ms":40,"targets":[
        {"id":"a","service":"balcao","state":"ready","slots":20},{"id":"b","service":"balcao","state":"cold","slots":20}]},
    {"node":"n2","data_centre":"alfama","status":"alive","state":"draining","version":1,"age_ms":900,"targets":[]},
    {"node":"n3","data_centre":"alfama","status":"dead","state":"alive","version":1,"age_ms":90000,"targets":[]}],
    "config":{"next_offset":2,"source":"relay n2","last_outcomes":[{"offset":1,"kind":"accepted","reason":""}]}})";

class ctl_commands : public ctl_test {
protected:
    void SetUp() override
    {
        ASSERT_EQ(this->publish({"base"}, valid_base), exit_code::ok);
        ASSERT_EQ(this->publish({"overlay", "belem"}, R"({"routes":{"reserve":null}})"), exit_code::ok);
        this->environment["KUMQUATDRIFT_NODE"] = "127.0.0.1:9";
        this->statuses = {mixed_status};
    }
};

// Guards against a help text that omits a command, an option or an exit code.
TEST_F(ctl_commands, help_names_all_commands_exit_codes_and_variables)
{
    ASSERT_EQ(this->run({"--help"}), exit_code::ok);
    for (const auto* const text :
         {"validate BASE", "publish DOCUMENT FILE", "revert OFFSET", "history", "show", "diff DOCUMENT",
          "status", "trace-config", "--wait", "--json", "--author", "KUMQUATDRIFT_LOG", "KUMQUATDRIFT_NODE",
          "0  done", "5  the edit"}) {
        this->expect_output(text);
    }
    ASSERT_EQ(this->run({"publish", "--help"}), exit_code::ok);
    this->expect_output("usage: kumquatdriftctl publish DOCUMENT FILE");
}

// Guards against a usage error that is ignored or returns the wrong exit code.
TEST_F(ctl_commands, wrong_usage_has_its_own_exit_code)
{
    for (const auto& arguments :
         std::vector<std::vector<std::string>>{{},
                                               {"unknown"},
                                               {"publish"},
                                               {"publish", "base"},
                                               {"publish", "overlay", "file"},
                                               {"history", "--bogus"},
                                               {"history", "word"},
                                               {"revert", "-1"},
                                               {"revert", "x"},
                                               {"show", "--at", "x"},
                                               {"show", "--document", "base", "--data-centre", "belem"},
                                               {"history", "--log", "nowhere"},
                                               {"diff", "base"},
                                               {"diff", "base", "--to", "1"},
                                               {"validate"},
                                               {"trace-config", "--node", "n9"}}) {
        EXPECT_EQ(this->run(arguments), exit_code::invalid) << (arguments.empty() ? "" : arguments[0]);
        EXPECT_EQ(this->err.rfind("kumquatdriftctl: ", 0), 0U) << this->err;
    }
}

// Guards against a validation that requires the log or skips an overlay.
TEST_F(ctl_commands, validate_works_offline_and_checks_each_overlay)
{
    this->log.outage = true;
    this->files = {
        {"base", valid_base}, {"good", "{}"}, {"bad", R"({"routes":{"reserve":{"service":"x"}}})"}};
    EXPECT_EQ(this->run({"validate", "base", "good"}), exit_code::ok);
    this->expect_output("base: valid, 2 services, 1 routes");
    EXPECT_EQ(this->run({"validate", "base", "good", "bad"}), exit_code::invalid);
    this->expect_error("bad merged with the base: /routes/reserve/service: service \"x\" does not exist");
    EXPECT_EQ(this->run({"validate", "missing"}), exit_code::invalid);
}

// Guards against output of the wrong document, version or merge result.
TEST_F(ctl_commands, show_prints_documents_and_merges)
{
    ASSERT_EQ(this->run({"show", "--data-centre", "belem"}), exit_code::ok);
    EXPECT_EQ(this->out.find("/reservations"), std::string::npos) << this->out;
    ASSERT_EQ(this->run({"show", "--data-centre", "alfama"}), exit_code::ok);
    this->expect_output("/reservations");
    ASSERT_EQ(this->run({"show", "--document", "overlay/belem"}), exit_code::ok);
    this->expect_output("null");
    EXPECT_EQ(this->run({"show", "--document", "overlay/belem", "--at", "1"}), exit_code::failed);
    ASSERT_EQ(this->run({"show"}), exit_code::ok);
    this->expect_output("overlay/belem  2        ana     id-2");
}

// Guards against a history that omits records that were not accepted.
TEST_F(ctl_commands, history_shows_the_outcome_of_each_record)
{
    this->log.append(config_stream, "garbage");
    ASSERT_EQ(this->run({"history"}), exit_code::ok);
    this->expect_output("0       accepted  base           -       ana     id-1");
    this->expect_output("2       invalid");
    ASSERT_EQ(this->run({"history", "--json", "--document", "base"}), exit_code::ok);
    const auto rows = Poco::JSON::Parser{}.parse(this->out).extract<Poco::JSON::Array::Ptr>();
    EXPECT_EQ(rows->size(), 1U);
}

// Guards against a comparison with the wrong version, or with before and after swapped.
TEST_F(ctl_commands, diff_shows_places_with_content_before_and_after)
{
    this->files["new"] = R"({"services":{"balcao":{"queue_limit":41},"atelier":{}},"routes":{}})";
    ASSERT_EQ(this->run({"diff", "base", "new"}), exit_code::ok);
    this->expect_output("/services/balcao/queue_limit  40");
    this->expect_output("/routes/reserve");
    ASSERT_EQ(this->publish({"overlay", "belem"}, "{}"), exit_code::ok);
    ASSERT_EQ(this->run({"diff", "overlay", "belem", "--from", "2", "--to", "3"}), exit_code::ok);
    this->expect_output("/routes  {\"reserve\":null}  -");
    ASSERT_EQ(this->run({"diff", "base", "--from", "1"}), exit_code::ok);
    EXPECT_EQ(this->out, "no difference\n");
}

// Guards against dead nodes in the list of live nodes, and against a summary that contradicts the list.
TEST_F(ctl_commands, status_lists_live_nodes_and_their_totals)
{
    ASSERT_EQ(this->run({"status"}), exit_code::ok) << this->err;
    this->expect_output("n1    belem        alive   alive     2        40      1/2");
    EXPECT_EQ(this->out.find("n3"), std::string::npos) << this->out;
    this->expect_output("2 live nodes in 2 data centres, 1 at version 2, 1 behind; 1 not live; 2 targets");
    ASSERT_EQ(this->run({"status", "--all", "--json"}), exit_code::ok);
    const auto json = Poco::JSON::Parser{}.parse(this->out).extract<Poco::JSON::Object::Ptr>();
    EXPECT_EQ(json->getArray("members")->size(), 3U);
    EXPECT_EQ(json->getValue<int>("behind"), 1);
}

// Guards against an unreachable node or an invalid status being shown as an empty mesh.
TEST_F(ctl_commands, node_without_a_usable_status_is_an_error)
{
    for (const auto* const body : {"", "{}", "[]", R"({"node":"n1"})", R"({"node":"n1","members":[1]})"}) {
        this->statuses = {body};
        EXPECT_EQ(this->run({"status"}), exit_code::failed) << body;
    }
    this->statuses = {};
    EXPECT_EQ(this->run({"status"}), exit_code::failed);
    this->expect_error("give the admin address of another node");
}

// Guards against a trace that does not explain why a node has an older version in force.
TEST_F(ctl_commands, trace_explains_the_version_of_a_node)
{
    ASSERT_EQ(this->run({"trace-config"}), exit_code::ok) << this->err;
    this->expect_output("node n1 in data centre belem");
    this->expect_output("the node has the newest accepted version in force");
    this->expect_output("overlay/belem  2        ana");
    ASSERT_EQ(this->run({"trace-config", "--node", "n2"}), exit_code::ok);
    this->expect_output("the node has not received version 2 from its source yet");
    this->expect_output("1       accepted  overlay/belem  ana     id-2");
    this->statuses[0].replace(mixed_status.find("\"accepted\",\"reason\":\"\""), 22,
                              "\"unsupported\",\"reason\":\"upgrade it\"");
    ASSERT_EQ(this->run({"trace-config"}), exit_code::ok);
    this->expect_output("the node stopped at offset 1: upgrade it");
    this->log.outage = true;
    ASSERT_EQ(this->run({"trace-config", "--node", "n2"}), exit_code::ok);
    this->expect_output("the log was not read");
}

} // namespace
} // namespace kumquatdrift
