#ifndef KUMQUATDRIFT_TRAFFIC_USAGE_CAPS_HPP
#define KUMQUATDRIFT_TRAFFIC_USAGE_CAPS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift {

/*! @brief Digest of the name of a node or of a client account. */
using cap_id = std::uint64_t;

/*! @brief Tolerance of usage caps: in any window, `(rate * window + burst) * (1 + excess) + slack` requests
 *         may be admitted. */
struct cap_tolerance {
    /*! @brief Length of the sliding window. */
    microseconds window{5'000'000};
    /*! @brief Requests beyond the cap, as a ratio. */
    double excess{0.1};
    /*! @brief Requests beyond the cap and the ratio. */
    double slack{20.0};
};

/*! @brief Usage cap of a client account. */
struct account_cap {
    /*! @brief Account. */
    cap_id account{};
    /*! @brief Requests per second that all nodes together admit; above 0. */
    double rate_per_s{};
    /*! @brief Requests beyond the rate that may be admitted at once. */
    double burst{};
};

/*! @brief What a node states about its shares when it answers a ping. */
struct cap_loan {
    /*! @brief Number of nodes that it knows, by which it divides the caps unless others know more. */
    std::uint32_t nodes{};
    /*! @brief True if it lends the sender of the ping its shares of the accounts whose home that one is. */
    bool lends{};
    /*! @brief Digest of the nodes among which it selects the homes. */
    std::uint32_t view{};
    /*! @brief Known nodes that are not among these, as the lower halves of their ids; empty if they are many.
     */
    std::vector<std::uint32_t> missing{};
};

/*! @brief Response of a home node to a request for tokens. */
struct cap_grant {
    /*! @brief Number of requests that may be admitted within `cap_ledger::token_lifetime`. */
    std::uint32_t granted{};
    /*! @brief Expected time until a further request can be admitted, if fewer were granted than asked for. */
    microseconds wait{};
    /*! @brief True if fewer were granted because the node doesn't hold enough shares, rather than because the
     *         cap was reached. */
    bool unavailable{};
};

/**
 * @brief Shares of the usage caps that this node owns, has lent and has borrowed. Not synchronised, reads no
 * clock.
 *
 * Each node owns an equal share of each cap and lends it to the home node of the account. A home admits at
 * the rate of the shares that it holds. A loan ends for the home a fixed time after it sent the ping, for the
 * lender the same time after its answer, so that a share is in use at one node at most.
 */
class cap_ledger {
public:
    /*! @brief Duration of a loan; exceeds the interval between the pings of an idle link and some delay. */
    static constexpr microseconds loan_time{1'600'000};
    /*! @brief Time for which a token may be used, from when it was asked for. */
    static constexpr microseconds token_lifetime{200'000};
    /*! @brief Time after which a node that knows of no other one takes itself to be the only one. */
    static constexpr microseconds alone_time{5'000'000};
    /*! @brief Maximum number of missing nodes that a loan names. */
    static constexpr std::size_t max_missing = 8;

    /**
     * @brief Constructs a ledger without accounts, on which this node is the only one.
     * @param self This node.
     * @param tolerance Tolerance of the caps.
     */
    cap_ledger(cap_id self, const cap_tolerance& tolerance);

    /**
     * @brief Sets the caps. The tokens of accounts that remain are kept, up to their new caps.
     * @param caps Caps by which requests are admitted from now on.
     * @param now Current time. From the first call with a cap on, nothing is admitted or lent for the time of
     * a loan, because an earlier process of this node may have lent its shares.
     */
    void set_caps(const std::vector<account_cap>& caps, timestamp now);

    /**
     * @brief Adds or updates a node.
     * @param node Node.
     * @param reachable True while it responds and is not about to leave.
     * @param counted False if it has left for good, so that it has no share.
     */
    void set_node(cap_id node, bool reachable, bool counted);

    /**
     * @brief Updates homes, loans and tokens, if it is time to.
     * @param now Current time.
     */
    void refresh(timestamp now);

    /**
     * @brief Lends the shares of this node, in response to a ping.
     * @param borrower Node that sent the ping.
     * @param now Current time.
     * @return What the answer has to state.
     */
    [[nodiscard]] cap_loan lend(cap_id borrower, timestamp now);

    /**
     * @brief Records the shares that another node lends.
     * @param lender Node that answered a ping.
     * @param loan What the answer states.
     * @param ping_sent Time at which the ping was sent.
     * @param now Current time.
     */
    void borrow(cap_id lender, const cap_loan& loan, timestamp ping_sent, timestamp now);

    /**
     * @brief Takes tokens of an account.
     * @param account Account.
     * @param wanted Number of tokens.
     * @param now Current time.
     * @return Number of tokens granted, and when to come back for more.
     */
    [[nodiscard]] cap_grant take(cap_id account, std::uint32_t wanted, timestamp now);

    /**
     * @brief Returns the home of an account.
     * @param account Account.
     * @return Node; nothing if the account has no cap.
     */
    [[nodiscard]] std::optional<cap_id> home_of(cap_id account) const;

    /**
     * @brief Returns the part of an account's cap that this node holds.
     * @param account Account.
     * @return 0 to 1.
     */
    [[nodiscard]] double share_of(cap_id account) const;

    /*! @brief Returns the mean of `share_of` over the accounts whose home this node is; 0 if there is none.
     */
    [[nodiscard]] double mean_share() const;

    /*! @brief Returns the number of accounts whose home this node is. */
    [[nodiscard]] std::size_t home_count() const;

    /*! @brief Returns how often the nodes among which homes are selected have changed. */
    [[nodiscard]] std::uint64_t view_changes() const noexcept
    {
        return this->changes;
    }

    /*! @brief Returns the number of nodes among which homes are selected. */
    [[nodiscard]] std::size_t view_size() const noexcept
    {
        return this->view.size();
    }

    /*! @brief Returns true if no account has a cap. */
    [[nodiscard]] bool empty() const noexcept
    {
        return this->buckets.empty();
    }

private:
    using node_list = std::vector<cap_id>;

    struct node_state {
        bool reachable{};
        bool counted{};
        /*! @brief True if it is among the nodes between which homes are selected. It stays so until what this
         * node has lent it has ended. */
        bool in_view{};
        /*! @brief Time until which it keeps its accounts although it doesn't respond. */
        timestamp kept_until{};
        timestamp lent_until{};
        /*! @brief Time from which on it is lent to: the loans to earlier homes of its accounts end until
         * then.
         */
        timestamp lend_from{};
        timestamp borrowed_until{};
        /*! @brief Part of each cap that it lends. */
        double share{};
        /*! @brief Nodes, in order, that are not among those between which it selects homes. */
        std::shared_ptr<const node_list> missing{};
    };

    struct bucket {
        account_cap cap{};
        cap_id home{};
        double share{};
        double tokens{};
        timestamp filled{};
        /*! @brief Tokens that were asked for in vain lately; decays. */
        double refused{};
    };

    /*! @brief Part of the caps that is lent except for accounts that one of some nodes ranks higher for. */
    struct limited_loan {
        double share{};
        node_list except{};
    };

    [[nodiscard]] std::uint32_t node_count(timestamp now) const;
    [[nodiscard]] bool owns_share(timestamp now) const;
    void update_view(timestamp now);
    [[nodiscard]] cap_id select_home(cap_id account) const;
    void update_buckets(timestamp now);
    void fill(bucket& entry, double share, timestamp now) const;
    [[nodiscard]] double capacity(const bucket& entry) const;
    [[nodiscard]] double fill_rate(const bucket& entry) const;

    cap_id self;
    cap_tolerance tolerance;
    std::map<cap_id, node_state> nodes{};
    std::uint32_t counted_nodes{};
    /*! @brief Nodes among which homes are selected. */
    node_list view{};
    std::unordered_map<cap_id, bucket> buckets{};
    /*! @brief Counted nodes, in order, between which no homes are selected. */
    std::shared_ptr<const node_list> out_of_view{std::make_shared<node_list>()};
    std::uint32_t view_digest{};
    std::optional<timestamp> started{};
    timestamp refreshed{};
    /*! @brief Time at which the first of the loans ends by which the shares were computed. */
    timestamp shares_until{};
    std::uint64_t changes{};
    /*! @brief Largest number of nodes that others have stated lately. */
    std::uint32_t stated_nodes{};
    timestamp stated_until{};
};

} // namespace kumquatdrift

#endif
