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

std::shared_ptr<watcher> watcher::open(const std::string& address, std::string node, std::uint64_t stream_id,
                                       distribution::v1::WatchCall call, config_event_queue events)
{
    const std::shared_ptr<watcher> created{new watcher};
    created->stub = open_distribution_stub(address);
    created->node = std::move(node);
    created->id = stream_id;
    created->call = std::move(call);
    created->events = std::move(events);
    created->self = created;
    created->stub->async()->Watch(&created->context, &created->call, created.get());
    created->StartRead(&created->event);
    created->StartCall();
    return created;
}

void watcher::cancel()
{
    this->context.TryCancel();
}

bool watcher::ended() const noexcept
{
    return this->done;
}

std::uint64_t watcher::stream_id() const noexcept
{
    return this->id;
}

void watcher::OnReadDone(bool ok)
{
    if (!ok) {
        return;
    }
    // If the event queue is full, the `config` thread cannot keep up and the stream is ended. The next stream
    // starts at the offset that the replica has reached by then.
    if (!this->events->try_push(watch_message{this->node, this->id, std::move(this->event)})) {
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
    (void)this->events->try_push(watch_ended{});
}

} // namespace kumquatdrift::internal
