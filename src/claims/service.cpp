#include <kumquatdrift/claims/service.hpp>

#include <algorithm>

#include <claims.grpc.pb.h>

#include "claims/client.hpp"
#include "claims/messages.hpp"
#include "claims/owner_pool.hpp"
#include "claims/owners.hpp"

namespace kumquatdrift {
namespace {

constexpr std::size_t max_threads = 32;

/*! @brief gRPC service through which other nodes reach the partitions that this node owns. */
class claims_endpoint final : public claims::v1::Claims::CallbackService {
public:
    explicit claims_endpoint(internal::owner_pool& owned_partitions) : pool{owned_partitions} {}

    grpc::ServerUnaryReactor* Claim(grpc::CallbackServerContext* context, const claims::v1::ClaimCall* call,
                                    claims::v1::ClaimReply* response) override
    {
        auto* reactor = context->DefaultReactor();
        const auto& claimant = call->claimant();
        this->pool.claim({claimant.route(), claimant.key(), claimant.attempt(),
                          steady_now() + milliseconds{call->remaining_ms()}},
                         [reactor, response](const internal::owner_response& decided) {
                             *response = internal::to_message(decided);
                             reactor->Finish(grpc::Status::OK);
                         });
        return reactor;
    }

    grpc::ServerUnaryReactor* Complete(grpc::CallbackServerContext* context,
                                       const claims::v1::CompleteCall* call,
                                       claims::v1::FollowUpReply* response) override
    {
        auto entry = internal::to_entry(claim_entry_kind::completed, call->claimant());
        entry.response = internal::from_message(call->answer());
        return this->submit(*context, std::move(entry), *response);
    }

    grpc::ServerUnaryReactor* Release(grpc::CallbackServerContext* context,
                                      const claims::v1::ReleaseCall* call,
                                      claims::v1::FollowUpReply* response) override
    {
        return this->submit(*context, internal::to_entry(claim_entry_kind::released, call->claimant()),
                            *response);
    }

private:
    grpc::ServerUnaryReactor* submit(grpc::CallbackServerContext& context, claim_entry entry,
                                     claims::v1::FollowUpReply& response)
    {
        response.set_accepted(this->pool.follow_up(std::move(entry)));
        auto* reactor = context.DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    internal::owner_pool& pool;
};

result<bool> validate(const log_port& log, const std::string& node, const claim_service::view_function& view,
                      const claim_service_settings& settings)
{
    const auto& limits = settings.limits;
    if (!log.append || !log.read || !view || node.empty()) {
        return failure{"the claim service needs a log port, a node name and a member view"};
    }
    if (settings.threads < 1 || settings.threads > max_threads) {
        return failure{"the claim service needs 1 to 32 threads"};
    }
    if (settings.ring_capacity < 1 || settings.max_channels < 1 || limits.max_batch_entries < 1 ||
        limits.read_limit < 1) {
        return failure{"ring_capacity, max_channels, max_batch_entries and read_limit must be at least 1"};
    }
    if (limits.appends_per_second <= 0.0 || limits.append_burst < 1.0) {
        return failure{"appends_per_second must be above 0 and append_burst at least 1"};
    }
    return true;
}

} // namespace

struct claim_service::implementation {
    implementation(log_port log, std::string self, view_function view, const claim_service_settings& settings)
        : node{std::move(self)}, owners{std::move(view)}, pool{std::move(log),
                                                               [this](std::size_t partition) {
                                                                   return this->owns(partition);
                                                               },
                                                               settings},
          client{this->node, this->owners, this->pool, settings}, endpoint{this->pool}
    {
    }

    [[nodiscard]] bool owns(std::size_t partition)
    {
        const auto ranked = this->owners.owners_of(partition);
        return std::any_of(ranked.begin(), ranked.end(),
                           [this](const auto& owner) { return owner.node == this->node; });
    }

    std::string node;
    internal::owner_table owners;
    internal::owner_pool pool;
    internal::claim_client client;
    claims_endpoint endpoint;
};

result<std::unique_ptr<claim_service>> claim_service::create(log_port log, std::string node,
                                                             view_function view,
                                                             const claim_service_settings& settings)
{
    const auto valid = validate(log, node, view, settings);
    if (!valid) {
        return failure{valid.last_reason()};
    }
    auto created =
        std::make_unique<implementation>(std::move(log), std::move(node), std::move(view), settings);
    return std::unique_ptr<claim_service>{new claim_service{std::move(created)}};
}

claim_service::claim_service(std::unique_ptr<implementation> created) noexcept : impl{std::move(created)} {}

claim_service::~claim_service()
{
    this->stop();
}

claim_port claim_service::port()
{
    auto& client = this->impl->client;
    claim_port port;
    port.claim = [&client](const claim_request& request) { return client.claim(request); };
    port.complete = [&client](const claim_request& request, stored_response response) {
        client.follow_up(
            {claim_entry_kind::completed, request.route, request.key, request.attempt, std::move(response)});
    };
    port.release = [&client](const claim_request& request) {
        client.follow_up(
            {claim_entry_kind::released, request.route, request.key, request.attempt, std::nullopt});
    };
    return port;
}

grpc::Service& claim_service::grpc_service() noexcept
{
    return this->impl->endpoint;
}

void claim_service::stop()
{
    this->impl->client.stop();
    this->impl->pool.stop();
}

claim_service_status claim_service::status() const
{
    claim_service_status status;
    this->impl->pool.add_to(status);
    this->impl->client.add_to(status);
    return status;
}

} // namespace kumquatdrift
