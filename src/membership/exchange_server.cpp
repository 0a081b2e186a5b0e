#include <membership/exchange_server.hpp>

#include <utility>

#include <membership/exchange.hpp>

namespace kumquatdrift::internal {

exchange_server::exchange_server(std::mutex& table_mutex, membership_state& table,
                                 random_engine& engine) noexcept
    : mutex{table_mutex}, state{table}, rng{engine}
{
}

grpc::Status exchange_server::Sync(grpc::ServerContext* /*context*/, const wire::sync_request* request,
                                   wire::sync_reply* reply)
{
    const std::lock_guard lock{this->mutex};
    auto response = handle_sync(this->state, *request, steady_now(), this->rng);
    if (!response) {
        return {grpc::StatusCode::INVALID_ARGUMENT, response.last_reason()};
    }
    *reply = std::move(*response);
    return grpc::Status::OK;
}

grpc::Status exchange_server::Fetch(grpc::ServerContext* /*context*/, const wire::fetch_request* request,
                                    wire::fetch_reply* reply)
{
    const std::lock_guard lock{this->mutex};
    auto response = handle_fetch(this->state, *request, steady_now());
    if (!response) {
        return {grpc::StatusCode::INVALID_ARGUMENT, response.last_reason()};
    }
    *reply = std::move(*response);
    return grpc::Status::OK;
}

} // namespace kumquatdrift::internal
