// Values, MessagePack, HTTP/1.1 over blocking sockets, time and the record. Used by the stand-ins of this review
// only; shares no code with the project.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace site {

// --- time and record --------------------------------------------------------------------------------

inline double steady() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline const double kStart = steady();
// Seconds since the scenario began.
inline double now() { return steady() - kStart; }
inline void sleep_s(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// record.txt: what was sent, answered and run.
class Record {
  public:
    void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[2000];
        va_list args;
        va_start(args, format);
        std::vsnprintf(text, sizeof text, format, args);
        va_end(args);
        std::lock_guard lock(mutex_);
        if (!file_) return;
        std::fprintf(file_, "%8.3f %s\n", now(), text);
        std::fflush(file_);
    }

  private:
    std::mutex mutex_;
    FILE* file_ = nullptr;
};
inline Record record;

// --- values and MessagePack -------------------------------------------------------------------------

struct Val {
    enum Kind { kNil, kBool, kInt, kNum, kText, kList, kMap } kind = kNil;
    bool flag = false;
    int64_t integer = 0;
    double number = 0;
    std::string text;
    std::vector<Val> list;
    std::vector<std::pair<std::string, Val>> map;

    Val() = default;
    Val(bool v) : kind(kBool), flag(v) {}
    Val(int v) : kind(kInt), integer(v) {}
    Val(int64_t v) : kind(kInt), integer(v) {}
    Val(uint64_t v) : kind(kInt), integer(static_cast<int64_t>(v)) {}
    Val(double v) : kind(kNum), number(v) {}
    Val(const char* v) : kind(kText), text(v) {}
    Val(std::string v) : kind(kText), text(std::move(v)) {}
    static Val list_of(std::vector<Val> v = {}) {
        Val r;
        r.kind = kList;
        r.list = std::move(v);
        return r;
    }
    static Val map_of(std::vector<std::pair<std::string, Val>> v = {}) {
        Val r;
        r.kind = kMap;
        r.map = std::move(v);
        return r;
    }
    const Val& operator[](const std::string& key) const {
        static const Val none;
        for (const auto& [k, v] : map)
            if (k == key) return v;
        return none;
    }
    bool nil() const { return kind == kNil; }
    int64_t as_int(int64_t otherwise = 0) const {
        if (kind == kInt) return integer;
        if (kind == kNum) return static_cast<int64_t>(number);
        return otherwise;
    }
    double as_num(double otherwise = 0) const {
        if (kind == kInt) return static_cast<double>(integer);
        if (kind == kNum) return number;
        return otherwise;
    }
    bool as_bool() const { return kind == kBool && flag; }
};

inline void put_be(std::string& out, uint64_t value, int bytes) {
    for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>((value >> (8 * i)) & 0xff);
}
inline void pack(std::string& out, const Val& v) {
    switch (v.kind) {
        case Val::kNil: out += '\xc0'; break;
        case Val::kBool: out += v.flag ? '\xc3' : '\xc2'; break;
        case Val::kInt:
            if (v.integer >= 0) {
                out += '\xcf';
            } else {
                out += '\xd3';
            }
            put_be(out, static_cast<uint64_t>(v.integer), 8);
            break;
        case Val::kNum: {
            uint64_t bits;
            std::memcpy(&bits, &v.number, 8);
            out += '\xcb';
            put_be(out, bits, 8);
            break;
        }
        case Val::kText:
            if (v.text.size() < 32) {
                out += static_cast<char>(0xa0 | v.text.size());
            } else {
                out += '\xda';
                put_be(out, v.text.size(), 2);
            }
            out += v.text;
            break;
        case Val::kList:
            out += '\xdd';
            put_be(out, v.list.size(), 4);
            for (const auto& e : v.list) pack(out, e);
            break;
        case Val::kMap:
            out += '\xdf';
            put_be(out, v.map.size(), 4);
            for (const auto& [k, e] : v.map) {
                pack(out, Val(k));
                pack(out, e);
            }
            break;
    }
}
inline std::string packed(const Val& v) {
    std::string out;
    pack(out, v);
    return out;
}

class Unpacker {
  public:
    explicit Unpacker(const std::string& bytes) : b_(bytes) {}
    std::optional<Val> whole() {
        Val v = value(0);
        if (bad_ || at_ != b_.size()) return std::nullopt;
        return v;
    }

  private:
    uint64_t be(int n) {
        if (at_ + static_cast<size_t>(n) > b_.size()) {
            bad_ = true;
            return 0;
        }
        uint64_t v = 0;
        for (int i = 0; i < n; ++i) v = (v << 8) | static_cast<uint8_t>(b_[at_++]);
        return v;
    }
    Val text(size_t n) {
        if (at_ + n > b_.size()) {
            bad_ = true;
            return {};
        }
        Val v(b_.substr(at_, n));
        at_ += n;
        return v;
    }
    Val list(size_t n, int depth) {
        Val v = Val::list_of();
        for (size_t i = 0; i < n && !bad_; ++i) v.list.push_back(value(depth + 1));
        return v;
    }
    Val map(size_t n, int depth) {
        Val v = Val::map_of();
        for (size_t i = 0; i < n && !bad_; ++i) {
            Val k = value(depth + 1);
            v.map.emplace_back(k.text, value(depth + 1));
        }
        return v;
    }
    Val value(int depth) {
        if (depth > 30) bad_ = true;
        auto t = static_cast<uint8_t>(be(1));
        if (bad_) return {};
        if (t < 0x80) return Val(static_cast<int64_t>(t));
        if (t < 0x90) return map(t & 15, depth);
        if (t < 0xa0) return list(t & 15, depth);
        if (t < 0xc0) return text(t & 31);
        if (t >= 0xe0) return Val(static_cast<int64_t>(static_cast<int8_t>(t)));
        switch (t) {
            case 0xc0: return {};
            case 0xc2: return Val(false);
            case 0xc3: return Val(true);
            case 0xca: {
                auto bits = static_cast<uint32_t>(be(4));
                float f;
                std::memcpy(&f, &bits, 4);
                return Val(static_cast<double>(f));
            }
            case 0xcb: {
                uint64_t bits = be(8);
                double d;
                std::memcpy(&d, &bits, 8);
                return Val(d);
            }
            case 0xcc: return Val(be(1));
            case 0xcd: return Val(be(2));
            case 0xce: return Val(be(4));
            case 0xcf: return Val(be(8));
            case 0xd0: return Val(static_cast<int64_t>(static_cast<int8_t>(be(1))));
            case 0xd1: return Val(static_cast<int64_t>(static_cast<int16_t>(be(2))));
            case 0xd2: return Val(static_cast<int64_t>(static_cast<int32_t>(be(4))));
            case 0xd3: return Val(static_cast<int64_t>(be(8)));
            case 0xd9: return text(be(1));
            case 0xda: return text(be(2));
            case 0xdb: return text(be(4));
            case 0xdc: return list(be(2), depth);
            case 0xdd: return list(be(4), depth);
            case 0xde: return map(be(2), depth);
            case 0xdf: return map(be(4), depth);
            default: bad_ = true; return {};
        }
    }
    const std::string& b_;
    size_t at_ = 0;
    bool bad_ = false;
};
inline std::optional<Val> unpacked(const std::string& bytes) { return Unpacker(bytes).whole(); }

// The length of a value as JSON without blanks, by which the pages count limits.
inline size_t json_length(const Val& v) {
    switch (v.kind) {
        case Val::kNil: return 4;
        case Val::kBool: return v.flag ? 4 : 5;
        case Val::kInt: return std::to_string(v.integer).size();
        case Val::kNum: {
            char t[40];
            size_t n = static_cast<size_t>(std::snprintf(t, sizeof t, "%.17g", v.number));
            for (int p = 1; p < 17; ++p) {
                char s[40];
                std::snprintf(s, sizeof s, "%.*g", p, v.number);
                if (std::strtod(s, nullptr) == v.number) {
                    n = std::strlen(s) + (std::strpbrk(s, ".e") ? 0 : 2);
                    break;
                }
            }
            return n;
        }
        case Val::kText: return v.text.size() + 2;
        case Val::kList: {
            size_t n = 2;
            for (const auto& e : v.list) n += json_length(e) + 1;
            return v.list.empty() ? n : n - 1;
        }
        case Val::kMap: {
            size_t n = 2;
            for (const auto& [k, e] : v.map) n += k.size() + 4 + json_length(e);
            return v.map.empty() ? n : n - 1;
        }
    }
    return 0;
}

// --- HTTP ------------------------------------------------------------------------------------------

struct HttpRequest {
    std::string method, path, query, body;
    // The value of a field of the query; empty if it is missing.
    std::string field(const std::string& name) const {
        size_t at = 0;
        while (at < query.size()) {
            size_t end = query.find('&', at);
            if (end == std::string::npos) end = query.size();
            if (query.compare(at, name.size() + 1, name + "=") == 0)
                return query.substr(at + name.size() + 1, end - at - name.size() - 1);
            at = end + 1;
        }
        return "";
    }
};
struct HttpResponse {
    int status = 0;  // 0: no response
    std::string body;
    double retry_after = 0;
    bool never = false;  // of a server's handler: send nothing, close the connection
};

inline sockaddr_in loopback(int port) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<uint16_t>(port));
    return a;
}
// A port that is free now. `held` keeps it reserved until it is closed.
// A free port for a program that is started later: below the range from which outgoing connections take theirs.
inline int free_port() {
    static std::random_device random;
    static std::vector<int> given;
    while (true) {
        const int port = 10000 + static_cast<int>(random() % 20000);
        if (std::find(given.begin(), given.end(), port) != given.end()) continue;
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in a = loopback(port);
        const bool free = bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
        close(fd);
        if (!free) continue;
        given.push_back(port);
        return port;
    }
}
inline int listen_on(int& port) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in a = loopback(port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    socklen_t n = sizeof a;
    getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n);
    port = ntohs(a.sin_port);
    return fd;
}

inline bool send_all(int fd, const std::string& bytes, double deadline) {
    size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            sent += static_cast<size_t>(n);
            continue;
        }
        if (n < 0 && errno != EAGAIN && errno != EINTR) return false;
        pollfd p{fd, POLLOUT, 0};
        double left = deadline - steady();
        if (left <= 0 || poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
    }
    return true;
}

// Reads one HTTP message from `fd` into head and body. False at the end of the stream, an error or the deadline.
inline bool read_message(int fd, std::string& buffer, std::string& head, std::string& body, double deadline) {
    size_t want = std::string::npos;
    size_t head_end = std::string::npos;
    while (true) {
        if (head_end == std::string::npos) {
            head_end = buffer.find("\r\n\r\n");
            if (head_end != std::string::npos) {
                head = buffer.substr(0, head_end + 2);
                want = 0;
                for (size_t at = 0; at < head.size();) {
                    size_t end = head.find("\r\n", at);
                    std::string line = head.substr(at, end - at);
                    if (strncasecmp(line.c_str(), "content-length:", 15) == 0)
                        want = std::strtoul(line.c_str() + 15, nullptr, 10);
                    at = end + 2;
                }
            }
        }
        if (head_end != std::string::npos && buffer.size() >= head_end + 4 + want) {
            body = buffer.substr(head_end + 4, want);
            buffer.erase(0, head_end + 4 + want);
            return true;
        }
        pollfd p{fd, POLLIN, 0};
        double left = deadline - steady();
        if (left <= 0 || poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
        char bytes[16384];
        ssize_t n = recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0) return false;
        buffer.append(bytes, static_cast<size_t>(n));
    }
}

// A server with a thread for each connection. Lives until the program ends.
class HttpServer {
  public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;
    // `port` 0: any free one.
    HttpServer(int port, Handler handler) : handler_(std::move(handler)), port_(port) {
        fd_ = listen_on(port_);
        if (fd_ >= 0) std::thread([this] { accept_all(); }).detach();
    }
    bool ok() const { return fd_ >= 0; }
    int port() const { return port_; }
    // Ends the server and its connections: the machine is gone.
    void shut() {
        stopped_ = true;
        shutdown(fd_, SHUT_RDWR);
        close(fd_);
        std::lock_guard lock(mutex_);
        for (int fd : open_) shutdown(fd, SHUT_RDWR);
    }

  private:
    void accept_all() {
        while (!stopped_) {
            int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (stopped_) return;
                sleep_s(0.01);
                continue;
            }
            int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                std::lock_guard lock(mutex_);
                open_.push_back(fd);
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    void serve(int fd) {
        std::string buffer, head;
        while (!stopped_) {
            HttpRequest request;
            if (!read_message(fd, buffer, head, request.body, steady() + 300)) break;
            size_t a = head.find(' '), b = head.find(' ', a + 1);
            request.method = head.substr(0, a);
            request.path = head.substr(a + 1, b - a - 1);
            if (size_t q = request.path.find('?'); q != std::string::npos) {
                request.query = request.path.substr(q + 1);
                request.path.resize(q);
            }
            HttpResponse response = handler_(request);
            if (response.never || stopped_) break;
            std::string out = "HTTP/1.1 " + std::to_string(response.status) +
                              " X\r\nContent-Type: application/msgpack\r\nContent-Length: " +
                              std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
            if (!send_all(fd, out, steady() + 10)) break;
        }
        {
            std::lock_guard lock(mutex_);
            std::erase(open_, fd);
        }
        close(fd);
    }

    Handler handler_;
    int port_;
    int fd_ = -1;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::vector<int> open_;
};

// Connects to a loopback port; -1 if that fails within the time.
inline int connect_port(int port, double deadline) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in a = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) {
        pollfd p{fd, POLLOUT, 0};
        double left = deadline - steady();
        int error = 0;
        socklen_t n = sizeof error;
        if (errno != EINPROGRESS || left <= 0 || poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

// One request on a connection of its own, which is closed afterwards.
inline HttpResponse http_call(int port, const std::string& method, const std::string& path,
                              const std::string& body, double timeout) {
    double deadline = steady() + timeout;
    int fd = connect_port(port, deadline);
    if (fd < 0) return {};
    std::string out = method + ' ' + path + " HTTP/1.1\r\nHost: site\r\nConnection: close\r\n";
    if (!body.empty()) out += "Content-Type: application/msgpack\r\n";
    if (!body.empty() || method != "GET") out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    out += "\r\n" + body;
    HttpResponse response;
    std::string buffer, head;
    if (send_all(fd, out, deadline) && read_message(fd, buffer, head, response.body, deadline)) {
        response.status = std::atoi(head.c_str() + 9);
        if (size_t at = head.find("Retry-After: "); at != std::string::npos)
            response.retry_after = std::atof(head.c_str() + at + 13);
    }
    close(fd);
    return response;
}

}  // namespace site
