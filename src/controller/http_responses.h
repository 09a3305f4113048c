// The answers that the controller itself gives, without the leader or the users' service.
#pragma once
#include <cstdint>
#include <optional>
#include <string_view>

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
// Tells a worker that this controller does not lead, and which one does; nothing if it is not known or the
// worker cannot reach it.
[[nodiscard]] Response redirect_response(std::optional<std::string_view> leader);

}  // namespace hareshore
