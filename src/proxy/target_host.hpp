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

#include "proxy/observe.hpp"
#include "proxy/outbound.hpp"
#include "proxy/target_gate.hpp"

namespace kumquatdrift::internal {

class target_host;

/*! @brief A slot of a target, held by one request. Given back at the latest by the destructor. */
class target_slot {
public:
    /**
     * @brief Constructs a held slot; called by the host.
     * @param owner Host.
     * @param held Gate of the target.
     * @param id_at_gate Id of the request.
     * @param fingerprint_of_request Fingerprint of the request.
     */
    target_slot(target_host& owner, std::shared_ptr<target_gate> held, request_id id_at_gate,
                std::uint64_t fingerprint_of_request) noexcept;

    target_slot(target_slot&& other) noexcept = default;
    target_slot& operator=(target_slot&&) = delete;
    target_slot(const target_slot&) = delete;
    target_slot& operator=(const target_slot&) = delete;
    ~target_slot();

    /**
     * @brief Gives the slot back and reports what was observed to admission control and quarantine.
     * @param observation What was observed at the target.
     */
    void end(const hop_observation& observation);

    /*! @brief Returns the load of the target. */
    [[nodiscard]] load_report load() const
    {
        return this->gate->load();
    }

private:
    target_host* host;
    std::shared_ptr<target_gate> gate;
    request_id id;
    std::uint64_t fingerprint;
};

/*! @brief One attempt: an answer head from a node or target, or a refusal. */
struct attempt {
    /*! @brief Slot, if the target is on this host. */
    std::optional<target_slot> slot{};
    /*! @brief Request that was sent, if a connection was made. */
    std::optional<outbound> sent{};
    /*! @brief What was observed. Without `sent`, no byte left this node. */
    hop_observation observation{};
    /*! @brief Answer to give if there is none from the other side. */
    std::optional<refusal> refused{};
};

/*! @brief Runs requests at the targets of this host. Safe for any thread. */
class target_host {
public:
    /**
     * @brief Constructs a host without targets.
     * @param name Name of this node.
     * @param limits Limits of the connections to targets.
     * @param on_advisory_of_crash Receives what other nodes should know; may be empty.
     */
    target_host(std::string name, const connection_limits& limits,
                std::function<void(const crash_advisory&)> on_advisory_of_crash,
                const quarantine_settings& crash_settings = {});

    /**
     * @brief Replaces the targets.
     * @param targets Targets as announced.
     * @param snapshot Snapshot with the settings of the services; may be null.
     */
    void update(const std::vector<target_record>& targets, const routing_snapshot_ptr& snapshot);

    /**
     * @brief Applies changed settings of services. Cheap if the snapshot is the one seen last.
     * @param snapshot Snapshot in force; may be null.
     */
    void refresh(const routing_snapshot_ptr& snapshot);

    /*! @brief Rejects new and waiting requests at all targets. */
    void drain();

    /**
     * @brief Admits a request, sends it to a target and receives the head of the answer.
     * @param target Id of the target.
     * @param request The request.
     * @param result Receives the attempt.
     */
    void start(const std::string& target, const call& request, attempt& result);

    /**
     * @brief Merges what another node knows about crashes.
     * @param advisory The advisory.
     */
    void offer_advisory(const crash_advisory& advisory);

    /**
     * @brief Takes what the answer of another node says about its target.
     * @param fingerprint Fingerprint of the request.
     * @param target Key of the target.
     * @param observation What was seen of the answer.
     */
    void on_remote_answer(std::uint64_t fingerprint, std::string_view target,
                          const hop_observation& observation);

    /**
     * @brief Tells how long a request is in quarantine. An entry node asks before each attempt, since the
     *        attempts of one call reach other nodes faster than their advisories do.
     * @param fingerprint Fingerprint of the request.
     * @return The time left, or nothing if it may run.
     */
    [[nodiscard]] std::optional<milliseconds> quarantined_for(std::uint64_t fingerprint) const;

    /*! @brief Lists what other nodes should know about crashes. */
    [[nodiscard]] std::vector<crash_advisory> advisories() const;

private:
    friend class target_slot;

    struct gate_entry {
        target_record announced{};
        std::shared_ptr<target_gate> gate{};
    };

    [[nodiscard]] std::shared_ptr<target_gate> find(const std::string& target) const;
    [[nodiscard]] bool pass_quarantine(const call& request, const target_gate& gate, attempt& result);
    [[nodiscard]] bool pass_gate(const std::shared_ptr<target_gate>& gate, const call& request,
                                 attempt& result);
    [[nodiscard]] std::string key_of(const target_gate& gate) const;
    void on_observed(const target_gate& gate, std::uint64_t fingerprint, const hop_observation& observation);
    void publish(const std::vector<std::uint64_t>& fingerprints);
    void release(const target_gate& gate, std::uint64_t fingerprint);

    std::string node;
    std::shared_ptr<connection_pool> pool;
    std::function<void(const crash_advisory&)> on_advisory;
    std::atomic<request_id> next_id{1};
    std::atomic<config_version> seen_version{};
    timestamp last_expiry{};
    mutable std::shared_mutex gates_mutex{};
    std::map<std::string, gate_entry, std::less<>> gates{};
    mutable std::mutex quarantine_mutex{};
    crash_quarantine quarantine;
    log_limit crash_log{};
};

/**
 * @brief Makes the answer for a hop that brought none.
 * @param observation What was observed.
 * @param body_error Why the client's body could not be read, if that ended the hop.
 * @return The answer.
 */
[[nodiscard]] refusal refusal_of(const hop_observation& observation,
                                 const std::optional<read_status>& body_error);

/**
 * @brief Makes the answer for a body that could not be read.
 * @param status Why not.
 * @param effect Whether the request may have run.
 * @return The answer.
 */
[[nodiscard]] refusal refusal_of_body(read_status status, verdict effect);

/**
 * @brief Returns the random engine of the calling thread.
 * @return The engine.
 */
[[nodiscard]] random_engine& thread_random();

} // namespace kumquatdrift::internal

#endif
