#include "http/server.h"

#include <http_parser.h>
#include <unistd.h>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

namespace {

// Collects one request; http_parser calls back into it.
struct Collector {
    http_parser parser{};
    http_parser_settings settings{};
    Request request;
    std::string url;
    size_t head = 0;
    size_t body = 0;
    bool complete = false;
    bool refused = false;  // the request was answered before it had come whole

    Collector() {
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
        http_parser_settings_init(&settings);
        settings.on_url = [](http_parser* p, const char* at, size_t n) {
            return self(p).on_head(at, n, true);
        };
        settings.on_header_field = [](http_parser* p, const char* at, size_t n) {
            return self(p).on_head(at, n, false);
        };
        settings.on_header_value = settings.on_header_field;
        settings.on_headers_complete = [](http_parser* p) {
            auto& c = self(p);
            bool sized = p->content_length != ULLONG_MAX;
            if (sized && p->content_length > constants::kRequestBodyLimit) c.request.oversized = true;
            return 0;
        };
        settings.on_body = [](http_parser* p, const char* at, size_t n) {
            auto& c = self(p);
            c.body += n;
            if (c.body > constants::kRequestBodyLimit) c.request.oversized = true;
            if (c.body > constants::kOversizedBodyReadLimit) return 1;
            if (c.request.oversized) {
                c.request.body.clear();
            } else {
                c.request.body.append(at, n);
            }
            return 0;
        };
        settings.on_message_complete = [](http_parser* p) {
            self(p).complete = true;
            http_parser_pause(p, 1);
            return 0;
        };
    }
    static Collector& self(http_parser* p) { return *static_cast<Collector*>(p->data); }
    int on_head(const char* at, size_t n, bool is_url) {
        head += n;
        if (head > constants::kRequestHeadLimit) return 1;
        if (is_url) url.append(at, n);
        return 0;
    }
    void reset() {
        request = {};
        url.clear();
        head = body = 0;
        complete = refused = false;
    }
};

const char* reason(int status) {
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

std::string render(const Response& r, bool keep) {
    std::string s = "HTTP/1.1 " + std::to_string(r.status) + ' ' + reason(r.status) +
                    "\r\nContent-Type: " + r.type + "\r\nContent-Length: " + std::to_string(r.body.size()) +
                    "\r\n";
    if (r.retry_after > 0) s += "Retry-After: " + std::to_string(r.retry_after) + "\r\n";
    if (!keep) s += "Connection: close\r\n";
    return s + "\r\n" + r.body;
}

}  // namespace

HttpServer::HttpServer(Loop& loop, Address at, size_t most, Handler handler)
    : loop_(loop), most_(most), handler_(std::move(handler)), listener_(loop, listen_on(at)), scope_(loop) {
    scope_.spawn(accept_all(), "http accept");
}

Task<void> HttpServer::accept_all() {
    for (size_t accepted = 1;; ++accepted) {
        if (accepted % constants::kAcceptsPerTurn == 0) co_await loop_.yield();
        tl::expected<int, AcceptError> fd = accept_connection(listener_.fd());
        if (!fd && fd.error() == AcceptError::kNoneWaiting) {
            co_await loop_.readable(listener_, -1);
        } else if (!fd) {
            co_await loop_.sleep(constants::kAcceptRetryPause_s);
        } else if (scope_.size() > most_) {
            close(*fd);  // a refused connection sends the peer to another node at once
        } else {
            scope_.spawn(serve(*fd), "http connection");
        }
    }
}

Task<void> HttpServer::serve(int fd) {
    Stream stream(loop_, fd);
    Collector c;
    std::string behind;  // bytes that came behind a complete request
    Seconds until = loop_.now() + constants::kIdleConnectionTimeout_s;
    bool started = false;
    while (true) {
        std::string_view input = behind;
        if (input.empty()) {
            Stream::Read got = co_await stream.read(until);
            if (!got.ok()) co_return;
            input = got.bytes;
            if (!started) {
                started = true;
                until = loop_.now() + constants::kRequestReadTimeout_s;
            }
        }
        size_t used = http_parser_execute(&c.parser, &c.settings, input.data(), input.size());
        behind = std::string(input.substr(std::min(used, input.size())));
        auto error = HTTP_PARSER_ERRNO(&c.parser);
        bool bad = c.parser.upgrade || (error != HPE_OK && error != HPE_PAUSED);
        // Too large is said at once; what remains of the body is read and dropped.
        if (bad) {
            Response r{400, "", 0, "application/msgpack"};
            std::string out = render(r, false);
            co_await stream.write(out, loop_.now() + constants::kSendTimeout_s);
            co_return;
        }
        if (c.request.oversized && !c.refused) {
            c.refused = true;
            std::string out = render(Response{400, "", 0, "application/msgpack"}, true);
            if (!co_await stream.write(out, loop_.now() + constants::kSendTimeout_s)) co_return;
        }
        if (!c.complete) continue;
        bool keep = http_should_keep_alive(&c.parser) != 0;
        if (c.refused) {
            if (!keep) co_return;
            c.reset();
            http_parser_pause(&c.parser, 0);
            started = false;
            until = loop_.now() + constants::kIdleConnectionTimeout_s;
            continue;
        }
        c.request.method = http_method_str(static_cast<http_method>(c.parser.method));
        auto mark = c.url.find('?');
        c.request.path = c.url.substr(0, mark);
        if (mark != std::string::npos) c.request.query = c.url.substr(mark + 1);
        Request request = std::move(c.request);
        request.abandoned = stream.hung_up();
        Response answer = co_await handler_(std::move(request));
        std::string out = render(answer, keep);
        if (!co_await stream.write(out, loop_.now() + constants::kSendTimeout_s) || !keep) co_return;
        c.reset();
        http_parser_pause(&c.parser, 0);
        started = false;
        until = loop_.now() + constants::kIdleConnectionTimeout_s;
    }
}

}  // namespace hareshore
