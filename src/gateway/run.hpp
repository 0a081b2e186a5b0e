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
struct target_request {
    /*! @brief Service that handles the request. */
    std::string service{};
    /*! @brief Id that the caller assigned to this attempt. */
    std::string attempt_id{};
    /*! @brief HTTP method. */
    std::string method{};
    /*! @brief HTTP request target: path and query. */
    std::string request_target{};
    /*! @brief End-to-end header fields, each line terminated by CRLF. */
    std::string header_lines{};
    /*! @brief Request body. */
    std::string body{};
    /*! @brief Earlier of the caller's deadline and the route's timeout. */
    timestamp deadline{};
    /*! @brief Time by which a response meets the latency objective of the route. */
    timestamp objective{};
    /*! @brief Priority; 0 is the highest. */
    std::uint32_t priority{};
    /*! @brief True for a nested call: one made by a target on behalf of a request that it is processing. */
    bool nested{};
    /*! @brief True if the request is idempotent and may be executed more than once. */
    bool idempotent{};
    /*! @brief Service on the host that received the request from its caller. */
    std::string caller_service{};
    /*! @brief Name of the client account to which the request belongs; empty if it has none. */
    std::string account{};
    /*! @brief For a nested call, a hash of the parent request's attempt id; 0 for others. */
    std::uint64_t parent_hash{};
    /*! @brief Identifies requests of the same content to the crash quarantine. */
    std::uint64_t fingerprint{};
    /*! @brief Mean time, over all targets, for which requests of the route hold a slot; 0 if unknown. */
    microseconds expected_service_time{};
    /*! @brief Hash of the name of its route; 0 if unknown. */
    std::uint32_t route_hash{};
};

/*! @brief Shared pointer to an immutable request. */
using target_request_ptr = std::shared_ptr<const target_request>;

/*! @brief Outcome of an attempt. Nodes exchange it as a number, so values are only appended. */
enum class attempt_outcome : std::uint8_t {
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
struct enum_names<attempt_outcome> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<attempt_outcome, std::string_view>, 7> table{{
        {attempt_outcome::answered, "answered"},
        {attempt_outcome::refused, "refused"},
        {attempt_outcome::shed, "shed"},
        {attempt_outcome::lost, "lost"},
        {attempt_outcome::malformed, "malformed"},
        {attempt_outcome::timed_out, "timed_out"},
        {attempt_outcome::unreachable, "unreachable"},
    }};
};

/**
 * @brief Determines whether the target may have executed a request.
 * @param outcome Outcome of the attempt.
 * @return `ran` for a valid response, `not_run` if execution is ruled out, otherwise `may_have_run`.
 */
[[nodiscard]] constexpr verdict verdict_of(attempt_outcome outcome) noexcept
{
    switch (outcome) {
    case attempt_outcome::answered:
        return verdict::ran;
    case attempt_outcome::refused:
    case attempt_outcome::shed:
    case attempt_outcome::unreachable:
        return verdict::not_run;
    case attempt_outcome::lost:
    case attempt_outcome::malformed:
    case attempt_outcome::timed_out:
        break;
    }
    return verdict::may_have_run;
}

/*! @brief Result of an attempt. */
struct attempt_result {
    /*! @brief Outcome of the attempt. */
    attempt_outcome outcome{attempt_outcome::refused};
    /*! @brief HTTP status of the response. */
    unsigned status{};
    /*! @brief Reason phrase of the response. */
    std::string reason{};
    /*! @brief End-to-end header fields of the response, each line terminated by CRLF. */
    std::string header_lines{};
    /*! @brief Response body. */
    std::string body{};
    /*! @brief For a rejection, the estimated time until a request offered now could start. */
    microseconds time_to_free_slot{};
    /*! @brief Load of the target when the attempt ended. */
    target_load load{};
    /*! @brief Cause of the failure, for the log; empty if a response arrived. */
    std::string cause{};
    /*! @brief Instance id of the target. */
    std::string instance{};
    /*! @brief Start of the incarnation of this host's target in Unix milliseconds; 0 if unknown, or of
     * another host. */
    std::uint64_t target_started_ms{};
    /*! @brief Time for which the request held a slot; set only for `attempt_outcome::answered`. */
    microseconds service_time{};
};

/*! @brief Cause of a rejection by a node whose queue can't serve the request in time. */
inline constexpr const char* queue_full_cause = "queue_full";

/*! @brief Cause of a rejection of a queued request that can no longer be answered in time. */
inline constexpr const char* waited_too_long_cause = "waited_too_long";

/*! @brief Cause of a rejection by an entry node that expects no target to respond in time. */
inline constexpr const char* no_room_cause = "no_room";

/*! @brief Cause of a rejection by a node that holds too many bytes for others. */
inline constexpr const char* memory_full_cause = "memory_full";

/*! @brief Receives the result of an attempt. Called at most once. */
using attempt_callback = std::function<void(attempt_result)>;

} // namespace kumquatdrift

#endif
