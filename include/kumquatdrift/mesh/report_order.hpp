#ifndef KUMQUATDRIFT_MESH_REPORT_ORDER_HPP
#define KUMQUATDRIFT_MESH_REPORT_ORDER_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/mesh/members.hpp>

namespace kumquatdrift {

/*! @brief What a report is relative to those that have been applied. */
enum class report_order : std::uint8_t {
    /*! @brief The first one, or a later one of the same incarnation. */
    newer,
    /*! @brief The first one of an incarnation that replaces the known one. */
    replaces,
    /*! @brief A leave without a start; it binds the known incarnation. */
    leave,
    /*! @brief Older than one that has been applied. */
    outdated,
    /*! @brief Either late, or of a target whose start doesn't order it, because its clock is coarse or went
     * back. */
    undecided,
    /*! @brief Of a later incarnation under the id and the start of the known one: its sequence numbers
     * started anew and went on. */
    restarted,
    /*! @brief Without a start, although targets of this host state theirs; it names no target. */
    nameless,
};

/*! @brief Names in the log. */
template<>
struct enum_names<report_order> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<report_order, std::string_view>, 7> table{{
        {report_order::newer, "newer"},
        {report_order::replaces, "replaces"},
        {report_order::leave, "leave"},
        {report_order::outdated, "outdated"},
        {report_order::undecided, "undecided"},
        {report_order::restarted, "restarted"},
        {report_order::nameless, "nameless"},
    }};
};

/*! @brief What has been observed of the reports on a host. */
struct report_history {
    /*! @brief True once a target has stated its start; from then on, a report without one names no target. */
    bool start_stated{};
    /*! @brief Time of the last report of the known incarnation; nothing before the first. */
    std::optional<timestamp> known_at{};
    /*! @brief An incarnation that may be later than the known one, although its start isn't. */
    struct contending_incarnation {
        std::string instance{};
        std::uint64_t started_ms{};
        std::uint64_t sequence{};
        timestamp since{};
        /*! @brief Time of its last report. */
        timestamp at{};
    };
    /*! @brief The last such incarnation; nothing if the known one has reported since. */
    std::optional<contending_incarnation> contender{};
};

/**
 * @brief Checks whether a report changes what is known of the target.
 * @param order What the report is.
 * @return True if it does.
 */
[[nodiscard]] constexpr bool is_applied(report_order order) noexcept
{
    return order == report_order::newer || order == report_order::replaces || order == report_order::leave ||
           order == report_order::restarted;
}

/**
 * @brief Checks whether a report is to be acknowledged: not if it names no target, or may be one that is not
 * applied although it is the newest.
 * @param order What the report is.
 * @return True if it is to be acknowledged.
 */
[[nodiscard]] constexpr bool is_acknowledged(report_order order) noexcept
{
    return is_applied(order) || order == report_order::outdated;
}

/**
 * @brief Records that the report in force is either late or of an incarnation after one that has left, whose
 * last sequence number wasn't known when it was ordered.
 * @param history What has been observed; updated.
 * @param known Report in force; gets the sequence number of the incarnation that left.
 * @param left_sequence That number.
 * @param now Current time.
 */
void contest_known(report_history& history, target_report& known, std::uint64_t left_sequence, timestamp now);

/**
 * @brief Decides what a report is relative to those that have been applied.
 *
 * An incarnation whose start is not later replaces the known one only if it goes on reporting while the known
 * one is silent: a late report does not repeat itself. Under the same id and start, a sequence number that
 * fell is what tells a later incarnation; its reports are those that follow as fast as reports are sent.
 *
 * @param history What has been observed; updated.
 * @param known Report in force; its `instance` is empty if there is none.
 * @param report Report.
 * @param interval Interval at which targets report.
 * @param now Current time.
 * @return Decision.
 */
[[nodiscard]] report_order order_report(report_history& history, const target_report& known,
                                        const target_report& report, microseconds interval, timestamp now);

} // namespace kumquatdrift

#endif
