#include "claims/messages.hpp"

namespace kumquatdrift::internal {

claims::v1::StoredAnswer to_message(const stored_response& response)
{
    claims::v1::StoredAnswer message;
    message.set_status(response.status);
    message.set_content_type(response.content_type);
    message.set_has_body(response.body.has_value());
    message.set_body(response.body.value_or(std::string{}));
    return message;
}

stored_response from_message(const claims::v1::StoredAnswer& message)
{
    stored_response response;
    response.status = static_cast<std::uint16_t>(message.status());
    response.content_type = message.content_type();
    if (message.has_body()) {
        response.body = message.body();
    }
    return response;
}

claims::v1::ClaimReply to_message(const owner_response& response)
{
    claims::v1::ClaimReply message;
    message.set_outcome(std::string{to_name(response.result.outcome)});
    if (response.result.response) {
        *message.mutable_answer() = to_message(*response.result.response);
    }
    message.set_retry_after_ms(static_cast<std::uint32_t>(response.result.retry_after.count()));
    message.set_reason(response.result.reason);
    message.set_recorded(response.recorded);
    message.set_not_owner(response.not_owner);
    return message;
}

owner_response from_message(const claims::v1::ClaimReply& message)
{
    owner_response response;
    response.result.outcome =
        from_name<claim_outcome>(message.outcome()).value_or(claim_outcome::unavailable);
    if (response.result.outcome == claim_outcome::completed) {
        response.result.response = from_message(message.answer());
    }
    response.result.retry_after = milliseconds{message.retry_after_ms()};
    response.result.reason = message.reason();
    response.recorded = message.recorded();
    response.not_owner = message.not_owner();
    return response;
}

claim_entry to_entry(claim_entry_kind kind, const claims::v1::Claimant& claimant)
{
    return {kind, claimant.route(), claimant.key(), claimant.attempt(), std::nullopt};
}

} // namespace kumquatdrift::internal
