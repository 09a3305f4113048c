// Requests and responses of the HTTP server.
#pragma once
#include <string>

#include "base/address.h"
#include "loop/stream.h"

namespace hareshore {

// A request as it is passed to its handler.
struct Request {
    std::string method;
    std::string path;   // without the query
    std::string query;  // the part after the question mark, not decoded; empty if there is none
    std::string body;
    bool oversized = false;  // the body exceeded constants::kBodyLimit and was discarded
    bool abandoned = false;  // the client has closed the connection and does not wait for a response
};

// A handler's response.
struct Response {
    int status = 200;
    std::string body;
    int retry_after = 0;  // seconds in the Retry-After header; 0: no such header
    std::string type = "application/msgpack";
};

}  // namespace hareshore
