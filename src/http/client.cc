#include "http/client.h"

#include <http_parser.h>

#include "base/constants.h"

namespace hareshore {

namespace {

struct AnswerCollector {
    http_parser parser{};
    http_parser_settings settings{};
    CallResult answer;
    bool complete = false;
    size_t limit;

    explicit AnswerCollector(size_t most) : limit(most) {
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        http_parser_settings_init(&settings);
        settings.on_body = [](http_parser* p, const char* at, size_t n) {
            auto& a = self(p).answer;
            a.response_too_large = a.body.size() + n > self(p).limit;
            if (a.response_too_large) return 1;
            a.body.append(at, n);
            return 0;
        };
        settings.on_message_complete = [](http_parser* p) {
            self(p).complete = true;
            http_parser_pause(p, 1);
            return 0;
        };
    }
    static AnswerCollector& self(http_parser* p) { return *static_cast<AnswerCollector*>(p->data); }
};

// Counts the open connection, whichever way the call ends.
struct Slot {
    size_t& open;
    Condition& freed;
    ~Slot() {
        --open;
        freed.notify();
    }
};

}  // namespace

Task<CallResult> HttpClient::exchange(Stream& stream, const std::string& out, Seconds until,
                                      bool& keep) const {
    AnswerCollector c(answer_limit_);
    keep = false;
    bool written = co_await stream.write(out, until);
    c.answer.maybe_executed = true;
    if (!written) co_return CallResult{0, true, false, ""};
    while (!c.complete) {
        Stream::Read got = co_await stream.read(until);
        bool ended = got.outcome == Stream::Read::Outcome::kEnd;
        if (!got.ok() && !ended) co_return CallResult{0, true, false, ""};
        // No bytes tell the parser that the stream has ended, which completes an answer without a length.
        http_parser_execute(&c.parser, &c.settings, got.bytes.data(), got.bytes.size());
        auto error = HTTP_PARSER_ERRNO(&c.parser);
        if (error != HPE_OK && error != HPE_PAUSED)
            co_return CallResult{0, true, c.answer.response_too_large, ""};
        if (ended && !c.complete) co_return CallResult{0, true, false, ""};
    }
    keep = http_should_keep_alive(&c.parser) != 0;
    c.answer.status = static_cast<int>(c.parser.status_code);
    co_return std::move(c.answer);
}

Task<CallResult> HttpClient::call(std::string method, std::string path, std::string body, Seconds timeout) {
    Seconds until = loop_.now() + timeout;
    if (open_ >= most_ && waiting_ >= constants::kConnectionPoolQueueLimit) co_return CallResult{};
    ++waiting_;
    struct Leave {
        size_t& n;
        bool left = false;
        void now() {
            if (!left) --n;
            left = true;
        }
        ~Leave() { now(); }
    } leave{waiting_};
    while (open_ >= most_) {
        if (co_await loop_.wait(freed_, until) == WakeReason::kTimeout) co_return CallResult{};
    }
    leave.now();
    ++open_;
    Slot slot{open_, freed_};
    std::unique_ptr<Stream> stream;
    while (!stream && !idle_.empty()) {
        stream = std::move(idle_.front());
        idle_.pop_front();
        if (stream->stale()) stream.reset();
    }
    if (!stream) {
        Seconds by = std::min(until, loop_.now() + constants::kConnectTimeout_s);
        stream = co_await connect_to(loop_, to_, by);
        if (!stream) co_return CallResult{};
    }
    std::string out = method + ' ' + path + " HTTP/1.1\r\nHost: hareshore\r\n";
    if (!body.empty()) out += "Content-Type: application/msgpack\r\n";
    if (!body.empty() || method != "GET") out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    out += "\r\n" + body;
    bool keep = false;
    CallResult answer = co_await exchange(*stream, out, until, keep);
    if (keep && idle_.size() < most_) idle_.push_back(std::move(stream));
    co_return answer;
}

}  // namespace hareshore
