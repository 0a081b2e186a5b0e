#ifndef KUMQUATDRIFT_CLAIMS_CALL_HPP
#define KUMQUATDRIFT_CLAIMS_CALL_HPP

#include <condition_variable>
#include <cstddef>
#include <list>
#include <memory>
#include <mutex>
#include <optional>

#include <grpcpp/grpcpp.h>

#include "claims/channels.hpp"
#include "claims/owner_pool.hpp"

namespace kumquatdrift::internal {

/*! @brief One claim by a caller of this node, sent to one or two owners. The calls in progress share it. */
class claim_call : public std::enable_shared_from_this<claim_call> {
public:
    /**
     * @brief Constructs a claim that has not been sent to an owner yet.
     * @param requested The request.
     */
    explicit claim_call(claim_request requested);

    /*! @brief Returns the request. */
    [[nodiscard]] const claim_request& claim() const noexcept;

    /**
     * @brief Sends the claim to the owner in this process.
     * @param pool Pool of the partitions that this node owns.
     */
    void send_local(owner_pool& pool);

    /**
     * @brief Sends the claim to another node.
     * @param stub Client stub of the node.
     */
    void send_remote(const claim_stub& stub);

    /**
     * @brief Waits for a decision.
     * @param until Time at which the wait ends.
     * @return True if there is a decision or no call to an owner is in progress.
     */
    [[nodiscard]] bool wait(timestamp until);

    /*! @brief Cancels the remote calls in progress. */
    void cancel();

    /*! @brief Returns the decision, if there is one. */
    [[nodiscard]] std::optional<owner_response> decision();

    /*! @brief Returns true if the log may hold a record of the claim, or may still receive one. */
    [[nodiscard]] bool may_be_recorded();

    /*! @brief Returns the latest reason why an owner made no decision; empty if there is none. */
    [[nodiscard]] std::string last_reason();

private:
    struct remote_call {
        grpc::ClientContext context{};
        claims::v1::ClaimCall request{};
        claims::v1::ClaimReply response{};
        claim_stub stub{};
    };

    void on_response(owner_response response);
    void on_failure(std::string cause);

    claim_request request;
    std::mutex mutex{};
    std::condition_variable changed{};
    std::optional<owner_response> decided{};
    std::size_t pending_calls{};
    bool recorded{};
    std::string reason{};
    std::list<std::shared_ptr<remote_call>> calls{};
};

} // namespace kumquatdrift::internal

#endif
