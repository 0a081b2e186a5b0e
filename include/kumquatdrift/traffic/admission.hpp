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

/*! @brief Whether an offered request runs, waits or is rejected. */
enum class admission_kind : std::uint8_t {
    /*! @brief It holds a slot and runs now. */
    admitted,
    /*! @brief It waits; its id is returned by the call that starts or drops it. */
    queued,
    /*! @brief It was not run. */
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

/*! @brief Why a request was rejected. All reasons mean `not_run`. */
enum class rejection : std::uint8_t {
    /*! @brief Not rejected. */
    none,
    /*! @brief The target drains. */
    draining,
    /*! @brief As many requests wait as the service allows. */
    queue_full,
    /*! @brief The request cannot start before its deadline. */
    deadline,
    /*! @brief A request with this id is already present. */
    duplicate_id,
};

/*! @brief Names of the reasons. */
template<>
struct enum_names<rejection> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<rejection, std::string_view>, 5> table{{
        {rejection::none, "none"},
        {rejection::draining, "draining"},
        {rejection::queue_full, "queue_full"},
        {rejection::deadline, "deadline"},
        {rejection::duplicate_id, "duplicate_id"},
    }};
};

/*! @brief How a request that held a slot ended. */
enum class run_outcome : std::uint8_t {
    /*! @brief The target answered. */
    answered,
    /*! @brief The target itself answered 429 or 503. */
    shed,
    /*! @brief The connection broke, timed out, or the call was cancelled. */
    failed,
};

/*! @brief What a target announced, and the settings of its service. */
struct admission_settings {
    /*! @brief Requests that the target runs at the same time, at least 1. */
    std::uint32_t slots{1};
    /*! @brief Requests that may wait. */
    std::uint32_t queue_limit{32};
    /*! @brief Time over which the limit of a cold target grows to its slots. */
    microseconds slow_start{0};
    /*! @brief State of the target. */
    target_state state{target_state::ready};
};

/*! @brief A request that asks for a slot. */
struct admission_request {
    /*! @brief Id. */
    request_id id{};
    /*! @brief Time at which the caller gives up. */
    timestamp deadline{};
    /*! @brief Fingerprint of the request. */
    std::uint64_t fingerprint{};
};

/*! @brief Answer to an offer. */
struct admission_decision {
    /*! @brief Decision. */
    admission_kind kind{admission_kind::rejected};
    /*! @brief Reason of a rejection. */
    rejection reason{rejection::none};
    /*! @brief Time until a slot is likely to be free, without jitter. Valid only for a rejection. */
    milliseconds retry_after{};
};

/*! @brief What became of a cancelled request. */
enum class cancel_outcome : std::uint8_t {
    /*! @brief It waited and is gone; it was not run. */
    removed,
    /*! @brief It runs; it keeps its slot until `finish`. */
    running,
    /*! @brief It is not known. */
    unknown,
};

/**
 * @brief Admission control for one target. Counts the slots in use exactly. Not synchronised.
 *
 * The number of requests in flight never exceeds the announced slots at the time a request starts. It stays
 * below them while the target is cold, and after the target shed load although slots seemed free.
 */
class admission {
public:
    /**
     * @brief Constructs an idle admission control.
     * @param settings What the target announced.
     * @param now Current time; start of the slow start.
     */
    admission(const admission_settings& settings, timestamp now);

    /**
     * @brief Offers a request.
     * @param request The request.
     * @param now Current time.
     * @return The decision.
     */
    [[nodiscard]] admission_decision offer(const admission_request& request, timestamp now);

    /**
     * @brief Ends a request that held a slot.
     * @param id Id of the request.
     * @param outcome How it ended.
     * @param now Current time.
     * @return Ids of the waiting requests that start now.
     */
    [[nodiscard]] std::vector<request_id> finish(request_id id, run_outcome outcome, timestamp now);

    /**
     * @brief Drops waiting requests that can no longer be answered in time; all of them while draining.
     *        Called at least every few milliseconds while requests wait.
     * @param now Current time.
     * @return Ids of the dropped requests. They were not run.
     */
    [[nodiscard]] std::vector<request_id> expire(timestamp now);

    /**
     * @brief Starts waiting requests for which the limit has room. Called after `expire` and with each tick,
     *        because the limit grows with time during a slow start.
     * @param now Current time.
     * @return Ids of the requests that start now.
     */
    [[nodiscard]] std::vector<request_id> start_waiting(timestamp now);

    /**
     * @brief Cancels a request.
     * @param id Id of the request.
     * @return What became of it.
     */
    cancel_outcome cancel(request_id id);

    /**
     * @brief Takes a new announcement. Requests above a lowered number of slots run to their end.
     * @param settings What the target announced. The state `draining` stops new work for good; the next
     *        `expire` or `drain` returns the requests that waited.
     * @param now Current time.
     * @return Ids of the waiting requests that start now.
     */
    [[nodiscard]] std::vector<request_id> announce(const admission_settings& settings, timestamp now);

    /**
     * @brief Stops all new work for good. Requests in flight run to their end.
     * @return Ids of the requests that waited. They were not run.
     */
    [[nodiscard]] std::vector<request_id> drain();

    /**
     * @brief Returns the load for the load header.
     * @param now Current time.
     * @return The load; its slots are the limit in force.
     */
    [[nodiscard]] load_report load(timestamp now) const;

    /**
     * @brief Lists the fingerprints in flight, for the crash quarantine.
     * @return Fingerprints of the requests that hold a slot.
     */
    [[nodiscard]] std::vector<std::uint64_t> fingerprints_in_flight() const;

    /**
     * @brief Checks whether the target drains.
     * @return True after `drain`.
     */
    [[nodiscard]] bool is_draining() const noexcept;

    /**
     * @brief Returns the mean time that recent requests held a slot.
     * @return The time, 0 until the first request has ended.
     */
    [[nodiscard]] microseconds service_time() const noexcept;

private:
    struct running_request {
        timestamp started{};
        std::uint64_t fingerprint{};
    };

    [[nodiscard]] std::uint32_t limit(timestamp now) const;
    [[nodiscard]] bool is_late(const admission_request& request, timestamp now) const noexcept;
    [[nodiscard]] std::deque<admission_request>::iterator next_startable(timestamp now);
    [[nodiscard]] microseconds expected_wait(std::size_t ahead, timestamp now) const;
    [[nodiscard]] admission_decision reject(rejection reason, timestamp now) const;
    void observe(run_outcome outcome, microseconds held, timestamp now);

    admission_settings settings;
    timestamp cold_since;
    bool draining{};
    std::unordered_map<request_id, running_request> running{};
    std::deque<admission_request> waiting{};
    microseconds mean_service{};
    double shed_limit;
    std::optional<timestamp> last_decrease{};
};

} // namespace kumquatdrift

#endif
