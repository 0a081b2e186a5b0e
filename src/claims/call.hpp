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

/*! @brief One claim of this node's callers, sent to one or two owners. Shared with the calls in progress. */
class claim_call : public std::enable_shared_from_this<claim_call> {
public:
    /**
     * @brief Constructs a call that was sent to no owner yet.
     * @param claimed The request.
     */
    explicit claim_call(claim_request claimed);

    /*! @brief The request. */
    [[nodiscard]] const claim_request& claim() const noexcept;

    /**
     * @brief Sends the claim to the owner in this process.
     * @param pool Partitions of this node.
     */
    void ask_local(owner_pool& pool);

    /**
     * @brief Sends the claim to another node.
     * @param stub Stub of the node.
     */
    void ask_remote(const claim_stub& stub);

    /**
     * @brief Waits for a decision.
     * @param until End of the wait.
     * @return True if there is a decision or no owner is left that could answer.
     */
    [[nodiscard]] bool wait(timestamp until);

    /*! @brief Cancels what is in progress. */
    void cancel();

    /*! @brief Returns the decision, or nothing. */
    [[nodiscard]] std::optional<owner_reply> decision();

    /*! @brief Returns true if a claim may reach the log without an answer having arrived. */
    [[nodiscard]] bool may_be_recorded();

    /*! @brief Returns the last reason for the lack of a decision. */
    [[nodiscard]] std::string last_reason();

private:
    struct remote_call {
        grpc::ClientContext context{};
        claims::v1::ClaimCall request{};
        claims::v1::ClaimReply reply{};
        claim_stub stub{};
    };

    void on_reply(owner_reply reply);
    void on_failure(std::string reason);

    claim_request request;
    std::mutex mutex{};
    std::condition_variable changed{};
    std::optional<owner_reply> decided{};
    std::size_t outstanding{};
    bool recorded{};
    std::string reason{};
    std::list<std::shared_ptr<remote_call>> calls{};
};

} // namespace kumquatdrift::internal

#endif
