// HTTP/1.1 server: one coroutine a connection, bounded in number, size and time.
#pragma once
#include <cstddef>
#include <functional>

#include "http/message.h"

namespace hareshore {

class HttpServer {
  public:
    // Answers one request. Requests of different connections are handled concurrently, those of one
    // connection one after the other.
    using Handler = std::function<Task<Response>(Request)>;

    // Listens at `address` at once and accepts up to `max_connections`; further ones are closed, which sends
    // their peers to another controller. Throws std::system_error if it cannot listen. `loop` must outlive
    // the server.
    HttpServer(Loop& loop, Address address, size_t max_connections, Handler handler);

    // Cancels all connections; their coroutines unwind in the loop's next turns.
    void stop() { tasks_.cancel(); }
    // Open connections. Not to be called after stop().
    [[nodiscard]] size_t connections() const { return tasks_.size() - 1; }

  private:
    Task<void> accept_all();
    Task<void> serve(int fd);

    Loop& loop_;
    size_t max_connections_;
    Handler handler_;
    FileDescriptor listener_;
    TaskGroup tasks_;  // accept_all() and one serve() for each connection
};

}  // namespace hareshore
