#ifndef KUMQUATDRIFT_TRAFFIC_CAP_TOKENS_HPP
#define KUMQUATDRIFT_TRAFFIC_CAP_TOKENS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/traffic/usage_caps.hpp>

namespace kumquatdrift {

/**
 * @brief Tokens of one account that an entry node has got from the home node, and its request for more. Not
 * synchronised, reads no clock.
 */
class cap_tokens {
public:
    /*! @brief Time without a response of the home node after which waiting requests are refused. */
    static constexpr microseconds response_timeout{150'000};

    /**
     * @brief Uses a token for a request.
     * @param now Current time.
     * @return True if there is one.
     */
    [[nodiscard]] bool try_use(timestamp now);

    /**
     * @brief Returns what the home node has responded lately if it had no token left.
     * @param now Current time.
     * @return Response; nothing if the home node has to be asked.
     */
    [[nodiscard]] std::optional<cap_grant> refusal(timestamp now) const;

    /**
     * @brief Records that the home node is asked.
     * @param waiting Number of requests that wait for a token.
     * @param now Current time.
     * @return Number of tokens to ask for; 0 if an earlier request is outstanding.
     */
    [[nodiscard]] std::uint32_t ask(std::size_t waiting, timestamp now);

    /**
     * @brief Returns the number of the outstanding request to the home node.
     * @return Number; 0 if there is none.
     */
    [[nodiscard]] std::uint32_t outstanding() const noexcept
    {
        return this->asked_at ? this->number : 0;
    }

    /**
     * @brief Records the response of the home node.
     * @param answered Number of the request; the response is ignored unless it is outstanding.
     * @param grant Response.
     * @param now Current time.
     * @return True if it was outstanding.
     */
    bool on_grant(std::uint32_t answered, const cap_grant& grant, timestamp now);

    /**
     * @brief Ends the outstanding request if its response is overdue.
     * @param now Current time.
     * @return True if so.
     */
    [[nodiscard]] bool expire(timestamp now);

private:
    struct batch {
        std::uint32_t count{};
        timestamp expires{};
    };

    /*! @brief Tokens in the order in which they expire. */
    std::vector<batch> batches{};
    std::uint32_t number{};
    std::optional<timestamp> asked_at{};
    cap_grant refused{};
    timestamp refused_until{};
    /*! @brief Requests admitted in the current interval and in the one before. */
    std::uint32_t admitted{};
    std::uint32_t admitted_before{};
    timestamp interval_start{};
};

} // namespace kumquatdrift

#endif
