#ifndef KUMQUATDRIFT_SRC_MEMBERSHIP_EXCHANGE_SERVER_HPP
#define KUMQUATDRIFT_SRC_MEMBERSHIP_EXCHANGE_SERVER_HPP

#include <mutex>

#include <membership.grpc.pb.h>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/membership/state.hpp>

namespace kumquatdrift::internal {

/*! @brief gRPC service of the digest exchange. Calls run on gRPC threads and lock the mutex of the table. */
class exchange_server : public wire::membership::Service {
public:
    /**
     * @brief Constructs the service. All arguments must outlive it.
     * @param mutex Guards `state` and `rng`.
     * @param state State.
     * @param rng Random engine.
     */
    exchange_server(std::mutex& mutex, membership_state& state, random_engine& rng) noexcept;

    /*! @brief Handles the first step of an exchange. */
    grpc::Status Sync(grpc::ServerContext* context, const wire::sync_request* request,
                      wire::sync_reply* reply) override;

    /*! @brief Handles the second step of an exchange. */
    grpc::Status Fetch(grpc::ServerContext* context, const wire::fetch_request* request,
                       wire::fetch_reply* reply) override;

private:
    std::mutex& mutex;
    membership_state& state;
    random_engine& rng;
};

} // namespace kumquatdrift::internal

#endif
