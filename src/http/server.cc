#include "http/server.h"

#include <http_parser.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

namespace {

// Collects one request after the other; http_parser calls back into it.
class RequestParser {
  public:
    RequestParser() {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        http_parser_settings_init(&callbacks_);
        callbacks_.on_url = [](http_parser* parser, const char* data, size_t size) {
            return of(parser).append_url(data, size);
        };
        callbacks_.on_header_field = [](http_parser* parser, const char*, size_t size) {
            return of(parser).count_head(size);
        };
        callbacks_.on_header_value = callbacks_.on_header_field;
        callbacks_.on_headers_complete = [](http_parser* parser) {
            bool has_length = parser->content_length != ULLONG_MAX;
            if (has_length && parser->content_length > constants::kRequestBodyLimit)
                of(parser).request_.oversized = true;
            return 0;
        };
        callbacks_.on_body = [](http_parser* parser, const char* data, size_t size) {
            return of(parser).append_body(data, size);
        };
        callbacks_.on_message_complete = [](http_parser* parser) {
            of(parser).complete_ = true;
            http_parser_pause(parser, 1);
            return 0;
        };
    }
    RequestParser(const RequestParser&) = delete;  // the parser points to it
    RequestParser& operator=(const RequestParser&) = delete;

    // Takes received bytes up to the end of the request; returns how many it took.
    size_t parse(std::string_view bytes) {
        size_t taken = http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
        return std::min(taken, bytes.size());
    }
    // Whether the bytes are no request within the limits; nothing more can be read then.
    [[nodiscard]] bool malformed() const {
        auto error = HTTP_PARSER_ERRNO(&parser_);
        return parser_.upgrade || (error != HPE_OK && error != HPE_PAUSED);
    }
    // Whether the body exceeds the limit: the request can be refused before it has been received whole.
    [[nodiscard]] bool oversized() const { return request_.oversized; }
    [[nodiscard]] bool complete() const { return complete_; }
    [[nodiscard]] bool keep_alive() const { return http_should_keep_alive(&parser_) != 0; }

    // The complete request; reset() must follow before the next is parsed.
    Request take_request() {
        request_.method = http_method_str(static_cast<http_method>(parser_.method));
        size_t mark = url_.find('?');
        request_.path = url_.substr(0, mark);
        if (mark != std::string::npos) request_.query = url_.substr(mark + 1);
        return std::move(request_);
    }
    void reset() {
        request_ = {};
        url_.clear();
        head_size_ = 0;
        body_size_ = 0;
        complete_ = false;
        http_parser_pause(&parser_, 0);
    }

  private:
    static RequestParser& of(http_parser* parser) { return *static_cast<RequestParser*>(parser->data); }

    // The callbacks' results: 0 to go on, else the request is malformed.
    int count_head(size_t size) {
        head_size_ += size;
        return head_size_ > constants::kRequestHeadLimit ? 1 : 0;
    }
    int append_url(const char* data, size_t size) {
        if (count_head(size) != 0) return 1;
        url_.append(data, size);
        return 0;
    }
    int append_body(const char* data, size_t size) {
        body_size_ += size;
        if (body_size_ > constants::kRequestBodyLimit) request_.oversized = true;
        if (body_size_ > constants::kOversizedBodyReadLimit) return 1;
        if (request_.oversized) {
            request_.body.clear();
        } else {
            request_.body.append(data, size);
        }
        return 0;
    }

    http_parser parser_{};
    http_parser_settings callbacks_{};
    Request request_;
    std::string url_;
    size_t head_size_ = 0;  // bytes of URL and headers
    size_t body_size_ = 0;  // bytes, kept or not
    bool complete_ = false;
};

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

// Until when a connection is read: a request must begin within the idle time, and then be complete in time.
class ReadDeadline {
  public:
    explicit ReadDeadline(Seconds now) { await_request(now); }

    void await_request(Seconds now) {
        request_began_ = false;
        until_ = now + constants::kIdleConnectionTimeout_s;
    }
    void bytes_received(Seconds now) {
        if (request_began_) return;
        request_began_ = true;
        until_ = now + constants::kRequestReadTimeout_s;
    }
    [[nodiscard]] Seconds until() const { return until_; }

  private:
    bool request_began_ = false;
    Seconds until_ = 0;
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
    std::string pipelined;  // bytes received behind a complete request
    ReadDeadline deadline(loop_.now());
    bool refused = false;  // the current request was answered before it was complete
    while (true) {
        std::string_view input = pipelined;
        if (input.empty()) {
            Stream::Read got = co_await stream.read(deadline.until());
            if (!got.ok()) co_return;
            input = got.bytes;
            deadline.bytes_received(loop_.now());
        }
        size_t taken = parser.parse(input);
        pipelined = std::string(input.substr(taken));
        if (parser.malformed()) {
            std::string out = render_bad_request(AfterResponse::kClose);
            co_await stream.write(out, loop_.now() + constants::kSendTimeout_s);
            co_return;
        }
        // Refused at once; what remains of the body is read and dropped.
        if (parser.oversized() && !refused) {
            refused = true;
            std::string out = render_bad_request(AfterResponse::kKeepAlive);
            if (!co_await stream.write(out, loop_.now() + constants::kSendTimeout_s)) co_return;
        }
        if (!parser.complete()) continue;
        bool keep_alive = parser.keep_alive();
        if (!refused) {
            Request request = parser.take_request();
            request.abandoned = stream.hung_up();
            Response response = co_await handler_(std::move(request));
            std::string out = render(response, after_response(keep_alive));
            if (!co_await stream.write(out, loop_.now() + constants::kSendTimeout_s)) co_return;
        }
        if (!keep_alive) co_return;
        parser.reset();
        refused = false;
        deadline.await_request(loop_.now());
    }
}

}  // namespace hareshore
