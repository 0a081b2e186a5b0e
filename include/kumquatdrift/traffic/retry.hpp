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
    /*! @brief Retries per second that a node may make without any calls to feed the budget. */
    static constexpr double floor_per_second = 0.5;
    /*! @brief Largest number of retries that can be saved up. Bounds the burst after a quiet time. */
    static constexpr double burst = 10.0;

    /**
     * @brief Counts a first attempt, which feeds the budget.
     * @param budget_percent Retries allowed as a share of calls, in percent.
     */
    void on_call(std::uint32_t budget_percent) noexcept;

    /**
     * @brief Takes one retry from the budget.
     * @param now Current time.
     * @return True if there was one.
     */
    [[nodiscard]] bool try_take(timestamp now) noexcept;

private:
    token_bucket tokens{floor_per_second, burst};
};

/*! @brief An attempt that did not end with a complete answer, or was refused. */
struct failed_attempt {
    /*! @brief Number of attempts made so far, this one included. */
    std::uint32_t attempts{1};
    /*! @brief Whether the request may have had an effect. */
    verdict effect{verdict::may_have_run};
    /*! @brief True if a byte of the answer has gone to the caller. */
    bool answer_started{};
    /*! @brief True if the whole body can be sent again, or none of it has been read from the caller. */
    bool body_replayable{true};
    /*! @brief Deadline of the whole call. */
    timestamp deadline{};
    /*! @brief True if the target's node refused it because of the crash quarantine. The node of another
     * target may not know the fingerprint yet and would run it. */
    bool quarantined{};
};

/*! @brief Whether to try again. */
struct retry_decision {
    /*! @brief Time to wait before the next attempt; nothing to give up and answer the caller at once. */
    std::optional<microseconds> delay{};
};

/**
 * @brief Decides on a retry and takes it from the budget.
 *
 * Only a request that was certainly not run, or an idempotent one that has no complete answer, is retried.
 * The delay never reaches the deadline: a caller whose time runs out gets its answer at once.
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
 * @brief Computes the `Retry-After` time of a refusal. It never holds back an answer.
 * @param queued Requests that wait.
 * @param slots Requests that run at the same time, at least 1.
 * @param service_time Mean time that a request holds a slot.
 * @param rng Random engine; spreads callers that were refused together.
 * @return A time between 0.5 and 1.5 times the expected time to empty the queue, at least 100 ms and at most
 *         30 s. The header takes whole seconds, rounded up.
 */
[[nodiscard]] milliseconds retry_after_for(std::size_t queued, std::uint32_t slots, microseconds service_time,
                                           random_engine& rng);

} // namespace kumquatdrift

#endif
