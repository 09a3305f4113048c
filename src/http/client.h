// HTTP/1.1 client: a small pool of kept connections to one server.
#pragma once
#include <list>
#include <memory>
#include <string>

#include "base/constants.h"
#include "http/message.h"
#include "http/msgpack.h"

namespace hareshore {

// The outcome of one call.
struct CallResult {
    int status = 0;                   // of the response; 0: none was received
    bool maybe_executed = false;      // with status 0: the request was sent and may have been carried out
    bool response_too_large = false;  // with status 0: the response exceeded the limit
    std::string body;
    [[nodiscard]] bool ok() const { return status == 200; }
};

class HttpClient {
  public:
    // Opens up to `max_connections` to `server`; a response's body may have up to `response_limit` bytes.
    // `loop` must outlive the client.
    HttpClient(Loop& loop, Address server, size_t max_connections,
               size_t response_limit = constants::kResponseLimit)
        : loop_(loop),
          server_(server),
          max_connections_(max_connections),
          response_limit_(response_limit),
          connection_freed_(loop) {}

    // Sends one request and receives its response, within `timeout` seconds including the wait for a
    // connection. The client must not be destroyed meanwhile. Never retries: an idle connection that the
    // server has closed is noticed before it is used, as far as the loop has seen.
    Task<CallResult> call(std::string method, std::string path, std::string body, Seconds timeout);

  private:
    struct Exchange {
        CallResult result;
        bool keep_alive = false;  // the connection can be used again
    };

    Task<Exchange> exchange(Stream& stream, const std::string& request, Seconds until) const;
    std::unique_ptr<Stream> take_idle_connection();

    Loop& loop_;
    Address server_;
    size_t max_connections_;
    size_t response_limit_;
    size_t open_ = 0;     // connections in use
    size_t waiting_ = 0;  // calls that wait for a connection
    std::list<std::unique_ptr<Stream>> idle_;
    Condition connection_freed_;
};

}  // namespace hareshore
