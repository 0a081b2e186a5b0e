#ifndef KUMQUATDRIFT_CLAIMS_PORT_HPP
#define KUMQUATDRIFT_CLAIMS_PORT_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <kumquatdrift/claims/fwd.hpp>
#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/*! @brief Outcome of a claim on an idempotency key. */
enum class claim_outcome : std::uint8_t {
    /*! @brief This attempt holds the key and may run the request once. */
    granted,
    /*! @brief An earlier attempt completed; its response is stored. */
    completed,
    /*! @brief An earlier attempt holds the key; its request may have run. */
    claimed,
    /*! @brief The claim was not decided in time; the request must not run under it. */
    unavailable,
};

/*! @brief Names of the claim outcomes. */
template<>
struct enum_names<claim_outcome> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<claim_outcome, std::string_view>, 4> table{{
        {claim_outcome::granted, "granted"},
        {claim_outcome::completed, "completed"},
        {claim_outcome::claimed, "claimed"},
        {claim_outcome::unavailable, "unavailable"},
    }};
};

/*! @brief HTTP response of a target, stored with a completed claim. */
struct stored_response {
    /*! @brief HTTP status code. */
    std::uint16_t status{};
    /*! @brief Content type. */
    std::string content_type{};
    /*! @brief Body. Absent if it was too large to be stored or has been evicted. */
    std::optional<std::string> body{};
};

/*! @brief A claim on an idempotency key. */
struct claim_request {
    /*! @brief Name of the route. */
    std::string route{};
    /*! @brief Idempotency key sent by the caller. */
    std::string key{};
    /*! @brief Id of the attempt, unique in the mesh. */
    std::string attempt{};
    /*! @brief Time after which the caller no longer needs a decision. */
    timestamp deadline{};
};

/*! @brief Decision on a claim. */
struct claim_result {
    /*! @brief Outcome. */
    claim_outcome outcome{claim_outcome::unavailable};
    /*! @brief Stored response. Present only if the outcome is `completed`. */
    std::optional<stored_response> response{};
    /*! @brief Suggested delay before the caller retries. */
    milliseconds retry_after{1'000};
    /*! @brief Reason if the outcome is `unavailable`. */
    std::string reason{};
};

/*! @brief Interface to the claims on idempotency keys. All members may be called from any thread. */
struct claim_port {
    /*! @brief Claims a key. Blocks until the claim is decided or its deadline passes. */
    std::function<claim_result(const claim_request&)> claim{};
    /*! @brief Stores the response to the attempt that holds the key. Does not block. */
    std::function<void(const claim_request&, stored_response)> complete{};
    /*! @brief Releases the key. Only for an attempt that certainly was not run. Does not block. */
    std::function<void(const claim_request&)> release{};
};

} // namespace kumquatdrift

#endif
