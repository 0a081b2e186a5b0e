#ifndef KUMQUATDRIFT_ROUTING_CHOOSE_HPP
#define KUMQUATDRIFT_ROUTING_CHOOSE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/routing/fwd.hpp>
#include <kumquatdrift/routing/snapshot.hpp>

namespace kumquatdrift {

/*! @brief Load of a target as its node reports it in the load header. */
struct load_report {
    /*! @brief Requests that the target runs. */
    std::uint32_t in_use{};
    /*! @brief Requests that wait at the target's node. */
    std::uint32_t queued{};
    /*! @brief Requests that the target's node lets run at the same time. */
    std::uint32_t slots{1};
};

/**
 * @brief Parses the load header.
 * @param text Text of the form `in_use/queued/slots`.
 * @return The report, or nothing if the text is malformed or the number of slots is 0.
 */
[[nodiscard]] std::optional<load_report> parse_load(std::string_view text) noexcept;

/**
 * @brief Formats the load header.
 * @param report The report.
 * @return Text of the form `in_use/queued/slots`.
 */
[[nodiscard]] std::string format_load(const load_report& report);

/*! @brief What an entry node knows about the load of one endpoint. */
struct endpoint_load {
    /*! @brief Last report. */
    load_report reported{};
    /*! @brief Time of the last report; none until the first. */
    std::optional<timestamp> reported_at{};
    /*! @brief Own requests in flight when the last report arrived; they are part of it. */
    std::uint32_t own_at_report{};
    /*! @brief Own requests in flight. */
    std::uint32_t own_in_flight{};
    /*! @brief Time at which the endpoint appeared; start of its slow start. None if it was there before. */
    std::optional<timestamp> first_seen{};
};

/*! @brief Passive ejection of a node or of one endpoint. */
struct ejection {
    /*! @brief Failures since the last answer. */
    std::uint32_t failures{};
    /*! @brief It is avoided until this time. */
    timestamp until{};
};

/*! @brief Loads and ejections of all endpoints. Not synchronised. */
class load_table {
public:
    /**
     * @brief Adds new endpoints and forgets those that are gone. Called for each new snapshot. Ready
     * endpoints of the first snapshot get no slow start: it is this node that is new.
     * @param snapshot Snapshot in force.
     * @param now Current time.
     */
    void retain(const routing_snapshot& snapshot, timestamp now);

    /**
     * @brief Counts a request that is about to be sent.
     * @param key Key of the endpoint.
     * @param now Current time.
     */
    void on_sent(std::string_view key, timestamp now);

    /**
     * @brief Ends a request that was counted by `on_sent`. Called exactly once for each.
     * @param key Key of the endpoint.
     */
    void on_done(std::string_view key);

    /**
     * @brief Takes the load header of an answer that came from the target, and ends its ejection.
     * @param from Endpoint that answered.
     * @param report Report, or nothing if the answer has none.
     * @param now Current time.
     */
    void on_answer(const endpoint& from, const std::optional<load_report>& report, timestamp now);

    /**
     * @brief Ejects an endpoint for a short time because its node could not reach the target.
     * @param key Key of the endpoint.
     * @param now Current time.
     */
    void on_target_failed(std::string_view key, timestamp now);

    /**
     * @brief Ejects all endpoints of a node for a short time because it refused or broke a connection.
     * @param node Name of the node.
     * @param now Current time.
     */
    void on_node_failed(std::string_view node, timestamp now);

    /**
     * @brief Checks whether an endpoint is to be avoided.
     * @param candidate Endpoint.
     * @param now Current time.
     * @return True if the endpoint or its node is ejected.
     */
    [[nodiscard]] bool is_ejected(const endpoint& candidate, timestamp now) const;

    /**
     * @brief Returns the load of an endpoint.
     * @param key Key of the endpoint.
     * @return The load, or null if the endpoint is unknown.
     */
    [[nodiscard]] const endpoint_load* find(std::string_view key) const;

    /**
     * @brief Returns the number of endpoints.
     * @return Number of endpoints.
     */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct key_hash {
        using is_transparent = void;
        [[nodiscard]] std::size_t operator()(std::string_view key) const noexcept
        {
            return std::hash<std::string_view>{}(key);
        }
    };

    template<typename Value>
    using table = std::unordered_map<std::string, Value, key_hash, std::equal_to<>>;

    endpoint_load& at(std::string_view key, timestamp now);
    void eject(std::string_view name, timestamp now);

    table<endpoint_load> loads{};
    /*! @brief By endpoint key or node name; a key contains a slash, so that they differ. */
    table<ejection> ejections{};
};

/*! @brief Endpoint for one attempt, or a refusal. */
struct endpoint_choice {
    /*! @brief Index into `routed_service::endpoints`; nothing if the attempt is refused as `not_run`. */
    std::optional<std::size_t> endpoint{};
    /*! @brief Suggested time until the caller asks again. Valid only for a refusal. */
    milliseconds retry_after{};
};

/**
 * @brief Chooses the less loaded of two random endpoints, local ones first.
 *
 * If both choices are full, the least loaded local endpoint is taken; if that is full too, the service may
 * spill over to other data centres. Ejected endpoints are avoided unless all are ejected.
 *
 * @param service Service with its endpoints.
 * @param loads Loads of the endpoints.
 * @param excluded Keys of endpoints that earlier attempts of the same call used.
 * @param now Current time.
 * @param rng Random engine.
 * @return The choice.
 */
[[nodiscard]] endpoint_choice choose_endpoint(const routed_service& service, const load_table& loads,
                                              std::span<const std::string> excluded, timestamp now,
                                              random_engine& rng);

} // namespace kumquatdrift

#endif
