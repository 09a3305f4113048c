// HTTP/1.1 server with one coroutine per connection and limits on connections, request sizes and times.
#pragma once
#include <cstddef>
#include <functional>

#include "http/message.h"

namespace hareshore {

class HttpServer {
  public:
    // Returns the response to one request. Requests of different connections are handled concurrently, those
    // of one connection in order.
    using Handler = std::function<Task<Response>(Request)>;

    // Starts to listen on `address` and accepts up to `max_connections` connections. Further ones are closed,
    // so that their clients connect to another controller. Throws std::system_error if listening fails.
    // `loop` must outlive the server.
    HttpServer(Loop& loop, Address address, size_t max_connections, Handler handler);

    // Cancels all connections; their coroutines unwind in the next turns of the loop.
    void stop() { tasks_.cancel(); }
    // Number of open connections. Must not be called after stop().
    [[nodiscard]] size_t connections() const { return tasks_.size() - 1; }

  private:
    Task<void> accept_all();
    Task<void> serve(int fd);

    Loop& loop_;
    size_t max_connections_;
    Handler handler_;
    FileDescriptor listener_;
    TaskGroup tasks_;  // accept_all() and one serve() per connection
};

}  // namespace hareshore
