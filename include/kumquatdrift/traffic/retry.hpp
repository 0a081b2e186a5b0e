#ifndef KUMQUATDRIFT_TRAFFIC_RETRY_HPP
#define KUMQUATDRIFT_TRAFFIC_RETRY_HPP

#include <cstddef>
#include <cstdint>
#include <optional>

#include <kumquatdrift/config/types.hpp>
#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/core/token_bucket.hpp>
#include <kumquatdrift/core/verdict.hpp>
#include <kumquatdrift/traffic/fwd.hpp>

namespace kumquatdrift {

/*! @brief Retry budget of one service at one entry node. Not synchronised. */
class retry_budget {
public:
    /*! @brief Retries per second that a node may make regardless of the number of calls. */
    static constexpr double floor_per_second = 0.5;
    /*! @brief Maximum number of retries that accumulate. Bounds the burst after a time with few calls. */
    static constexpr double burst = 10.0;

    /**
     * @brief Records a first attempt, which adds to the budget.
     * @param budget_percent Retries allowed as a percentage of calls.
     */
    void on_first_attempt(std::uint32_t budget_percent) noexcept;

    /**
     * @brief Takes one retry from the budget.
     * @param now Current time.
     * @return True if a retry was available.
     */
    [[nodiscard]] bool try_take(timestamp now) noexcept;

private:
    token_bucket tokens{floor_per_second, burst};
};

/*! @brief An attempt that did not end with a complete response, or was rejected. */
struct failed_attempt {
    /*! @brief Number of attempts made so far, this one included. */
    std::uint32_t attempts{1};
    /*! @brief Whether the request may have had an effect. */
    verdict effect{verdict::may_have_run};
    /*! @brief True if at least one byte of the response has been sent to the caller. */
    bool response_started{};
    /*! @brief True if the whole body can be resent, or none of it has been read from the caller. */
    bool body_replayable{true};
    /*! @brief Deadline of the whole call. */
    timestamp deadline{};
    /*! @brief True if the target's node rejected it because of the crash quarantine. The node of another
     *         target may not know the fingerprint yet and would run it. */
    bool quarantined{};
};

/*! @brief Decision on a retry. */
struct retry_decision {
    /*! @brief Delay before the next attempt; nothing if there is none and the caller gets its response at
     * once. */
    std::optional<microseconds> delay{};
};

/**
 * @brief Decides on a retry and takes it from the budget.
 *
 * Only a request that was certainly not run, or an idempotent one without a complete response, is retried.
 * The delay always ends before the deadline; if it would not, the caller gets its response at once.
 *
 * @param route Route of the request.
 * @param attempt The failed attempt.
 * @param budget Budget of the service.
 * @param now Current time.
 * @param rng Random engine.
 * @return The decision.
 */
[[nodiscard]] retry_decision decide_retry(const route_config& route, const failed_attempt& attempt,
                                          retry_budget& budget, timestamp now, random_engine& rng);

/**
 * @brief Computes the `Retry-After` time of a rejection. It does not delay the response itself.
 * @param queued Number of queued requests.
 * @param slots Maximum number of requests that run at the same time, at least 1.
 * @param service_time Mean time for which a request holds a slot.
 * @param rng Random engine; its jitter spreads the retries of callers that were rejected at the same time.
 * @return A time between 0.5 and 1.5 times the expected time to empty the queue, at least 100 ms and at most
 *         30 s. The header takes whole seconds, rounded up.
 */
[[nodiscard]] milliseconds retry_after_for(std::size_t queued, std::uint32_t slots, microseconds service_time,
                                           random_engine& rng);

} // namespace kumquatdrift

#endif
