#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

#include <kumquatdrift/traffic/verdicts.hpp>

namespace kumquatdrift {
namespace {

struct verdict_case {
    std::string_view what{};
    hop_observation observed{};
    verdict expected{};
    bool crash{};
};

constexpr auto target = hop_peer::target;
constexpr auto node = hop_peer::node;
constexpr std::nullopt_t none = std::nullopt;

// One row for each way in which a hop can end. The number after the end is the number of bytes sent.
constexpr std::array cases{
    verdict_case{"rejected by admission", {target, hop_end::not_sent, 0, none, none}, verdict::not_run},
    verdict_case{"timeout in queue", {target, hop_end::queue_timed_out, 0, none, none}, verdict::not_run},
    verdict_case{"connect refused", {target, hop_end::connect_refused, 0, none, none}, verdict::not_run},
    verdict_case{"connect timeout", {target, hop_end::connect_timed_out, 0, none, none}, verdict::not_run},
    verdict_case{
        "reset before the head", {target, hop_end::connection_lost, 0, none, none}, verdict::not_run},
    verdict_case{
        "reset in the head", {target, hop_end::connection_lost, 1, none, none}, verdict::may_have_run, true},
    verdict_case{"reset in the body",
                 {target, hop_end::connection_lost, 900, none, none},
                 verdict::may_have_run,
                 true},
    verdict_case{"reset in the response",
                 {target, hop_end::connection_lost, 900, 200, none},
                 verdict::may_have_run,
                 true},
    verdict_case{"reset in a rejection",
                 {target, hop_end::connection_lost, 900, 503, "not_run"},
                 verdict::may_have_run,
                 true},
    verdict_case{"timeout before the head", {target, hop_end::timed_out, 0, none, none}, verdict::not_run},
    verdict_case{
        "timeout while running", {target, hop_end::timed_out, 900, none, none}, verdict::may_have_run},
    verdict_case{
        "timeout in the response", {target, hop_end::timed_out, 900, 200, none}, verdict::may_have_run},
    verdict_case{"cancelled before the head", {target, hop_end::cancelled, 0, none, none}, verdict::not_run},
    verdict_case{
        "cancelled while running", {target, hop_end::cancelled, 900, none, none}, verdict::may_have_run},
    verdict_case{
        "malformed response", {target, hop_end::malformed_answer, 900, none, none}, verdict::may_have_run},
    verdict_case{"response 200", {target, hop_end::answered, 900, 200, none}, verdict::ran},
    verdict_case{"response 404", {target, hop_end::answered, 900, 404, none}, verdict::ran},
    verdict_case{"response 500", {target, hop_end::answered, 900, 500, none}, verdict::may_have_run},
    verdict_case{"503 without verdict", {target, hop_end::answered, 900, 503, none}, verdict::may_have_run},
    verdict_case{"429 without verdict", {target, hop_end::answered, 900, 429, none}, verdict::may_have_run},
    verdict_case{"target says not run", {target, hop_end::answered, 900, 503, "not_run"}, verdict::not_run},
    verdict_case{
        "target says not run, 429", {target, hop_end::answered, 900, 429, "not_run"}, verdict::not_run},
    verdict_case{"target says ran", {target, hop_end::answered, 900, 500, "ran"}, verdict::ran},
    verdict_case{"success with verdict not run",
                 {target, hop_end::answered, 900, 200, "not_run"},
                 verdict::may_have_run},
    verdict_case{"unknown verdict", {target, hop_end::answered, 900, 503, "Not_Run"}, verdict::may_have_run},
    verdict_case{"empty verdict", {target, hop_end::answered, 900, 503, ""}, verdict::may_have_run},
    verdict_case{
        "response without status", {target, hop_end::answered, 900, none, none}, verdict::may_have_run},
    verdict_case{
        "connection to node refused", {node, hop_end::connect_refused, 0, none, none}, verdict::not_run},
    verdict_case{"node connect timeout", {node, hop_end::connect_timed_out, 0, none, none}, verdict::not_run},
    verdict_case{"node connection lost before the head",
                 {node, hop_end::connection_lost, 0, none, none},
                 verdict::not_run},
    verdict_case{
        "node connection lost", {node, hop_end::connection_lost, 1, none, none}, verdict::may_have_run},
    verdict_case{"node timeout", {node, hop_end::timed_out, 900, none, none}, verdict::may_have_run},
    verdict_case{"node says not run", {node, hop_end::answered, 900, 503, "not_run"}, verdict::not_run},
    verdict_case{"node says the target connection was lost",
                 {node, hop_end::answered, 900, 502, "may_have_run"},
                 verdict::may_have_run,
                 true},
    verdict_case{
        "node says timeout", {node, hop_end::answered, 900, 504, "may_have_run"}, verdict::may_have_run},
    verdict_case{"node forwards a 502", {node, hop_end::answered, 900, 502, none}, verdict::may_have_run},
    verdict_case{"node forwards a response", {node, hop_end::answered, 900, 201, none}, verdict::ran},
};

class verdict_table : public testing::Test {};

// Guards invariant 5: a request that ran never gets the verdict `not_run`.
TEST_F(verdict_table, each_end_of_a_hop_has_its_verdict)
{
    for (const auto& row : cases) {
        EXPECT_EQ(to_name(verdict_of(row.observed)), to_name(row.expected)) << row.what;
        EXPECT_EQ(suggests_crash(row.observed), row.crash) << row.what;
        EXPECT_EQ(is_reusable(row.observed), row.observed.end == hop_end::answered) << row.what;
    }
}

// Guards against a new `hop_end` without a row in the table.
TEST_F(verdict_table, each_end_has_a_row)
{
    for (const auto& [end, name] : enum_names<hop_end>::table) {
        EXPECT_TRUE(std::any_of(cases.begin(), cases.end(), [end = end](const auto& row) {
            return row.observed.end == end;
        })) << name;
    }
}

// Guards against `not_run` once a byte may have reached the peer, whatever the head of an incomplete response
// says.
TEST_F(verdict_table, no_incomplete_hop_with_bytes_sent_is_not_run)
{
    for (const auto& [end, name] : enum_names<hop_end>::table) {
        for (const auto peer : {target, node}) {
            const hop_observation observed{peer, end, 1, 503, "not_run"};
            EXPECT_EQ(verdict_of(observed) == verdict::not_run, end == hop_end::answered) << name;
        }
    }
}

// Guards against a retry of a quarantined request at a target whose node does not know it yet.
TEST_F(verdict_table, quarantine_rejection_is_distinguished_from_other_rejections)
{
    EXPECT_TRUE(is_quarantine_rejection({node, hop_end::answered, 900, quarantined_status, "not_run"}));
    EXPECT_FALSE(is_quarantine_rejection({node, hop_end::answered, 900, 503, "not_run"}));
    EXPECT_FALSE(is_quarantine_rejection({node, hop_end::answered, 900, quarantined_status, none}));
    EXPECT_FALSE(is_quarantine_rejection({target, hop_end::answered, 900, quarantined_status, "not_run"}));
}

// Guards against `not_run` for a call whose first attempt may have run.
TEST_F(verdict_table, call_has_the_strongest_verdict_of_its_attempts)
{
    EXPECT_EQ(combine_verdicts(verdict::may_have_run, verdict::not_run), verdict::may_have_run);
    EXPECT_EQ(combine_verdicts(verdict::not_run, verdict::ran), verdict::ran);
    EXPECT_EQ(combine_verdicts(verdict::not_run, verdict::not_run), verdict::not_run);
}

} // namespace
} // namespace kumquatdrift
