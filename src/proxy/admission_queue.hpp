#ifndef KUMQUATDRIFT_PROXY_ADMISSION_QUEUE_HPP
#define KUMQUATDRIFT_PROXY_ADMISSION_QUEUE_HPP

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/membership/types.hpp>
#include <kumquatdrift/proxy/tcp_connection.hpp>
#include <kumquatdrift/routing/choose.hpp>
#include <kumquatdrift/traffic/admission.hpp>

namespace kumquatdrift::internal {

/*! @brief Outcome of a request for a slot. */
enum class slot_outcome : std::uint8_t {
    /*! @brief The request holds a slot. */
    admitted,
    /*! @brief The request was rejected without being queued. */
    rejected,
    /*! @brief The request was queued, then discarded because of its deadline or a drain. */
    discarded,
    /*! @brief The client closed its connection while the request was queued. */
    cancelled,
};

/*! @brief Result of a request for a slot. */
struct slot_result {
    /*! @brief Outcome. */
    slot_outcome outcome{slot_outcome::rejected};
    /*! @brief Reason of the rejection; `none` if the request was admitted or cancelled, and always `deadline`
     *         if it was discarded. */
    rejection_reason reason{rejection_reason::none};
    /*! @brief Suggested delay before a retry. Valid only if the request was not admitted. */
    milliseconds retry_after{};
};

/*! @brief Thread-safe admission control for one target. Blocks the thread of a request while it is queued. */
class admission_queue {
public:
    /**
     * @brief Constructs the queue of an announced target.
     * @param announced Target.
     * @param settings Admission settings of the target.
     */
    admission_queue(target_record announced, const admission_settings& settings);

    /**
     * @brief Acquires a slot. Blocks while the request is queued.
     * @param request Request.
     * @param client Connection of the client; the request is cancelled when the client closes it.
     * @return Outcome; the request holds a slot only if it is `admitted`.
     */
    [[nodiscard]] slot_result acquire_slot(const admission_request& request, const tcp_connection& client);

    /**
     * @brief Releases a slot.
     * @param id Id of the request.
     * @param outcome Outcome of the request.
     */
    void release_slot(request_id id, run_outcome outcome);

    /**
     * @brief Applies new settings of the target.
     * @param settings Admission settings of the target.
     */
    void update_settings(const admission_settings& settings);

    /*! @brief Rejects new requests and discards queued ones. */
    void drain();

    /*! @brief Returns the load. */
    [[nodiscard]] load_report load() const;

    /*! @brief Returns the fingerprints of the requests that hold a slot. */
    [[nodiscard]] std::vector<std::uint64_t> fingerprints() const;

    /*! @brief Checks whether the target is draining. */
    [[nodiscard]] bool is_draining() const;

    /*! @brief Returns the target. */
    [[nodiscard]] const target_record& target() const noexcept
    {
        return this->record;
    }

private:
    enum class queue_state : std::uint8_t { queued, started, discarded };

    struct waiter {
        std::condition_variable changed{};
        queue_state state{queue_state::queued};
    };

    void wake(const std::vector<request_id>& ids, queue_state state);
    void tick(timestamp now, bool is_forced);

    const target_record record;
    mutable std::mutex mutex{};
    admission control;
    std::map<request_id, waiter*> waiters{};
    timestamp last_tick{};
};

} // namespace kumquatdrift::internal

#endif
