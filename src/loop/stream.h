// TCP connections on the event loop: connecting, listening, and reading and writing without blocking.
#pragma once
#include <cstdint>
#include <memory>
#include <string_view>
#include <tl/expected.hpp>

#include "base/address.h"
#include "loop/loop.h"

namespace hareshore {

// A connected stream socket, which it owns and closes. One coroutine may read while another writes.
class Stream {
  public:
    // Takes over `fd`, a connected non-blocking socket.
    Stream(Loop& loop, int fd) : Stream(loop, std::make_unique<FileDescriptor>(loop, fd)) {}
    Stream(Loop& loop, std::unique_ptr<FileDescriptor> file) : loop_(loop), file_(std::move(file)) {}

    // The result of one read.
    struct Read {
        enum class Outcome : uint8_t { kBytes, kEnd, kError, kTimeout };
        Outcome outcome = Outcome::kError;
        // A view of the loop's buffer, which all streams share: valid until the reader next suspends.
        std::string_view bytes;
        [[nodiscard]] bool ok() const { return outcome == Outcome::kBytes; }
    };
    // Reads what has arrived, waiting for it until `until` on the loop's clock (negative: without limit).
    Task<Read> read(Seconds until);
    // Writes all of `bytes`, which must stay valid meanwhile. False if the connection failed or `until`
    // passed; part of the bytes may have been sent then.
    Task<bool> write(std::string_view bytes, Seconds until);
    // Whether an idle connection cannot be used again: the peer closed it or sent unrequested bytes, as far
    // as the loop has seen. Costs a system call only if an event arrived since the last read.
    [[nodiscard]] bool stale() const;
    // Whether the peer has closed its side, as far as the loop has seen.
    [[nodiscard]] bool hung_up() const { return file_->hung_up(); }

  private:
    Loop& loop_;
    std::unique_ptr<FileDescriptor> file_;
    bool maybe_more_ = false;  // the last read filled its buffer: bytes may be left without another event
};

// Connects to `to`. Null if the connection could not be made before `until`.
Task<std::unique_ptr<Stream>> connect_to(Loop& loop, Address to, Seconds until);

// Opens a non-blocking listening socket, which the caller owns. Throws std::system_error.
[[nodiscard]] int listen_on(const Address& at);

enum class AcceptError : uint8_t {
    kNoneWaiting,   // no connection waits to be accepted
    kNoDescriptor,  // the process has no file descriptor left, or another lasting error
};
// Accepts one connection from the listening socket `fd`; the caller owns the new non-blocking socket.
[[nodiscard]] tl::expected<int, AcceptError> accept_connection(int fd);

}  // namespace hareshore
