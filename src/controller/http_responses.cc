#include "controller/http_responses.h"

#include <utility>

#include "workers/workers.h"

namespace hareshore {

namespace {

Response make_response(HttpStatus status, std::string body) {
    Response response;
    response.status = static_cast<int>(status);
    response.body = std::move(body);
    return response;
}

}  // namespace

Response empty_response(HttpStatus status) {
    return make_response(status, "");
}

Response redirect_response(const std::string& leader) {
    return make_response(HttpStatus::kMisdirectedRequest, pack_redirect(leader));
}

Response redirect_response_without_leader() {
    return make_response(HttpStatus::kMisdirectedRequest, pack_redirect(""));
}

}  // namespace hareshore
