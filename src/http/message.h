// The messages that an HTTP server handles.
#pragma once
#include <string>

#include "base/address.h"
#include "loop/stream.h"

namespace hareshore {

// A request as its handler gets it.
struct Request {
    std::string method;
    std::string path;   // without the query
    std::string query;  // what follows the question mark, undecoded; empty if there is none
    std::string body;
    bool oversized = false;  // the body exceeded constants::kRequestBodyLimit and was dropped
    bool abandoned = false;  // the sender has closed the connection: nobody waits for the response
    std::string peer;
};

// What a handler answers.
struct Response {
    int status = 200;
    std::string body;
    int retry_after = 0;  // seconds for the Retry-After header; 0: no such header
    std::string type = "application/msgpack";
};

}  // namespace hareshore
