#ifndef KUMQUATDRIFT_TRAFFIC_QUARANTINE_HPP
#define KUMQUATDRIFT_TRAFFIC_QUARANTINE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/traffic/fwd.hpp>

namespace kumquatdrift {

/*! @brief Decision on whether and how a request may run. */
enum class quarantine_action : std::uint8_t {
    /*! @brief It may run without restriction. */
    run,
    /*! @brief It may run as the only suspect at its target until `on_success`, `on_target_crashed` or
     * `on_inconclusive_end` is called. */
    run_alone,
    /*! @brief It is rejected for now, because another suspect runs at the target, or another request with
     *         this fingerprint runs. */
    reject_busy,
    /*! @brief It is rejected for now, because the fingerprint is in quarantine. */
    reject,
};

/*! @brief Names of the actions. */
template<>
struct enum_names<quarantine_action> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<quarantine_action, std::string_view>, 4> table{{
        {quarantine_action::run, "run"},
        {quarantine_action::run_alone, "run_alone"},
        {quarantine_action::reject_busy, "refuse_busy"},
        {quarantine_action::reject, "refuse"},
    }};
};

/*! @brief Result of a check. */
struct quarantine_decision {
    /*! @brief Whether and how the request may run. */
    quarantine_action action{quarantine_action::run};
    /*! @brief Suggested time until the caller retries. Valid only for a rejection. */
    milliseconds retry_after{};
};

/*! @brief Crashes of one target with a fingerprint in flight. Both counters only grow, so that nodes merge
 *         them by their maximum. */
struct crash_evidence {
    /*! @brief Key of the target. */
    std::string target{};
    /*! @brief Crashes of the target with the fingerprint in flight. */
    std::uint32_t crashes{};
    /*! @brief Crashes that a later success of the same fingerprint has cleared. */
    std::uint32_t cleared{};
};

/*! @brief Crash evidence on a fingerprint, as sent to other nodes. Merging is idempotent and independent of
 *         the order. */
struct crash_advisory {
    /*! @brief Fingerprint of the request. */
    std::uint64_t fingerprint{};
    /*! @brief Time since the last change of the evidence. */
    milliseconds age{};
    /*! @brief Crashes by target. */
    std::vector<crash_evidence> evidence{};
};

/*! @brief Durations and limits of the quarantine. */
struct quarantine_settings {
    /*! @brief Length of the first quarantine of a suspect. Doubles with each further one. */
    microseconds quarantine_time{60'000'000};
    /*! @brief Longest quarantine. */
    microseconds longest_quarantine{600'000'000};
    /*! @brief A suspect expires this time after the last change of its evidence or the end of its quarantine,
     *         whichever is later. Advisories older than half of it add no suspect. */
    microseconds suspect_lifetime{300'000'000};
    /*! @brief Crash reports for one target within this time count as one crash. All requests on a broken
     *         connection notice it at once, while a restart of the target takes longer. */
    microseconds crash_merge_window{250'000};
    /*! @brief A crash reported in a response is ignored if a crash of the target is known and the evidence
     *         on the fingerprint changed within this time: an advisory may have reported the same crash.
     *         Gossip takes longer than a response, but less than the restart of a target. */
    microseconds reported_crash_merge_window{2'000'000};
    /*! @brief Maximum number of suspects. If it is reached, a new suspect evicts the one with the fewest
     * uncleared crashes, and of these the one that changed least recently. */
    std::size_t max_fingerprints{1'024};
};

/**
 * @brief Detects requests that crash the targets that run them, and quarantines them. Not synchronised.
 *
 * Every fingerprint in flight at a crash becomes a suspect; a success clears it. A suspect is quarantined
 * when it was in flight at two crashes and no other suspect was in flight at all of the same crashes. Until
 * then, at most one suspect runs at each target, so that the next crash tells suspects apart.
 *
 * Number of targets crashed by one request that crashes every target, as long as it is not evicted from the
 * suspects: with `c` copies in flight before the first crash is known, at most max(2, c) at one node, and one
 * more if c > 1 and a harmless request was in flight at all of these crashes. With `n` nodes, n times as many
 * as long as no advisory arrives; at most 1 + n after the first crash is known to all; and 2 if each crash is
 * known to all before the next attempt. Each end of a quarantine costs at most one more target per node.
 * There is no bound for a request that crashes some targets and succeeds at others, because each success
 * clears it.
 */
class crash_quarantine {
public:
    /**
     * @brief Constructs an empty quarantine.
     * @param settings Durations and limits.
     */
    explicit crash_quarantine(quarantine_settings settings = {});

    /**
     * @brief Computes the fingerprint of a request.
     * @param route Name of the route.
     * @param method HTTP method.
     * @param path Path with query.
     * @param body Body or its beginning; only the first 64 KB are used.
     * @return The fingerprint.
     */
    [[nodiscard]] static std::uint64_t fingerprint(std::string_view route, std::string_view method,
                                                   std::string_view path, std::string_view body) noexcept;

    /**
     * @brief Decides whether and how a request may run. Called once for each attempt at a node, also if the
     *        entry node is the target's node. After `run_alone`, the target is reserved for the request until
     *        its end is reported.
     * @param fingerprint Fingerprint of the request.
     * @param target Key of the target.
     * @param now Current time.
     * @return The decision. A rejected request was not run.
     */
    [[nodiscard]] quarantine_decision check(std::uint64_t fingerprint, std::string_view target,
                                            timestamp now);

    /**
     * @brief Records the crash of a target. The target's node reports all requests in flight at once; an
     *        entry node reports its own requests one by one, as the responses arrive (`suggests_crash`).
     * @param in_flight Fingerprints of the requests that the target ran.
     * @param target Key of the target.
     * @param now Current time.
     */
    void on_target_crashed(std::span<const std::uint64_t> in_flight, std::string_view target, timestamp now);

    /**
     * @brief Records a crash that the target's node reported in its response to this node.
     * @param fingerprint Fingerprint of the request that got this response.
     * @param target Key of the target.
     * @param now Current time.
     */
    void on_crash_reported(std::uint64_t fingerprint, std::string_view target, timestamp now);

    /**
     * @brief Returns how long a fingerprint stays in quarantine. Unlike `check`, reserves no target.
     * @param fingerprint Fingerprint of the request.
     * @param now Current time.
     * @return The time left, or nothing if it is not in quarantine.
     */
    [[nodiscard]] std::optional<milliseconds> quarantined_for(std::uint64_t fingerprint, timestamp now) const;

    /**
     * @brief Records a complete response with any status, which shows that the target survived the request.
     *        Not for a response with the verdict `not_run`, which is no evidence.
     * @param fingerprint Fingerprint of the request.
     * @param target Key of the target.
     * @param now Current time.
     */
    void on_success(std::uint64_t fingerprint, std::string_view target, timestamp now);

    /**
     * @brief Releases the target of a request that got `run_alone` and whose end is no evidence (cancelled,
     *        timed out, not run).
     * @param fingerprint Fingerprint of the request.
     * @param target Key of the target.
     */
    void on_inconclusive_end(std::uint64_t fingerprint, std::string_view target);

    /**
     * @brief Merges an advisory of another node.
     * @param advisory The advisory.
     * @param now Current time.
     */
    void on_advisory(const crash_advisory& advisory, timestamp now);

    /**
     * @brief Lists the evidence to send to other nodes, latest change first.
     * @param now Current time.
     * @return The advisories.
     */
    [[nodiscard]] std::vector<crash_advisory> advisories(timestamp now) const;

    /**
     * @brief Removes the suspects that have expired. Called about once a second.
     * @param now Current time.
     */
    void expire(timestamp now);

    /**
     * @brief Returns the number of suspects.
     * @return Number of suspected fingerprints.
     */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct evidence_entry {
        crash_evidence counts{};
        std::optional<timestamp> last_crash{};
    };

    struct suspect {
        std::vector<evidence_entry> evidence{};
        timestamp changed{};
        timestamp quarantined_until{};
        std::uint32_t crashes_at_quarantine{};
        std::uint32_t quarantines{};
    };

    [[nodiscard]] static std::uint32_t uncleared_crashes(const suspect& candidate) noexcept;
    [[nodiscard]] static bool may_explain(const suspect& other, const suspect& candidate);
    [[nodiscard]] bool is_ambiguous(std::uint64_t fingerprint, const suspect& candidate) const;
    [[nodiscard]] bool is_busy(std::uint64_t fingerprint, std::string_view target) const;
    evidence_entry& evidence_of(suspect& candidate, std::string_view target);
    suspect& suspect_of(std::uint64_t fingerprint, timestamp now);
    void update_after_merge(std::uint64_t fingerprint, std::uint32_t crashes_before, timestamp now);
    void update_quarantine(std::uint64_t fingerprint, timestamp now);
    void update_all_quarantines(timestamp now);
    static void lift_quarantine(suspect& record) noexcept;
    void release_target(std::uint64_t fingerprint, std::string_view target);

    quarantine_settings settings;
    std::unordered_map<std::uint64_t, suspect> suspects{};
    std::unordered_map<std::string, std::uint64_t> running_alone{};
};

} // namespace kumquatdrift

#endif
