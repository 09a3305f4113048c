#include "http/server.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "base/constants.h"
#include "base/log.h"
#include "http/request_parser.h"

namespace hareshore {

namespace {

const char* reason_phrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 201:
            return "Created";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 409:
            return "Conflict";
        case 421:
            return "Misdirected Request";
        case 422:
            return "Unprocessable Entity";
        case 429:
            return "Too Many Requests";
        case 503:
            return "Service Unavailable";
        default:
            return "Status";
    }
}

enum class AfterResponse : uint8_t { kKeepAlive, kClose };

std::string render(const Response& response, AfterResponse after) {
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ' + reason_phrase(response.status) +
                       "\r\nContent-Type: " + response.type +
                       "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (response.retry_after > 0) text += "Retry-After: " + std::to_string(response.retry_after) + "\r\n";
    if (after == AfterResponse::kClose) text += "Connection: close\r\n";
    return text + "\r\n" + response.body;
}

AfterResponse after_response(bool keep_alive) {
    return keep_alive ? AfterResponse::kKeepAlive : AfterResponse::kClose;
}

// The deadline for reading from a connection: a request must begin within the idle timeout and then be
// complete within the read timeout.
class ReadDeadline {
  public:
    explicit ReadDeadline(Seconds now) { await_request(now); }

    void await_request(Seconds now) {
        request_started_ = false;
        time_ = now + constants::kIdleConnectionTimeout_s;
    }
    void bytes_received(Seconds now) {
        if (request_started_) return;
        request_started_ = true;
        time_ = now + constants::kRequestReadTimeout_s;
    }
    [[nodiscard]] Seconds time() const { return time_; }

  private:
    bool request_started_ = false;
    Seconds time_ = 0;
};

std::string render_bad_request(AfterResponse after) {
    return render({.status = 400, .body = ""}, after);
}

}  // namespace

HttpServer::HttpServer(Loop& loop, Address address, size_t max_connections, Handler handler)
    : loop_(loop),
      max_connections_(max_connections),
      handler_(std::move(handler)),
      listener_(loop, listen_on(address)),
      tasks_(loop) {
    tasks_.spawn(accept_all(), "http accept");
}

Task<void> HttpServer::accept_all() {
    for (size_t accepted = 1;; ++accepted) {
        if (accepted % constants::kAcceptsPerTurn == 0) co_await loop_.yield();
        tl::expected<int, AcceptError> fd = accept_connection(listener_.fd());
        if (!fd && fd.error() == AcceptError::kNoneWaiting) {
            co_await loop_.readable(listener_, kNoTimeLimit);
        } else if (!fd) {
            co_await loop_.sleep(constants::kAcceptRetryPause_s);
        } else if (tasks_.size() > max_connections_) {
            close(*fd);
        } else {
            tasks_.spawn(serve(*fd), "http connection");
        }
    }
}

Task<void> HttpServer::serve(int fd) {
    Stream stream(loop_, fd);
    RequestParser parser;
    std::string pipelined;  // bytes received after a complete request
    ReadDeadline deadline(loop_.now());
    bool rejected = false;  // the response to the current request was sent before it was complete
    while (true) {
        std::string_view input = pipelined;
        if (input.empty()) {
            Stream::Read received = co_await stream.read(deadline.time());
            if (!received.ok()) co_return;
            input = received.bytes;
            deadline.bytes_received(loop_.now());
        }
        size_t consumed = parser.parse(input);
        pipelined = std::string(input.substr(consumed));
        if (parser.malformed()) {
            std::string out = render_bad_request(AfterResponse::kClose);
            co_await stream.write(out, loop_.now() + constants::kSendTimeout_s);
            co_return;
        }
        // Rejected at once; the rest of the body is read and discarded.
        if (parser.oversized() && !rejected) {
            rejected = true;
            std::string out = render_bad_request(AfterResponse::kKeepAlive);
            if (!co_await stream.write(out, loop_.now() + constants::kSendTimeout_s)) co_return;
        }
        if (!parser.complete()) continue;
        bool keep_alive = parser.keep_alive();
        if (!rejected) {
            Request request = parser.take_request();
            request.abandoned = stream.hung_up();
            Response response = co_await handler_(std::move(request));
            std::string out = render(response, after_response(keep_alive));
            if (!co_await stream.write(out, loop_.now() + constants::kSendTimeout_s)) co_return;
        }
        if (!keep_alive) co_return;
        parser.reset();
        rejected = false;
        deadline.await_request(loop_.now());
    }
}

}  // namespace hareshore
