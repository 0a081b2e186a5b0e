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

/*! @brief How a request may run. */
enum class quarantine_action : std::uint8_t {
    /*! @brief Without restriction. */
    run,
    /*! @brief As the only suspect at its target; reported by `on_success`, `on_target_died` or `on_ended`. */
    run_alone,
    /*! @brief Not now: another suspect runs at the target, or another request with this fingerprint runs. */
    refuse_busy,
    /*! @brief Not now: the fingerprint is in quarantine. */
    refuse,
};

/*! @brief Names of the actions. */
template<>
struct enum_names<quarantine_action> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<quarantine_action, std::string_view>, 4> table{{
        {quarantine_action::run, "run"},
        {quarantine_action::run_alone, "run_alone"},
        {quarantine_action::refuse_busy, "refuse_busy"},
        {quarantine_action::refuse, "refuse"},
    }};
};

/*! @brief Answer to a check. */
struct quarantine_decision {
    /*! @brief How the request may run. */
    quarantine_action action{quarantine_action::run};
    /*! @brief Suggested time until the caller asks again. Valid only for a refusal. */
    milliseconds retry_after{};
};

/*! @brief Deaths of one target with a fingerprint in flight. Both counts only grow, so that nodes merge them.
 */
struct crash_evidence {
    /*! @brief Key of the target. */
    std::string target{};
    /*! @brief Deaths of the target with the fingerprint in flight. */
    std::uint32_t deaths{};
    /*! @brief Deaths that a later success of the same fingerprint made void. */
    std::uint32_t cleared{};
};

/*! @brief What a node tells others about a fingerprint. Merging is idempotent and does not depend on order.
 */
struct crash_advisory {
    /*! @brief Fingerprint of the request. */
    std::uint64_t fingerprint{};
    /*! @brief Time since the last change. */
    milliseconds age{};
    /*! @brief Deaths by target. */
    std::vector<crash_evidence> evidence{};
};

/*! @brief Times and sizes of the quarantine. */
struct quarantine_settings {
    /*! @brief Length of the first quarantine. Doubles with each further death. */
    microseconds quarantine_time{60'000'000};
    /*! @brief Longest quarantine. */
    microseconds longest_quarantine{600'000'000};
    /*! @brief A suspect without news is forgotten after this time. Advisories older than half of it add none.
     */
    microseconds suspect_time{300'000'000};
    /*! @brief Reports of one target within this time are one death. A broken connection is seen at once by
     *         all requests on it, while a restart takes longer. */
    microseconds same_death{250'000};
    /*! @brief Largest number of fingerprints. */
    std::size_t max_fingerprints{1'024};
};

/**
 * @brief Finds requests that crash the targets that run them. Not synchronised.
 *
 * Every fingerprint in flight at a death becomes a suspect; a success clears it. A suspect is quarantined
 * when it was in flight at two deaths and no other suspect was in flight at all of the same deaths. Until
 * then, at most one suspect runs at each target, so that the next death tells suspects apart.
 *
 * Targets lost to one request that crashes each target, as long as its record is not evicted: with `c`
 * copies in flight before the first death is known, at most max(2, c) at one node, and one more if c > 1 and
 * an innocent request was in flight at all of these deaths. With `n` nodes, n times as many as long as no
 * advisory arrives; at most 1 + n after the first death is known to all; and 2 if each death is known to all
 * before the next attempt. Each end of a quarantine costs at most one more target per node. A request that
 * crashes some targets and succeeds at others is cleared by each success; it is not bounded.
 */
class crash_quarantine {
public:
    /**
     * @brief Constructs an empty quarantine.
     * @param settings Times and sizes.
     */
    explicit crash_quarantine(quarantine_settings settings = {});

    /**
     * @brief Computes the fingerprint of a request.
     * @param route Name of the route.
     * @param method Method.
     * @param path Path with query.
     * @param body First bytes of the body, at most 64 KB of them are used.
     * @return The fingerprint.
     */
    [[nodiscard]] static std::uint64_t fingerprint(std::string_view route, std::string_view method,
                                                   std::string_view path, std::string_view body) noexcept;

    /**
     * @brief Decides how a request may run. Called once for each attempt at a node, also if the entry node is
     *        the target's node. For `run_alone`, the target counts as taken until the end is
     *        reported.
     * @param fingerprint Fingerprint of the request.
     * @param target Key of the target.
     * @param now Current time.
     * @return The decision. A refused request was not run.
     */
    [[nodiscard]] quarantine_decision check(std::uint64_t fingerprint, std::string_view target,
                                            timestamp now);

    /**
     * @brief Reports that a target died. Its node reports all requests in flight at once; an entry node
     *        reports its own, one by one, as the answers arrive (`suggests_crash`).
     * @param in_flight Fingerprints of the requests that it ran.
     * @param target Key of the target.
     * @param now Current time.
     */
    void on_target_died(std::span<const std::uint64_t> in_flight, std::string_view target, timestamp now);

    /**
     * @brief Reports a complete answer, with any status, to a request that the target ran and so survived.
     *        Not for an answer with the verdict `not_run`, which proves nothing.
     * @param fingerprint Fingerprint of the request.
     * @param target Key of the target.
     * @param now Current time.
     */
    void on_success(std::uint64_t fingerprint, std::string_view target, timestamp now);

    /**
     * @brief Reports an end that proves nothing (cancelled, timed out, not run) of a request that was told to
     *        run alone.
     * @param fingerprint Fingerprint of the request.
     * @param target Key of the target.
     */
    void on_ended(std::uint64_t fingerprint, std::string_view target);

    /**
     * @brief Merges what another node knows.
     * @param advisory The advisory.
     * @param now Current time.
     */
    void on_remote(const crash_advisory& advisory, timestamp now);

    /**
     * @brief Lists what other nodes should know, newest first.
     * @param now Current time.
     * @return The advisories.
     */
    [[nodiscard]] std::vector<crash_advisory> advisories(timestamp now) const;

    /**
     * @brief Forgets suspects without news. Called about once a second.
     * @param now Current time.
     */
    void expire(timestamp now);

    /**
     * @brief Returns the number of fingerprints kept.
     * @return Number of fingerprints.
     */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct evidence_entry {
        crash_evidence counts{};
        std::optional<timestamp> last_death{};
    };

    struct suspect {
        std::vector<evidence_entry> evidence{};
        timestamp changed{};
        timestamp quarantined_until{};
        std::uint32_t judged_deaths{};
        std::uint32_t quarantines{};
    };

    [[nodiscard]] static std::uint32_t live_deaths(const suspect& candidate) noexcept;
    [[nodiscard]] static bool explains(const suspect& other, const suspect& candidate);
    [[nodiscard]] bool is_ambiguous(std::uint64_t fingerprint, const suspect& candidate) const;
    [[nodiscard]] bool is_busy(std::uint64_t fingerprint, std::string_view target) const;
    evidence_entry& evidence_of(suspect& candidate, std::string_view target);
    suspect& record_of(std::uint64_t fingerprint, timestamp now);
    void on_merged(std::uint64_t fingerprint, std::uint32_t deaths_before, timestamp now);
    void judge(std::uint64_t fingerprint, timestamp now);
    void judge_all(timestamp now);
    static void lift(suspect& record) noexcept;
    void release(std::uint64_t fingerprint, std::string_view target);

    quarantine_settings settings;
    std::unordered_map<std::uint64_t, suspect> suspects{};
    std::unordered_map<std::string, std::uint64_t> running_alone{};
};

} // namespace kumquatdrift

#endif
