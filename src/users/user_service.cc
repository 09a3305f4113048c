#include "users/user_service.h"

#include <algorithm>
#include <utility>

#include "base/constants.h"
#include "users/user_wire.h"

namespace hareshore {

namespace {

// The number of reads that this controller's share of the store's rate limit allows within the timeout of a
// user's read; further requests would only wait until they time out.
size_t max_requests(const Config& config) {
    auto controllers = static_cast<double>(config.peers.size() + 1);
    double reads_per_timeout = config.store_rps * constants::kUserReadTimeout_s / controllers;
    return std::max(constants::kMinConcurrentUserRequests, static_cast<size_t>(reads_per_timeout));
}

// Counts a request as in progress during the lifetime of this object.
class InProgress {
  public:
    explicit InProgress(size_t& count) : count_(count) { ++count_; }
    InProgress(const InProgress&) = delete;
    InProgress& operator=(const InProgress&) = delete;
    ~InProgress() { --count_; }

  private:
    size_t& count_;
};

// Whether the request is refused before the limit on requests in progress applies, since refusing it costs
// nothing.
bool exempt_from_request_limit(RouteError error) {
    return error == RouteError::kUnknownPath || error == RouteError::kSubmitNeedsPost;
}

Response refusal(RouteError error) {
    return error_response(status_of(error), describe(error));
}

}  // namespace

UserService::UserService(Loop& loop, const Config& config, StoreClient& store,
                         const std::vector<MachineType>& machine_types, const RecordFormat& record_format,
                         JobResponder::CancellationListener on_cancellation)
    : reader_(loop, store, history_),
      responder_(loop, history_, std::move(on_cancellation)),
      submissions_(loop, config, store, machine_types, record_format, reader_, history_, responder_),
      jobs_(loop, config, store, record_format, reader_, responder_),
      max_in_progress_(max_requests(config)) {}

Task<Response> UserService::handle(const Request& request) {
    tl::expected<UserRoute, RouteError> route = parse_route(request.method, request.path);
    if (!route && exempt_from_request_limit(route.error())) co_return refusal(route.error());
    if (in_progress_ >= max_in_progress_) co_return retry_response(RetryCause::kOverload);
    if (!route) co_return refusal(route.error());
    InProgress counted(in_progress_);
    switch (route->operation) {
        case UserOperation::kSubmit:
            co_return co_await submissions_.submit(request.body);
        case UserOperation::kQuery:
            co_return co_await jobs_.query(std::move(route->job_id));
        case UserOperation::kCancel:
            co_return co_await jobs_.cancel(std::move(route->job_id));
    }
    co_return refusal(RouteError::kUnknownPath);
}

}  // namespace hareshore
