#include "distribution/candidates.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace kumquatdrift::internal {
namespace {

/*! @brief View of four nodes in `alfama` and two in `belem`. */
class view_of_two_data_centres : public testing::Test {
protected:
    view_of_two_data_centres()
    {
        for (const auto* name : {"a1", "a2", "a3", "a4", "b1", "b2"}) {
            member_record record;
            record.node = name;
            record.data_centre = name[0] == 'a' ? "alfama" : "belem";
            record.state = member_state::alive;
            this->view.members[name] = {record, member_status::alive};
        }
    }

    member_view view{};
};

// Guards against lists that are emptied by an argument that is evaluated after another one was moved from.
TEST_F(view_of_two_data_centres, each_node_has_the_relays_as_parents_and_those_of_the_other_data_centre)
{
    std::size_t relays = 0;
    for (const auto* name : {"a1", "a2", "a3", "a4"}) {
        const auto found = find_candidates(this->view, name, "alfama");
        relays += found.is_relay ? 1U : 0U;
        EXPECT_EQ(found.parents.size(), found.is_relay ? 1U : 2U) << name;
        EXPECT_EQ(found.remote_relays.size(), 2U) << name;
        EXPECT_EQ(std::count(found.parents.begin(), found.parents.end(), name), 0) << name;
    }
    EXPECT_EQ(relays, 2U);
}

} // namespace
} // namespace kumquatdrift::internal
