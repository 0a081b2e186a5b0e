#include "claims/call.hpp"

#include <algorithm>

#include "claims/messages.hpp"

namespace kumquatdrift::internal {

claim_call::claim_call(claim_request requested) : request{std::move(requested)} {}

const claim_request& claim_call::claim() const noexcept
{
    return this->request;
}

void claim_call::send_local(owner_pool& pool)
{
    {
        const std::lock_guard lock{this->mutex};
        ++this->pending_calls;
    }
    pool.claim(this->request, [self = this->shared_from_this()](owner_response response) {
        self->on_response(std::move(response));
    });
}

void claim_call::send_remote(const claim_stub& stub)
{
    const auto remaining = std::chrono::duration_cast<milliseconds>(this->request.deadline - steady_now());
    const auto call = std::make_shared<remote_call>();
    call->stub = stub;
    fill_claimant(*call->request.mutable_claimant(), this->request);
    call->request.set_remaining_ms(
        static_cast<std::uint32_t>(std::max<milliseconds::rep>(remaining.count(), 1)));
    call->context.set_deadline(std::chrono::system_clock::now() + remaining);
    {
        const std::lock_guard lock{this->mutex};
        ++this->pending_calls;
        this->calls.push_back(call);
    }
    auto done = [self = this->shared_from_this(), call](const grpc::Status& status) {
        if (status.ok()) {
            self->on_response(from_message(call->response));
        }
        else {
            self->on_failure(status.error_message());
        }
    };
    stub->async()->Claim(&call->context, &call->request, &call->response, std::move(done));
}

bool claim_call::wait(timestamp until)
{
    std::unique_lock lock{this->mutex};
    return this->changed.wait_until(lock, until,
                                    [this] { return this->decided || this->pending_calls == 0; });
}

void claim_call::cancel()
{
    const std::lock_guard lock{this->mutex};
    for (const auto& call : this->calls) {
        call->context.TryCancel();
    }
    this->calls.clear();
}

std::optional<owner_response> claim_call::decision()
{
    const std::lock_guard lock{this->mutex};
    return this->decided;
}

bool claim_call::may_be_recorded()
{
    const std::lock_guard lock{this->mutex};
    return this->recorded || this->pending_calls > 0;
}

std::string claim_call::last_reason()
{
    const std::lock_guard lock{this->mutex};
    return this->reason;
}

void claim_call::on_response(owner_response response)
{
    const std::lock_guard lock{this->mutex};
    --this->pending_calls;
    this->recorded = this->recorded || response.recorded;
    if (response.not_owner) {
        this->reason = response.result.reason;
    }
    else if (!this->decided) {
        this->decided = std::move(response);
    }
    this->changed.notify_all();
}

void claim_call::on_failure(std::string cause)
{
    const std::lock_guard lock{this->mutex};
    --this->pending_calls;
    // The owner may have written the claim before the connection failed.
    this->recorded = true;
    this->reason = "the owner of the key cannot be reached: " + std::move(cause);
    this->changed.notify_all();
}

} // namespace kumquatdrift::internal
