#include <membership/exchange_client.hpp>

#include <algorithm>
#include <chrono>
#include <optional>

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

#include <membership.grpc.pb.h>

#include <membership/exchange.hpp>

namespace kumquatdrift::internal {
namespace {

constexpr std::size_t max_channels = 4; // each takes about 60 KB
constexpr milliseconds call_timeout{2'000};

void set_deadline(grpc::ClientContext& context)
{
    context.set_deadline(std::chrono::system_clock::now() + call_timeout);
}

} // namespace

/*! @brief One exchange with its messages. Shared with gRPC until its callbacks have run. */
struct exchange_call {
    std::unique_ptr<wire::membership::Stub> stub{};
    grpc::ClientContext sync_context{};
    grpc::ClientContext fetch_context{};
    wire::sync_request sync_request{};
    wire::sync_reply sync_reply{};
    wire::fetch_request fetch_request{};
    wire::fetch_reply fetch_reply{};
    bool fetching{};
    bool truncated{};
};

exchange_client::exchange_client() : completions{std::make_shared<bounded_ring<completion>>(2)} {}

exchange_client::~exchange_client()
{
    if (this->current) {
        this->current->sync_context.TryCancel();
        this->current->fetch_context.TryCancel();
        static_cast<void>(this->completions->pop(call_timeout));
    }
}

void exchange_client::run(membership_state& state, timestamp now, random_engine& rng)
{
    while (const auto done = this->completions->pop(microseconds{0})) {
        this->process(state, *done, now);
    }
    if (!this->current) {
        this->begin(state, now, rng);
    }
}

void exchange_client::begin(membership_state& state, timestamp now, random_engine& rng)
{
    const auto peer = next_exchange_peer(state, now, rng);
    if (!peer || peer->control_port == 0) {
        return;
    }
    const auto address = peer->ip + ":" + std::to_string(peer->control_port);
    auto call = std::make_shared<exchange_call>();
    call->stub = wire::membership::NewStub(this->channel_to(address));
    call->sync_request = begin_exchange(state, now);
    set_deadline(call->sync_context);
    this->current = call;
    call->stub->async()->Sync(&call->sync_context, &call->sync_request, &call->sync_reply,
                              [call, ring = this->completions](const grpc::Status& status) {
                                  static_cast<void>(ring->try_push({call, status.ok()}));
                              });
}

void exchange_client::fetch(const std::shared_ptr<exchange_call>& call)
{
    call->fetching = true;
    set_deadline(call->fetch_context);
    call->stub->async()->Fetch(&call->fetch_context, &call->fetch_request, &call->fetch_reply,
                               [call, ring = this->completions](const grpc::Status& status) {
                                   static_cast<void>(ring->try_push({call, status.ok()}));
                               });
}

void exchange_client::process(membership_state& state, const completion& done, timestamp now)
{
    const auto& [call, succeeded] = done;
    if (!succeeded) {
        fail_exchange(state, now);
        this->current.reset();
        return;
    }
    if (call->fetching) {
        finish_exchange(state, call->fetch_reply, call->truncated, now);
        this->current.reset();
        return;
    }
    auto step = continue_exchange(state, call->sync_reply, now);
    if (!step) {
        fail_exchange(state, now);
        this->current.reset();
        return;
    }
    call->truncated = step->truncated;
    if (!step->request) {
        finish_exchange(state, std::nullopt, step->truncated, now);
        this->current.reset();
        return;
    }
    call->fetch_request = std::move(*step->request);
    this->fetch(call);
}

std::shared_ptr<grpc::Channel> exchange_client::channel_to(const std::string& address)
{
    const auto found = std::find_if(this->channels.begin(), this->channels.end(),
                                    [&](const auto& entry) { return entry.first == address; });
    if (found != this->channels.end()) {
        return found->second;
    }
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(static_cast<int>(max_exchange_bytes));
    auto channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
    this->channels.emplace_back(address, channel);
    if (this->channels.size() > max_channels) {
        this->channels.pop_front();
    }
    return channel;
}

} // namespace kumquatdrift::internal
