// HTTP responses that the controller creates itself, without the leader or the user service.
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
    kMisdirectedRequest = 421,  // this controller is not the leader
    kServiceUnavailable = 503,
};

// A response without a body.
[[nodiscard]] Response empty_response(HttpStatus status);
// Tells a worker that this controller is not the leader. `leader`: the leader's label; nullopt if it is
// unknown or the worker cannot reach it.
[[nodiscard]] Response redirect_response(std::optional<std::string_view> leader);

}  // namespace hareshore
