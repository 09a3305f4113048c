// HTTP/1.1 server: one routine a connection, bounded in number, size and time.
#pragma once
#include <functional>

#include "http/message.h"

namespace hareshore {

class HttpServer {
  public:
    using Handler = std::function<Task<Response>(Request)>;
    HttpServer(Loop& loop, Address at, size_t most_connections, Handler handler);
    void stop() { scope_.cancel(); }
    size_t connections() const { return scope_.size() - 1; }

  private:
    Task<void> accept_all();
    Task<void> serve(int fd);

    Loop& loop_;
    size_t most_;
    Handler handler_;
    FileDescriptor listener_;
    TaskGroup scope_;
};

}  // namespace hareshore
