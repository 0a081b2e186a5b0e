#ifndef KUMQUATDRIFT_GATEWAY_ACCOUNT_ACCESS_HPP
#define KUMQUATDRIFT_GATEWAY_ACCOUNT_ACCESS_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/gateway/platform.hpp>
#include <kumquatdrift/gateway/settings.hpp>
#include <kumquatdrift/http/message.hpp>
#include <kumquatdrift/mesh/client_accounts.hpp>
#include <kumquatdrift/mesh/config.hpp>
#include <kumquatdrift/mesh/config_fetch.hpp>
#include <kumquatdrift/telemetry/event_log.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>

namespace kumquatdrift {

/*! @brief What the decision on a request depends on, besides the request. */
struct access_context {
    /*! @brief What is known about newer configurations. */
    const config_fetch& versions;
    /*! @brief True if the configuration in force is not older than that of other nodes. */
    bool routes_confirmed{};
    /*! @brief Settings of the revocation of keys. */
    const revocation_settings& revocation;
    /*! @brief Current time. */
    timestamp now{};
};

/*! @brief Decision on whether a caller may send a request. */
struct access_decision {
    /*! @brief Status with which the request is rejected; 0 if it is admitted. */
    unsigned status{};
    /*! @brief Cause of the rejection, for the log; empty if it is admitted. */
    std::string_view cause{};
    /*! @brief Account to which the request belongs; null if it is admitted without a key. It lives until the
     * accounts change. */
    const client_account* account{};
};

/*! @brief Decides by the keys of client accounts which requests of callers are admitted. */
class account_access {
public:
    /**
     * @brief Constructs an object without accounts, which admits all requests.
     * @param names Names of the header fields.
     * @param registry Metrics; must not be read after this object is destroyed.
     * @param output Event log; must outlive this object.
     * @param secret Random seed of the hash with which keys are found.
     */
    account_access(const wire_headers& names, metrics_registry& registry, event_log& output,
                   std::uint64_t secret);

    /**
     * @brief Sets the accounts of the configuration in force. Nothing is indexed again if they are the same.
     * @param config Configuration.
     */
    void set_config(const mesh_config& config);

    /**
     * @brief Decides on a request. Nested calls need no decision.
     * @param fields Header fields of the request.
     * @param route Route of the request.
     * @param is_orphan True if the id of the request is that of a nested call whose parent doesn't run here.
     * @param context What the decision depends on besides.
     * @return Decision.
     */
    [[nodiscard]] access_decision decide(const http_fields& fields, const mesh_route& route, bool is_orphan,
                                         const access_context& context) const;

    /**
     * @brief Finds the header fields that are not forwarded to targets: the account, in any spelling, which
     *        only this system states, and the credentials if there are accounts.
     * @param fields Header fields of a request.
     * @return Names of the fields.
     */
    [[nodiscard]] std::vector<std::string> withheld_fields(const http_fields& fields) const;

private:
    const wire_headers& headers;
    event_log& log;
    std::uint64_t hash_secret;
    std::unique_ptr<const client_account_index> index;
};

} // namespace kumquatdrift

#endif
