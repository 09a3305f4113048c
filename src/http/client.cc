#include "http/client.h"

#include <http_parser.h>

#include <algorithm>
#include <utility>

#include "base/constants.h"

namespace hareshore {

namespace {

// Collects one response; http_parser calls back into it.
class ResponseParser {
  public:
    explicit ResponseParser(size_t body_limit) : body_limit_(body_limit) {
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
        http_parser_settings_init(&callbacks_);
        callbacks_.on_body = [](http_parser* parser, const char* data, size_t size) {
            return of(parser).append_body(data, size);
        };
        callbacks_.on_message_complete = [](http_parser* parser) {
            of(parser).complete_ = true;
            http_parser_pause(parser, 1);
            return 0;
        };
    }
    ResponseParser(const ResponseParser&) = delete;  // the parser points to it
    ResponseParser& operator=(const ResponseParser&) = delete;

    // Takes received bytes; none mean the end of the stream, which completes a response without a length.
    // False if they are not a response within the limit.
    bool parse(std::string_view bytes) {
        http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
        auto error = HTTP_PARSER_ERRNO(&parser_);
        return error == HPE_OK || error == HPE_PAUSED;
    }
    [[nodiscard]] bool complete() const { return complete_; }
    [[nodiscard]] bool too_large() const { return too_large_; }
    [[nodiscard]] int status() const { return static_cast<int>(parser_.status_code); }
    [[nodiscard]] bool keep_alive() const { return http_should_keep_alive(&parser_) != 0; }
    std::string take_body() { return std::move(body_); }

  private:
    static ResponseParser& of(http_parser* parser) { return *static_cast<ResponseParser*>(parser->data); }

    int append_body(const char* data, size_t size) {
        too_large_ = body_.size() + size > body_limit_;
        if (too_large_) return 1;
        body_.append(data, size);
        return 0;
    }

    http_parser parser_{};
    http_parser_settings callbacks_{};
    size_t body_limit_;
    std::string body_;
    bool complete_ = false;
    bool too_large_ = false;
};

// Counts a call that waits for a connection, until it is destroyed or ended.
class WaitingCall {
  public:
    explicit WaitingCall(size_t& count) : count_(&count) { ++count; }
    WaitingCall(const WaitingCall&) = delete;
    WaitingCall& operator=(const WaitingCall&) = delete;
    ~WaitingCall() { end(); }
    void end() {
        if (count_) --*count_;
        count_ = nullptr;
    }

  private:
    size_t* count_;
};

// Counts a connection in use, whichever way the call ends.
class OpenConnection {
  public:
    OpenConnection(size_t& count, Condition& freed) : count_(count), freed_(freed) { ++count_; }
    OpenConnection(const OpenConnection&) = delete;
    OpenConnection& operator=(const OpenConnection&) = delete;
    ~OpenConnection() {
        --count_;
        freed_.notify();
    }

  private:
    size_t& count_;
    Condition& freed_;
};

std::string render_request(const std::string& method, const std::string& path, const std::string& body) {
    std::string request = method + ' ' + path + " HTTP/1.1\r\nHost: hareshore\r\n";
    if (!body.empty()) request += "Content-Type: application/msgpack\r\n";
    if (!body.empty() || method != "GET")
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    request += "\r\n" + body;
    return request;
}

}  // namespace

Task<HttpClient::Exchange> HttpClient::exchange(Stream& stream, const std::string& request,
                                                Seconds until) const {
    ResponseParser parser(response_limit_);
    Exchange failed;
    failed.result.maybe_executed = true;
    if (!co_await stream.write(request, until)) co_return failed;
    while (!parser.complete()) {
        Stream::Read got = co_await stream.read(until);
        bool ended = got.outcome == Stream::Read::Outcome::kEnd;
        if (!got.ok() && !ended) co_return failed;
        if (!parser.parse(got.bytes)) {
            failed.result.response_too_large = parser.too_large();
            co_return failed;
        }
        if (ended && !parser.complete()) co_return failed;
    }
    Exchange done;
    done.result.status = parser.status();
    done.result.maybe_executed = true;
    done.result.body = parser.take_body();
    done.keep_alive = parser.keep_alive();
    co_return done;
}

std::unique_ptr<Stream> HttpClient::take_idle_connection() {
    while (!idle_.empty()) {
        std::unique_ptr<Stream> stream = std::move(idle_.front());
        idle_.pop_front();
        if (!stream->stale()) return stream;
    }
    return nullptr;
}

Task<CallResult> HttpClient::call(std::string method, std::string path, std::string body, Seconds timeout) {
    Seconds until = loop_.now() + timeout;
    bool all_used = open_ >= max_connections_;
    if (all_used && waiting_ >= constants::kConnectionPoolQueueLimit) co_return CallResult{};
    WaitingCall waiting(waiting_);
    while (open_ >= max_connections_)
        if (co_await loop_.wait(connection_freed_, until) == WakeReason::kTimeout) co_return CallResult{};
    waiting.end();
    OpenConnection open(open_, connection_freed_);
    std::unique_ptr<Stream> stream = take_idle_connection();
    if (!stream) {
        Seconds connect_until = std::min(until, loop_.now() + constants::kConnectTimeout_s);
        stream = co_await connect_to(loop_, server_, connect_until);
        if (!stream) co_return CallResult{};
    }
    std::string request = render_request(method, path, body);
    Exchange done = co_await exchange(*stream, request, until);
    if (done.keep_alive && idle_.size() < max_connections_) idle_.push_back(std::move(stream));
    co_return std::move(done.result);
}

}  // namespace hareshore
