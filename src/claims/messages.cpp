#include "claims/messages.hpp"

namespace kumquatdrift::internal {

claims::v1::StoredAnswer to_message(const stored_answer& answer)
{
    claims::v1::StoredAnswer message;
    message.set_status(answer.status);
    message.set_content_type(answer.content_type);
    message.set_has_body(answer.body.has_value());
    message.set_body(answer.body.value_or(std::string{}));
    return message;
}

stored_answer from_message(const claims::v1::StoredAnswer& message)
{
    stored_answer answer;
    answer.status = static_cast<std::uint16_t>(message.status());
    answer.content_type = message.content_type();
    if (message.has_body()) {
        answer.body = message.body();
    }
    return answer;
}

claims::v1::ClaimReply to_message(const owner_reply& reply)
{
    claims::v1::ClaimReply message;
    message.set_outcome(std::string{to_name(reply.answer.outcome)});
    if (reply.answer.answer) {
        *message.mutable_answer() = to_message(*reply.answer.answer);
    }
    message.set_retry_after_ms(static_cast<std::uint32_t>(reply.answer.retry_after.count()));
    message.set_reason(reply.answer.reason);
    message.set_recorded(reply.recorded);
    message.set_not_owner(reply.not_owner);
    return message;
}

owner_reply from_message(const claims::v1::ClaimReply& message)
{
    owner_reply reply;
    reply.answer.outcome = from_name<claim_outcome>(message.outcome()).value_or(claim_outcome::unavailable);
    if (reply.answer.outcome == claim_outcome::completed) {
        reply.answer.answer = from_message(message.answer());
    }
    reply.answer.retry_after = milliseconds{message.retry_after_ms()};
    reply.answer.reason = message.reason();
    reply.recorded = message.recorded();
    reply.not_owner = message.not_owner();
    return reply;
}

claim_entry to_entry(claim_entry_kind kind, const claims::v1::Claimant& claimant)
{
    return {kind, claimant.route(), claimant.key(), claimant.attempt(), std::nullopt};
}

} // namespace kumquatdrift::internal
