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

/*! @brief Kind of peer at the other end of a hop. */
enum class hop_peer : std::uint8_t {
    /*! @brief The target; the observer is its node. */
    target,
    /*! @brief The target's node; the observer is an entry node. */
    node,
};

/*! @brief End of the exchange of one request on one hop. */
enum class hop_end : std::uint8_t {
    /*! @brief A complete response was received. */
    answered,
    /*! @brief The request was rejected or abandoned before a connection attempt. */
    not_sent,
    /*! @brief The request was queued for a slot until its deadline. */
    queue_timed_out,
    /*! @brief The connection was refused, or the address was unreachable. */
    connect_refused,
    /*! @brief The connection was not established in time. */
    connect_timed_out,
    /*! @brief The peer closed or reset the connection before a complete response. */
    connection_lost,
    /*! @brief The deadline passed while the request was sent or run, or while the response was received. */
    timed_out,
    /*! @brief The caller disconnected or cancelled the request. */
    cancelled,
    /*! @brief The response is not valid HTTP. */
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

/*! @brief Outcome of a request on one hop, as the sender observed it. */
struct hop_observation {
    /*! @brief Kind of peer at the other end. */
    hop_peer peer{hop_peer::target};
    /*! @brief How the hop ended. */
    hop_end end{hop_end::not_sent};
    /*! @brief Bytes of head and body written to the socket. */
    std::uint64_t bytes_sent{};
    /*! @brief Status of the response, if its head was received. Interim (1xx) responses are ignored. */
    std::optional<std::uint16_t> status{};
    /*! @brief Value of the verdict header, if the response has one. */
    std::optional<std::string_view> verdict_text{};
};

/**
 * @brief Derives from an observation whether the request may have had an effect.
 *
 * It is `not_run` only if no byte was sent to the peer, or if the peer says so in a complete error response.
 * A response that contradicts itself, or an unknown verdict text, results in `may_have_run`.
 *
 * @param observation Outcome of the hop.
 * @return The verdict.
 */
[[nodiscard]] verdict verdict_of(const hop_observation& observation) noexcept;

/**
 * @brief Combines the verdicts of two attempts of one call. The verdict of the last attempt alone would
 *        hide that an earlier one ran.
 * @param earlier Verdict of all earlier attempts.
 * @param latest Verdict of the last attempt.
 * @return The stronger of the two: `ran`, then `may_have_run`, then `not_run`.
 */
[[nodiscard]] verdict combine_verdicts(verdict earlier, verdict latest) noexcept;

/*! @brief Status with which the target's node responds after the connection to the target was lost during a
 *         request. It uses 503 for rejections other than by the quarantine, and 504 for timeouts. */
inline constexpr std::uint16_t target_lost_status = 502;

/**
 * @brief Checks whether the observation suggests that the target crashed.
 * @param observation Outcome of the hop.
 * @return True if the connection to the target was lost after bytes were sent and before a complete response,
 *         or if the target's node responds with `target_lost_status` and the verdict `may_have_run`.
 */
[[nodiscard]] bool suggests_crash(const hop_observation& observation) noexcept;

/*! @brief Status with which the target's node rejects a request whose fingerprint is in quarantine. */
inline constexpr std::uint16_t quarantined_status = 429;

/**
 * @brief Checks whether the target's node rejected the request because of the crash quarantine.
 * @param observation Outcome of the hop.
 * @return True if the node responded with `quarantined_status` and the verdict `not_run`.
 */
[[nodiscard]] bool is_quarantine_rejection(const hop_observation& observation) noexcept;

/**
 * @brief Checks whether the connection can be reused for another request.
 * @param observation Outcome of the hop.
 * @return True only after a complete response.
 */
[[nodiscard]] bool is_reusable(const hop_observation& observation) noexcept;

} // namespace kumquatdrift

#endif
