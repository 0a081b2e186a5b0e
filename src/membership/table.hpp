#ifndef KUMQUATDRIFT_SRC_MEMBERSHIP_TABLE_HPP
#define KUMQUATDRIFT_SRC_MEMBERSHIP_TABLE_HPP

#include <cstddef>
#include <cstdint>

#include <kumquatdrift/membership/state.hpp>

#include <membership/codec.hpp>

namespace kumquatdrift::internal {

/*! @brief Index of this node's own data centre. */
inline constexpr std::size_t own_data_centre = 0;

/*! @brief A change of version only. */
struct version_change {
    /*! @brief Identity of the member. */
    std::uint64_t identity{};
    /*! @brief New sequence. */
    std::uint64_t sequence{};
    /*! @brief Sequence of the last change other than of the version. */
    std::uint64_t base_sequence{};
    /*! @brief New version. */
    config_version version{};
};

/*! @brief Claim that a member is suspect or dead, valid for one sequence of its record. */
struct status_claim {
    /*! @brief Identity of the member. */
    std::uint64_t identity{};
    /*! @brief Sequence of the record that the claim is about. */
    std::uint64_t sequence{};
    /*! @brief `suspect` or `dead`. */
    member_status status{member_status::suspect};
};

/**
 * @brief Finds a member by key.
 * @param state State.
 * @param key Key.
 * @return The member, or null.
 */
[[nodiscard]] member* find_key(membership_state& state, std::uint64_t key);

/**
 * @brief Finds a member by identity.
 * @param state State.
 * @param identity Identity.
 * @return The member, or null.
 */
[[nodiscard]] member* find_identity(membership_state& state, std::uint64_t identity);

/**
 * @brief Returns this node's own entry.
 * @param state State.
 * @return The entry.
 */
[[nodiscard]] member& own_member(membership_state& state);

/*! @copydoc own_member */
[[nodiscard]] const member& own_member(const membership_state& state);

/**
 * @brief Checks whether a member is dead or has left.
 * @param known The member.
 * @return True if it no longer participates.
 */
[[nodiscard]] bool is_dead_or_left(const member& known) noexcept;

/**
 * @brief Checks whether an earlier process of a member's node held a higher version than the member does now.
 * @param known The member.
 * @return True if the member may not know this version yet, so that its record must be sent to it.
 */
[[nodiscard]] bool has_version_floor(const member& known) noexcept;

/**
 * @brief Checks whether digests cover a member: it participates, or became dead or left recently.
 * @param state State.
 * @param known The member.
 * @param now Current time.
 * @return True if it is covered.
 */
[[nodiscard]] bool in_digest(const membership_state& state, const member& known, timestamp now) noexcept;

/**
 * @brief Checks whether a change takes a node or a target out of use: a drain, a leave or a removed target.
 * @param before Record before the change.
 * @param after Record after the change.
 * @return True if the change is urgent.
 */
[[nodiscard]] bool is_urgent(const member_record& before, const member_record& after);

/**
 * @brief Finds the index of a data centre; adds the data centre if it is unknown.
 * @param state State.
 * @param name Name of the data centre.
 * @param now Current time.
 * @return The index, or `max_data_centres` if there are too many data centres.
 */
[[nodiscard]] std::size_t find_or_add_data_centre(membership_state& state, const std::string& name,
                                                  timestamp now);

/*! @brief Largest number of data centres; `queued_change::remote_data_centres` has one bit for each. */
inline constexpr std::size_t max_data_centres = 64;

/**
 * @brief Merges a record of any node, this one included.
 * @param state State.
 * @param incoming The record.
 * @param now Current time.
 * @return True if it was newer than the known one. Always false for a record of this node.
 */
bool accept_record(membership_state& state, decoded_record incoming, timestamp now);

/**
 * @brief Merges a change of version. Ignored if the known record is older than the base sequence of the
 * change.
 * @param state State.
 * @param change The change.
 * @param now Current time.
 * @return True if it was accepted.
 */
bool accept_version(membership_state& state, const version_change& change, timestamp now);

/**
 * @brief Merges a status claim. A claim about this node is refuted. A claim about another member is ignored
 * unless it concerns the known sequence.
 * @param state State.
 * @param claim The claim.
 * @param now Current time.
 * @return True if the claim was accepted, or if it concerns this node and its record must be sent in
 * response.
 */
bool accept_claim(membership_state& state, const status_claim& claim, timestamp now);

/**
 * @brief Sets the status of a member and queues it for propagation.
 * @param state State.
 * @param known The member.
 * @param status The status.
 * @param now Current time.
 */
void set_status(membership_state& state, member& known, member_status status, timestamp now);

/**
 * @brief Queues a change of state, targets or status.
 * @param state State.
 * @param known The member.
 * @param now Current time.
 */
void queue_change(membership_state& state, const member& known, timestamp now);

/**
 * @brief Queues a change of version.
 * @param state State.
 * @param known The member.
 * @param now Current time.
 */
void queue_version(membership_state& state, const member& known, timestamp now);

/**
 * @brief Schedules the pushes of an urgent change. Replaces those scheduled for the same member.
 * @param state State.
 * @param known The member.
 * @param now Current time.
 */
void queue_push(membership_state& state, const member& known, timestamp now);

/**
 * @brief Advances the generation of the table after a change.
 * @param state State.
 * @param endpoints True if state, targets, addresses or status changed, false for a version only.
 */
void advance_generation(membership_state& state, bool endpoints) noexcept;

/**
 * @brief Removes expired members and advisory entries.
 * @param state State.
 * @param now Current time.
 */
void remove_expired(membership_state& state, timestamp now);

} // namespace kumquatdrift::internal

#endif
