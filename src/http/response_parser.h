// Parses the response to a call.
#pragma once
#include <string>
#include <string_view>
#include <utility>

#include "http/message_parser.h"

namespace hareshore {

// Parses one response with http_parser, whose callbacks collect it.
class ResponseParser : public MessageParser<ResponseParser> {
  public:
    // `body_limit`: maximum bytes of the body.
    explicit ResponseParser(size_t body_limit) : MessageParser(HTTP_RESPONSE), body_limit_(body_limit) {}

    // Parses received bytes. Empty bytes mean the end of the stream, which completes a response without a
    // length. Returns false if the bytes are not a valid response within the limit.
    bool parse(std::string_view bytes) {
        execute(bytes);
        return !failed();
    }
    // Whether the body exceeds the limit.
    [[nodiscard]] bool too_large() const { return too_large_; }
    [[nodiscard]] int status() const { return static_cast<int>(state().status_code); }
    // Returns the body of the complete response; can be called once.
    std::string take_body() { return std::move(body_); }

  private:
    friend MessageParser<ResponseParser>;

    int append_body(const char* data, size_t size) {
        too_large_ = body_.size() + size > body_limit_;
        if (too_large_) return 1;
        body_.append(data, size);
        return 0;
    }

    size_t body_limit_;
    std::string body_;
    bool too_large_ = false;
};

}  // namespace hareshore
