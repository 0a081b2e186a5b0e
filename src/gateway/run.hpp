#ifndef KUMQUATDRIFT_GATEWAY_RUN_HPP
#define KUMQUATDRIFT_GATEWAY_RUN_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/core/verdict.hpp>
#include <kumquatdrift/mesh/config.hpp>
#include <kumquatdrift/mesh/members.hpp>

namespace kumquatdrift {

/*! @brief A request on its way to a target. */
struct run_order {
    /*! @brief Service that is to run it. */
    std::string service{};
    /*! @brief Id that the caller gave it. */
    std::string attempt{};
    /*! @brief Method. */
    std::string method{};
    /*! @brief Path with query. */
    std::string target{};
    /*! @brief End-to-end header lines. */
    std::string lines{};
    /*! @brief Body. */
    std::string body{};
    /*! @brief Time at which the caller gives up, or the route's timeout. */
    timestamp deadline{};
    /*! @brief Time until which an answer is in time. */
    timestamp objective{};
    /*! @brief Rank, 0 is the most urgent. */
    std::uint32_t priority{};
    /*! @brief True for a call of a request that already runs. */
    bool inner{};
    /*! @brief True if it may run more than once. */
    bool repeatable{};
    /*! @brief Service on the host where it began. */
    std::string caller_service{};
    /*! @brief For a call of a request that already runs, a hash of that request. */
    std::uint64_t group{};
    /*! @brief Tells requests apart that may crash targets. */
    std::uint64_t fingerprint{};
    /*! @brief Time for which requests of its route hold a slot, on the mean of all targets; 0 if unknown. */
    microseconds expected{};
};

/*! @brief Shared reference to an order. */
using run_order_ptr = std::shared_ptr<const run_order>;

/*! @brief How an attempt to run a request ended. Sent as a number between nodes: append only. */
enum class run_end : std::uint8_t {
    /*! @brief The target answered, with success or failure. */
    answered,
    /*! @brief The target's node did not hand it to the target. */
    refused,
    /*! @brief The target said that it did not run it. */
    shed,
    /*! @brief The connection broke after a byte was sent. */
    lost,
    /*! @brief What came back is not an answer of the target. */
    malformed,
    /*! @brief The target did not answer in time. */
    timed_out,
    /*! @brief The target's node could not be reached; nothing was sent. */
    unreachable,
};

/*! @brief Names of the ends, as logged. */
template<>
struct enum_names<run_end> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<run_end, std::string_view>, 7> table{{
        {run_end::answered, "answered"},
        {run_end::refused, "refused"},
        {run_end::shed, "shed"},
        {run_end::lost, "lost"},
        {run_end::malformed, "malformed"},
        {run_end::timed_out, "timed_out"},
        {run_end::unreachable, "unreachable"},
    }};
};

/**
 * @brief Tells whether a request may have run.
 * @param end How the attempt ended.
 * @return Verdict.
 */
[[nodiscard]] constexpr verdict verdict_of(run_end end) noexcept
{
    switch (end) {
    case run_end::answered:
        return verdict::ran;
    case run_end::refused:
    case run_end::shed:
    case run_end::unreachable:
        return verdict::not_run;
    case run_end::lost:
    case run_end::malformed:
    case run_end::timed_out:
        break;
    }
    return verdict::may_have_run;
}

/*! @brief Result of an attempt. */
struct run_result {
    /*! @brief How it ended. */
    run_end end{run_end::refused};
    /*! @brief Status of the answer. */
    unsigned status{};
    /*! @brief Reason phrase of the answer. */
    std::string reason{};
    /*! @brief End-to-end header lines of the answer. */
    std::string lines{};
    /*! @brief Body of the answer. */
    std::string body{};
    /*! @brief For a refusal, the time until room is expected. */
    microseconds time_to_room{};
    /*! @brief Load of the target afterwards. */
    target_load load{};
    /*! @brief Cause of an end without answer, for the log. */
    std::string cause{};
    /*! @brief Id of the target. */
    std::string instance{};
    /*! @brief Time for which it held a slot, 0 if it did not run. */
    microseconds ran{};
};

/*! @brief Cause of a refusal by a node whose target has no room in time. */
inline constexpr const char* queue_full = "queue_full";

/*! @brief Receives the result of an attempt, once. */
using run_callback = std::function<void(run_result)>;

} // namespace kumquatdrift

#endif
