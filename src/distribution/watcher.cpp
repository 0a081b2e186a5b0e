#include "distribution/watcher.hpp"

namespace kumquatdrift::internal {

distribution_stub open_distribution_stub(const std::string& address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(64 * 1'024 * 1'024);
    const auto channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
    return distribution::v1::Distribution::NewStub(channel);
}

std::shared_ptr<watcher> watcher::open(const std::string& address, std::string node, std::uint64_t stream,
                                       distribution::v1::WatchCall call, config_ring ring)
{
    const std::shared_ptr<watcher> made{new watcher};
    made->stub = open_distribution_stub(address);
    made->node = std::move(node);
    made->stream = stream;
    made->call = std::move(call);
    made->ring = std::move(ring);
    made->self = made;
    made->stub->async()->Watch(&made->context, &made->call, made.get());
    made->StartRead(&made->event);
    made->StartCall();
    return made;
}

void watcher::cancel()
{
    this->context.TryCancel();
}

bool watcher::ended() const noexcept
{
    return this->done;
}

std::uint64_t watcher::number() const noexcept
{
    return this->stream;
}

void watcher::OnReadDone(bool ok)
{
    if (!ok) {
        return;
    }
    // A stream that is ahead of the `config` thread is ended; the next one starts at the offset reached by
    // then.
    if (!this->ring->try_push(watch_message{this->node, this->stream, std::move(this->event)})) {
        this->cancel();
        return;
    }
    this->event.Clear();
    this->StartRead(&this->event);
}

void watcher::OnDone(const grpc::Status& /*status*/)
{
    const auto last = std::move(this->self);
    this->done = true;
    (void)this->ring->try_push(watch_ended{});
}

} // namespace kumquatdrift::internal
