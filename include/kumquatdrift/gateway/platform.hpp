#ifndef KUMQUATDRIFT_GATEWAY_PLATFORM_HPP
#define KUMQUATDRIFT_GATEWAY_PLATFORM_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/gateway/fwd.hpp>
#include <kumquatdrift/http/message.hpp>
#include <kumquatdrift/mesh/config.hpp>
#include <kumquatdrift/mesh/members.hpp>
#include <kumquatdrift/mesh/rollouts.hpp>

namespace kumquatdrift {

/*! @brief Names of the HTTP header fields that the callers and targets of the platform use. */
struct wire_headers {
    /*! @brief Id of one attempt of a caller; targets return it in the response. */
    std::string attempt_id{};
    /*! @brief Milliseconds until the deadline of the sender. */
    std::string time_left_ms{};
    /*! @brief Present in each response that was created by the target itself. */
    std::string response_signature{};
    /*! @brief Id of the target instance that is addressed; any other instance rejects the request. */
    std::string expected_instance{};
    /*! @brief Service of the host on which the request originated. */
    std::string caller_service{};
    /*! @brief Present in a response if the target did not run the request. */
    std::string not_run{};
    /*! @brief Load of the target at the time of the response. */
    std::string server_load{};
    /*! @brief Credentials of the caller, which hold the key of its client account. */
    std::string credentials{};
    /*! @brief Name of the client account to which a request belongs. */
    std::string client_account{};
};

/*! @brief Identity and capacity of a target, as reported by a liveness check. */
struct target_health {
    /*! @brief Id of the target instance; changes when the target restarts. */
    std::string instance{};
    /*! @brief Number of requests that the target runs concurrently. */
    std::uint32_t slots{};
};

/*! @brief Load that a target states in a response or a liveness check. */
struct target_statement {
    /*! @brief Number of requests that it runs. */
    std::uint32_t running{};
    /*! @brief Number of requests that wait in it for a slot. */
    std::uint32_t waiting{};
    /*! @brief Number of requests that it runs concurrently, at least 1. */
    std::uint32_t slots{1};
    /*! @brief Time that work takes on its host at this moment, relative to the usual one; nothing if it
     * doesn't say. */
    std::optional<double> slowness{};
};

/*! @brief What a target states about itself in a response to a request. */
struct target_notice {
    /*! @brief Requests per second that it accepts from all nodes together; nothing if it names no limit. */
    std::optional<double> limit{};
    /*! @brief True if it is about to leave and should get no further requests. */
    bool leaving{};
    /*! @brief A value that could not be decoded and was ignored; empty if there is none. */
    std::string malformed{};
    /*! @brief Its load; nothing if it states none, or one that could not be decoded. */
    std::optional<target_statement> load{};
    /*! @brief True if it stated a load that could not be decoded and was ignored. */
    bool malformed_load{};
};

/*! @brief Callbacks for records from the store of the platform. */
struct platform_callbacks {
    /*! @brief Receives a complete configuration. */
    std::function<void(mesh_config_ptr)> on_config{};
    /*! @brief Receives false when the configuration in the store can no longer be read, and true when it can
     * be read again. */
    std::function<void(bool available)> on_config_access{};
    /*! @brief Called after each read of the store that showed no configuration but those already passed on,
     * with the time at which the read was sent. */
    std::function<void(timestamp sent)> on_config_current{};
    /*! @brief Receives the record of a node, with its address. */
    std::function<void(member_record)> on_member{};
    /*! @brief Receives a leave of this node's target that `record_leave` wrote, perhaps before this start. */
    std::function<void(const target_memory&)> on_leave{};
    /*! @brief Called after each read that has passed on all recorded leaves of this node's target. */
    std::function<void()> on_leaves_read{};
    /*! @brief Receives an event and its fields for the log, such as a record that cannot be decoded or a
     * connection to the store that failed or was restored. `normal` is false for a fault. */
    std::function<void(bool normal, const std::string& event, const std::string& fields)> on_event{};
    /*! @brief Receives the generation of the store when it is first known and when it has risen, that is,
     * when the store has come back from an older copy. A read for which it doesn't call `reread` starts over
     * when its next answer arrives. */
    std::function<void(std::uint64_t generation)> on_store_generation{};
    /*! @brief Receives the order of a roll-out. Its service may be unknown, and its versions too. */
    std::function<void(rollout_order)> on_rollout{};
};

/*! @brief Status of a roll-out, as the store holds it. */
struct rollout_record {
    /*! @brief Status. */
    rollout_status status{rollout_status::running};
    /*! @brief Time of the order in Unix milliseconds; 0 if it is unknown. */
    std::uint64_t ordered_ms{};
};

/*! @brief Receives the status that the store holds for an order; nothing if that is not known. */
using rollout_callback = std::function<void(std::optional<rollout_record>)>;

/*! @brief Interface to the platform: its header names, its formats and its store. */
class mesh_platform {
public:
    virtual ~mesh_platform() = default;

    /*! @brief Returns the header names. */
    [[nodiscard]] virtual const wire_headers& headers() const noexcept = 0;

    /**
     * @brief Decodes a configuration.
     * @param document Document as stored by the platform.
     * @return The configuration, or the first error; a document with an error is rejected as a whole.
     */
    [[nodiscard]] virtual result<mesh_config_ptr> decode_config(const std::string& document) = 0;

    /**
     * @brief Decodes a report of a target.
     * @param request Request that arrived on the address for reports.
     * @return The report, or the error if it does not identify a target.
     */
    [[nodiscard]] virtual result<target_report> decode_report(const http_message& request) const = 0;

    /**
     * @brief Decodes the response to a liveness check.
     * @param response Response.
     * @return Identity and capacity of the target, or nothing if the target is not healthy.
     */
    [[nodiscard]] virtual std::optional<target_health> decode_health(const http_message& response) const = 0;

    /**
     * @brief Decodes what a target states about itself in a response.
     * @param response Response of the target.
     * @return Its rate limit, and whether it is leaving.
     */
    [[nodiscard]] virtual target_notice decode_notice(const http_message& response) const = 0;

    /**
     * @brief Finds the request during which a target makes a nested call.
     * @param attempt Attempt id of the nested call.
     * @return Attempt id of the outer request; empty if the id does not contain one. The platform does not
     * guarantee it, so the caller must check that the target runs this request.
     */
    [[nodiscard]] virtual std::string parent_attempt(const std::string& attempt) const = 0;

    /**
     * @brief Checks whether a request is a readiness check of the platform.
     * @param request Request.
     * @return True if it is a readiness check.
     */
    [[nodiscard]] virtual bool is_ready_check(const http_message& request) const = 0;

    /**
     * @brief Watches the store until this object is destroyed.
     * @param events Callbacks, called on the event loop.
     */
    virtual void watch(platform_callbacks events) = 0;

    /**
     * @brief Writes the address of this node to the store; retries until the store has accepted it.
     * @param self Record of this node.
     */
    virtual void announce(const member_record& self) = 0;

    /**
     * @brief Writes to the store that this node's target has left; retries until the store has accepted it.
     * It replaces the leave that was recorded before.
     * @param leave Identity of the target.
     */
    virtual void record_leave(const target_memory& leave) = 0;

    /**
     * @brief Starts or stops following the configuration in the store; it is followed at first. Each start
     * reads the newest configuration.
     * @param follow True to start.
     */
    virtual void follow_config(bool follow) = 0;

    /*! @brief Reads the newest configuration from the store once; retries until the store has answered. */
    virtual void read_config() = 0;

    /**
     * @brief Starts all reads of the store that are in progress over, with the newest records.
     * @param delay Delay until they start.
     */
    virtual void reread(microseconds delay) = 0;

    /**
     * @brief Writes the status of a roll-out to the store, unless the store holds a final one of the same
     * order, or the same one. It is written under the condition that nothing was written since it was read,
     * so a writer that is behind changes nothing.
     * @param order Order.
     * @param record Status.
     * @param done Receives the status that the store holds afterwards. After a call without an answer it is
     * not known; the write may still be applied until the next one that succeeds.
     */
    virtual void write_rollout(const rollout_order& order, const rollout_record& record,
                               rollout_callback done) = 0;

    /*! @brief Closes idle connections to the store and reads it again, after a suspension. */
    virtual void refresh() = 0;
};

} // namespace kumquatdrift

#endif
