#include "claims/channels.hpp"

#include <algorithm>

#include <grpcpp/grpcpp.h>

namespace kumquatdrift::internal {
namespace {

constexpr int reconnect_backoff_ms = 100;
constexpr int max_reconnect_backoff_ms = 2'000;

claim_stub make_stub(const std::string& address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnect_backoff_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_backoff_ms);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    const auto channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
    return claims::v1::Claims::NewStub(channel);
}

} // namespace

claim_channels::claim_channels(std::size_t limit) noexcept : capacity{limit} {}

claim_stub claim_channels::stub_of(const std::string& address)
{
    const std::lock_guard lock{this->mutex};
    auto found = this->channels.find(address);
    if (found == this->channels.end()) {
        if (this->channels.size() >= this->capacity) {
            const auto least_recent = std::min_element(
                this->channels.begin(), this->channels.end(), [](const auto& left, const auto& right) {
                    return left.second.last_used < right.second.last_used;
                });
            this->channels.erase(least_recent);
        }
        found = this->channels.emplace(address, open_channel{make_stub(address), {}}).first;
    }
    found->second.last_used = steady_now();
    return found->second.stub;
}

} // namespace kumquatdrift::internal
