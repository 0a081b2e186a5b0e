#include <kumquatdrift/config/fold.hpp>

#include <string>

#include <kumquatdrift/config/records.hpp>

#include "support.hpp"

namespace kumquatdrift {
namespace {

using testing_support::config_fold;
using testing_support::lisbon_base;
using testing_support::make_edit;
using testing_support::parse;

// Guards against an edit that silently overwrites one that its author has not seen.
TEST_F(config_fold, stale_parent_loses_race)
{
    ASSERT_EQ(this->append(make_edit("base", {}, "first", lisbon_base)).kind, outcome_kind::accepted);
    ASSERT_EQ(this->append(make_edit("base", 0, "second", lisbon_base)).kind, outcome_kind::accepted);
    const auto before = this->state;
    const auto outcome = this->append(make_edit("base", 0, "third", R"({"services":{"other":{}}})"));
    EXPECT_EQ(outcome.kind, outcome_kind::lost_race);
    EXPECT_EQ(outcome.reason,
              "the edit is based on offset 0 of base, but the last accepted edit is at offset 1");
    EXPECT_EQ(this->state.documents, before.documents);
    EXPECT_EQ(this->state.version, 2U);
}

// Guards against two first edits of one document both taking effect.
TEST_F(config_fold, second_creation_of_a_document_loses_race)
{
    ASSERT_EQ(this->append(make_edit("base", {}, "first", lisbon_base)).kind, outcome_kind::accepted);
    EXPECT_EQ(this->append(make_edit("base", {}, "second", lisbon_base)).kind, outcome_kind::lost_race);
}

// Guards against unnecessary conflicts: edits of different documents do not depend on each other.
TEST_F(config_fold, concurrent_edits_of_base_and_overlay_are_both_accepted)
{
    ASSERT_EQ(this->append(make_edit("base", {}, "a", lisbon_base)).kind, outcome_kind::accepted);
    ASSERT_EQ(
        this->append(make_edit("overlay/belem", {}, "b", R"({"services":{"balcao":{"queue_limit":5}}})"))
            .kind,
        outcome_kind::accepted);
    ASSERT_EQ(this->append(make_edit("base", 0, "c", lisbon_base)).kind, outcome_kind::accepted);
    ASSERT_EQ(
        this->append(make_edit("overlay/belem", 1, "d", R"({"services":{"balcao":{"queue_limit":6}}})")).kind,
        outcome_kind::accepted);
    EXPECT_EQ(merge_effective(this->state, "belem")->services.at("balcao").queue_limit, 6U);
    EXPECT_EQ(merge_effective(this->state, "graca")->services.at("balcao").queue_limit, 40U);
    EXPECT_EQ(merge_effective(this->state, "graca")->version, 4U);
}

// Guards against a base edit that is in force in some data centres and not in others (invariant 3).
TEST_F(config_fold, base_edit_that_invalidates_one_overlay_is_rejected)
{
    ASSERT_EQ(this->append(make_edit("base", {}, "a", lisbon_base)).kind, outcome_kind::accepted);
    ASSERT_EQ(
        this->append(make_edit("overlay/alfama", {}, "b", R"({"services":{"balcao":{"queue_limit":1}}})"))
            .kind,
        outcome_kind::accepted);
    ASSERT_EQ(
        this->append(make_edit("overlay/belem", {}, "c", R"({"routes":{"reserve":{"service":"atelier"}}})"))
            .kind,
        outcome_kind::accepted);
    const auto before = this->state;
    const auto outcome = this->append(make_edit("base", 0, "d", R"({"services":{"balcao":{}},"routes":
        {"reserve":{"service":"balcao"}}})"));
    EXPECT_EQ(outcome.kind, outcome_kind::invalid);
    EXPECT_EQ(outcome.reason,
              "base merged with overlay/belem: /routes/reserve/service: service \"atelier\" does "
              "not exist; accepted are the names under /services");
    EXPECT_EQ(this->state.documents, before.documents);
    EXPECT_EQ(this->state.version, before.version);
}

// Guards against two concurrent edits, each valid alone, that together refer to a missing service.
TEST_F(config_fold, overlay_edit_on_a_service_that_the_base_has_just_removed_is_rejected)
{
    ASSERT_EQ(this->append(make_edit("base", {}, "a", lisbon_base)).kind, outcome_kind::accepted);
    ASSERT_EQ(this->append(make_edit("base", 0, "b", R"({"services":{"balcao":{}}})")).kind,
              outcome_kind::accepted);
    EXPECT_EQ(
        this->append(make_edit("overlay/belem", {}, "c", R"({"routes":{"x":{"service":"atelier"}}})")).kind,
        outcome_kind::invalid);
}

// Guards against an edit that was rejected taking effect later, when a retried append adds a second copy. The
// first copy is invalid at its offset, so only the edit id shows that the second one must not be evaluated.
TEST_F(config_fold, second_copy_of_an_edit_is_a_duplicate)
{
    ASSERT_EQ(this->append(make_edit("base", {}, "a", lisbon_base)).kind, outcome_kind::accepted);
    EXPECT_EQ(this->append(make_edit("base", {}, "a", lisbon_base)).kind, outcome_kind::duplicate);
    const auto overlay = make_edit("overlay/belem", {}, "b", R"({"routes":{"x":{"service":"new"}}})");
    ASSERT_EQ(this->append(overlay).kind, outcome_kind::invalid);
    ASSERT_EQ(this->append(make_edit("base", 0, "c", R"({"services":{"new":{}}})")).kind,
              outcome_kind::accepted);
    const auto outcome = this->append(overlay);
    EXPECT_EQ(outcome.kind, outcome_kind::duplicate);
    EXPECT_EQ(outcome.reason, "a copy of the record at offset 2");
    EXPECT_EQ(this->state.version, 4U);
}

// Guards against unbounded growth of the recent edit ids, and against a copy of an edit taking effect after
// its id has been evicted.
TEST_F(config_fold, edit_with_an_evicted_id_cannot_take_effect_twice)
{
    const auto first = make_edit("base", {}, "first", lisbon_base);
    ASSERT_EQ(this->append(first).kind, outcome_kind::accepted);
    for (std::size_t number = 0; number < max_recent_edits; ++number) {
        ASSERT_EQ(this->append(make_edit("base", number, "n" + std::to_string(number), lisbon_base)).kind,
                  outcome_kind::accepted);
    }
    EXPECT_EQ(this->state.recent_edits.size(), max_recent_edits);
    EXPECT_EQ(this->append(first).kind, outcome_kind::lost_race);
}

// Guards against a record that cannot be decoded stopping the nodes or changing the state.
TEST_F(config_fold, undecodable_record_is_invalid_with_a_reason)
{
    const auto base = std::string{R"("document":"base","parent":-1,"edit_id":"a","author":"x")"};
    for (const auto& payload :
         {std::string{}, std::string{"text"}, std::string{"[1]"}, std::string{R"({"kind":"edit"})"},
          std::string{R"({"format":0,"kind":"edit"})"}, std::string{R"({"format":1,"kind":"other"})"},
          std::string{R"({"format":1,"kind":"edit"})"}, R"({"format":1,"kind":"edit",)" + base + "}",
          R"({"format":1,"kind":"edit","content":{},"patch":{},)" + base + "}",
          R"({"format":1,"kind":"edit","content":[],)" + base + "}",
          R"({"format":1,"kind":"edit","content":{},"extra":1,)" + base + "}",
          std::string{"{\"format\":1,\"kind\":\"edit\",\"content\":{\"\xff\":1}}"},
          std::string{R"({"format":1,"kind":"checkpoint"})"}}) {
        const auto next = this->state.next_offset;
        const auto outcome = this->append(payload);
        EXPECT_EQ(outcome.kind, outcome_kind::invalid) << payload;
        EXPECT_FALSE(outcome.reason.empty()) << payload;
        EXPECT_EQ(this->state.next_offset, next + 1);
    }
    EXPECT_EQ(this->state.version, 0U);
    EXPECT_TRUE(this->state.recent_edits.empty());
}

// Guards against nodes of different releases disagreeing on the state after a record of a newer format.
TEST_F(config_fold, record_of_a_newer_format_stops_the_fold)
{
    ASSERT_EQ(this->append(make_edit("base", {}, "a", lisbon_base)).kind, outcome_kind::accepted);
    const auto before = this->state;
    const log_record newer{1, R"({"format":2,"kind":"edit","anything":{}})"};
    EXPECT_EQ(fold(this->state, newer).kind, outcome_kind::unsupported);
    EXPECT_EQ(this->state, before);
    EXPECT_EQ(fold(this->state, {2, make_edit("base", 0, "b", lisbon_base)}).kind, outcome_kind::invalid);
    EXPECT_EQ(this->state, before);
}

// Guards against reordered or duplicated records changing the state.
TEST_F(config_fold, record_out_of_order_leaves_the_state_unchanged)
{
    ASSERT_EQ(this->append(make_edit("base", {}, "a", lisbon_base)).kind, outcome_kind::accepted);
    const auto before = this->state;
    EXPECT_EQ(fold(this->state, {0, make_edit("base", 0, "b", lisbon_base)}).kind, outcome_kind::invalid);
    EXPECT_EQ(fold(this->state, {2, make_edit("base", 0, "b", lisbon_base)}).kind, outcome_kind::invalid);
    EXPECT_EQ(this->state, before);
}

// Guards against a patch being applied to content other than the one it was made for.
TEST_F(config_fold, patch_changes_one_member_and_keeps_the_rest)
{
    ASSERT_EQ(this->append(make_edit("base", {}, "a", lisbon_base)).kind, outcome_kind::accepted);
    const edit_record patch{.document = "base",
                            .parent = 0,
                            .edit_id = "b",
                            .author = "tester",
                            .content = {},
                            .patch = parse(R"({"routes":{"reserve":{"deadline_ms":900}}})")};
    ASSERT_EQ(this->append(make_edit_record(patch)).kind, outcome_kind::accepted);
    const auto config = merge_effective(this->state, "belem");
    EXPECT_EQ(config->routes.at("reserve").deadline, milliseconds{900});
    EXPECT_EQ(config->routes.at("catalogue").deadline, milliseconds{1500});
}

} // namespace
} // namespace kumquatdrift
