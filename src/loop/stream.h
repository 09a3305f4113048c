// TCP connections on the event loop: connecting, listening, and non-blocking reads and writes.
#pragma once
#include <cstdint>
#include <memory>
#include <string_view>
#include <tl/expected.hpp>

#include "base/address.h"
#include "loop/loop.h"

namespace hareshore {

// Owns a connected stream socket. One coroutine may read while another writes.
class Stream {
  public:
    // Takes ownership of `fd`, a connected non-blocking socket.
    Stream(Loop& loop, int fd) : Stream(loop, std::make_unique<FileDescriptor>(loop, fd)) {}
    Stream(Loop& loop, std::unique_ptr<FileDescriptor> file) : loop_(loop), file_(std::move(file)) {}

    // The result of one read.
    struct Read {
        enum class Outcome : uint8_t { kBytes, kEnd, kError, kTimeout };
        Outcome outcome = Outcome::kError;
        // A view of the loop's buffer, which all streams share: valid until the reader suspends again.
        std::string_view bytes;
        [[nodiscard]] bool ok() const { return outcome == Outcome::kBytes; }
    };
    // Reads the bytes that have arrived; waits for some until `deadline` on the loop's clock (negative:
    // without limit).
    Task<Read> read(Seconds deadline);
    // Writes all of `bytes`, which must stay valid until the task completes. Returns false if the connection
    // failed or the deadline passed; part of the bytes may have been sent then.
    Task<bool> write(std::string_view bytes, Seconds deadline);
    // Whether an idle connection cannot be reused: according to the events received so far, the peer closed
    // it or sent unrequested bytes. Costs a system call only if an event arrived since the last read.
    [[nodiscard]] bool stale() const;
    // Whether the peer has closed its side, according to the events received so far.
    [[nodiscard]] bool hung_up() const { return file_->hung_up(); }

  private:
    Loop& loop_;
    std::unique_ptr<FileDescriptor> file_;
    bool maybe_more_ =
        false;  // the last read filled the buffer: more bytes may be left without another event
};

// Connects to `address`. Null if the connection could not be established before `deadline`.
Task<std::unique_ptr<Stream>> connect_to(Loop& loop, Address address, Seconds deadline);

// Opens a non-blocking listening socket, which the caller owns. Throws std::system_error.
[[nodiscard]] int listen_on(const Address& address);

enum class AcceptError : uint8_t {
    kNoneWaiting,   // no pending connection
    kNoDescriptor,  // no file descriptor is left, or another persistent error
};
// Accepts one connection from the listening socket `fd`; the caller owns the new non-blocking socket.
[[nodiscard]] tl::expected<int, AcceptError> accept_connection(int fd);

}  // namespace hareshore
