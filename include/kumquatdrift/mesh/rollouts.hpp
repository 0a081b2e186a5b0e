#ifndef KUMQUATDRIFT_MESH_ROLLOUTS_HPP
#define KUMQUATDRIFT_MESH_ROLLOUTS_HPP

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/mesh/members.hpp>
#include <kumquatdrift/traffic/version_comparison.hpp>

namespace kumquatdrift {

/*! @brief Order of the operator to move the requests of a service to targets of another version. */
struct rollout_order {
    /*! @brief Service. */
    std::string service{};
    /*! @brief Version of the targets. */
    std::string version{};
    /*! @brief Time from the order until the operator expects a result. */
    microseconds duration{};
    /*! @brief Identifies the order; two orders of the same content are the same. */
    std::uint64_t id{};
};

/*! @brief Phase of a roll-out. For one order, a node keeps the later phase; `completed` and `reverted`
 * exclude each other, because the store accepts only one of them. */
enum class rollout_phase : std::uint8_t {
    /*! @brief Ordered; the status in the store is not known yet. No request goes to the new version. */
    announced,
    /*! @brief A limited share goes to the new version. */
    trial,
    /*! @brief All new requests go to the new version while the others finish theirs. */
    moving,
    /*! @brief The new version gets no more requests; the store has not acknowledged it. */
    stopped,
    /*! @brief Acknowledged by the store: the new version has taken over. */
    completed,
    /*! @brief Acknowledged by the store: the new version gets no requests. */
    reverted,
};

/*! @brief Names of the phases, as logged. */
template<>
struct enum_names<rollout_phase> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<rollout_phase, std::string_view>, 6> table{{
        {rollout_phase::announced, "announced"},
        {rollout_phase::trial, "trial"},
        {rollout_phase::moving, "moving"},
        {rollout_phase::stopped, "stopped"},
        {rollout_phase::completed, "completed"},
        {rollout_phase::reverted, "reverted"},
    }};
};

/*! @brief State of a roll-out that the store holds for the operator. */
enum class rollout_status : std::uint8_t {
    /*! @brief Neither of the others yet. */
    running,
    /*! @brief The new version has taken over; its predecessors are stopped. Final. */
    completed,
    /*! @brief The new version gets no requests. Final. */
    reverted,
};

/*! @brief Names of the states, as the operator reads them. */
template<>
struct enum_names<rollout_status> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<rollout_status, std::string_view>, 3> table{{
        {rollout_status::running, "running"},
        {rollout_status::completed, "completed"},
        {rollout_status::reverted, "reverted"},
    }};
};

/*! @brief What a node knows about a roll-out. */
struct rollout {
    /*! @brief Order. */
    rollout_order order{};
    /*! @brief Time of the order, as far as it is known. */
    timestamp ordered_at{};
    /*! @brief Phase. */
    rollout_phase phase{rollout_phase::announced};
    /*! @brief Time at which this node learned of the phase. */
    timestamp phase_since{};
};

/*! @brief Roll-outs by service; the latest order of each. */
using rollout_table = std::map<std::string, rollout, std::less<>>;

/*! @brief Returns true if the phase is acknowledged by the store and does not change any more. */
[[nodiscard]] constexpr bool is_final(rollout_phase phase) noexcept
{
    return phase == rollout_phase::completed || phase == rollout_phase::reverted;
}

/*! @brief Checks whether requests can go to the targets of two versions, so that their outcomes matter. */
[[nodiscard]] constexpr bool is_live(rollout_phase phase) noexcept
{
    return phase == rollout_phase::trial || phase == rollout_phase::moving;
}

/**
 * @brief Adds what the store or another node states about a roll-out. The later order of a service replaces
 * the earlier one; of two phases of an order, the later one is kept.
 * @param table Table; updated.
 * @param stated State of the roll-out.
 * @param from_store True if the store holds the order, so that it is the latest one.
 * @param now Current time.
 * @return True if the order or its phase has changed.
 */
bool merge(rollout_table& table, const rollout& stated, bool from_store, timestamp now);

/*! @brief What the deciding node knows beside the phase. */
struct rollout_view {
    /*! @brief What the outcomes show. */
    version_verdict verdict{version_verdict::undecided};
    /*! @brief True if the targets of the new version can hold the load of the service. */
    bool target_has_room{};
    /*! @brief True if the targets of other versions run no requests any more. */
    bool others_idle{};
};

/*! @brief Next step of the deciding node. */
enum class rollout_step : std::uint8_t {
    /*! @brief Nothing to do. */
    wait,
    /*! @brief Write `running`. */
    write_running,
    /*! @brief Send all requests to the new version. */
    move,
    /*! @brief Send no more requests to the new version. */
    stop,
    /*! @brief Write `completed`. */
    write_completed,
    /*! @brief Write `reverted`. */
    write_reverted,
};

/*! @brief Names of the steps, as logged. */
template<>
struct enum_names<rollout_step> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<rollout_step, std::string_view>, 6> table{{
        {rollout_step::wait, "wait"},
        {rollout_step::write_running, "write_running"},
        {rollout_step::move, "move"},
        {rollout_step::stop, "stop"},
        {rollout_step::write_completed, "write_completed"},
        {rollout_step::write_reverted, "write_reverted"},
    }};
};

/**
 * @brief Decides the next step of a roll-out.
 *
 * A version may turn bad late, so a good one is moved to as late as leaves time for it. A roll-out that can't
 * be completed in time, because its version never appeared or too few outcomes are known, is stopped.
 *
 * @param state State.
 * @param view What is known beside it.
 * @param now Current time.
 * @return Next step.
 */
[[nodiscard]] rollout_step next_step(const rollout& state, const rollout_view& view, timestamp now);

/**
 * @brief Returns the phase that follows from a step, or from what the store holds.
 * @param status State in the store.
 * @return Phase.
 */
[[nodiscard]] rollout_phase phase_of(rollout_status status) noexcept;

/**
 * @brief Selects the node that decides on the roll-out of a service, among those that follow the store, or
 * among all if none can read it.
 * @param service Service.
 * @param self Record of this node.
 * @param members Other nodes.
 * @return Name of the node.
 */
[[nodiscard]] std::string deciding_node(std::string_view service, const member_record& self,
                                        const member_table& members);

/*! @brief Use of a target during the roll-out of its service. */
enum class target_role : std::uint8_t {
    /*! @brief Another version than the one that was ordered. */
    previous,
    /*! @brief The version is not known yet. */
    unknown,
    /*! @brief The new version, used only once all requests go there. */
    target,
    /*! @brief The new version, gets the limited share of the trial. */
    trial_target,
};

/*! @brief Targets of a service during its roll-out, by node; the empty name is this node. */
struct rollout_targets {
    /*! @brief Use and group of each target that accepts requests. */
    std::map<std::string, std::pair<target_role, std::size_t>, std::less<>> roles{};
    /*! @brief Slots of the targets of the new version. */
    std::uint32_t target_slots{};
    /*! @brief Slots of the targets of other versions. */
    std::uint32_t previous_slots{};
    /*! @brief Requests that the targets of other versions run, or that are queued for them. */
    std::uint32_t previous_running{};
    /*! @brief Time at which the oldest load of them was received; `timestamp::max()` if there are none. */
    timestamp previous_load_at{timestamp::max()};
    /*! @brief True if any node, also one that can't be reached, has a ready target of another version. */
    bool has_other_version{};
    /*! @brief Number of nodes, with this one. */
    std::size_t nodes{1};
};

/**
 * @brief Finds the targets of a service, and among those of the new version the ones that take part in the
 * trial. All nodes that know the same targets select the same ones.
 * @param order Order.
 * @param exposure_share Share of the requests that the new version may get.
 * @param self Record of this node, with the load of its target.
 * @param members Other nodes.
 * @param now Current time.
 * @return Targets.
 */
[[nodiscard]] rollout_targets find_targets(const rollout_order& order, double exposure_share,
                                           const member_record& self, const member_table& members,
                                           timestamp now);

/**
 * @brief Checks whether the targets of the new version can hold the load of the service.
 * @param targets Targets.
 * @return True if they have most of the slots that the other versions have.
 */
[[nodiscard]] bool has_room(const rollout_targets& targets) noexcept;

} // namespace kumquatdrift

#endif
