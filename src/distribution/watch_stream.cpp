#include "distribution/watch_stream.hpp"

namespace kumquatdrift::internal {

watch_stream::watch_stream(parent_hub& owner, grpc::CallbackServerContext* call_context, log_offset first)
    : hub{owner}, context{call_context}, position{first}
{
}

void watch_stream::start(std::shared_ptr<watch_stream> reference,
                         std::optional<distribution::v1::Redirect> redirect)
{
    {
        const std::lock_guard lock{this->mutex};
        this->self = std::move(reference);
        if (this->ending) {
            return;
        }
        if (redirect) {
            *this->event.mutable_redirect() = std::move(*redirect);
            this->writing = true;
            this->ending = true;
        }
    }
    if (redirect) {
        this->write();
        return;
    }
    this->send_next();
}

void watch_stream::send_next()
{
    {
        const std::lock_guard lock{this->mutex};
        if (this->writing || this->ending || !this->prepare_event()) {
            return;
        }
        this->writing = true;
    }
    this->write();
}

void watch_stream::heartbeat(milliseconds write_timeout)
{
    {
        const std::lock_guard lock{this->mutex};
        this->heartbeat_due = true;
        if (this->writing && !this->finished && steady_now() - this->write_started > write_timeout) {
            this->context->TryCancel();
        }
    }
    this->send_next();
}

void watch_stream::end()
{
    {
        const std::lock_guard lock{this->mutex};
        this->ending = true;
        if (this->writing || this->finished) {
            return;
        }
        this->finished = true;
    }
    this->Finish(grpc::Status::OK);
}

void watch_stream::OnWriteDone(bool ok)
{
    auto more = false;
    {
        const std::lock_guard lock{this->mutex};
        this->ending = this->ending || !ok;
        more = !this->ending && this->prepare_event();
        this->writing = more;
        if (!more && !this->ending) {
            return;
        }
        this->finished = !more;
    }
    if (more) {
        this->write();
        return;
    }
    this->Finish(grpc::Status::OK);
}

void watch_stream::OnCancel()
{
    this->end();
}

void watch_stream::OnDone()
{
    const auto last = std::move(this->self);
    this->hub.remove(last);
}

bool watch_stream::prepare_event()
{
    this->write_started = steady_now();
    if (this->hub.next_event(this->position, this->event)) {
        return true;
    }
    if (!this->heartbeat_due) {
        return false;
    }
    this->heartbeat_due = false;
    this->hub.fill_heartbeat(this->event);
    return true;
}

// Must be called without the lock, because gRPC may call `OnWriteDone` on the same thread.
void watch_stream::write()
{
    this->hub.sent_bytes += this->event.ByteSizeLong();
    this->StartWrite(&this->event);
}

} // namespace kumquatdrift::internal
