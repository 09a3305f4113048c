// HTTP/1.1 client with a small pool of persistent connections to one server.
#pragma once
#include <list>
#include <memory>
#include <string>

#include "base/constants.h"
#include "http/message.h"
#include "http/msgpack.h"

namespace hareshore {

// The result of one call.
struct CallResult {
    int status = 0;                   // of the response; 0: no response was received
    bool maybe_executed = false;      // with status 0: the request was sent and may have been executed
    bool response_too_large = false;  // with status 0: the response exceeded the limit
    std::string body;
    [[nodiscard]] bool ok() const { return status == 200; }
};

class HttpClient {
  public:
    // Opens up to `max_connections` connections to `server`. The body of a response may have up to
    // `response_limit` bytes. `loop` must outlive the client.
    HttpClient(Loop& loop, Address server, size_t max_connections,
               size_t response_limit = constants::kResponseLimit)
        : loop_(loop),
          server_(server),
          max_connections_(max_connections),
          response_limit_(response_limit),
          connection_freed_(loop) {}

    // Sends one request and receives its response within `timeout` seconds, including the wait for a
    // connection. The client must outlive the returned task. Never retries; instead, an idle
    // connection that the server has closed, according to the events received so far, is not reused.
    Task<CallResult> call(std::string method, std::string path, std::string body, Seconds timeout);

  private:
    struct Exchange {
        CallResult result;
        bool keep_alive = false;  // the connection can be reused
    };

    Task<Exchange> exchange(Stream& stream, const std::string& request, Seconds deadline) const;
    std::unique_ptr<Stream> take_idle_connection();

    Loop& loop_;
    Address server_;
    size_t max_connections_;
    size_t response_limit_;
    size_t in_use_ = 0;   // connections in use
    size_t waiting_ = 0;  // calls that wait for a connection
    std::list<std::unique_ptr<Stream>> idle_;
    Condition connection_freed_;
};

}  // namespace hareshore
