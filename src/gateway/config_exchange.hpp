#ifndef KUMQUATDRIFT_GATEWAY_CONFIG_EXCHANGE_HPP
#define KUMQUATDRIFT_GATEWAY_CONFIG_EXCHANGE_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <hop.pb.h>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/token_bucket.hpp>
#include <kumquatdrift/mesh/config.hpp>
#include <kumquatdrift/mesh/config_fetch.hpp>
#include <kumquatdrift/telemetry/event_log.hpp>

namespace kumquatdrift {

/**
 * @brief Exchanges configurations with other nodes.
 *
 * A node that learns of a newer version asks one node at a time for it. The response is a difference to the
 * version that the asking node has, so that a change costs bytes for what has changed, whatever the number of
 * routes.
 */
class config_exchange {
public:
    /*! @brief Objects and functions that the exchange uses; all must outlive it. */
    struct dependencies {
        /*! @brief Event log. */
        event_log& log;
        /*! @brief Random engine. */
        random_engine& rng;
        /*! @brief Other nodes. */
        const member_table& members;
        /*! @brief Sends a frame to a node; returns false if there is no link to it. */
        std::function<bool(const std::string& node, hop::Frame& frame)> send{};
        /*! @brief Receives version and document of a newer configuration. */
        std::function<void(std::uint32_t version, const std::string& document)> on_document{};
    };

    /**
     * @brief Constructs an exchange without a configuration.
     * @param components Objects and functions that the exchange uses.
     * @param now Start of this node.
     */
    config_exchange(dependencies components, timestamp now);

    /**
     * @brief Sets the configuration in force.
     * @param newest Configuration.
     */
    void set_config(mesh_config_ptr newest);

    /**
     * @brief Records the version that another node runs.
     * @param version Version.
     * @param now Current time.
     */
    void observe_version(std::uint32_t version, timestamp now)
    {
        kumquatdrift::observe_version(this->fetch, version, now);
    }

    /**
     * @brief Records that the store showed no newer version than the one in force.
     * @param sent Time at which the read was sent.
     * @param now Current time.
     */
    void on_store_current(timestamp sent, timestamp now)
    {
        confirm_version(this->fetch, this->fetch.version, now);
        prove_version(this->fetch, this->fetch.version, sent);
    }

    /**
     * @brief Records the age of the proof of another node, which it stated in response to a ping.
     * @param version Version of the other node.
     * @param age Age of the proof.
     * @param asked Time at which the ping was sent.
     */
    void on_peer_proof(std::uint32_t version, microseconds age, timestamp asked)
    {
        prove_version(this->fetch, version, asked - age);
    }

    /**
     * @brief Returns the age of the proof that the version in force is the newest, for other nodes.
     * @param now Current time.
     * @return Age, rounded up; nothing without client accounts or without a proof of the last hour.
     */
    [[nodiscard]] std::optional<milliseconds> proven_age(timestamp now) const noexcept;

    /**
     * @brief Records when another node last knew its version to be the newest.
     * @param version Version of the other node.
     * @param age Time since then.
     * @param now Current time.
     */
    void on_peer_age(std::uint32_t version, microseconds age, timestamp now)
    {
        confirm_version(this->fetch, version, now - age);
    }

    /**
     * @brief Returns the time since the version in force was known to be the newest.
     * @param now Current time.
     * @return Time, at most an hour; nothing if it was never known.
     */
    [[nodiscard]] std::optional<milliseconds> age(timestamp now) const noexcept;

    /**
     * @brief Responds to a request of another node.
     * @param node Node that asks.
     * @param request Request.
     * @param now Current time.
     * @return Response.
     */
    [[nodiscard]] hop::Configuration on_request(const std::string& node,
                                                const hop::ConfigurationRequest& request, timestamp now);

    /**
     * @brief Handles the response of another node, or a document that it sent unasked.
     * @param node Node that sent it.
     * @param message Response.
     * @param now Current time.
     */
    void on_response(const std::string& node, const hop::Configuration& message, timestamp now);

    /**
     * @brief Asks another node for a newer configuration, if it is time to.
     * @param data_centre Data centre of this node.
     * @param now Current time.
     */
    void on_tick(std::string_view data_centre, timestamp now);

    /*! @copydoc kumquatdrift::take_store_read */
    [[nodiscard]] bool take_store_read(timestamp now)
    {
        return kumquatdrift::take_store_read(this->fetch, now);
    }

    /*! @copydoc kumquatdrift::follows_store */
    [[nodiscard]] bool follows_store(const member_record& self, timestamp now)
    {
        return kumquatdrift::follows_store(this->fetch, self, this->shared.members, now);
    }

    /*! @brief Returns the version in force; 0 if there is none. */
    [[nodiscard]] std::uint32_t version() const noexcept
    {
        return this->fetch.version;
    }

    /*! @brief Returns what this node knows about newer configurations. */
    [[nodiscard]] const config_fetch& state() const noexcept
    {
        return this->fetch;
    }

private:
    [[nodiscard]] const std::string* known_document(std::uint32_t version) const;
    [[nodiscard]] result<std::string> restore_document(const hop::Configuration& message) const;

    dependencies shared;
    config_fetch fetch{};
    mesh_config_ptr config{};
    /*! @brief Versions and documents that were in force before, latest first. */
    std::deque<std::pair<std::uint32_t, std::string>> previous{};
    /*! @brief The current document, compressed for receivers of the version that is the key; 0 for none. */
    std::map<std::uint32_t, std::string> compressed{};
    token_bucket send_budget;
};

} // namespace kumquatdrift

#endif
