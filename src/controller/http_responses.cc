#include "controller/http_responses.h"

#include <string>
#include <utility>

#include "workers/worker_wire.h"

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

Response redirect_response(std::optional<std::string_view> leader) {
    return make_response(HttpStatus::kMisdirectedRequest, encode_redirect(leader));
}

}  // namespace hareshore
