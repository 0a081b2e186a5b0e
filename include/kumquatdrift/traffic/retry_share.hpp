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

/*! @brief Bound on the repeats of all nodes together, in any window. */
struct retry_bound {
    /*! @brief Repeats as a share of the requests for a service. */
    double ratio{};
    /*! @brief Repeats beyond that share in one window. */
    double extra{};
    /*! @brief Length of the window. */
    microseconds window{};
};

/**
 * @brief This node's part of the bound, by service. Not synchronised.
 *
 * A part uses half of the bound: repeats that a repeated request causes at other services count there too.
 */
class retry_share {
public:
    /*! @brief Part of the bound that is used. */
    static constexpr double used_part = 0.5;

    /**
     * @brief Constructs the share of one of several nodes.
     * @param bound Bound on all nodes.
     */
    explicit retry_share(const retry_bound& bound) noexcept : limit{bound} {}

    /**
     * @brief Counts a first attempt.
     * @param service Service.
     * @param nodes Number of nodes that share the bound.
     */
    void on_request(std::string_view service, std::size_t nodes);

    /**
     * @brief Takes one repeat.
     * @param service Service.
     * @param nodes Number of nodes that share the bound.
     * @param now Current time.
     * @return True if there was one.
     */
    [[nodiscard]] bool try_take(std::string_view service, std::size_t nodes, timestamp now);

private:
    [[nodiscard]] token_bucket& bucket_of(std::string_view service, std::size_t nodes);

    retry_bound limit;
    std::map<std::string, token_bucket, std::less<>> buckets{};
};

} // namespace kumquatdrift

#endif
