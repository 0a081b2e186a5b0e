#ifndef KUMQUATDRIFT_TRAFFIC_RETRY_SHARE_HPP
#define KUMQUATDRIFT_TRAFFIC_RETRY_SHARE_HPP

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/core/token_bucket.hpp>
#include <kumquatdrift/traffic/fwd.hpp>

namespace kumquatdrift {

/*! @brief Bound on the retries of all nodes together, in any window. */
struct retry_bound {
    /*! @brief Retries as a fraction of the requests for a service. */
    double ratio{};
    /*! @brief Additional retries in one window. */
    double extra{};
    /*! @brief Length of the window. */
    microseconds window{};
};

/**
 * @brief One node's share of the retry bound, with a token bucket for each service. Not synchronised.
 *
 * The nodes use only half of the bound, because the calls that a retried request makes to other services
 * count as retries there too.
 */
class retry_share {
public:
    /*! @brief Fraction of the bound that the nodes use. */
    static constexpr double used_fraction = 0.5;

    /**
     * @brief Constructs the share of one node.
     * @param bound Bound on all nodes together.
     */
    explicit retry_share(const retry_bound& bound) noexcept : total_bound{bound} {}

    /**
     * @brief Records a first attempt, which adds to the tokens of the service.
     * @param service Name of the service.
     * @param nodes Number of nodes that share the bound; only the first call for the service uses it.
     */
    void on_request(std::string_view service, std::size_t nodes);

    /**
     * @brief Takes the token for one retry.
     * @param service Name of the service.
     * @param nodes Number of nodes that share the bound; only the first call for the service uses it.
     * @param now Current time.
     * @return True if a token was available.
     */
    [[nodiscard]] bool try_take(std::string_view service, std::size_t nodes, timestamp now);

private:
    [[nodiscard]] token_bucket& bucket_of(std::string_view service, std::size_t nodes);

    retry_bound total_bound;
    std::map<std::string, token_bucket, std::less<>> buckets{};
};

} // namespace kumquatdrift

#endif
