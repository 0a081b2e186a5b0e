#ifndef KUMQUATDRIFT_TRAFFIC_ADMISSION_HPP
#define KUMQUATDRIFT_TRAFFIC_ADMISSION_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/membership/types.hpp>
#include <kumquatdrift/routing/choose.hpp>
#include <kumquatdrift/traffic/fwd.hpp>

namespace kumquatdrift {

/*! @brief Id of a request, unique at its node. */
using request_id = std::uint64_t;

/*! @brief Result of offering a request for admission. */
enum class admission_kind : std::uint8_t {
    /*! @brief The request holds a slot and starts now. */
    admitted,
    /*! @brief The request is queued; a later call returns its id when it starts or is removed. */
    queued,
    /*! @brief The request was not run. */
    rejected,
};

/*! @brief Names of the decisions. */
template<>
struct enum_names<admission_kind> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<admission_kind, std::string_view>, 3> table{{
        {admission_kind::admitted, "admitted"},
        {admission_kind::queued, "queued"},
        {admission_kind::rejected, "rejected"},
    }};
};

/*! @brief Reason of a rejection. All reasons imply the verdict `not_run`. */
enum class rejection_reason : std::uint8_t {
    /*! @brief Not rejected. */
    none,
    /*! @brief The target is draining. */
    draining,
    /*! @brief The queue has reached its limit. */
    queue_full,
    /*! @brief The request cannot be answered before its deadline. */
    deadline,
    /*! @brief A request with this id is already queued or running. */
    duplicate_id,
};

/*! @brief Names of the reasons. */
template<>
struct enum_names<rejection_reason> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<rejection_reason, std::string_view>, 5> table{{
        {rejection_reason::none, "none"},
        {rejection_reason::draining, "draining"},
        {rejection_reason::queue_full, "queue_full"},
        {rejection_reason::deadline, "deadline"},
        {rejection_reason::duplicate_id, "duplicate_id"},
    }};
};

/*! @brief How a request that held a slot ended. */
enum class run_outcome : std::uint8_t {
    /*! @brief The target responded with a status other than 429 and 503. */
    answered,
    /*! @brief The target itself rejected the request with status 429 or 503. */
    shed,
    /*! @brief The connection failed or timed out, or the call was cancelled. */
    failed,
};

/*! @brief Announcement of a target and settings of its service. */
struct admission_settings {
    /*! @brief Maximum number of requests that the target runs at the same time, at least 1. */
    std::uint32_t slots{1};
    /*! @brief Maximum number of queued requests. */
    std::uint32_t queue_limit{32};
    /*! @brief Time over which the concurrency limit of a cold target grows to its number of slots. */
    microseconds slow_start{0};
    /*! @brief State of the target. */
    target_state state{target_state::ready};
};

/*! @brief A request for a slot of a target. */
struct admission_request {
    /*! @brief Id of the request. */
    request_id id{};
    /*! @brief Time at which the caller stops waiting. */
    timestamp deadline{};
    /*! @brief Fingerprint of the request, for the crash quarantine. */
    std::uint64_t fingerprint{};
};

/*! @brief Decision on an offered request. */
struct admission_decision {
    /*! @brief Whether the request starts, is queued or is rejected. */
    admission_kind kind{admission_kind::rejected};
    /*! @brief Reason of a rejection. */
    rejection_reason reason{rejection_reason::none};
    /*! @brief Estimated time until a slot is free, without jitter. Valid only for a rejection. */
    milliseconds retry_after{};
};

/*! @brief Result of cancelling a request. */
enum class cancel_outcome : std::uint8_t {
    /*! @brief The request was queued and has been removed; it was not run. */
    removed,
    /*! @brief The request is running; it keeps its slot until `finish`. */
    running,
    /*! @brief There is no request with this id. */
    unknown,
};

/**
 * @brief Admission control with a queue for one target. Not synchronised.
 *
 * Tracks the slots in use exactly: a request starts only while the number of requests in flight is below the
 * number of slots that the target announced. The concurrency limit is lower than that while the target is
 * cold, and after the target shed requests although slots seemed free.
 */
class admission {
public:
    /**
     * @brief Constructs an admission control without requests.
     * @param settings Announcement of the target and settings of its service.
     * @param now Current time, at which a slow start begins.
     */
    admission(const admission_settings& settings, timestamp now);

    /**
     * @brief Starts, queues or rejects a request.
     * @param request The request.
     * @param now Current time.
     * @return The decision.
     */
    [[nodiscard]] admission_decision offer(const admission_request& request, timestamp now);

    /**
     * @brief Releases the slot of a request.
     * @param id Id of a request that holds a slot.
     * @param outcome How it ended.
     * @param now Current time.
     * @return Ids of the queued requests that start now.
     */
    [[nodiscard]] std::vector<request_id> finish(request_id id, run_outcome outcome, timestamp now);

    /**
     * @brief Removes the queued requests that can no longer be answered in time; all of them while draining.
     *        Called at least every few milliseconds while requests are queued.
     * @param now Current time.
     * @return Ids of the removed requests. They were not run.
     */
    [[nodiscard]] std::vector<request_id> expire(timestamp now);

    /**
     * @brief Starts queued requests up to the concurrency limit. Called after `expire` and with each tick,
     *        because the limit grows with time during a slow start.
     * @param now Current time.
     * @return Ids of the requests that start now.
     */
    [[nodiscard]] std::vector<request_id> start_queued(timestamp now);

    /**
     * @brief Cancels a request.
     * @param id Id of the request.
     * @return Whether the request was removed, is running, or is unknown.
     */
    cancel_outcome cancel(request_id id);

    /**
     * @brief Applies a new announcement. Running requests above a lowered number of slots run to their end.
     * @param settings Announcement of the target and settings of its service. The state `draining` stops all
     * new starts permanently; the next `expire` or `drain` returns the queued requests.
     * @param now Current time.
     * @return Ids of the queued requests that start now.
     */
    [[nodiscard]] std::vector<request_id> announce(const admission_settings& settings, timestamp now);

    /**
     * @brief Stops all new starts permanently. Requests in flight run to their end.
     * @return Ids of the requests that were queued. They were not run.
     */
    [[nodiscard]] std::vector<request_id> drain();

    /**
     * @brief Returns the load for the load header.
     * @param now Current time.
     * @return The load; its slots are the current concurrency limit.
     */
    [[nodiscard]] load_report load(timestamp now) const;

    /**
     * @brief Lists the fingerprints in flight, for the crash quarantine.
     * @return Fingerprints of the requests that hold a slot.
     */
    [[nodiscard]] std::vector<std::uint64_t> fingerprints_in_flight() const;

    /**
     * @brief Checks whether the target is draining.
     * @return True after `drain`, or after an announcement of the state `draining`.
     */
    [[nodiscard]] bool is_draining() const noexcept;

    /**
     * @brief Returns the mean time for which recent requests held a slot.
     * @return The time, 0 until the first request has ended.
     */
    [[nodiscard]] microseconds service_time() const noexcept;

private:
    struct running_request {
        timestamp started{};
        std::uint64_t fingerprint{};
    };

    [[nodiscard]] std::uint32_t concurrency_limit(timestamp now) const;
    [[nodiscard]] bool is_too_late(const admission_request& request, timestamp now) const noexcept;
    [[nodiscard]] std::deque<admission_request>::iterator next_startable(timestamp now);
    [[nodiscard]] microseconds estimate_wait(std::size_t ahead, timestamp now) const;
    [[nodiscard]] admission_decision reject(rejection_reason reason, timestamp now) const;
    void observe(run_outcome outcome, microseconds service_time, timestamp now);

    admission_settings settings;
    timestamp cold_since;
    bool draining{};
    std::unordered_map<request_id, running_request> running{};
    std::deque<admission_request> queued{};
    microseconds mean_service_time{};
    double adaptive_limit;
    std::optional<timestamp> last_decrease{};
};

} // namespace kumquatdrift

#endif
