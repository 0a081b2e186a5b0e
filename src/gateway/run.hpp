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

/*! @brief A request to be sent to a target, independent of the node that sends it. */
struct run_order {
    /*! @brief Service that handles the request. */
    std::string service{};
    /*! @brief Id that the caller assigned to this attempt. */
    std::string attempt{};
    /*! @brief HTTP method. */
    std::string method{};
    /*! @brief HTTP request target: path and query. */
    std::string target{};
    /*! @brief End-to-end header fields, each line terminated by CRLF. */
    std::string lines{};
    /*! @brief Request body. */
    std::string body{};
    /*! @brief Earlier of the caller's deadline and the route's timeout. */
    timestamp deadline{};
    /*! @brief Time by which a response meets the latency objective of the route. */
    timestamp objective{};
    /*! @brief Priority; 0 is the highest. */
    std::uint32_t priority{};
    /*! @brief True for a nested call: one made by a target on behalf of a request that it is processing. */
    bool inner{};
    /*! @brief True if the request is idempotent and may be executed more than once. */
    bool repeatable{};
    /*! @brief Service on the host that received the request from its caller. */
    std::string caller_service{};
    /*! @brief For a nested call, a hash of the parent request; 0 for others. */
    std::uint64_t group{};
    /*! @brief Identifies requests of the same content to the crash quarantine. */
    std::uint64_t fingerprint{};
    /*! @brief Mean time, over all targets, for which requests of the route hold a slot; 0 if unknown. */
    microseconds expected{};
};

/*! @brief Shared pointer to an immutable request. */
using run_order_ptr = std::shared_ptr<const run_order>;

/*! @brief Outcome of an attempt. Nodes exchange it as a number, so values are only appended. */
enum class run_end : std::uint8_t {
    /*! @brief The target executed the request and sent a response, of any status. */
    answered,
    /*! @brief The target's node rejected the request without sending it to the target. */
    refused,
    /*! @brief The target declined the request without executing it. */
    shed,
    /*! @brief The connection failed after at least one byte was sent. */
    lost,
    /*! @brief The bytes received are not a valid response of the target. */
    malformed,
    /*! @brief No response arrived before the deadline. */
    timed_out,
    /*! @brief The target's node was unreachable; nothing was sent. */
    unreachable,
};

/*! @brief Outcome names in the log. */
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
 * @brief Determines whether the target may have executed a request.
 * @param end Outcome of the attempt.
 * @return `ran` for a valid response, `not_run` if execution is ruled out, otherwise `may_have_run`.
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
    /*! @brief Outcome of the attempt. */
    run_end end{run_end::refused};
    /*! @brief HTTP status of the response. */
    unsigned status{};
    /*! @brief Reason phrase of the response. */
    std::string reason{};
    /*! @brief End-to-end header fields of the response, each line terminated by CRLF. */
    std::string lines{};
    /*! @brief Response body. */
    std::string body{};
    /*! @brief For a rejection, the estimated time until the queue has capacity. */
    microseconds time_to_room{};
    /*! @brief Load of the target when the attempt ended. */
    target_load load{};
    /*! @brief Cause of the failure, for the log; empty if a response arrived. */
    std::string cause{};
    /*! @brief Instance id of the target. */
    std::string instance{};
    /*! @brief Time for which the request held a slot; set only for `run_end::answered`. */
    microseconds ran{};
};

/*! @brief Cause of a rejection by a node whose queue can't serve the request in time. */
inline constexpr const char* queue_full = "queue_full";

/*! @brief Receives the result of an attempt. Called at most once. */
using attempt_callback = std::function<void(run_result)>;

} // namespace kumquatdrift

#endif
