#ifndef KUMQUATDRIFT_TRAFFIC_RUN_QUEUE_HPP
#define KUMQUATDRIFT_TRAFFIC_RUN_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/mesh/members.hpp>
#include <kumquatdrift/traffic/fwd.hpp>

namespace kumquatdrift {

/*! @brief A request that asks for a slot of the target next to this node. */
struct run_request {
    /*! @brief Id, unique at this node. */
    std::uint64_t id{};
    /*! @brief Rank, 0 is the most urgent. */
    std::uint32_t priority{};
    /*! @brief True for a call of a request that already runs; those go first, their cost is already paid. */
    bool inner{};
    /*! @brief Time until which an answer is in time for the caller. */
    timestamp objective{};
    /*! @brief Time at which the caller gives up. */
    timestamp deadline{};
    /*! @brief For an inner call, a hash of the request on whose behalf it is made; 0 for others. */
    std::uint64_t group{};
    /*! @brief Time for which it will hold a slot on the mean of all targets; 0 if unknown. */
    microseconds expected{};
    /*! @brief Set by the queue: the objective had passed when it was offered. */
    bool late{};
    /*! @brief Set by the queue: a late request that has not started by then is refused. */
    timestamp start_until{};
};

/*! @brief Whether an offered request runs, waits, or is refused. */
enum class run_decision : std::uint8_t {
    /*! @brief It holds a slot. */
    run,
    /*! @brief It waits. */
    wait,
    /*! @brief It is not run: its answer would come too late. */
    refuse,
};

/**
 * @brief Order and bound of the requests that wait for one target. Not synchronised, reads no clock.
 *
 * Answers the load of all entry nodes together, because every request for the target passes its node. A
 * request is refused as soon as it is clear that it cannot be answered inside its objective (or, if the
 * objective has passed already, before its deadline), so that the wait of others stays short.
 *
 * Inner calls start first. Among them the hash of their request decides, so that under overload all calls of
 * one request are served, at whatever targets, or none: a request fails with its first refused call, and the
 * others were run for nothing. Then requests start by priority; but one start in `share_interval` goes to the
 * request that is due first, whatever its rank, so that no kind of request starves. Requests that are late
 * already come last.
 */
class run_queue {
public:
    /*! @brief One of so many starts from the queue goes to the request that is due first. */
    static constexpr std::size_t share_interval = 4;

    /**
     * @brief Sets the number of slots.
     * @param count Requests that run at the same time; 0 stops new work.
     */
    void set_slots(std::uint32_t count) noexcept
    {
        this->slots = count;
    }

    /**
     * @brief Offers a request.
     * @param request Request.
     * @param now Current time.
     * @return The decision.
     */
    [[nodiscard]] run_decision offer(run_request request, timestamp now);

    /**
     * @brief Frees the slot of a request.
     * @param id Id of the request.
     * @param succeeded True if the target answered with success, so that its time counts for the estimate.
     * @param now Current time.
     */
    void finish(std::uint64_t id, bool succeeded, timestamp now);

    /**
     * @brief Starts the next waiting request for which there is a slot.
     * @param now Current time.
     * @return Id of the request, which now holds a slot; nothing if none can start.
     */
    [[nodiscard]] std::optional<std::uint64_t> start_next(timestamp now);

    /**
     * @brief Removes the waiting requests that can no longer be answered in time.
     * @param now Current time.
     * @return Ids of the requests; they were not run.
     */
    [[nodiscard]] std::vector<std::uint64_t> expire(timestamp now);

    /**
     * @brief Removes a waiting request.
     * @param id Id of the request.
     * @return True if it waited.
     */
    bool remove(std::uint64_t id);

    /**
     * @brief Removes all waiting requests.
     * @return Ids of the requests; they were not run.
     */
    [[nodiscard]] std::vector<std::uint64_t> remove_all();

    /**
     * @brief Forgets all that was measured of the target, for a new incarnation.
     */
    void forget_target() noexcept
    {
        this->mean_service = {};
        this->slowness = 1.0;
    }

    /**
     * @brief Returns the load.
     * @return The load.
     */
    [[nodiscard]] target_load load() const noexcept;

    /**
     * @brief Estimates when a request refused now would find room.
     * @return Time from now.
     */
    [[nodiscard]] microseconds time_to_room() const noexcept;

private:
    /*! @brief Order of start: rank, then the group, the time left, and the order of arrival. */
    using place = std::tuple<std::uint32_t, std::uint64_t, timestamp, std::uint64_t>;
    /*! @brief Order of starts that do not go by rank: the time until which an answer is useful. */
    using due = std::pair<timestamp, std::uint64_t>;

    struct run_start {
        timestamp since{};
        microseconds expected{};
    };

    [[nodiscard]] static place place_of(const run_request& request) noexcept;
    [[nodiscard]] static due due_of(const run_request& request) noexcept;
    [[nodiscard]] bool can_finish(const run_request& request, microseconds wait,
                                  timestamp now) const noexcept;
    [[nodiscard]] microseconds wait_behind(std::size_t ahead) const noexcept;
    [[nodiscard]] microseconds service_of(const run_request& request) const noexcept;
    [[nodiscard]] std::size_t starts_before(const run_request& request) const;
    void erase(std::uint64_t id);

    std::uint32_t slots{};
    microseconds mean_service{};
    double slowness{1.0};
    std::unordered_map<std::uint64_t, run_start> running{};
    std::map<place, run_request> waiting{};
    std::unordered_map<std::uint64_t, place> places{};
    std::set<due> by_due{};
    std::size_t starts{};
};

/**
 * @brief Returns the latest time at which an answer is worth waiting for.
 * @param request Request.
 * @param now Current time.
 * @return The objective while it can be met, the deadline after that and for inner calls.
 */
[[nodiscard]] timestamp useful_until(const run_request& request, timestamp now) noexcept;

} // namespace kumquatdrift

#endif
