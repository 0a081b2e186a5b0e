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

namespace kumquatdrift {

/*! @brief Names of the header fields that the platform's callers and targets use. */
struct wire_headers {
    /*! @brief Id of one attempt of a caller; echoed by targets. */
    std::string attempt_id{};
    /*! @brief Milliseconds for which the sender still waits. */
    std::string time_left_ms{};
    /*! @brief Present on each answer that a target made itself. */
    std::string answer_signature{};
    /*! @brief Id of the target that is meant; any other one refuses. */
    std::string expected_instance{};
    /*! @brief Service on the host where the request began. */
    std::string caller_service{};
    /*! @brief Present if the target did not run the request. */
    std::string not_run{};
    /*! @brief Load of a target. */
    std::string target_load{};
};

/*! @brief What a liveness check tells of a target. */
struct target_health {
    /*! @brief Id of the incarnation. */
    std::string instance{};
    /*! @brief Requests that it runs at the same time. */
    std::uint32_t slots{};
};

/*! @brief Receives what the platform's store tells. */
struct platform_events {
    /*! @brief A whole configuration. */
    std::function<void(mesh_config_ptr)> on_config{};
    /*! @brief Address of a node. */
    std::function<void(member_record)> on_member{};
    /*! @brief Something that could not be decoded, or a dependency lost or regained: event, then fields. */
    std::function<void(bool good, const std::string& event, const std::string& fields)> on_event{};
};

/*! @brief Port to the platform: names, formats and calls. */
class mesh_platform {
public:
    virtual ~mesh_platform() = default;

    /*! @brief Returns the header names. */
    [[nodiscard]] virtual const wire_headers& headers() const noexcept = 0;

    /**
     * @brief Decodes a configuration.
     * @param document Text.
     * @return The configuration, or why none of it can be used.
     */
    [[nodiscard]] virtual result<mesh_config_ptr> decode_config(const std::string& document) const = 0;

    /**
     * @brief Decodes a report of a target.
     * @param request Request to the address for reports.
     * @return The report, or why it names no target.
     */
    [[nodiscard]] virtual result<target_report> decode_report(const http_message& request) const = 0;

    /**
     * @brief Decodes the answer to a liveness check.
     * @param answer Answer.
     * @return What it tells, or nothing if the target is not healthy.
     */
    [[nodiscard]] virtual std::optional<target_health> decode_health(const http_message& answer) const = 0;

    /**
     * @brief Finds the request on whose behalf a target makes a call.
     * @param attempt Id of the call.
     * @return Id of the request that the target would be running; empty if the id tells of none.
     */
    [[nodiscard]] virtual std::string parent_of(const std::string& attempt) const = 0;

    /**
     * @brief Checks whether a request is the readiness check.
     * @param request Request.
     * @return True if it is.
     */
    [[nodiscard]] virtual bool is_ready_check(const http_message& request) const = 0;

    /**
     * @brief Begins to read the store and keeps on until it is destroyed.
     * @param events Receives what it tells, on the event loop.
     */
    virtual void watch(platform_events events) = 0;

    /**
     * @brief Writes the address of this node into the store, until the store has taken it.
     * @param self Record of this node.
     */
    virtual void announce(const member_record& self) = 0;

    /*! @brief Drops kept connections and reads again, after a suspension. */
    virtual void refresh() = 0;
};

} // namespace kumquatdrift

#endif
