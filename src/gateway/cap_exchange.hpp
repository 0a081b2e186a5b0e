#ifndef KUMQUATDRIFT_GATEWAY_CAP_EXCHANGE_HPP
#define KUMQUATDRIFT_GATEWAY_CAP_EXCHANGE_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <hop.pb.h>

#include <kumquatdrift/gateway/settings.hpp>
#include <kumquatdrift/mesh/config.hpp>
#include <kumquatdrift/mesh/members.hpp>
#include <kumquatdrift/telemetry/event_log.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>
#include <kumquatdrift/traffic/cap_tokens.hpp>
#include <kumquatdrift/traffic/usage_caps.hpp>

namespace kumquatdrift {

/*! @brief Whether a request is within the usage cap of its account. */
enum class cap_verdict : std::uint8_t {
    /*! @brief It is, or the account has no cap. */
    admitted,
    /*! @brief The cap is reached. */
    over_cap,
    /*! @brief No node that holds most of the cap can be reached. */
    unavailable,
};

/*! @brief Decision on a request, and the expected time until another one is admitted. */
struct cap_decision {
    /*! @brief Verdict. */
    cap_verdict verdict{};
    /*! @brief Time until another request is admitted; 0 if this one is. */
    microseconds wait{};
};

/**
 * @brief Decides, together with the other nodes, which requests are within the usage caps of their accounts.
 *
 * Tokens come from the home node of the account, see `cap_ledger`. Without accounts that have a cap it does
 * nothing and sends nothing.
 */
class cap_exchange {
public:
    /*! @brief Objects and functions that the exchange uses; all must outlive it. */
    struct dependencies {
        /*! @brief Event log. */
        event_log& log;
        /*! @brief Registry of metrics. */
        metrics_registry& metrics;
        /*! @brief Other nodes. */
        const member_table& members;
        /*! @brief Sends a frame to a node; returns false if there is no link to it. */
        std::function<bool(const std::string& node, hop::Frame& frame)> send{};
    };

    /*! @brief Receives the decision on a request. */
    using decision_callback = std::function<void(const cap_decision&)>;

    /*! @brief Identifies a request that waits for a decision; 0 means none. */
    using ticket = std::uint64_t;

    /**
     * @brief Constructs an exchange without caps.
     * @param components Objects and functions that the exchange uses.
     */
    explicit cap_exchange(dependencies components);

    /**
     * @brief Sets what doesn't change while this node runs.
     * @param node Name of this node.
     * @param tolerance Tolerance of the caps.
     */
    void start(std::string_view node, const usage_cap_settings& tolerance);

    /**
     * @brief Sets the accounts.
     * @param accounts Accounts of the configuration in force.
     * @param now Current time.
     */
    void set_accounts(const std::vector<client_account>& accounts, timestamp now);

    /**
     * @brief Requests a decision. At most `cap_tokens::response_timeout` and a tick pass until it is made.
     * @param account Name of the account.
     * @param now Current time.
     * @param done Receives the decision, possibly before this call returns.
     * @return Id for `cancel`; 0 if the decision has been made.
     */
    [[nodiscard]] ticket request(std::string_view account, timestamp now, decision_callback done);

    /**
     * @brief Withdraws a request, for example because its caller has left. Its callback is not called.
     * @param account Name of the account.
     * @param id Id returned by `request`; an unknown id is ignored.
     */
    void cancel(std::string_view account, ticket id);

    /**
     * @brief Adds to the answer to a ping what this node lends.
     * @param pong Answer.
     * @param node Node that sent the ping.
     * @param now Current time.
     */
    void on_ping(hop::Pong& pong, const std::string& node, timestamp now);

    /**
     * @brief Records what another node lends.
     * @param node Node that answered a ping.
     * @param pong Answer.
     * @param now Current time.
     */
    void on_pong(const std::string& node, const hop::Pong& pong, timestamp now);

    /**
     * @brief Hands out tokens to another node.
     * @param message Request.
     * @param now Current time.
     * @return Response.
     */
    [[nodiscard]] hop::CapResponse on_request(const hop::CapRequest& message, timestamp now);

    /**
     * @brief Handles the response of a home node.
     * @param message Response.
     * @param now Current time.
     */
    void on_response(const hop::CapResponse& message, timestamp now);

    /**
     * @brief Updates nodes and shares, and refuses requests whose home node doesn't respond.
     * @param leaving True once this node has begun to shut down.
     * @param now Current time.
     */
    void on_tick(bool leaving, timestamp now);

private:
    struct waiting_request {
        ticket id{};
        decision_callback done{};
    };

    struct account_state {
        cap_tokens tokens{};
        std::deque<waiting_request> waiting{};
    };

    struct node_state {
        std::string name{};
        timestamp reachable_at{};
    };

    void update_nodes(bool leaving, timestamp now);
    void ask(cap_id account, account_state& state, timestamp now);
    void serve_waiting(cap_id account, timestamp now);
    void refuse_waiting(account_state& state, const cap_grant& grant);
    void decide(const decision_callback& done, const cap_decision& decision);
    void report(timestamp now);

    dependencies shared;
    cap_id self{};
    cap_ledger ledger{0, {}};
    std::unordered_map<cap_id, account_state> accounts{};
    std::unordered_map<cap_id, node_state> nodes{};
    /*! @brief Accounts with requests that wait. */
    std::set<cap_id> waiting_accounts{};
    ticket last_ticket{};
    timestamp next_update{};
    timestamp next_report{};
    std::uint64_t reported_changes{};
    counter& admitted;
    counter& over_cap;
    counter& unavailable;
    counter& tokens_asked;
    counter& tokens_granted;
    gauge& homes;
    gauge& held_permille;
};

} // namespace kumquatdrift

#endif
