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

/*! @brief Load of a target as reported by its node in the load header. */
struct load_report {
    /*! @brief Requests in progress at the target. */
    std::uint32_t in_use{};
    /*! @brief Requests queued at the target's node. */
    std::uint32_t queued{};
    /*! @brief Concurrency limit that the target's node applies to the target. */
    std::uint32_t slots{1};
};

/**
 * @brief Parses the load header.
 * @param text Text of the form `in_use/queued/slots`.
 * @return The report, or `std::nullopt` if the text is malformed or the number of slots is 0.
 */
[[nodiscard]] std::optional<load_report> parse_load(std::string_view text) noexcept;

/**
 * @brief Formats the load header.
 * @param report The report.
 * @return Text of the form `in_use/queued/slots`.
 */
[[nodiscard]] std::string format_load(const load_report& report);

/*! @brief Load of one endpoint as observed by an entry node. */
struct endpoint_load {
    /*! @brief Last report. */
    load_report reported{};
    /*! @brief Arrival time of the last report; empty until the first one. */
    std::optional<timestamp> reported_at{};
    /*! @brief Requests of this node in flight when the last report arrived; the report includes them. */
    std::uint32_t own_at_report{};
    /*! @brief Requests of this node in flight. */
    std::uint32_t own_in_flight{};
    /*! @brief Time at which the endpoint appeared and its slow start began; empty if it has no slow start. */
    std::optional<timestamp> first_seen{};
};

/*! @brief Passive ejection of a node or of one endpoint. */
struct ejection {
    /*! @brief Consecutive failures since the last response, except those during an ejection. */
    std::uint32_t failures{};
    /*! @brief End of the ejection. */
    timestamp until{};
};

/*! @brief Loads and ejections of all endpoints. Not thread-safe. */
class load_table {
public:
    /**
     * @brief Adds new endpoints and removes those that the snapshot lacks. Called for each new snapshot.
     *
     * Ready endpoints that are added to an empty table get no slow start, because in that case this node has
     * just started, not the targets.
     * An endpoint with requests in flight is kept until they end.
     *
     * @param snapshot Snapshot in force.
     * @param now Current time.
     */
    void update_endpoints(const routing_snapshot& snapshot, timestamp now);

    /**
     * @brief Increments the requests in flight before a request is sent.
     * @param key Key of the endpoint.
     * @param now Current time.
     */
    void on_sent(std::string_view key, timestamp now);

    /**
     * @brief Decrements the requests in flight. Called exactly once for each call of `on_sent`.
     * @param key Key of the endpoint.
     */
    void on_done(std::string_view key);

    /**
     * @brief Records the load report of a response from the target and ends the ejection of the endpoint and
     * of its node.
     * @param from Endpoint that responded.
     * @param report Load report, empty if the response has none.
     * @param now Current time.
     */
    void on_response(const endpoint& from, const std::optional<load_report>& report, timestamp now);

    /**
     * @brief Ejects an endpoint temporarily because its node could not connect to the target, lost the
     * connection or received a malformed response.
     * @param key Key of the endpoint.
     * @param now Current time.
     */
    void on_target_failed(std::string_view key, timestamp now);

    /**
     * @brief Ejects all endpoints of a node temporarily because a connection to it could not be established
     * or was lost.
     * @param node Name of the node.
     * @param now Current time.
     */
    void on_node_failed(std::string_view node, timestamp now);

    /**
     * @brief Checks whether an endpoint is ejected.
     * @param candidate Endpoint.
     * @param now Current time.
     * @return True if the endpoint or its node is ejected.
     */
    [[nodiscard]] bool is_ejected(const endpoint& candidate, timestamp now) const;

    /**
     * @brief Returns the load of an endpoint.
     * @param key Key of the endpoint.
     * @return The load, or null if the table has no entry for the endpoint.
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

    endpoint_load& find_or_add(std::string_view key, timestamp now);
    void eject(std::string_view name, timestamp now);

    table<endpoint_load> loads{};
    /*! @brief By endpoint key or node name; only keys contain a slash, so the two never collide. */
    table<ejection> ejections{};
};

/*! @brief Endpoint for one attempt, or a rejection. */
struct endpoint_choice {
    /*! @brief Index into `routed_service::endpoints`; empty if the attempt is rejected as `not_run`. */
    std::optional<std::size_t> endpoint{};
    /*! @brief Suggested delay before the caller retries. Valid only for a rejection. */
    milliseconds retry_after{};
};

/**
 * @brief Chooses an endpoint by power of two choices: the less loaded of two random local endpoints.
 *
 * If that endpoint is full, the least loaded local endpoint is chosen. If that one is full too, or there is
 * no local endpoint, and the service allows spill-over, an endpoint of another data centre is chosen in the
 * same way; a full local endpoint is still preferred to a full remote one. Ejected endpoints are used only if
 * no other endpoint is eligible.
 *
 * @param service Service with its endpoints.
 * @param loads Loads of the endpoints.
 * @param excluded Keys of the endpoints that earlier attempts of the same call used.
 * @param now Current time.
 * @param rng Random engine.
 * @return The endpoint, or a rejection if no endpoint remains.
 */
[[nodiscard]] endpoint_choice choose_endpoint(const routed_service& service, const load_table& loads,
                                              std::span<const std::string> excluded, timestamp now,
                                              random_engine& rng);

} // namespace kumquatdrift

#endif
