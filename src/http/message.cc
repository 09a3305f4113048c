#include "http/message.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <system_error>

#include "base/constants.h"

namespace hareshore {

bool Address::parse(const std::string& text, Address& out) {
    auto colon = text.rfind(':');
    if (colon == std::string::npos) return false;
    in_addr a{};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &a) != 1) return false;
    uint16_t port = 0;
    auto got = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (got.ec != std::errc{} || got.ptr != text.data() + text.size() || port == 0) return false;
    out.ip = a.s_addr;
    out.port = port;
    return true;
}

namespace {
sockaddr_in to_sockaddr(const Address& a) {
    sockaddr_in s{};
    s.sin_family = AF_INET;
    s.sin_addr.s_addr = a.ip;
    s.sin_port = htons(a.port);
    return s;
}
}  // namespace

Task<Stream::Read> Stream::read(Seconds until) {
    std::span<char> buffer = loop_.read_buffer();
    while (true) {
        // After a short read nothing is left, and the next event tells of more (epoll(7), edge-triggered):
        // asking all the same was one system call in four.
        if (!more_ && !file_->hung_up() && co_await loop_.readable(*file_, until) == Wake::kTimeout)
            co_return Read{Read::Outcome::kTimeout, {}};
        ssize_t n = recv(file_->fd(), buffer.data(), buffer.size(), 0);
        more_ = n == static_cast<ssize_t>(buffer.size());
        if (n > 0) co_return Read{Read::Outcome::kBytes, {buffer.data(), static_cast<size_t>(n)}};
        if (n == 0) co_return Read{Read::Outcome::kEnd, {}};
        if (errno == EINTR) {
            more_ = true;
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK) co_return Read{Read::Outcome::kError, {}};
        // Hung up and yet nothing to read: only the writing side has ended, or the event was early.
        if (file_->hung_up() && co_await loop_.readable(*file_, until) == Wake::kTimeout)
            co_return Read{Read::Outcome::kTimeout, {}};
    }
}

Task<bool> Stream::write(std::string_view bytes, Seconds until) {
    while (!bytes.empty()) {
        ssize_t n = send(file_->fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n >= 0) {
            bytes.remove_prefix(static_cast<size_t>(n));
            continue;
        }
        if (errno == EINTR) continue;
        if (errno != EAGAIN && errno != EWOULDBLOCK) co_return false;
        if (co_await loop_.writable(*file_, until) == Wake::kTimeout) co_return false;
    }
    co_return true;
}

bool Stream::stale() const {
    if (!more_ && !file_->unread()) return false;
    char byte = 0;
    ssize_t n = recv(file_->fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

Task<std::unique_ptr<Stream>> connect_to(Loop& loop, Address to, Seconds until) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) co_return nullptr;
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    sockaddr_in sa = to_sockaddr(to);
    int connected = connect(fd, reinterpret_cast<sockaddr*>(&sa), sizeof sa);
    int connect_error = connected == 0 ? 0 : errno;
    // Only now: a socket that does not connect yet counts as hung up.
    auto file = std::make_unique<File>(loop, fd);
    if (connected != 0) {
        if (connect_error != EINPROGRESS) co_return nullptr;
        while (true) {
            if (co_await loop.writable(*file, until) == Wake::kTimeout) co_return nullptr;
            int error = 0;
            socklen_t size = sizeof error;
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error != 0) co_return nullptr;
            // An early edge (EPOLLOUT|EPOLLHUP before connecting) must not pass for a connection.
            sockaddr_in peer{};
            socklen_t len = sizeof peer;
            if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &len) == 0) break;
        }
    }
    co_return std::make_unique<Stream>(loop, std::move(file));
}

int listen_on(const Address& at) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) throw std::system_error(errno, std::generic_category(), "socket");
    int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    // Accepted connections inherit it.
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    sockaddr_in sa = to_sockaddr(at);
    if (bind(fd, reinterpret_cast<sockaddr*>(&sa), sizeof sa) != 0 || listen(fd, constants::kBacklog) != 0) {
        int e = errno;
        close(fd);
        throw std::system_error(e, std::generic_category(), "listen");
    }
    return fd;
}

int accept_from(int fd) {
    while (true) {
        int got = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (got >= 0) return got;
        if (errno == EINTR || errno == ECONNABORTED) continue;
        return errno == EAGAIN || errno == EWOULDBLOCK ? -1 : -2;
    }
}

}  // namespace hareshore
