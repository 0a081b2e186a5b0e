#ifndef KUMQUATDRIFT_TESTS_MEMBERSHIP_MESH_FIXTURE_HPP
#define KUMQUATDRIFT_TESTS_MEMBERSHIP_MESH_FIXTURE_HPP

#include <gtest/gtest.h>

#include <cstddef>
#include <string>

#include <membership/table.hpp>
#include <support/simulated_mesh.hpp>

namespace kumquatdrift {

/*! @brief Fixture with an in-memory mesh and helpers that inspect the views of its nodes. */
class mesh_test : public testing::Test {
protected:
    void add_nodes(std::size_t count, const std::string& data_centre)
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->mesh.add(data_centre);
        }
    }

    void run(milliseconds duration)
    {
        this->mesh.run(duration, [] { return false; });
    }

    /*! @brief Returns the entry of node `index` in the table of node `by`, or null. */
    [[nodiscard]] const internal::member* member_seen_by(std::size_t by, std::size_t index) const
    {
        const auto& node = this->mesh.nodes[index];
        const auto name = node.data_centre + "-" + std::to_string(index);
        const auto& members = this->mesh.nodes[by].state.members;
        const auto found = members.find(internal::key_of(name));
        return found == members.end() ? nullptr : &found->second;
    }

    [[nodiscard]] member_status status_seen_by(std::size_t by, std::size_t index) const
    {
        const auto view = view_of(this->mesh.nodes[by].state);
        const auto& node = this->mesh.nodes[index];
        return view->members.at(node.data_centre + "-" + std::to_string(index)).status;
    }

    /*! @brief Checks that all running nodes see a node with a status and, unless it is dead, have its newest
     * record. */
    [[nodiscard]] bool all_see(std::size_t index, member_status expected) const
    {
        const auto& own = this->mesh.nodes[index].state;
        const auto sequence = own.members.at(own.self).record.sequence;
        for (std::size_t by = 0; by < this->mesh.nodes.size(); ++by) {
            const auto* known = this->member_seen_by(by, index);
            if (!this->mesh.nodes[by].running || this->mesh.nodes[by].paused) {
                continue;
            }
            const bool current = expected == member_status::dead ||
                                 (known != nullptr && known->record.sequence == sequence &&
                                  known->record.start_time == own.members.at(own.self).record.start_time);
            if (known == nullptr || known->status != expected || !current) {
                return false;
            }
        }
        return true;
    }

    /*! @brief Checks that all running nodes see each other as alive and have the newest records. */
    [[nodiscard]] bool converged() const
    {
        for (std::size_t index = 0; index < this->mesh.nodes.size(); ++index) {
            if (this->mesh.nodes[index].running && !this->all_see(index, member_status::alive)) {
                return false;
            }
        }
        return true;
    }

    /*! @brief Runs the mesh until it has converged, at most for `limit`. Returns whether it has. */
    bool run_until_converged(milliseconds limit)
    {
        return this->mesh.run(limit, [this] { return this->converged(); });
    }

    simulated_mesh mesh{};
};

} // namespace kumquatdrift

#endif
