#ifndef KUMQUATDRIFT_NODE_MAPPING_HPP
#define KUMQUATDRIFT_NODE_MAPPING_HPP

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/distribution/service.hpp>
#include <kumquatdrift/log/http.hpp>
#include <kumquatdrift/membership/service.hpp>
#include <kumquatdrift/membership/settings.hpp>
#include <kumquatdrift/proxy/settings.hpp>
#include <kumquatdrift/settings/daemon_settings.hpp>

namespace kumquatdrift::internal {

/*! @brief Returns the settings of the log client. */
[[nodiscard]] http_log_settings log_settings_of(const daemon_settings& settings);

/*! @brief Returns the settings of the membership module. */
[[nodiscard]] membership_settings membership_settings_of(const daemon_settings& settings);

/**
 * @brief Makes the start time of a process. Two processes of a node, of which members keep the later one,
 * differ by it even if the wall clock shows both the same time.
 * @param epoch_us Wall clock in microseconds since the epoch.
 * @param rng Random numbers.
 * @return Time in microseconds since the epoch, later by less than a second.
 */
[[nodiscard]] std::uint64_t make_start_time(std::uint64_t epoch_us, random_engine& rng);

/*! @brief Returns the identity of this node, with the current time as its start time. */
[[nodiscard]] member_identity identity_of(const daemon_settings& settings);

/*! @brief Returns the settings of the distribution service. */
[[nodiscard]] distribution_settings distribution_settings_of(const daemon_settings& settings);

/*! @brief Returns the settings of the proxy. */
[[nodiscard]] proxy_settings proxy_settings_of(const daemon_settings& settings);

/*! @brief Returns the address and limits of the admin listener. */
[[nodiscard]] listener_limits admin_limits_of(const daemon_settings& settings);

/**
 * @brief Reads the wall clock.
 * @return Microseconds since the epoch.
 */
[[nodiscard]] std::uint64_t epoch_now_us();

} // namespace kumquatdrift::internal

#endif
