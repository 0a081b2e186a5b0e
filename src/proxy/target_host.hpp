#ifndef KUMQUATDRIFT_PROXY_TARGET_HOST_HPP
#define KUMQUATDRIFT_PROXY_TARGET_HOST_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <vector>

#include <kumquatdrift/proxy/service.hpp>
#include <kumquatdrift/traffic/quarantine.hpp>

#include "proxy/admission_queue.hpp"
#include "proxy/observe.hpp"
#include "proxy/outbound_request.hpp"

namespace kumquatdrift::internal {

class target_host;

/*! @brief A slot of a target, held by one request. The destructor releases it unless `release` was called. */
class target_slot {
public:
    /**
     * @brief Constructs a held slot; called by `target_host`.
     * @param owner Host.
     * @param target Admission queue of the target.
     * @param request Id of the request.
     * @param request_fingerprint Fingerprint of the request.
     */
    target_slot(target_host& owner, std::shared_ptr<admission_queue> target, request_id request,
                std::uint64_t request_fingerprint) noexcept;

    target_slot(target_slot&& other) noexcept = default;
    target_slot& operator=(target_slot&&) = delete;
    target_slot(const target_slot&) = delete;
    target_slot& operator=(const target_slot&) = delete;
    ~target_slot();

    /**
     * @brief Releases the slot and reports the outcome to admission control and quarantine.
     * @param observation Observation of the request at the target.
     */
    void release(const hop_observation& observation);

    /*! @brief Returns the load of the target. */
    [[nodiscard]] load_report load() const
    {
        return this->queue->load();
    }

private:
    target_host* host;
    std::shared_ptr<admission_queue> queue;
    request_id id;
    std::uint64_t fingerprint;
};

/*! @brief One attempt: a response head from a node or target, or a generated error response. */
struct attempt {
    /*! @brief Slot of the target; present only if the target is on this host and admitted the request. */
    std::optional<target_slot> slot{};
    /*! @brief Request on its connection; empty if no connection was established. */
    std::optional<outbound_request> sent{};
    /*! @brief Observation of the attempt. If `sent` is empty, no byte left this node. */
    hop_observation observation{};
    /*! @brief Error response for the client, if the peer sent no response. */
    std::optional<error_response> error{};
};

/*! @brief Forwards requests to the targets of this host. Thread-safe. */
class target_host {
public:
    /**
     * @brief Constructs a host without targets.
     * @param name Name of this node.
     * @param limits Limits of the connections to targets.
     * @param advisory_callback Receives crash advisories for other nodes; may be empty.
     * @param crash_settings Settings of the crash quarantine.
     */
    target_host(std::string name, const connection_limits& limits,
                std::function<void(const crash_advisory&)> advisory_callback,
                const quarantine_settings& crash_settings = {});

    /**
     * @brief Replaces the targets.
     * @param targets Announced targets.
     * @param snapshot Snapshot with the settings of the services; may be null.
     */
    void update(const std::vector<target_record>& targets, const routing_snapshot_ptr& snapshot);

    /**
     * @brief Applies changed settings of services. Does nothing for the version that was applied last.
     * @param snapshot Snapshot in force; may be null.
     */
    void refresh(const routing_snapshot_ptr& snapshot);

    /*! @brief Rejects new and queued requests at all targets. */
    void drain();

    /**
     * @brief Admits a request, sends it to a target and receives the head of the response.
     * @param target Id of the target.
     * @param request Request.
     * @param result Receives the attempt.
     */
    void start(const std::string& target, const client_request& request, attempt& result);

    /**
     * @brief Merges a crash advisory of another node.
     * @param advisory Advisory.
     */
    void offer_advisory(const crash_advisory& advisory);

    /**
     * @brief Updates the quarantine with the outcome of an attempt at another node.
     * @param fingerprint Fingerprint of the request.
     * @param target Endpoint key of the target.
     * @param observation Observation of the attempt.
     */
    void on_remote_attempt(std::uint64_t fingerprint, std::string_view target,
                           const hop_observation& observation);

    /**
     * @brief Returns the remaining quarantine of a request. An entry node checks this before each attempt,
     *        because retries reach other nodes faster than the crash advisories do.
     * @param fingerprint Fingerprint of the request.
     * @return Remaining time, or `std::nullopt` if the request may run.
     */
    [[nodiscard]] std::optional<milliseconds> quarantined_for(std::uint64_t fingerprint) const;

    /*! @brief Returns the crash advisories for other nodes. */
    [[nodiscard]] std::vector<crash_advisory> advisories() const;

private:
    friend class target_slot;

    struct target_entry {
        target_record announced{};
        std::shared_ptr<admission_queue> queue{};
    };

    [[nodiscard]] std::shared_ptr<admission_queue> find_queue(const std::string& target) const;
    [[nodiscard]] bool passes_quarantine(const client_request& request, const admission_queue& queue,
                                         attempt& result);
    [[nodiscard]] bool acquire_slot(const std::shared_ptr<admission_queue>& queue,
                                    const client_request& request, attempt& result);
    [[nodiscard]] std::string endpoint_key(const admission_queue& queue) const;
    void record_outcome(const admission_queue& queue, std::uint64_t fingerprint,
                        const hop_observation& observation);
    void publish_advisories(const std::vector<std::uint64_t>& fingerprints);
    void end_tracking(const admission_queue& queue, std::uint64_t fingerprint);

    std::string node;
    std::shared_ptr<connection_pool> pool;
    std::function<void(const crash_advisory&)> on_advisory;
    std::atomic<request_id> next_id{1};
    std::atomic<config_version> applied_version{};
    timestamp last_expiry{};
    mutable std::shared_mutex targets_mutex{};
    std::map<std::string, target_entry, std::less<>> targets_by_id{};
    mutable std::mutex quarantine_mutex{};
    crash_quarantine quarantine;
    log_rate_limiter crash_log_limit{};
};

/**
 * @brief Makes the error response for an attempt that received no response.
 * @param observation Observation of the attempt.
 * @param body_error Error of reading the body of the client, if that ended the attempt.
 * @return The response.
 */
[[nodiscard]] error_response make_attempt_error(const hop_observation& observation,
                                                const std::optional<read_status>& body_error);

/**
 * @brief Makes the error response for a client body that could not be read.
 * @param status Error.
 * @param effect Whether the request may have run.
 * @return The response.
 */
[[nodiscard]] error_response make_body_error(read_status status, verdict effect);

/**
 * @brief Returns the random engine of the calling thread.
 * @return The engine.
 */
[[nodiscard]] random_engine& thread_random();

} // namespace kumquatdrift::internal

#endif
