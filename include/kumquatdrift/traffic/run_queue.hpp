#ifndef KUMQUATDRIFT_TRAFFIC_RUN_QUEUE_HPP
#define KUMQUATDRIFT_TRAFFIC_RUN_QUEUE_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
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
#include <kumquatdrift/traffic/target_limit.hpp>
#include <kumquatdrift/traffic/work_estimates.hpp>

namespace kumquatdrift {

/*! @brief A request for a slot of the target on this host. */
struct run_request {
    /*! @brief Id, unique at this node. */
    std::uint64_t id{};
    /*! @brief Priority; 0 is the most urgent. */
    std::uint32_t priority{};
    /*! @brief True for a call made on behalf of a request that already runs. Nested calls start first,
     * because rejecting one wastes the work that their request has already done. */
    bool nested{};
    /*! @brief Time by which the caller should have the response. */
    timestamp objective{};
    /*! @brief Time at which the caller stops waiting. */
    timestamp deadline{};
    /*! @brief For a nested call, a hash of the request on whose behalf it is made; 0 for others. */
    std::uint64_t parent_hash{};
    /*! @brief Expected time in a slot, as a mean over all targets; 0 if unknown. */
    microseconds expected_service_time{};
    /*! @brief True if it makes nested calls while it holds its slot; false for a nested call. */
    bool makes_calls{};
    /*! @brief Set by the queue: true if the objective had passed when the request was offered; always false
     *         for a nested call. */
    bool late{};
    /*! @brief Set by the queue: latest start. A late request that has not started by then is rejected. */
    timestamp start_by{};
    /*! @brief Set by the queue: expected time in a slot of a target of usual speed. */
    microseconds expected_work{};
};

/*! @brief Result of offering a request to the queue. */
enum class run_decision : std::uint8_t {
    /*! @brief The request holds a slot. */
    run,
    /*! @brief The request is queued. */
    queue,
    /*! @brief The request is rejected: its response would come too late, there are no slots, or its id is in
     *         use. */
    reject,
};

/**
 * @brief Bounded priority queue of the requests for one target. Not synchronised, reads no clock.
 *
 * Every request for the target passes through its node, so the queue bounds the load of all entry nodes
 * together. A request is rejected as soon as it is clear that it cannot be answered within its objective (or,
 * if the objective has already passed, before its deadline), which keeps the queueing time of others short.
 *
 * Nested calls start first, ordered by the hash of the request on whose behalf they are made. All targets use
 * the same order, so that under overload either all calls of a request are served or none: a request fails
 * with its first rejected call, which wastes the work of its other calls. All other requests start by
 * priority, and those that are already late start last. A rate limit that the target names delays starts in
 * the same order. One start in `earliest_due_interval` goes to the
 * request that is due first among those that are neither nested calls nor late, ahead of all others, so that
 * no priority starves.
 */
class run_queue {
public:
    /*! @brief One start from the queue in this many goes to the request that is due first. */
    static constexpr std::size_t earliest_due_interval = 4;

    /**
     * @brief Sets the number of slots.
     * @param count Maximum number of requests that run at the same time; 0 stops new starts.
     */
    void set_slots(std::uint32_t count) noexcept
    {
        this->slots = count;
    }

    /**
     * @brief Sets the time by which requests have to finish, because this process ends. Queued requests that
     *        are not expected to finish by then are rejected.
     * @param time Time of the end.
     */
    void set_end(timestamp time) noexcept
    {
        this->end = time;
    }

    /**
     * @brief Records how slow the target states to be at this moment.
     * @param stated Time that work takes there, relative to a usual host; ignored unless above 0.
     * @param now Current time.
     */
    void on_stated_slowness(double stated, timestamp now) noexcept;

    /**
     * @brief Limits how many requests that make nested calls run at the same time.
     * @param count Number of requests; at least 1.
     */
    void set_caller_limit(std::uint32_t count) noexcept
    {
        this->caller_limit = std::max(count, 1U);
    }

    /**
     * @brief Starts, queues or rejects a request.
     * @param request The request; the fields that the queue sets are ignored.
     * @param now Current time.
     * @return The decision.
     */
    [[nodiscard]] run_decision offer(run_request request, timestamp now);

    /**
     * @brief Releases the slot of a request.
     * @param id Id of the request; ignored if the request holds no slot.
     * @param succeeded True if the target responded with success; only then does its time in the slot
     *        enter the mean.
     * @param now Current time.
     */
    void finish(std::uint64_t id, bool succeeded, timestamp now);

    /**
     * @brief Starts the next queued request if a slot is free and the rate limit allows it.
     * @param now Current time.
     * @return Id of the request, which now holds a slot; nothing if none can start.
     */
    [[nodiscard]] std::optional<std::uint64_t> start_next(timestamp now);

    /**
     * @brief Removes the queued requests that can no longer be answered in time.
     * @param now Current time.
     * @return Ids of the requests; they were not run.
     */
    [[nodiscard]] std::vector<std::uint64_t> expire(timestamp now);

    /**
     * @brief Removes a queued request.
     * @param id Id of the request.
     * @return True if the request was queued.
     */
    bool remove(std::uint64_t id);

    /**
     * @brief Removes all queued requests.
     * @return Ids of the requests; they were not run.
     */
    [[nodiscard]] std::vector<std::uint64_t> remove_all();

    /**
     * @brief Resets the measured service time and slowness and the rate limit, for a new incarnation of the
     *        target.
     */
    void reset_estimates() noexcept
    {
        this->mean_service_time = {};
        this->slowness = 1.0;
        this->stated = 0.0;
        this->stated_mean = 0.0;
        this->rate_limit.reset();
    }

    /*! @brief Returns the rate limit of the target, which applies to starts. */
    [[nodiscard]] target_limit& limit() noexcept
    {
        return this->rate_limit;
    }

    /*! @copydoc limit */
    [[nodiscard]] const target_limit& limit() const noexcept
    {
        return this->rate_limit;
    }

    /**
     * @brief Returns the load of the target.
     * @param now Current time.
     * @return Slots in use, queue length, number of slots, mean service time, slowness, rate limit and
     *         remaining work.
     */
    [[nodiscard]] target_load load(timestamp now) const noexcept;

    /**
     * @brief Estimates the time until a request that is rejected now could start.
     * @param now Current time.
     * @return Time from now.
     */
    [[nodiscard]] microseconds time_to_free_slot(timestamp now) const noexcept;

private:
    /*! @brief Order of starts by priority: rank, parent hash, deadline, id. */
    using priority_key = std::tuple<std::uint32_t, std::uint64_t, timestamp, std::uint64_t>;
    /*! @brief Order of starts by due time: the earlier of objective and deadline, then id. */
    using due_key = std::pair<timestamp, std::uint64_t>;

    struct running_request {
        timestamp started{};
        microseconds expected_service_time{};
        microseconds expected_work{};
        bool makes_calls{};
    };

    [[nodiscard]] static priority_key priority_key_of(const run_request& request) noexcept;
    [[nodiscard]] static due_key due_key_of(const run_request& request) noexcept;
    [[nodiscard]] bool can_finish_in_time(const run_request& request, microseconds wait,
                                          timestamp now) const noexcept;
    [[nodiscard]] microseconds estimate_wait(std::size_t ahead, timestamp now) const noexcept;
    [[nodiscard]] microseconds estimate_wait(const run_request& request, timestamp now) const;
    [[nodiscard]] microseconds expected_work_of(const run_request& request, timestamp now) const noexcept;
    [[nodiscard]] static std::size_t work_rank(const run_request& request) noexcept;
    void start(const run_request& request, timestamp now);
    [[nodiscard]] bool may_start(const run_request& request) const noexcept;
    [[nodiscard]] bool any_may_start() const noexcept;
    [[nodiscard]] microseconds estimate_caller_wait(std::size_t ahead) const noexcept;
    [[nodiscard]] run_request select_next();
    [[nodiscard]] microseconds estimate_service_time(const run_request& request,
                                                     timestamp now) const noexcept;
    [[nodiscard]] double slowness_at(timestamp now) const noexcept;
    [[nodiscard]] double learned_slowness_at(timestamp now) const noexcept;
    [[nodiscard]] std::size_t count_starts_before(const run_request& request) const;
    void erase(std::uint64_t id);

    std::uint32_t slots{};
    timestamp end{timestamp::max()};
    target_limit rate_limit{};
    microseconds mean_service_time{};
    /*! @brief Ratio of the service time to the mean over all targets, when it was last observed. */
    double slowness{1.0};
    timestamp slowness_observed{};
    /*! @brief Slowness that the target last stated, and its mean; 0 if it states none. */
    double stated{};
    double stated_mean{};
    timestamp stated_at{};
    std::unordered_map<std::uint64_t, running_request> running{};
    std::map<priority_key, run_request> queued{};
    std::unordered_map<std::uint64_t, priority_key> keys_by_id{};
    std::set<due_key> queued_by_due{};
    std::size_t starts{};
    /*! @brief Expected work of the running and the queued requests, at usual speed. */
    remaining_work work{};
    /*! @brief Maximum number of running requests that make nested calls. */
    std::uint32_t caller_limit{std::numeric_limits<std::uint32_t>::max()};
    std::uint32_t running_callers{};
    std::uint32_t queued_callers{};
};

/**
 * @brief Returns the latest time at which a response is still useful to the caller.
 * @param request Request.
 * @param now Current time.
 * @return The objective while it can be met; the deadline after that, and for nested calls.
 */
[[nodiscard]] timestamp useful_until(const run_request& request, timestamp now) noexcept;

} // namespace kumquatdrift

#endif
