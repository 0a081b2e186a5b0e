#ifndef KUMQUATDRIFT_TRAFFIC_VERDICTS_HPP
#define KUMQUATDRIFT_TRAFFIC_VERDICTS_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/verdict.hpp>
#include <kumquatdrift/traffic/fwd.hpp>

namespace kumquatdrift {

/*! @brief Who is at the other end of a hop. */
enum class hop_peer : std::uint8_t {
    /*! @brief The target; the observer is its node. */
    target,
    /*! @brief The target's node; the observer is an entry node. */
    node,
};

/*! @brief How a hop ended. */
enum class hop_end : std::uint8_t {
    /*! @brief A complete answer was received. */
    answered,
    /*! @brief The request was rejected or given up before a connection was tried. */
    not_sent,
    /*! @brief The request waited for a slot until its deadline. */
    queue_timed_out,
    /*! @brief The connection was refused, or the address could not be reached. */
    connect_refused,
    /*! @brief The connection was not established in time. */
    connect_timed_out,
    /*! @brief The peer closed or reset the connection before a complete answer. */
    connection_lost,
    /*! @brief The deadline passed while the request was sent or run, or while the answer was received. */
    timed_out,
    /*! @brief The caller went away or cancelled. */
    cancelled,
    /*! @brief The answer is not valid HTTP. */
    malformed_answer,
};

/*! @brief Names of the ends. */
template<>
struct enum_names<hop_end> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<hop_end, std::string_view>, 9> table{{
        {hop_end::answered, "answered"},
        {hop_end::not_sent, "not_sent"},
        {hop_end::queue_timed_out, "queue_timed_out"},
        {hop_end::connect_refused, "connect_refused"},
        {hop_end::connect_timed_out, "connect_timed_out"},
        {hop_end::connection_lost, "connection_lost"},
        {hop_end::timed_out, "timed_out"},
        {hop_end::cancelled, "cancelled"},
        {hop_end::malformed_answer, "malformed_answer"},
    }};
};

/*! @brief What the sender of a request saw on one hop. */
struct hop_observation {
    /*! @brief Who is at the other end. */
    hop_peer peer{hop_peer::target};
    /*! @brief How the hop ended. */
    hop_end end{hop_end::not_sent};
    /*! @brief Bytes of head and body handed to the socket. */
    std::uint64_t bytes_sent{};
    /*! @brief Status of the answer, if its head was received. Interim (1xx) answers do not count. */
    std::optional<std::uint16_t> status{};
    /*! @brief Text of the verdict header, if the answer has one. */
    std::optional<std::string_view> verdict_text{};
};

/**
 * @brief Derives from an observation whether the request may have had an effect.
 *
 * `not_run` only if no byte reached the peer, or if the peer says so in a complete error answer. An answer
 * that contradicts itself, or a verdict text that is not known, counts as `may_have_run`.
 *
 * @param observation What the sender saw.
 * @return The verdict.
 */
[[nodiscard]] verdict verdict_of(const hop_observation& observation) noexcept;

/**
 * @brief Combines the verdicts of two attempts of one call. The last attempt alone would hide an earlier run.
 * @param earlier Verdict of all earlier attempts.
 * @param latest Verdict of the last attempt.
 * @return The stronger of the two: `ran`, then `may_have_run`, then `not_run`.
 */
[[nodiscard]] verdict combine_verdicts(verdict earlier, verdict latest) noexcept;

/*! @brief Status with which the target's node answers after the target lost the connection in a run. It
 *         answers refusals with 503 and timeouts with 504. */
inline constexpr std::uint16_t target_lost_status = 502;

/**
 * @brief Tells whether the observation suggests that the target died.
 * @param observation What the sender saw.
 * @return True if the target lost the connection after bytes were sent and before a complete answer, or if
 *         the target's node answers with `target_lost_status` and the verdict `may_have_run`.
 */
[[nodiscard]] bool suggests_crash(const hop_observation& observation) noexcept;

/*! @brief Status with which the target's node refuses a request whose fingerprint is in quarantine. */
inline constexpr std::uint16_t quarantined_status = 429;

/**
 * @brief Tells whether the target's node refused the request because of the crash quarantine.
 * @param observation What the entry node saw.
 * @return True if the node answered with `quarantined_status` and the verdict `not_run`.
 */
[[nodiscard]] bool is_quarantine_refusal(const hop_observation& observation) noexcept;

/**
 * @brief Tells whether a connection may carry another request.
 * @param observation What the sender saw.
 * @return True only after a complete answer.
 */
[[nodiscard]] bool is_reusable(const hop_observation& observation) noexcept;

} // namespace kumquatdrift

#endif
