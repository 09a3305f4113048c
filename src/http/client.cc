#include "http/client.h"

#include <algorithm>
#include <utility>

#include "base/constants.h"
#include "http/response_parser.h"

namespace hareshore {

namespace {

// Counts a call that waits for a connection until end() or destruction.
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

// Counts a connection in use until destruction, however the call ends.
class ConnectionInUse {
  public:
    ConnectionInUse(size_t& count, Condition& freed) : count_(count), freed_(freed) { ++count_; }
    ConnectionInUse(const ConnectionInUse&) = delete;
    ConnectionInUse& operator=(const ConnectionInUse&) = delete;
    ~ConnectionInUse() {
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
                                                Seconds deadline) const {
    ResponseParser parser(response_limit_);
    Exchange failed;
    failed.result.maybe_executed = true;
    if (!co_await stream.write(request, deadline)) co_return failed;
    while (!parser.complete()) {
        Stream::Read received = co_await stream.read(deadline);
        bool ended = received.outcome == Stream::Read::Outcome::kEnd;
        if (!received.ok() && !ended) co_return failed;
        if (!parser.parse(received.bytes)) {
            failed.result.response_too_large = parser.too_large();
            co_return failed;
        }
        if (ended && !parser.complete()) co_return failed;
    }
    Exchange completed;
    completed.result.status = parser.status();
    completed.result.maybe_executed = true;
    completed.result.body = parser.take_body();
    completed.keep_alive = parser.keep_alive();
    co_return completed;
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
    Seconds deadline = loop_.now() + timeout;
    bool all_used = in_use_ >= max_connections_;
    if (all_used && waiting_ >= constants::kConnectionPoolQueueLimit) co_return CallResult{};
    WaitingCall waiting(waiting_);
    while (in_use_ >= max_connections_)
        if (co_await loop_.wait(connection_freed_, deadline) == WakeReason::kTimeout) co_return CallResult{};
    waiting.end();
    ConnectionInUse connection(in_use_, connection_freed_);
    std::unique_ptr<Stream> stream = take_idle_connection();
    if (!stream) {
        Seconds connect_deadline = std::min(deadline, loop_.now() + constants::kConnectTimeout_s);
        stream = co_await connect_to(loop_, server_, connect_deadline);
        if (!stream) co_return CallResult{};
    }
    std::string request = render_request(method, path, body);
    Exchange completed = co_await exchange(*stream, request, deadline);
    if (completed.keep_alive && idle_.size() < max_connections_) idle_.push_back(std::move(stream));
    co_return std::move(completed.result);
}

}  // namespace hareshore
