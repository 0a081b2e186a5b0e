#include <kumquatdrift/mesh/report_order.hpp>

#include <algorithm>

namespace kumquatdrift {
namespace {

/*! @brief Report intervals without a report of the known incarnation after which another one may replace it.
 */
constexpr double max_silent_intervals = 1.6;
/*! @brief Report intervals between the first and a later report of an incarnation that replaces the known
 * one. */
constexpr double min_contending_intervals = 0.5;

/*! @brief Time by which the interval between two reports may be shorter, in report intervals. */
constexpr double report_jitter_intervals = 0.25;

microseconds scaled(microseconds interval, double count)
{
    return std::chrono::duration_cast<microseconds>(interval * count);
}

bool is_silent(const report_history& history, microseconds interval, timestamp now)
{
    return !history.known_at || now - *history.known_at > scaled(interval, max_silent_intervals);
}

/*! @brief Returns true once an incarnation has gone on reporting while the known one was silent. */
bool outlasts_known(report_history& history, const target_report& report, microseconds interval,
                    timestamp now)
{
    auto& contender = history.contender;
    // A late report with a higher sequence number must not hold up the incarnation whose numbers start anew.
    if (!contender || contender->instance != report.instance || contender->started_ms != report.started_ms ||
        report.sequence < contender->sequence) {
        contender = {report.instance, report.started_ms, report.sequence, now, now};
        return false;
    }
    if (report.sequence == contender->sequence) {
        return false;
    }
    contender->sequence = report.sequence;
    contender->at = now;
    return is_silent(history, interval, now) &&
           now - contender->since >= scaled(interval, min_contending_intervals);
}

/*! @brief Checks whether a report follows that of the contender. If the contender's was a late one of the
 * known incarnation, the number of reports in between exceeds that of the intervals. */
bool follows_contender(const report_history& history, const target_report& report, microseconds interval,
                       timestamp now)
{
    const auto& contender = history.contender;
    if (!contender || contender->instance != report.instance || contender->started_ms != report.started_ms ||
        report.sequence <= contender->sequence) {
        return false;
    }
    const auto intervals =
        std::chrono::duration<double>{now - contender->at} / std::chrono::duration<double>{interval};
    return static_cast<double>(report.sequence - contender->sequence) <=
           std::max(intervals + report_jitter_intervals, 1.0);
}

/*! @brief Orders a report with the id and the start of the known one. */
report_order order_same_start(report_history& history, const target_report& known,
                              const target_report& report, microseconds interval, timestamp now)
{
    const auto is_later = report.sequence > known.sequence || (!history.known_at && !history.contender);
    const auto has_left = is_leave(known.state);
    if (report.started_ms == 0) {
        return is_later ? report_order::newer : report_order::outdated;
    }
    if (report.state == report_state::gone) {
        return report_order::leave;
    }
    if (has_left && report.state == report_state::draining) {
        history.contender.reset();
    }
    const auto contends =
        is_later ? follows_contender(history, report, interval, now)
                 : report.sequence < known.sequence || has_left || is_silent(history, interval, now);
    if (!contends || (has_left && report.state != report_state::ready)) {
        return is_later ? report_order::newer : report_order::outdated;
    }
    if (outlasts_known(history, report, interval, now)) {
        return report_order::restarted;
    }
    // A leave that isn't applied must not be acknowledged.
    return is_silent(history, interval, now) || report.state == report_state::draining
               ? report_order::undecided
               : report_order::outdated;
}

report_order decide(report_history& history, const target_report& known, const target_report& report,
                    microseconds interval, timestamp now)
{
    if (known.instance.empty()) {
        return report_order::newer;
    }
    const auto same_id = report.instance == known.instance;
    if (report.started_ms == 0 && report.state == report_state::gone) {
        return same_id ? report_order::leave : report_order::outdated;
    }
    if (report.started_ms == 0 && history.start_stated) {
        return report_order::nameless;
    }
    if (same_id && report.started_ms == known.started_ms) {
        return order_same_start(history, known, report, interval, now);
    }
    if (same_id && known.started_ms == 0) {
        return report_order::newer;
    }
    // Equal starts of two ids don't order them where the time of day is coarse.
    const auto is_unordered = report.started_ms == known.started_ms && report.started_ms > 0;
    if (report.started_ms >= known.started_ms && (!is_unordered || is_leave(known.state))) {
        return report_order::replaces;
    }
    return outlasts_known(history, report, interval, now) ? report_order::replaces : report_order::undecided;
}

} // namespace

void contest_known(report_history& history, target_report& known, std::uint64_t left_sequence, timestamp now)
{
    history.contender = {known.instance, known.started_ms, known.sequence, now, now};
    history.known_at.reset();
    known.sequence = left_sequence;
}

report_order order_report(report_history& history, const target_report& known, const target_report& report,
                          microseconds interval, timestamp now)
{
    const auto order = decide(history, known, report, interval, now);
    history.start_stated = history.start_stated || report.started_ms > 0;
    if (order == report_order::newer || order == report_order::replaces || order == report_order::leave) {
        history.contender.reset();
        history.known_at = now;
    }
    return order;
}

} // namespace kumquatdrift
