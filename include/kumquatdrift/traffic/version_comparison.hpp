#ifndef KUMQUATDRIFT_TRAFFIC_VERSION_COMPARISON_HPP
#define KUMQUATDRIFT_TRAFFIC_VERSION_COMPARISON_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/*! @brief Number of classes of service times, four to the octave, from 1 ms. */
constexpr std::size_t service_time_classes = 64;
/*! @brief Number of groups of targets of the new version. A fault of one target shows in one group only. */
constexpr std::size_t target_groups = 2;

/*! @brief Counters of the outcomes of requests; they only grow. */
struct outcome_counts {
    /*! @brief Requests that failed. */
    std::uint64_t failed{};
    /*! @brief Requests that succeeded. */
    std::uint64_t succeeded{};
    /*! @brief Successful requests by class of service time, without those of targets that have just started.
     */
    std::array<std::uint32_t, service_time_classes> by_time{};

    /*! @brief Compares all counters. */
    [[nodiscard]] friend bool operator==(const outcome_counts&, const outcome_counts&) noexcept = default;
};

/*! @brief Outcomes of the requests of one route. */
struct route_outcomes {
    /*! @brief Outcomes of the versions that the new one replaces. */
    outcome_counts previous{};
    /*! @brief Outcomes of the new version by group of its targets. */
    std::array<outcome_counts, target_groups> target{};
};

/*! @brief Outcomes by route. */
using version_outcomes = std::map<std::string, route_outcomes, std::less<>>;

/**
 * @brief Counts a successful request.
 * @param counts Counters; updated.
 * @param service_time Time for which it held a slot.
 * @param cold True if the target is in the slow phase after its start; the time is not counted then.
 */
void record_success(outcome_counts& counts, microseconds service_time, bool cold) noexcept;

/**
 * @brief Adds what counters have grown by.
 * @param sum Outcomes to which the growth is added.
 * @param newer Counters of a process.
 * @param older Earlier counters of the same process; empty for the first ones.
 */
void add_growth(version_outcomes& sum, const version_outcomes& newer, const version_outcomes& older);

/*! @brief What the outcomes show about the new version. */
enum class version_verdict : std::uint8_t {
    /*! @brief Neither of the others so far. */
    undecided,
    /*! @brief Enough outcomes, and no suspicion. */
    good,
    /*! @brief Fails more often or is slower than the versions that it replaces. */
    bad,
};

/*! @brief Names of the verdicts, as logged. */
template<>
struct enum_names<version_verdict> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<version_verdict, std::string_view>, 3> table{{
        {version_verdict::undecided, "undecided"},
        {version_verdict::good, "good"},
        {version_verdict::bad, "bad"},
    }};
};

/*! @brief What is compared. */
enum class compared_outcome : std::uint8_t {
    /*! @brief Share of the requests that fail. */
    failures,
    /*! @brief Share of the successful requests that take several times as long as those of the previous
     * versions. */
    slow_responses,
};

/*! @brief Names of the compared outcomes, as logged. */
template<>
struct enum_names<compared_outcome> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<compared_outcome, std::string_view>, 2> table{{
        {compared_outcome::failures, "failures"},
        {compared_outcome::slow_responses, "slow_responses"},
    }};
};

/*! @brief The figures that come closest to a verdict against the new version. */
struct comparison_figures {
    /*! @brief What was compared. */
    compared_outcome outcome{};
    /*! @brief Route; empty for all routes together. */
    std::string route{};
    /*! @brief Log likelihood ratio that a version is bad; `bad_version_evidence` is enough. */
    double evidence{};
    /*! @brief Share of the requests of the previous versions, in the last slice. */
    double previous_share{};
    /*! @brief Share of the requests of the new version, in the last slice. */
    double target_share{};
    /*! @brief Requests of the previous versions so far. */
    std::uint64_t previous_requests{};
    /*! @brief Requests of the new version so far. */
    std::uint64_t target_requests{};
};

/*! @brief Evidence from which on a version is bad: without a difference, less than one in e^8 tests reaches
 * it. */
constexpr double bad_version_evidence = 8.0;

/**
 * @brief Compares a new version of the targets of a service with the versions that it replaces, slice of time
 * by slice of time.
 *
 * A sequential test (CUSUM of log likelihood ratios) for each route and for all together, on the share of
 * failures and the share of slow responses. The expected share is that of the previous versions in the same
 * slice, or a little earlier if that was larger, so trouble that all versions share proves nothing. Both
 * groups of targets must show the difference, and more than one slice.
 */
class version_comparison {
public:
    /**
     * @brief Adds the outcomes of a slice of time.
     * @param slice Outcomes of all nodes.
     */
    void add_slice(const version_outcomes& slice);

    /**
     * @brief Demands more evidence from now on, while the previous versions get no requests to compare with.
     */
    void end_comparison() noexcept
    {
        this->compares = false;
    }

    /*! @brief Returns what the outcomes so far show; `bad` is final. */
    [[nodiscard]] version_verdict verdict() const noexcept;

    /*! @brief Returns the figures that come closest to `bad`. */
    [[nodiscard]] const comparison_figures& figures() const noexcept
    {
        return this->closest;
    }

private:
    /*! @brief Evidence that has accumulated since there was last none. */
    struct evidence {
        double all{};
        std::array<double, target_groups> by_group{};
        std::array<bool, target_groups> has_outcomes{};
    };

    /*! @brief State of a route. */
    struct route_state {
        /*! @brief Outcomes of the previous versions, with less weight the older they are. */
        double failed{};
        double succeeded{};
        std::array<double, service_time_classes> by_time{};
        evidence of_failures{};
        evidence of_slow_responses{};
    };

    using group_ratios = std::array<double, target_groups>;

    /*! @brief Checks whether all requests, and those of each group, show a share of the evidence for `bad`.
     */
    [[nodiscard]] static bool reaches(const evidence& sum, double ratio) noexcept;
    void accumulate(evidence& sum, const group_ratios& ratios, const std::array<bool, target_groups>& present,
                    const comparison_figures& figures);

    std::map<std::string, route_state, std::less<>> routes{};
    evidence all_failures{};
    evidence all_slow_responses{};
    comparison_figures closest{};
    std::uint64_t previous_requests{};
    std::uint64_t target_requests{};
    double largest_now{};
    bool is_bad{};
    bool compares{true};
};

} // namespace kumquatdrift

#endif
