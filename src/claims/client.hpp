#ifndef KUMQUATDRIFT_CLAIMS_CLIENT_HPP
#define KUMQUATDRIFT_CLAIMS_CLIENT_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <kumquatdrift/claims/service.hpp>
#include <kumquatdrift/core/bounded_ring.hpp>

#include "claims/channels.hpp"
#include "claims/owner_pool.hpp"
#include "claims/owners.hpp"

namespace kumquatdrift::internal {

class claim_call;

/*! @brief Client side of claims at the entry node, which received the request of the caller: sends claims,
 * completions and releases to the owners. */
class claim_client {
public:
    /**
     * @brief Starts the thread that sends completions and releases.
     * @param self Name of this node.
     * @param table Owners of the partitions.
     * @param local_pool Pool of the partitions that this node owns.
     * @param options Settings.
     */
    claim_client(std::string self, owner_table& table, owner_pool& local_pool,
                 const claim_service_settings& options);

    /*! @brief Stops the thread. */
    ~claim_client();

    claim_client(const claim_client&) = delete;
    claim_client(claim_client&&) = delete;
    claim_client& operator=(const claim_client&) = delete;
    claim_client& operator=(claim_client&&) = delete;

    /**
     * @brief Claims a key. Blocks until the claim is decided or its deadline passes.
     * @param request The request.
     * @return The decision.
     */
    [[nodiscard]] claim_result claim(const claim_request& request);

    /**
     * @brief Queues a completion or a release.
     * @param entry The entry.
     */
    void follow_up(claim_entry entry);

    /*! @brief Stops the thread. Completions and releases still to be retried are discarded and counted. */
    void stop();

    /**
     * @brief Adds the counters of the client to a status.
     * @param status The status.
     */
    void add_to(claim_service_status& status) const;

private:
    struct pending_follow_up {
        claim_entry entry{};
        timestamp expires_at{};
        timestamp retry_at{};
        std::uint32_t failures{};
    };

    using follow_up_queue = bounded_ring<pending_follow_up>;

    void send_claim(const std::shared_ptr<claim_call>& call, const owner_node& owner);
    [[nodiscard]] bool query_owners(const std::shared_ptr<claim_call>& call);
    void run();
    void send_follow_up(pending_follow_up pending);
    void send_remote(pending_follow_up pending, const std::string& address);
    void schedule_retry(pending_follow_up pending);

    std::string node;
    owner_table& owners;
    owner_pool& pool;
    claim_service_settings settings;
    claim_channels channels;
    std::shared_ptr<follow_up_queue> queue;
    std::shared_ptr<follow_up_queue> failed_follow_ups;
    std::vector<pending_follow_up> scheduled_retries{};
    std::atomic<std::uint64_t> remote_calls{};
    std::atomic<std::uint64_t> undelivered_follow_ups{};
    random_engine rng{std::random_device{}()};
    std::atomic<bool> stopped{};
    std::thread thread{};
};

} // namespace kumquatdrift::internal

#endif
