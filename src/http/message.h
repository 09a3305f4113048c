// What HTTP server and client share: a connection that reads and writes whole messages.
#pragma once
#include <http_parser.h>

#include <string>

#include "loop/loop.h"

namespace hareshore {

struct Request {
    std::string method, path, query, body;
    bool oversized = false;  // the body exceeds the limit and was not kept
    bool abandoned = false;  // its sender has closed the connection: nobody waits for the answer
    std::string peer;
};

struct Response {
    int status = 200;
    std::string body;
    int retry_after = 0;  // seconds; 0: no such header
    std::string type = "application/msgpack";
};

// An IPv4 address with port, "10.0.0.1:8080".
struct Address {
    uint32_t ip = 0;
    uint16_t port = 0;
    static bool parse(const std::string& text, Address& out);
};

// A connected stream socket.
class Stream {
  public:
    Stream(Loop& loop, int fd) : Stream(loop, std::make_unique<File>(loop, fd)) {}
    Stream(Loop& loop, std::unique_ptr<File> file) : loop_(loop), file_(std::move(file)) {}
    struct Read {
        enum class Outcome : uint8_t { kBytes, kEnd, kError, kTimeout };
        Outcome outcome = Outcome::kError;
        // In the loop's buffer, which all streams share: to be used up before the reader waits for anything.
        std::string_view bytes;
        bool ok() const { return outcome == Outcome::kBytes; }
    };
    Task<Read> read(Seconds until);
    Task<bool> write(std::string_view bytes, Seconds until);
    // The peer has closed or sent something unasked, as far as the loop has been told.
    bool stale() const;
    // The peer has closed, as far as the loop has been told.
    bool hung_up() const { return file_->hung_up(); }

  private:
    Loop& loop_;
    std::unique_ptr<File> file_;
    bool more_ = false;  // the last read filled its buffer: more may be there without another event
};

// Null if the connection could not be made in time.
Task<std::unique_ptr<Stream>> connect_to(Loop& loop, Address to, Seconds until);
// A listening socket, or throws std::system_error.
int listen_on(const Address& at);
// Accepts one connection; -1 if none waits, -2 if the process has no socket left.
int accept_from(int fd);

}  // namespace hareshore
