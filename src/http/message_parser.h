// The common part of parsing requests and responses with http_parser.
#pragma once
#include <http_parser.h>

#include <cstddef>
#include <string_view>

namespace hareshore {

// Derived provides `int append_body(const char* data, size_t size)`, which returns 0 to continue; otherwise
// the message is malformed. Parsing pauses at the end of each message.
template <class Derived>
class MessageParser {
  public:
    MessageParser(const MessageParser&) = delete;  // http_parser points to it
    MessageParser& operator=(const MessageParser&) = delete;

    // Whether the message has been received completely.
    [[nodiscard]] bool complete() const { return complete_; }
    // Whether the connection may carry another message after this one.
    [[nodiscard]] bool keep_alive() const { return http_should_keep_alive(&parser_) != 0; }

  protected:
    explicit MessageParser(http_parser_type type) {
        http_parser_init(&parser_, type);
        parser_.data = static_cast<Derived*>(this);
        http_parser_settings_init(&callbacks_);
        callbacks_.on_body = [](http_parser* parser, const char* data, size_t size) {
            return self(parser).append_body(data, size);
        };
        callbacks_.on_message_complete = [](http_parser* parser) {
            self(parser).complete_ = true;
            http_parser_pause(parser, 1);
            return 0;
        };
    }
    ~MessageParser() = default;

    static Derived& self(http_parser* parser) { return *static_cast<Derived*>(parser->data); }
    // Continues with the next message.
    void resume() {
        complete_ = false;
        http_parser_pause(&parser_, 0);
    }

    // For further callbacks of Derived.
    http_parser_settings& callbacks() { return callbacks_; }
    [[nodiscard]] const http_parser& state() const { return parser_; }
    // Parses received bytes up to the end of the message; returns how many were consumed. Empty bytes mean
    // the end of the stream.
    size_t execute(std::string_view bytes) {
        return http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
    }
    // Whether parsing has ended with an error.
    [[nodiscard]] bool failed() const {
        auto error = HTTP_PARSER_ERRNO(&parser_);
        return error != HPE_OK && error != HPE_PAUSED;
    }

  private:
    http_parser parser_{};
    http_parser_settings callbacks_{};
    bool complete_ = false;
};

}  // namespace hareshore
