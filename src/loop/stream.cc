#include "loop/stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <span>
#include <system_error>

#include "base/constants.h"

namespace hareshore {

namespace {

sockaddr_in to_sockaddr(const Address& address) {
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = address.ip;
    native.sin_port = htons(address.port);
    return native;
}

bool would_block() {
    return errno == EAGAIN || errno == EWOULDBLOCK;
}

}  // namespace

Task<Stream::Read> Stream::read(Seconds deadline) {
    std::span<char> buffer = loop_.read_buffer();
    while (true) {
        // After a short read the socket is empty, and a new event announces further bytes (epoll(7),
        // edge-triggered). Reads without such an event were one system call in four.
        if (!maybe_more_ && !file_->hung_up() &&
            co_await loop_.readable(*file_, deadline) == WakeReason::kTimeout)
            co_return Read{Read::Outcome::kTimeout, {}};
        ssize_t count = recv(file_->fd(), buffer.data(), buffer.size(), 0);
        maybe_more_ = count == static_cast<ssize_t>(buffer.size());
        if (count > 0) co_return Read{Read::Outcome::kBytes, {buffer.data(), static_cast<size_t>(count)}};
        if (count == 0) co_return Read{Read::Outcome::kEnd, {}};
        if (errno == EINTR) {
            maybe_more_ = true;
            continue;
        }
        if (!would_block()) co_return Read{Read::Outcome::kError, {}};
        // Hung up without bytes to read: only the writing side was closed, or the event was early.
        if (file_->hung_up() && co_await loop_.readable(*file_, deadline) == WakeReason::kTimeout)
            co_return Read{Read::Outcome::kTimeout, {}};
    }
}

Task<bool> Stream::write(std::string_view bytes, Seconds deadline) {
    while (!bytes.empty()) {
        ssize_t count = send(file_->fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count >= 0) {
            bytes.remove_prefix(static_cast<size_t>(count));
            continue;
        }
        if (errno == EINTR) continue;
        if (!would_block()) co_return false;
        if (co_await loop_.writable(*file_, deadline) == WakeReason::kTimeout) co_return false;
    }
    co_return true;
}

bool Stream::stale() const {
    if (!maybe_more_ && !file_->unread()) return false;
    char byte = 0;
    ssize_t count = recv(file_->fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (!would_block());
}

Task<std::unique_ptr<Stream>> connect_to(Loop& loop, Address address, Seconds deadline) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) co_return nullptr;
    int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    sockaddr_in native = to_sockaddr(address);
    int connected = connect(fd, reinterpret_cast<sockaddr*>(&native), sizeof native);
    int connect_error = connected == 0 ? 0 : errno;
    // Registered only now: epoll reports a socket as hung up before connect() is called.
    auto file = std::make_unique<FileDescriptor>(loop, fd);
    if (connected != 0) {
        if (connect_error != EINPROGRESS) co_return nullptr;
        while (true) {
            if (co_await loop.writable(*file, deadline) == WakeReason::kTimeout) co_return nullptr;
            int error = 0;
            socklen_t size = sizeof error;
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error != 0) co_return nullptr;
            // An early edge (EPOLLOUT|EPOLLHUP before connecting) must not be taken for a connection.
            sockaddr_in peer{};
            socklen_t peer_size = sizeof peer;
            if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &peer_size) == 0) break;
        }
    }
    co_return std::make_unique<Stream>(loop, std::move(file));
}

int listen_on(const Address& address) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) throw std::system_error(errno, std::generic_category(), "socket");
    int enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    // Inherited by accepted connections.
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    sockaddr_in native = to_sockaddr(address);
    bool bound = bind(fd, reinterpret_cast<sockaddr*>(&native), sizeof native) == 0;
    if (!bound || listen(fd, constants::kListenBacklog) != 0) {
        int error = errno;
        close(fd);
        throw std::system_error(error, std::generic_category(), "listen");
    }
    return fd;
}

tl::expected<int, AcceptError> accept_connection(int fd) {
    while (true) {
        int accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0) return accepted;
        if (errno == EINTR || errno == ECONNABORTED) continue;
        return tl::unexpected(would_block() ? AcceptError::kNoneWaiting : AcceptError::kNoDescriptor);
    }
}

}  // namespace hareshore
