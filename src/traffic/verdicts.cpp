#include <kumquatdrift/traffic/verdicts.hpp>

#include <algorithm>

namespace kumquatdrift {
namespace {

static_assert(verdict::not_run < verdict::may_have_run && verdict::may_have_run < verdict::ran);

constexpr std::uint16_t first_error_status = 400;
constexpr std::uint16_t first_server_error_status = 500;
constexpr std::uint16_t too_many_requests = 429;

verdict verdict_of_response(const hop_observation& observation) noexcept
{
    const auto status = observation.status.value_or(0);
    if (!observation.verdict_text) {
        // A server error without a verdict does not tell whether the request took effect.
        const auto is_unclear =
            status < 100 || status >= first_server_error_status || status == too_many_requests;
        return is_unclear ? verdict::may_have_run : verdict::ran;
    }
    const auto parsed = from_name<verdict>(*observation.verdict_text);
    if (!parsed) {
        return verdict::may_have_run;
    }
    const auto contradicts = *parsed == verdict::not_run && status < first_error_status;
    return contradicts ? verdict::may_have_run : *parsed;
}

} // namespace

verdict verdict_of(const hop_observation& observation) noexcept
{
    switch (observation.end) {
    case hop_end::answered:
        return verdict_of_response(observation);
    case hop_end::not_sent:
    case hop_end::queue_timed_out:
    case hop_end::connect_refused:
    case hop_end::connect_timed_out:
    case hop_end::connection_lost:
    case hop_end::timed_out:
    case hop_end::cancelled:
    case hop_end::malformed_answer:
        return observation.bytes_sent == 0 ? verdict::not_run : verdict::may_have_run;
    }
    return verdict::may_have_run;
}

verdict combine_verdicts(verdict earlier, verdict latest) noexcept
{
    return std::max(earlier, latest);
}

bool suggests_crash(const hop_observation& observation) noexcept
{
    if (observation.peer == hop_peer::node) {
        return observation.end == hop_end::answered && observation.status == target_lost_status &&
               observation.verdict_text == to_name(verdict::may_have_run);
    }
    return observation.end == hop_end::connection_lost && observation.bytes_sent > 0;
}

bool is_quarantine_rejection(const hop_observation& observation) noexcept
{
    return observation.peer == hop_peer::node && observation.end == hop_end::answered &&
           observation.status == quarantined_status && observation.verdict_text == to_name(verdict::not_run);
}

bool is_reusable(const hop_observation& observation) noexcept
{
    return observation.end == hop_end::answered;
}

} // namespace kumquatdrift
