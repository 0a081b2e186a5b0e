#ifndef KUMQUATDRIFT_PROXY_TARGET_GATE_HPP
#define KUMQUATDRIFT_PROXY_TARGET_GATE_HPP

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/membership/types.hpp>
#include <kumquatdrift/proxy/channel.hpp>
#include <kumquatdrift/routing/choose.hpp>
#include <kumquatdrift/traffic/admission.hpp>

namespace kumquatdrift::internal {

/*! @brief How the wait for a slot ended. */
enum class gate_outcome : std::uint8_t {
    /*! @brief The request holds a slot. */
    admitted,
    /*! @brief It was rejected at once. */
    rejected,
    /*! @brief It waited and was dropped because of its deadline or a drain. */
    dropped,
    /*! @brief The client went away while it waited. */
    cancelled,
};

/*! @brief Answer of a gate. */
struct gate_answer {
    /*! @brief Outcome. */
    gate_outcome outcome{gate_outcome::rejected};
    /*! @brief Reason of a rejection. */
    rejection reason{rejection::none};
    /*! @brief Suggested time until the next attempt, unless admitted. */
    milliseconds retry_after{};
};

/*! @brief Admission control for one target, with the threads that wait for its slots. Safe for any thread. */
class target_gate {
public:
    /**
     * @brief Constructs the gate of an announced target.
     * @param announced The target.
     * @param settings What admission control needs to know of it.
     */
    target_gate(target_record announced, const admission_settings& settings);

    /**
     * @brief Waits for a slot.
     * @param request The request.
     * @param client Connection of the client; its end stops the wait.
     * @return Whether the request holds a slot.
     */
    [[nodiscard]] gate_answer enter(const admission_request& request, const channel& client);

    /**
     * @brief Gives a slot back.
     * @param id Id of the request.
     * @param outcome How it ended.
     */
    void leave(request_id id, run_outcome outcome);

    /**
     * @brief Takes a new announcement.
     * @param settings What admission control needs to know of it.
     */
    void announce(const admission_settings& settings);

    /*! @brief Rejects new requests and those that wait. */
    void drain();

    /*! @brief Returns the load. */
    [[nodiscard]] load_report load() const;

    /*! @brief Returns the fingerprints of the requests that hold a slot. */
    [[nodiscard]] std::vector<std::uint64_t> fingerprints() const;

    /*! @brief Checks whether the target drains. */
    [[nodiscard]] bool is_draining() const;

    /*! @brief Returns the target. */
    [[nodiscard]] const target_record& target() const noexcept
    {
        return this->record;
    }

private:
    enum class wait_state : std::uint8_t { waiting, started, dropped };

    struct waiter {
        std::condition_variable changed{};
        wait_state state{wait_state::waiting};
    };

    void wake(const std::vector<request_id>& ids, wait_state state);
    void tick(timestamp now, bool is_due);

    const target_record record;
    mutable std::mutex mutex{};
    admission control;
    std::map<request_id, waiter*> waiters{};
    timestamp last_tick{};
};

} // namespace kumquatdrift::internal

#endif
