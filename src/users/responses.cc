#include "users/responses.h"

#include "base/constants.h"
#include "users/user_wire.h"

namespace hareshore {

Response error_response(int status, const std::string& text) {
    return {.status = status, .body = pack_error(text)};
}

Response retry_response(RetryCause cause) {
    Response response = error_response(cause == RetryCause::kOverload ? 429 : 503, "try again");
    response.retry_after =
        cause == RetryCause::kStoreOutage ? constants::kRetryAfterOutage_s : constants::kRetryAfter_s;
    return response;
}

Response JobResponder::respond(const std::string& id, const JobState& state, JobDetail detail) {
    history_.add_response(id, state.phase);
    if (state.phase == JobPhase::kCancelled) {
        last_cancellation_ = loop_.now();
        on_cancellation_(id);
    }
    bool with_counts = detail == JobDetail::kPhaseAndCounts;
    return {.body = with_counts ? pack_status(id, state.phase, state.done, state.running)
                                : pack_phase(id, state.phase)};
}

}  // namespace hareshore
