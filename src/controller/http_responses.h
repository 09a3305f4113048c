// The answers that the controller itself gives, without the leader or the users' service.
#pragma once
#include <cstdint>
#include <string>

#include "http/message.h"

namespace hareshore {

enum class HttpStatus : uint16_t {
    kOk = 200,
    kBadRequest = 400,
    kMethodNotAllowed = 405,
    kMisdirectedRequest = 421,  // another controller leads
    kServiceUnavailable = 503,
};

// An answer without a body.
[[nodiscard]] Response empty_response(HttpStatus status);
// Tells a worker that this controller does not lead, and which one does.
[[nodiscard]] Response redirect_response(const std::string& leader);
// Tells a worker that this controller does not lead and cannot tell which one it should send to.
[[nodiscard]] Response redirect_response_without_leader();

}  // namespace hareshore
