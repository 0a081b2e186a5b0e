#ifndef KUMQUATDRIFT_MEMBERSHIP_ANNOUNCEMENTS_HPP
#define KUMQUATDRIFT_MEMBERSHIP_ANNOUNCEMENTS_HPP

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/membership/types.hpp>

namespace kumquatdrift {

/*! @brief Largest number of targets on one host; keeps the record of the node small enough for a datagram. */
inline constexpr std::size_t max_targets = 16;

/*! @brief Range of the time to live of an announcement. */
inline constexpr milliseconds min_announcement_ttl{500};

/*! @copydoc min_announcement_ttl */
inline constexpr milliseconds max_announcement_ttl{60'000};

/*! @brief A target of this host with the time at which its announcement expires. */
struct announced_target {
    /*! @brief The target as last announced. */
    target_record record{};
    /*! @brief Time at which the announcement expires. */
    timestamp expires_at{};
};

/*! @brief Targets of this host by id. */
struct announcement_table {
    /*! @brief The targets. */
    std::map<std::string, announced_target> targets{};
};

/**
 * @brief Adds, updates or renews the announcement of a target.
 * @param table Table.
 * @param target The target.
 * @param ttl Time to live, between `min_announcement_ttl` and `max_announcement_ttl`.
 * @param now Current time.
 * @return True if the published targets changed, false if the entry was only renewed, or the reason why the
 * announcement is invalid.
 */
[[nodiscard]] result<bool> announce(announcement_table& table, target_record target, milliseconds ttl,
                                    timestamp now);

/**
 * @brief Removes the targets whose announcements have expired.
 * @param table Table.
 * @param now Current time.
 * @return Ids of the removed targets.
 */
[[nodiscard]] std::vector<std::string> remove_expired_announcements(announcement_table& table, timestamp now);

/**
 * @brief Removes a target at its own request.
 * @param table Table.
 * @param id Id of the target.
 * @return True if it was present.
 */
bool withdraw(announcement_table& table, std::string_view id);

/**
 * @brief Returns the targets to publish.
 * @param table Table.
 * @return The records in order of id.
 */
[[nodiscard]] std::vector<target_record> targets_of(const announcement_table& table);

} // namespace kumquatdrift

#endif
